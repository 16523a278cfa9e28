//! State of one endpoint in this process.

mod reach;

use std::{
    sync::{Arc, atomic::AtomicUsize},
    time::Duration,
};

use clock::Instant;
use parking_lot::Mutex;
use policy::{backlog::Backlog, estimate::Latency, prefix_cache::PrefixCache, prompt::Part};
use tokio::sync::{Mutex as AsyncMutex, Notify};

use super::{
    Build, BusySet, Connection, Health, Id, InterruptedSet, Load, LostPaths, Path, Profile, Stage,
    State, Verdict, connection::IdleConnection,
};
use crate::crashes::{Interruption, RequestTracker};
use reach::ListenCheck;

pub use reach::{CrashCheck, Listening, Refusal, Reuse};

/// How long after this process has learnt that an endpoint drains it may still be sent streams that began at its build.
/// It must be below the operators' `drain_ms`, after which a draining endpoint accepts nothing new: two seconds after its
/// announcement in the first deployments. The announcement also takes time to reach this process.
pub const CONTINUATION_WINDOW: Duration = Duration::from_secs(1);

/// An endpoint. It lives as long as anything is in flight there, also after it is no longer listed.
#[derive(Debug)]
pub struct Target {
    /// Its name.
    pub id: Id,
    /// Short id by which peers refer to it.
    pub short_id: u32,
    state: Mutex<TargetState>,
    /// Notified when long answers should migrate to another engine.
    migration: Notify,
    /// Notified when this incarnation has terminated.
    termination: Notify,
    /// Notified when a check why it refused a request has ended.
    refusal_check: Notify,
    /// Number of open connections, idle or in use.
    open_connections: Arc<AtomicUsize>,
    /// Set that it is added to while it has requests in flight.
    busy: Arc<BusySet>,
    /// List that it is added to when its path is lost.
    lost_paths: Arc<LostPaths>,
    /// Set that it is added to when it leaves a request without an answer.
    interrupted: Arc<InterruptedSet>,
    /// Held during a check whether it still listens.
    listen_check: AsyncMutex<()>,
}

/// Mutable state of an endpoint.
#[derive(Debug)]
pub struct TargetState {
    /// What the platform lists about it.
    pub profile: Profile,
    /// Whether it is still listed.
    pub listed: bool,
    /// When this process learnt that it drains; `None` as long as it does not.
    draining_since: Option<Instant>,
    /// Whether this incarnation has certainly terminated, since a later one is listed.
    terminated: bool,
    /// Load from this process.
    pub own_load: Load,
    /// Load from peers, as of their last digests.
    pub peer_load: Load,
    /// Its health.
    pub health: Health,
    /// Whether this process can open connections to it.
    pub path: Path,
    /// Its latency in its current stage; `None` before the first sample.
    pub latency: Option<Latency>,
    /// Prompt parts that it likely has cached.
    pub prefix_cache: PrefixCache,
    /// Idle connections, longest idle first; that one is also reused first.
    idle: Vec<IdleConnection>,
    /// Until when it counts as changing its stage.
    pub changing_until: Option<Instant>,
    /// The last check why it refused a request.
    refusal_check: Option<RefusalCheck>,
    /// Whether it has refused a request without naming it.
    refuses_unnamed: bool,
    /// Idle timeout of its connections, as last reported by the endpoint.
    idle_timeout: Option<Duration>,
    /// When a request of this process or of a peer last progressed there.
    last_progress: Instant,
    /// When it last sent something to this process; `None` if it has not yet.
    last_response: Option<Instant>,
    /// When a check of the path to it last began.
    path_checked: Option<Instant>,
    /// Estimate of the prefill work that remains of the prompts in flight.
    backlog: Backlog,
    /// When this process created it: the origin of the times passed to `policy`, see `age`.
    known_since: Instant,
    /// This process's requests, by fingerprint.
    pub requests: RequestTracker,
    /// The last check whether it still listens.
    last_check: Option<ListenCheck>,
}

/// A check why an engine refused a request although it seems to have room.
#[derive(Clone, Copy, Debug)]
struct RefusalCheck {
    began: Instant,
    is_running: bool,
}

/// Minimum time between two of these checks, each of which is a call to the engine.
const REFUSAL_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// An engine of whose slots more than this fraction (1/n) are taken may refuse requests because others took the last ones.
const FREE_SLOTS_DIVISOR: u64 = 2;

/// Average latencies of the engines of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Latencies {
    /// Latency of prefill engines.
    pub prefill: Latency,
    /// Latency of decode engines.
    pub decode: Latency,
}

impl Latencies {
    /// Returns the average latency of engines in a stage; endpoints without a stage count as decode
    /// engines.
    #[must_use]
    pub fn for_stage(&self, stage: Option<Stage>) -> Latency {
        match stage {
            Some(Stage::Prefill) => self.prefill,
            Some(Stage::Decode) | None => self.decode,
        }
    }

    /// Returns the average latency of engines in a stage for updates.
    pub fn for_stage_mut(&mut self, stage: Stage) -> &mut Latency {
        match stage {
            Stage::Prefill => &mut self.prefill,
            Stage::Decode => &mut self.decode,
        }
    }
}

impl Default for Latencies {
    fn default() -> Self {
        Self {
            prefill: Latency::initial_prefill(),
            decode: Latency::initial_decode(),
        }
    }
}

/// Values common to all engines of a service.
///
/// The capacity of their KV caches is that of the current configuration and is passed in with each
/// snapshot and each recorded prompt: an endpoint may be listed before the first configuration is
/// known, and a later configuration may change it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceDefaults {
    /// Their average latencies.
    pub latencies: Latencies,
    /// Number of tokens that the KV cache of each engine holds; 0 for plain services.
    pub kv_capacity_tokens: u64,
}

/// Which endpoints a snapshot is taken of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// Those that this process can send requests to.
    Own,
    /// Those, and those that have just begun to drain: a stream that no other endpoint can continue is sent there.
    Continuation,
    /// All that are listed and ready.
    Listed,
}

/// Snapshot of an endpoint for a placement decision.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// What the platform lists about it.
    pub profile: Profile,
    /// All load there, of this process and of peers.
    pub load: Load,
    /// Its latency in its current stage.
    pub latency: Latency,
    /// Number of tokens of the given prompt that it likely has cached.
    pub cached_tokens: u64,
    /// Number of tokens of the prompt that other engines can likely fetch from it.
    pub fetchable_tokens: u64,
    /// Fraction of its recent attempts that failed.
    pub failure_ratio: f64,
}

impl TargetState {
    /// Returns all load there, of this process and of peers.
    pub fn total_load(&self) -> Load {
        self.own_load.plus(self.peer_load)
    }

    /// Returns the prefill work that remains there. `default_latency` applies until its own latency
    /// is known.
    pub fn remaining_prefill(&self, now: Instant, default_latency: Latency) -> u64 {
        let prefill_token_us = self.latency.unwrap_or(default_latency).prefill_token_us;
        let remaining = self.backlog.remaining(
            self.age(now),
            prefill_token_us,
            self.total_load().prefill_work,
        );
        policy::to_u64(remaining)
    }

    /// Returns the time in microseconds until the prompts in flight there are prefilled; `None` if
    /// there are none.
    pub fn remaining_prefill_time(
        &self,
        now: Instant,
        defaults: &ServiceDefaults,
    ) -> Option<policy::Micros> {
        let default_latency = defaults.latencies.for_stage(self.profile.stage);
        let prefill_token_us = self.latency.unwrap_or(default_latency).prefill_token_us;
        let time = policy::to_f64(self.remaining_prefill(now, default_latency)) * prefill_token_us;
        (self.total_load().prompts > 0).then(|| policy::to_u64(time))
    }

    /// Records prefill work that this process or a peer is about to send there.
    pub fn record_prefill(&mut self, now: Instant, default_latency: Latency, work: u64) {
        let prefill_token_us = self.latency.unwrap_or(default_latency).prefill_token_us;
        let (age, prefill_work) = (self.age(now), self.total_load().prefill_work);
        self.backlog.add(age, prefill_token_us, prefill_work, work);
    }

    /// Records that it will have the parts of a prompt cached: at once if they are `fetched`, else
    /// after the remaining prefill work.
    pub fn record_prompt(
        &mut self,
        now: Instant,
        defaults: &ServiceDefaults,
        parts: &[Part],
        fetched: bool,
    ) {
        let default_latency = defaults.latencies.for_stage(self.profile.stage);
        self.prefix_cache.resize(defaults.kv_capacity_tokens);
        let prefill_token_us = self.latency.unwrap_or(default_latency).prefill_token_us;
        let remaining = if fetched {
            0
        } else {
            self.remaining_prefill(now, default_latency)
        };
        let cached_at =
            self.age(now) + policy::to_u64(policy::to_f64(remaining) * prefill_token_us);
        self.prefix_cache.record_use(parts, cached_at);
    }

    /// Whether a request can be sent there: new connections can be opened, or an open one is idle.
    fn has_way(&self, now: Instant) -> bool {
        self.path.error().is_none() || self.idle.iter().any(|idle| idle.is_open(now))
    }

    /// Whether it accepts requests now.
    pub fn accepts(&self, now: Instant, reach: Reach) -> bool {
        let is_due = reach == Reach::Listed || self.health.accepts_requests(now);
        self.is_usable(now, reach) && is_due && !self.is_refusal_checked()
    }

    /// Whether it could be used if its failures and refusals did not count.
    fn is_usable(&self, now: Instant, reach: Reach) -> bool {
        let is_ready = self.profile.state == State::Ready;
        let takes = match reach {
            Reach::Own => is_ready && self.has_way(now),
            Reach::Continuation => (is_ready || self.may_continue_streams()) && self.has_way(now),
            Reach::Listed => is_ready,
        };
        self.listed && takes && self.changing_until.is_none_or(|until| until <= now)
    }

    /// Whether a check runs why it refused a request.
    fn is_refusal_checked(&self) -> bool {
        self.refusal_check.is_some_and(|check| check.is_running)
    }

    /// Whether it has begun to drain so recently that it still takes streams that no other endpoint can continue.
    pub fn may_continue_streams(&self) -> bool {
        self.draining_since
            .is_some_and(|since| since.elapsed() < CONTINUATION_WINDOW)
    }

    fn age(&self, now: Instant) -> policy::Micros {
        policy::micros(now.saturating_duration_since(self.known_since))
    }
}

impl Target {
    /// Creates the target of a newly listed endpoint.
    #[must_use]
    pub fn new(
        profile: Profile,
        busy: Arc<BusySet>,
        lost_paths: Arc<LostPaths>,
        interrupted: Arc<InterruptedSet>,
    ) -> Self {
        let is_draining = profile.state == State::Draining;
        Self {
            id: profile.id.clone(),
            short_id: profile.short_id(),
            open_connections: Arc::default(),
            busy,
            lost_paths,
            interrupted,
            migration: Notify::new(),
            termination: Notify::new(),
            refusal_check: Notify::new(),
            listen_check: AsyncMutex::new(()),
            state: Mutex::new(TargetState {
                profile,
                listed: true,
                draining_since: is_draining.then(Instant::now),
                terminated: false,
                own_load: Load::default(),
                peer_load: Load::default(),
                health: Health::default(),
                path: Path::default(),
                latency: None,
                prefix_cache: PrefixCache::default(),
                idle: Vec::new(),
                changing_until: None,
                refusal_check: None,
                refuses_unnamed: false,
                idle_timeout: None,
                last_progress: Instant::now(),
                last_response: None,
                path_checked: None,
                backlog: Backlog::default(),
                known_since: Instant::now(),
                requests: RequestTracker::default(),
                last_check: None,
            }),
        }
    }

    /// Records that it sent a part of a response to this process.
    pub fn record_response(&self) {
        let now = Instant::now();
        self.with(|state| {
            state.last_progress = now;
            state.last_response = Some(now);
        });
    }

    /// Records that it sent a part of the answer to a request, which only this incarnation can send.
    pub fn record_answer(&self) {
        self.record_response();
        self.with(|state| state.requests.record_answer());
    }

    /// Records that a request got no answer.
    pub(super) fn record_interruption(self: &Arc<Self>, number: u64, interruption: Interruption) {
        if self.with(|state| state.requests.interrupt(number, interruption)) {
            self.interrupted.add(self);
        }
    }

    /// Returns when it last sent something to this process; `None` if it has not yet.
    #[must_use]
    pub fn last_response(&self) -> Option<Instant> {
        self.with(|state| state.last_response)
    }

    /// Whether it has sent nothing to this process for this long.
    #[must_use]
    pub fn is_silent_for(&self, duration: Duration) -> bool {
        let now = Instant::now();
        self.last_response()
            .is_none_or(|at| now.saturating_duration_since(at) >= duration)
    }

    /// Records that a request progressed there.
    pub fn record_progress(&self) {
        self.with(|state| state.last_progress = Instant::now());
    }

    /// Returns when a request last progressed there.
    #[must_use]
    pub fn last_progress(&self) -> Instant {
        self.with(|state| state.last_progress)
    }

    /// Returns the name of the service that it belongs to.
    #[must_use]
    pub fn service(&self) -> Arc<str> {
        self.with(|state| Arc::clone(&state.profile.service))
    }

    /// Returns the version of its software, as last listed.
    #[must_use]
    pub fn build(&self) -> Build {
        self.with(|state| state.profile.build.clone())
    }

    /// Reads or changes its state. The lock is held only during `f`.
    pub fn with<T>(&self, f: impl FnOnce(&mut TargetState) -> T) -> T {
        f(&mut self.state.lock())
    }

    /// Adds to this process's load there, and adds the endpoint to the busy set if it was idle.
    pub(super) fn add_load(self: &Arc<Self>, add: impl FnOnce(&mut Load)) {
        let was_idle = self.with(|state| {
            let was_idle = state.own_load == Load::default();
            add(&mut state.own_load);
            was_idle
        });
        if was_idle {
            self.busy.add(self);
        }
    }

    /// Returns a snapshot for a placement decision, or `None` while it accepts no new requests.
    #[must_use]
    pub fn snapshot(
        &self,
        now: Instant,
        parts: &[Part],
        defaults: &ServiceDefaults,
        reach: Reach,
    ) -> Option<Snapshot> {
        self.with(|state| {
            state.prefix_cache.resize(defaults.kv_capacity_tokens);
            let default_latency = defaults.latencies.for_stage(state.profile.stage);
            state.accepts(now, reach).then(|| Snapshot {
                profile: state.profile.clone(),
                load: Load {
                    prefill_work: state.remaining_prefill(now, default_latency),
                    ..state.total_load()
                },
                latency: state
                    .latency
                    .unwrap_or_else(|| default_latency.without_known_pace()),
                cached_tokens: state.prefix_cache.cached_tokens(parts),
                fetchable_tokens: state.prefix_cache.fetchable_tokens(parts, state.age(now)),
                failure_ratio: state.health.failure_ratio(),
            })
        })
    }

    /// Returns its profile if it gets no requests now because it failed or refused some, and gets them again at `by` or
    /// earlier.
    #[must_use]
    pub fn recovering(&self, now: Instant, by: Instant, reach: Reach) -> Option<Profile> {
        self.with(|state| {
            let health = &state.health;
            let is_held_back = !health.accepts_requests(now) || state.is_refusal_checked();
            let recovers = is_held_back && health.accepts_requests(by);
            (recovers && state.is_usable(now, reach)).then(|| state.profile.clone())
        })
    }

    /// Returns its stage, as last reported.
    #[must_use]
    pub fn stage(&self) -> Option<Stage> {
        self.with(|state| state.profile.stage)
    }

    /// Sets the stage that the engine itself reported, and ends a pending change of stage.
    pub fn set_stage(&self, stage: Stage) {
        self.with(|state| {
            if state.profile.stage != Some(stage) {
                state.profile.stage = Some(stage);
                state.latency = None;
            }
            state.changing_until = None;
        });
    }

    /// Whether long answers should migrate to another engine: it is draining, or about to change
    /// its stage.
    #[must_use]
    pub fn should_migrate(&self) -> bool {
        let now = Instant::now();
        self.with(|state| {
            let changes = state.changing_until.is_some_and(|until| until > now);
            let leaves = state.listed && state.profile.state == State::Draining;
            changes || leaves
        })
    }

    /// Waits until long answers should migrate to another engine.
    pub async fn migration_needed(&self) {
        loop {
            let notified = self.migration.notified();
            if self.should_migrate() {
                return;
            }
            notified.await;
        }
    }

    /// Records that this incarnation has terminated, which ends everything in flight there.
    pub fn mark_terminated(&self) {
        self.with(|state| state.terminated = true);
        self.termination.notify_waiters();
    }

    /// Returns when this process learnt of it.
    #[must_use]
    pub fn known_since(&self) -> Instant {
        self.with(|state| state.known_since)
    }

    /// Whether this incarnation has certainly terminated.
    #[must_use]
    pub fn is_terminated(&self) -> bool {
        self.with(|state| state.terminated)
    }

    /// Whether it has been listed at the address of another endpoint after that one.
    #[must_use]
    pub fn succeeds(&self, other: &Self) -> bool {
        let seen = |target: &Self| target.with(|state| (state.profile.address, state.known_since));
        let ((address, since), (previous_address, previous_since)) = (seen(self), seen(other));
        self.short_id != other.short_id && address == previous_address && since > previous_since
    }

    /// Waits until this incarnation has terminated.
    pub async fn terminated(&self) {
        loop {
            let notified = self.termination.notified();
            if self.with(|state| state.terminated) {
                return;
            }
            notified.await;
        }
    }

    /// Whether it changes its stage, as far as is known.
    #[must_use]
    pub fn is_changing(&self) -> bool {
        let now = Instant::now();
        self.with(|state| state.changing_until.is_some_and(|until| until > now))
    }

    /// Marks it as changing its stage; until `until` it gets no new requests.
    pub fn mark_changing(&self, until: Instant) {
        let now = Instant::now();
        let before = self.with(|state| state.changing_until.replace(until));
        if before.is_none_or(|before| before <= now) {
            self.migration.notify_waiters();
        }
    }

    /// Begins a check why it refused a request, unless it is likely full or was checked lately. It gets no requests until
    /// the check ends. Returns whether the check has begun.
    pub fn begin_refusal_check(&self) -> bool {
        let now = Instant::now();
        self.with(|state| {
            let is_engine = state.profile.stage.is_some();
            let has_room = state.total_load().decoding * FREE_SLOTS_DIVISOR < state.profile.slots;
            let is_due = state
                .refusal_check
                .is_none_or(|check| now - check.began >= REFUSAL_CHECK_INTERVAL);
            let begins = is_engine && has_room && is_due;
            if begins {
                state.refusal_check = Some(RefusalCheck {
                    began: now,
                    is_running: true,
                });
            }
            begins
        })
    }

    /// Ends a check why it refused a request.
    pub fn end_refusal_check(&self) {
        self.with(|state| {
            if let Some(check) = &mut state.refusal_check {
                check.is_running = false;
            }
        });
        self.refusal_check.notify_waiters();
    }

    /// Records that it refused a request without naming it. On a connection that has carried others such a refusal proves
    /// nothing, so this holds for as long as the endpoint lives.
    pub fn record_unnamed_refusal(&self, request: &str) {
        let before = self.with(|state| std::mem::replace(&mut state.refuses_unnamed, true));
        if !before {
            log::info!(
                request, endpoint = &*self.id.0;
                "an endpoint does not name the requests that it refuses: those that may run once get connections of their own"
            );
        }
    }

    /// Whether it has refused a request without naming it.
    #[must_use]
    pub fn refuses_unnamed(&self) -> bool {
        self.with(|state| state.refuses_unnamed)
    }

    /// Waits until no check is running why it refused a request.
    pub async fn refusal_check_ended(&self) {
        loop {
            let notified = self.refusal_check.notified();
            let is_running = |state: &mut TargetState| {
                let check = state.refusal_check;
                check.is_some_and(|check| check.is_running)
            };
            if !self.with(is_running) {
                return;
            }
            notified.await;
        }
    }

    /// Whether it is still in this stage, as far as is known, and not replaced by a later incarnation.
    pub fn remains_in(&self, stage: Option<Stage>) -> bool {
        self.with(|state| state.listed && !state.terminated && state.profile.stage == stage)
    }

    /// Updates the profile from the platform's list and returns the previous one.
    pub fn update(&self, profile: &Profile) -> Profile {
        let before = self.with(|state| {
            if state.profile.stage != profile.stage {
                state.changing_until = None;
                state.latency = None;
            }
            match profile.state {
                State::Ready => state.draining_since = None,
                State::Draining => {
                    state.draining_since.get_or_insert_with(Instant::now);
                }
            }
            std::mem::replace(&mut state.profile, profile.clone())
        });
        if profile.state == State::Draining {
            self.migration.notify_waiters();
        }
        before
    }

    /// Records the outcome of an attempt.
    pub fn record_verdict(&self, verdict: Verdict, request: &str) {
        let now = Instant::now();
        let (changed, failures, sound) = self.with(|state| {
            // silence says nothing about an endpoint to which this process has no path
            let is_evidence = verdict != Verdict::Silent || state.path.error().is_none();
            let changed = is_evidence && state.health.record(verdict, now);
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
                "endpoint health changed"
            );
        }
    }

    /// Puts a connection that can serve another request back into the pool.
    pub fn put_back_connection(&self, connection: Connection) {
        let now = Instant::now();
        self.with(|state| {
            let idle_timeout = state.idle_timeout;
            state.idle.retain(|idle| idle.is_open(now));
            if state.listed {
                state
                    .idle
                    .push(IdleConnection::to_endpoint(connection, now, idle_timeout));
            }
        });
    }

    /// Records how long the endpoint keeps idle connections open, if it reports it.
    pub fn set_idle_timeout(&self, idle_timeout: Option<Duration>) {
        if idle_timeout.is_some() {
            self.with(|state| state.idle_timeout = idle_timeout);
        }
    }

    /// Drops all idle connections, since the endpoint is no longer listed.
    pub fn drop_idle_connections(&self) {
        self.with(|state| state.idle.clear());
    }
}
