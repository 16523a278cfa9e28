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
    BusySet, ConnectError, Connection, Health, Id, Load, Profile, RequestTracker, Stage, State,
    Verdict,
    connection::{self, Idle},
};
use crate::request::Fingerprint;

/// How long it is taken to be known whether an endpoint still listens: its connections break within some milliseconds
/// of each other when it ends.
const LISTEN_CHECK_TTL: Duration = Duration::from_millis(100);

/// An endpoint: lives as long as anything is under way there, also after it has left the list.
#[derive(Debug)]
pub struct Target {
    /// Its name.
    pub id: Id,
    /// The short number by which peers name it.
    pub short_id: u32,
    state: Mutex<Inner>,
    /// Told when long answers should go on elsewhere.
    migration: Notify,
    /// Told when this incarnation has ended.
    termination: Notify,
    /// Open connections, idle or in use.
    open_connections: Arc<AtomicUsize>,
    /// Where it is noted while it has something under way.
    busy: Arc<BusySet>,
    /// Held while it is found out whether it still listens.
    listen_check: AsyncMutex<()>,
}

/// What changes about an endpoint.
#[derive(Debug)]
pub struct Inner {
    /// What the platform says.
    pub profile: Profile,
    /// Whether it is still listed.
    pub listed: bool,
    /// Whether this incarnation has certainly ended, as a later one is listed.
    terminated: bool,
    /// This process's requests.
    pub own_load: Load,
    /// Peers' requests, as of their last digests.
    pub peer_load: Load,
    /// How it does.
    pub health: Health,
    /// How fast it is in its present stage; none before it has done anything in it.
    pub pace: Option<Latency>,
    /// Which prompt parts it likely holds.
    pub memory: PrefixCache,
    /// Idle connections, the longest idle first.
    idle: Vec<Idle>,
    /// Until when it is taken to be changing its stage.
    pub changing_until: Option<Instant>,
    /// How long it keeps an idle connection, as last told.
    idle_timeout: Option<Duration>,
    /// When it was last seen to get on with something, for this process or for a peer.
    last_progress: Instant,
    /// What is left to read of the prompts under way.
    backlog: Backlog,
    /// When this process first knew of it: its own time starts there.
    known_since: Instant,
    /// This process's requests by what they ask for.
    pub requests: RequestTracker,
    /// When it was last found out whether it still listens.
    last_checked: Option<Instant>,
}

/// How fast the engines of a service are on average.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Paces {
    /// Those that read.
    pub prefill: Latency,
    /// Those that write.
    pub decode: Latency,
}

impl Paces {
    /// How fast engines are on average in a stage; an endpoint without one writes.
    #[must_use]
    pub fn for_stage(&self, stage: Option<Stage>) -> Latency {
        match stage {
            Some(Stage::Prefill) => self.prefill,
            Some(Stage::Decode) | None => self.decode,
        }
    }

    /// The same, to learn.
    pub fn for_stage_mut(&mut self, stage: Stage) -> &mut Latency {
        match stage {
            Stage::Prefill => &mut self.prefill,
            Stage::Decode => &mut self.decode,
        }
    }
}

impl Default for Paces {
    fn default() -> Self {
        Self {
            prefill: Latency::initial_prefill(),
            decode: Latency::initial_decode(),
        }
    }
}

/// What is known of all engines of a service alike.
///
/// The size of their memory is that of the configuration in force, and comes with each look and each use: an
/// endpoint may be listed before the first configuration is known, and a later one may change it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceDefaults {
    /// How fast they are.
    pub paces: Paces,
    /// Tokens that the memory of each holds; zero for plain services.
    pub memory_tokens: u64,
}

/// An endpoint at one moment, for a decision.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// What the platform says.
    pub profile: Profile,
    /// All that is under way there.
    pub load: Load,
    /// How fast it is in its present stage.
    pub pace: Latency,
    /// Tokens of the prompt asked about that it likely holds.
    pub cached_tokens: u64,
    /// Tokens of it that other engines can likely fetch there.
    pub fetchable_tokens: u64,
    /// Part of its attempts that fail.
    pub failure_ratio: f64,
}

impl Inner {
    /// All that is under way there.
    pub fn total_load(&self) -> Load {
        self.own_load.plus(self.peer_load)
    }

    /// Work that is left to read there, if it reads at this pace unless its own is known.
    pub fn remaining_prefill(&self, now: Instant, default_pace: Latency) -> u64 {
        let read_us = self.pace.unwrap_or(default_pace).prefill_token_us;
        let remaining =
            self.backlog
                .remaining(self.age(now), read_us, self.total_load().prefill_work);
        policy::to_u64(remaining)
    }

    /// The time that it still takes for the prompts under way there, in microseconds; none if there are none.
    pub fn remaining_prefill_time(
        &self,
        now: Instant,
        defaults: &ServiceDefaults,
    ) -> Option<policy::Micros> {
        let default_pace = defaults.paces.for_stage(self.profile.stage);
        let read_us = self.pace.unwrap_or(default_pace).prefill_token_us;
        let time = policy::to_f64(self.remaining_prefill(now, default_pace)) * read_us;
        (self.total_load().prompts > 0).then(|| policy::to_u64(time))
    }

    /// Notes work that is about to be sent there, by this process or a peer.
    pub fn record_prefill(&mut self, now: Instant, default_pace: Latency, work: u64) {
        let read_us = self.pace.unwrap_or(default_pace).prefill_token_us;
        let (age, prefill_work) = (self.age(now), self.total_load().prefill_work);
        self.backlog.add(age, read_us, prefill_work, work);
    }

    /// Notes that it uses a prompt, which it reads after what it has left to read, or holds at once if it is
    /// `fetched`.
    pub fn record_prompt(
        &mut self,
        now: Instant,
        defaults: &ServiceDefaults,
        parts: &[Part],
        fetched: bool,
    ) {
        let default_pace = defaults.paces.for_stage(self.profile.stage);
        self.memory.resize(defaults.memory_tokens);
        let read_us = self.pace.unwrap_or(default_pace).prefill_token_us;
        let remaining = if fetched {
            0
        } else {
            self.remaining_prefill(now, default_pace)
        };
        let read_at = self.age(now) + policy::to_u64(policy::to_f64(remaining) * read_us);
        self.memory.record_use(parts, read_at);
    }

    fn age(&self, now: Instant) -> policy::Micros {
        policy::micros(now.saturating_duration_since(self.known_since))
    }
}

impl Target {
    /// An endpoint that is new on the list.
    #[must_use]
    pub fn new(profile: Profile, busy: Arc<BusySet>) -> Self {
        Self {
            id: profile.id.clone(),
            short_id: profile.short_id(),
            open_connections: Arc::default(),
            busy,
            migration: Notify::new(),
            termination: Notify::new(),
            listen_check: AsyncMutex::new(()),
            state: Mutex::new(Inner {
                profile,
                listed: true,
                terminated: false,
                own_load: Load::default(),
                peer_load: Load::default(),
                health: Health::default(),
                pace: None,
                memory: PrefixCache::default(),
                idle: Vec::new(),
                changing_until: None,
                idle_timeout: None,
                last_progress: Instant::now(),
                backlog: Backlog::default(),
                known_since: Instant::now(),
                requests: RequestTracker::default(),
                last_checked: None,
            }),
        }
    }

    /// Notes that it got on with something.
    pub fn record_progress(&self) {
        self.with(|state| state.last_progress = Instant::now());
    }

    /// When it was last seen to get on with something.
    #[must_use]
    pub fn last_progress(&self) -> Instant {
        self.with(|state| state.last_progress)
    }

    /// Reads or changes its state; the lock is held only for this.
    pub fn with<T>(&self, f: impl FnOnce(&mut Inner) -> T) -> T {
        f(&mut self.state.lock())
    }

    /// Counts something that begins.
    pub(super) fn add_load(self: &Arc<Self>, count: impl FnOnce(&mut Load)) {
        let was_idle = self.with(|state| {
            let was_idle = state.own_load == Load::default();
            count(&mut state.own_load);
            was_idle
        });
        if was_idle {
            self.busy.add(self);
        }
    }

    /// It as a decision sees it; none while it takes nothing new.
    #[must_use]
    pub fn snapshot(
        &self,
        now: Instant,
        parts: &[Part],
        defaults: &ServiceDefaults,
    ) -> Option<Snapshot> {
        self.with(|state| {
            state.memory.resize(defaults.memory_tokens);
            let accepts = state.listed
                && state.profile.state == State::Ready
                && state.health.accepts_requests(now)
                && state.changing_until.is_none_or(|until| until <= now);
            let default_pace = defaults.paces.for_stage(state.profile.stage);
            accepts.then(|| Snapshot {
                profile: state.profile.clone(),
                load: Load {
                    prefill_work: state.remaining_prefill(now, default_pace),
                    ..state.total_load()
                },
                pace: state.pace.unwrap_or(default_pace),
                cached_tokens: state.memory.cached_tokens(parts),
                fetchable_tokens: state.memory.fetchable_tokens(parts, state.age(now)),
                failure_ratio: state.health.failure_ratio(),
            })
        })
    }

    /// What it does, as last told.
    #[must_use]
    pub fn stage(&self) -> Option<Stage> {
        self.with(|state| state.profile.stage)
    }

    /// Takes the stage that the engine itself told.
    pub fn set_stage(&self, stage: Stage) {
        self.with(|state| {
            if state.profile.stage != Some(stage) {
                state.profile.stage = Some(stage);
                state.pace = None;
            }
            state.changing_until = None;
        });
    }

    /// Whether answers that take long should go on elsewhere: it leaves, or will do something else.
    #[must_use]
    pub fn should_migrate(&self) -> bool {
        let now = Instant::now();
        self.with(|state| {
            let changes = state.changing_until.is_some_and(|until| until > now);
            let leaves = state.listed && state.profile.state == State::Draining;
            changes || leaves
        })
    }

    /// Waits until answers that take long should go on elsewhere.
    pub async fn migration_needed(&self) {
        loop {
            let notified = self.migration.notified();
            if self.should_migrate() {
                return;
            }
            notified.await;
        }
    }

    /// Notes that this incarnation has ended: what was under way there is over.
    pub fn mark_terminated(&self) {
        self.with(|state| state.terminated = true);
        self.termination.notify_waiters();
    }

    /// Waits until this incarnation has ended.
    pub async fn terminated(&self) {
        loop {
            let notified = self.termination.notified();
            if self.with(|state| state.terminated) {
                return;
            }
            notified.await;
        }
    }

    /// Leaves it alone until then, as it is changing its stage.
    pub fn mark_changing(&self, until: Instant) {
        let now = Instant::now();
        let before = self.with(|state| state.changing_until.replace(until));
        if before.is_none_or(|before| before <= now) {
            self.migration.notify_waiters();
        }
    }

    /// Takes what the platform now says of it, and gives what it said before.
    pub fn update(&self, profile: &Profile) -> Profile {
        let before = self.with(|state| {
            if state.profile.stage != profile.stage {
                state.changing_until = None;
                state.pace = None;
            }
            std::mem::replace(&mut state.profile, profile.clone())
        });
        if profile.state == State::Draining {
            self.migration.notify_waiters();
        }
        before
    }

    /// Notes how an attempt ended.
    pub fn record_verdict(&self, verdict: Verdict, request: &str) {
        let now = Instant::now();
        let (changed, failures, sound) = self.with(|state| {
            let changed = state.health.record(verdict, now);
            if verdict == Verdict::Silent {
                state.idle.clear();
            }
            (
                changed,
                state.health.failure_ratio(),
                state.health.is_healthy(),
            )
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
    pub async fn connect(
        &self,
        max_idle: Duration,
        max_open: usize,
    ) -> Result<Connection, ConnectError> {
        let now = Instant::now();
        let found = self.with(|state| {
            let at = state
                .idle
                .iter()
                .position(|idle| idle.is_usable(now, max_idle));
            at.map(|at| state.idle.remove(at))
        });
        if let Some(idle) = found {
            return Ok(idle.connection);
        }
        if self.open_connections.load(Ordering::Relaxed) >= max_open {
            // an idle connection that is too old for this request still counts
            let removed = self.with(|state| state.idle.pop().is_some());
            if !removed {
                return Err(ConnectError::Full);
            }
        }
        let address = self.with(|state| state.profile.address);
        connection::open(address, &self.open_connections).await
    }

    /// Takes what was under way there lately if it no longer listens; nothing if it does, if it is leaving anyway, or
    /// if that has been found out since `broke`. An endpoint that resets connections still takes new ones, one that
    /// has ended refuses them.
    pub async fn take_requests_if_terminated(&self, broke: Instant) -> Vec<Fingerprint> {
        let _listen_check = self.listen_check.lock().await;
        let (address, due) = self.with(|state| {
            let stays = state.listed && state.profile.state == State::Ready;
            let known = |checked: Instant| checked + LISTEN_CHECK_TTL > broke;
            (
                state.profile.address,
                stays && !state.last_checked.is_some_and(known),
            )
        });
        if !due {
            return Vec::new();
        }
        let now = Instant::now();
        let opened = connection::open(address, &self.open_connections).await;
        self.with(|state| {
            state.last_checked = Some(now);
            match opened {
                Err(ConnectError::Refused) => state.requests.take_all(now),
                Ok(_) | Err(_) => Vec::new(),
            }
        })
    }

    /// Takes a connection back that may serve another request.
    pub fn return_connection(&self, connection: Connection) {
        let now = Instant::now();
        self.with(|state| {
            let idle_timeout = state.idle_timeout;
            state.idle.retain(|idle| idle.is_open(now));
            if state.listed {
                state.idle.push(Idle::new(connection, now, idle_timeout));
            }
        });
    }

    /// Notes how long the endpoint keeps idle connections.
    pub fn set_idle_timeout(&self, idle_timeout: Option<Duration>) {
        if idle_timeout.is_some() {
            self.with(|state| state.idle_timeout = idle_timeout);
        }
    }

    /// Drops idle connections, once the endpoint is no longer listed.
    pub fn drop_idle_connections(&self) {
        self.with(|state| state.idle.clear());
    }
}
