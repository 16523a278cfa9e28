//! One endpoint as this process sees it.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use clock::Instant;
use parking_lot::Mutex;
use policy::{backlog::Backlog, estimate::Latency, prefix_cache::PrefixCache, prompt::Part};
use tokio::sync::{Mutex as AsyncMutex, Notify};

use super::{
    Busy, Health, Id, Link, Load, NotOpened, Profile, Runs, Stage, State, Verdict,
    link::{self, Idle},
};
use crate::request::Content;

/// How long it is taken to be known whether an endpoint still listens: its connections break within some milliseconds
/// of each other when it ends.
const CHECKED: Duration = Duration::from_millis(100);

/// An endpoint: lives as long as anything is under way there, also after it has left the list.
#[derive(Debug)]
pub struct Target {
    /// Its name.
    pub id: Id,
    /// The short number by which peers name it.
    pub short: u32,
    state: Mutex<Inner>,
    /// Told when long answers should go on elsewhere.
    leave: Notify,
    /// Told when this incarnation has ended.
    end: Notify,
    /// Open connections, idle or in use.
    open: Arc<AtomicUsize>,
    /// Where it is noted while it has something under way.
    busy: Arc<Busy>,
    /// Held while it is found out whether it still listens.
    checking: AsyncMutex<()>,
}

/// What changes about an endpoint.
#[derive(Debug)]
pub struct Inner {
    /// What the platform says.
    pub profile: Profile,
    /// Whether it is still listed.
    pub listed: bool,
    /// Whether this incarnation has certainly ended, as a later one is listed.
    ended: bool,
    /// This process's requests.
    pub own: Load,
    /// Peers' requests, as of their last digests.
    pub peers: Load,
    /// How it does.
    pub health: Health,
    /// How fast it is in its present stage; none before it has done anything in it.
    pub pace: Option<Latency>,
    /// Which prompt parts it likely holds.
    pub memory: PrefixCache,
    /// Idle connections, the longest idle first.
    idle: Vec<Idle>,
    /// Until when it is taken to be changing its stage.
    pub changing: Option<Instant>,
    /// How long it keeps an idle connection, as last told.
    keeps: Option<Duration>,
    /// When it was last seen to get on with something, for this process or for a peer.
    progressed: Instant,
    /// What is left to read of the prompts under way.
    backlog: Backlog,
    /// When this process first knew of it: its own time starts there.
    since: Instant,
    /// This process's requests by what they ask for.
    pub runs: Runs,
    /// When it was last found out whether it still listens.
    checked: Option<Instant>,
}

/// How fast the engines of a service are on average.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Paces {
    /// Those that read.
    pub readers: Latency,
    /// Those that write.
    pub writers: Latency,
}

impl Paces {
    /// How fast engines are on average in a stage; an endpoint without one writes.
    #[must_use]
    pub fn of(&self, stage: Option<Stage>) -> Latency {
        match stage {
            Some(Stage::Prefill) => self.readers,
            Some(Stage::Decode) | None => self.writers,
        }
    }

    /// The same, to learn.
    pub fn of_mut(&mut self, stage: Stage) -> &mut Latency {
        match stage {
            Stage::Prefill => &mut self.readers,
            Stage::Decode => &mut self.writers,
        }
    }
}

impl Default for Paces {
    fn default() -> Self {
        Self {
            readers: Latency::initial_prefill(),
            writers: Latency::initial_decode(),
        }
    }
}

/// What is known of all engines of a service alike.
///
/// The size of their memory is that of the configuration in force, and comes with each look and each use: an
/// endpoint may be listed before the first configuration is known, and a later one may change it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Common {
    /// How fast they are.
    pub paces: Paces,
    /// Tokens that the memory of each holds; zero for plain services.
    pub memory_tokens: u64,
}

/// An endpoint at one moment, for a decision.
#[derive(Clone, Debug)]
pub struct Seen {
    /// What the platform says.
    pub profile: Profile,
    /// All that is under way there.
    pub load: Load,
    /// How fast it is in its present stage.
    pub pace: Latency,
    /// Tokens of the prompt asked about that it likely holds.
    pub held: u64,
    /// Tokens of it that other engines can likely fetch there.
    pub fetchable: u64,
    /// Part of its attempts that fail.
    pub failures: f64,
}

impl Inner {
    /// All that is under way there.
    pub fn load(&self) -> Load {
        self.own.with(self.peers)
    }

    /// Work that is left to read there, if it reads at this pace unless its own is known.
    pub fn left(&self, now: Instant, common: Latency) -> u64 {
        let read_us = self.pace.unwrap_or(common).prefill_token_us;
        let left = self
            .backlog
            .remaining(self.age(now), read_us, self.load().reading);
        policy::to_u64(left)
    }

    /// The time that it still takes for the prompts under way there, in microseconds; none if there are none.
    pub fn time_to_read(&self, now: Instant, common: &Common) -> Option<policy::Micros> {
        let pace = common.paces.of(self.profile.stage);
        let read_us = self.pace.unwrap_or(pace).prefill_token_us;
        let time = policy::to_f64(self.left(now, pace)) * read_us;
        (self.load().prompts > 0).then(|| policy::to_u64(time))
    }

    /// Notes work that is about to be sent there, by this process or a peer.
    pub fn sends(&mut self, now: Instant, common: Latency, work: u64) {
        let read_us = self.pace.unwrap_or(common).prefill_token_us;
        let (age, under_way) = (self.age(now), self.load().reading);
        self.backlog.add(age, read_us, under_way, work);
    }

    /// Notes that it uses a prompt, which it reads after what it has left to read, or holds at once if it is
    /// `fetched`.
    pub fn uses(&mut self, now: Instant, common: &Common, parts: &[Part], fetched: bool) {
        let pace = common.paces.of(self.profile.stage);
        self.memory.resize(common.memory_tokens);
        let read_us = self.pace.unwrap_or(pace).prefill_token_us;
        let left = if fetched { 0 } else { self.left(now, pace) };
        let read_at = self.age(now) + policy::to_u64(policy::to_f64(left) * read_us);
        self.memory.record_use(parts, read_at);
    }

    fn age(&self, now: Instant) -> policy::Micros {
        policy::micros(now.saturating_duration_since(self.since))
    }
}

impl Target {
    /// An endpoint that is new on the list.
    #[must_use]
    pub fn new(profile: Profile, busy: Arc<Busy>) -> Self {
        Self {
            id: profile.id.clone(),
            short: profile.short(),
            open: Arc::default(),
            busy,
            leave: Notify::new(),
            end: Notify::new(),
            checking: AsyncMutex::new(()),
            state: Mutex::new(Inner {
                profile,
                listed: true,
                ended: false,
                own: Load::default(),
                peers: Load::default(),
                health: Health::default(),
                pace: None,
                memory: PrefixCache::default(),
                idle: Vec::new(),
                changing: None,
                keeps: None,
                progressed: Instant::now(),
                backlog: Backlog::default(),
                since: Instant::now(),
                runs: Runs::default(),
                checked: None,
            }),
        }
    }

    /// Notes that it got on with something.
    pub fn progressed(&self) {
        self.with(|state| state.progressed = Instant::now());
    }

    /// When it was last seen to get on with something.
    #[must_use]
    pub fn last_progress(&self) -> Instant {
        self.with(|state| state.progressed)
    }

    /// Reads or changes its state; the lock is held only for this.
    pub fn with<T>(&self, f: impl FnOnce(&mut Inner) -> T) -> T {
        f(&mut self.state.lock())
    }

    /// Counts something that begins.
    pub(super) fn begin(self: &Arc<Self>, count: impl FnOnce(&mut Load)) {
        let was_idle = self.with(|state| {
            let was_idle = state.own == Load::default();
            count(&mut state.own);
            was_idle
        });
        if was_idle {
            self.busy.add(self);
        }
    }

    /// It as a decision sees it; none while it takes nothing new.
    #[must_use]
    pub fn seen(&self, now: Instant, parts: &[Part], common: &Common) -> Option<Seen> {
        self.with(|state| {
            state.memory.resize(common.memory_tokens);
            let open = state.listed
                && state.profile.state == State::Ready
                && state.health.takes(now)
                && state.changing.is_none_or(|until| until <= now);
            let common = common.paces.of(state.profile.stage);
            open.then(|| Seen {
                profile: state.profile.clone(),
                load: Load {
                    reading: state.left(now, common),
                    ..state.load()
                },
                pace: state.pace.unwrap_or(common),
                held: state.memory.cached_tokens(parts),
                fetchable: state.memory.fetchable_tokens(parts, state.age(now)),
                failures: state.health.failures(),
            })
        })
    }

    /// What it does, as last told.
    #[must_use]
    pub fn stage(&self) -> Option<Stage> {
        self.with(|state| state.profile.stage)
    }

    /// Takes the stage that the engine itself told.
    pub fn take_stage(&self, stage: Stage) {
        self.with(|state| {
            if state.profile.stage != Some(stage) {
                state.profile.stage = Some(stage);
                state.pace = None;
            }
            state.changing = None;
        });
    }

    /// Whether answers that take long should go on elsewhere: it leaves, or will do something else.
    #[must_use]
    pub fn is_left(&self) -> bool {
        let now = Instant::now();
        self.with(|state| {
            let changes = state.changing.is_some_and(|until| until > now);
            let leaves = state.listed && state.profile.state == State::Draining;
            changes || leaves
        })
    }

    /// Waits until answers that take long should go on elsewhere.
    pub async fn left(&self) {
        loop {
            let told = self.leave.notified();
            if self.is_left() {
                return;
            }
            told.await;
        }
    }

    /// Notes that this incarnation has ended: what was under way there is over.
    pub fn end(&self) {
        self.with(|state| state.ended = true);
        self.end.notify_waiters();
    }

    /// Waits until this incarnation has ended.
    pub async fn ended(&self) {
        loop {
            let told = self.end.notified();
            if self.with(|state| state.ended) {
                return;
            }
            told.await;
        }
    }

    /// Leaves it alone until then, as it is changing its stage.
    pub fn leave_alone(&self, until: Instant) {
        let now = Instant::now();
        let before = self.with(|state| state.changing.replace(until));
        if before.is_none_or(|before| before <= now) {
            self.leave.notify_waiters();
        }
    }

    /// Takes what the platform now says of it, and gives what it said before.
    pub fn update(&self, profile: &Profile) -> Profile {
        let before = self.with(|state| {
            if state.profile.stage != profile.stage {
                state.changing = None;
                state.pace = None;
            }
            std::mem::replace(&mut state.profile, profile.clone())
        });
        if profile.state == State::Draining {
            self.leave.notify_waiters();
        }
        before
    }

    /// Notes how an attempt ended.
    pub fn note(&self, verdict: Verdict, request: &str) {
        let now = Instant::now();
        let (changed, failures, sound) = self.with(|state| {
            let changed = state.health.note(verdict, now);
            if verdict == Verdict::Silent {
                state.idle.clear();
            }
            (changed, state.health.failures(), state.health.sound())
        });
        if changed {
            log::info!(
                request, endpoint = &*self.id.0, verdict:%, failures, sound;
                "changed its mind about an endpoint"
            );
        }
    }

    /// Takes a connection: an idle one that was used within `fresh`, or a new one.
    ///
    /// # Errors
    ///
    /// [`NotOpened`]: nothing was sent.
    pub async fn connect(&self, fresh: Duration, most: usize) -> Result<Link, NotOpened> {
        let now = Instant::now();
        let found = self.with(|state| {
            let at = state.idle.iter().position(|idle| idle.usable(now, fresh));
            at.map(|at| state.idle.remove(at))
        });
        if let Some(idle) = found {
            return Ok(idle.link);
        }
        if self.open.load(Ordering::Relaxed) >= most {
            // an idle connection that is too old for this request still counts
            let removed = self.with(|state| state.idle.pop().is_some());
            if !removed {
                return Err(NotOpened::Full);
            }
        }
        let address = self.with(|state| state.profile.address);
        link::open(address, &self.open).await
    }

    /// Takes what was under way there lately if it no longer listens; nothing if it does, if it is leaving anyway, or
    /// if that has been found out since `broke`. An endpoint that resets connections still takes new ones, one that
    /// has ended refuses them.
    pub async fn take_if_ended(&self, broke: Instant) -> Vec<Content> {
        let _checking = self.checking.lock().await;
        let (address, due) = self.with(|state| {
            let stays = state.listed && state.profile.state == State::Ready;
            let known = |checked: Instant| checked + CHECKED > broke;
            (
                state.profile.address,
                stays && !state.checked.is_some_and(known),
            )
        });
        if !due {
            return Vec::new();
        }
        let now = Instant::now();
        let opened = link::open(address, &self.open).await;
        self.with(|state| {
            state.checked = Some(now);
            match opened {
                Err(NotOpened::Refused) => state.runs.take(now),
                Ok(_) | Err(_) => Vec::new(),
            }
        })
    }

    /// Takes a connection back that may serve another request.
    pub fn give_back(&self, link: Link) {
        let now = Instant::now();
        self.with(|state| {
            let keeps = state.keeps;
            state.idle.retain(|idle| idle.alive(now));
            if state.listed {
                state.idle.push(Idle::new(link, now, keeps));
            }
        });
    }

    /// Notes how long the endpoint keeps idle connections.
    pub fn keeps(&self, keeps: Option<Duration>) {
        if keeps.is_some() {
            self.with(|state| state.keeps = keeps);
        }
    }

    /// Drops idle connections, once the endpoint is no longer listed.
    pub fn forget_links(&self) {
        self.with(|state| state.idle.clear());
    }
}
