//! State of one endpoint in this process.

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
    BusySet, ConnectError, Connection, Health, Id, Load, LostPaths, Path, Profile, RequestTracker,
    Stage, State, Verdict,
    connection::{self, IdleConnection},
    path,
};
use crate::request::Fingerprint;

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
    /// Number of open connections, idle or in use.
    open_connections: Arc<AtomicUsize>,
    /// Set that it is added to while it has requests in flight.
    busy: Arc<BusySet>,
    /// List that it is added to when its path is lost.
    lost_paths: Arc<LostPaths>,
    /// Held during a check whether it still listens.
    listen_check: AsyncMutex<()>,
}

/// Minimum time between the beginnings of two checks of an endpoint's path, as each opens a
/// connection.
const MIN_PATH_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Mutable state of an endpoint.
#[derive(Debug)]
pub struct TargetState {
    /// What the platform lists about it.
    pub profile: Profile,
    /// Whether it is still listed.
    pub listed: bool,
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
    /// Idle timeout of its connections, as last reported by the endpoint.
    idle_timeout: Option<Duration>,
    /// When a request of this process or of a peer last progressed there.
    last_progress: Instant,
    /// When it last sent something to this process; `None` if it has not yet.
    last_heard: Option<Instant>,
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

/// A check whether an endpoint still listens.
#[derive(Clone, Copy, Debug)]
struct ListenCheck {
    began: Instant,
    /// Whether it showed that the endpoint has crashed.
    crashed: bool,
}

/// Whether an endpoint accepts connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listening {
    /// It accepted a connection.
    Accepts,
    /// It refused a connection.
    Refuses,
    /// It is shutting down or no longer listed, or did not answer.
    Unknown,
}

/// What a check for a crash of an endpoint showed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CrashCheck {
    /// It has not crashed, as far as can be known.
    NotCrashed,
    /// It refuses connections of this process and has not crashed.
    PathLost,
    /// It has crashed. The fingerprints are those of the requests that may be the cause; only the
    /// first check that finds the crash returns them.
    Crashed(Vec<Fingerprint>),
}

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

    fn age(&self, now: Instant) -> policy::Micros {
        policy::micros(now.saturating_duration_since(self.known_since))
    }
}

impl Target {
    /// Creates the target of a newly listed endpoint.
    #[must_use]
    pub fn new(profile: Profile, busy: Arc<BusySet>, lost_paths: Arc<LostPaths>) -> Self {
        Self {
            id: profile.id.clone(),
            short_id: profile.short_id(),
            open_connections: Arc::default(),
            busy,
            lost_paths,
            migration: Notify::new(),
            termination: Notify::new(),
            listen_check: AsyncMutex::new(()),
            state: Mutex::new(TargetState {
                profile,
                listed: true,
                terminated: false,
                own_load: Load::default(),
                peer_load: Load::default(),
                health: Health::default(),
                path: Path::default(),
                latency: None,
                prefix_cache: PrefixCache::default(),
                idle: Vec::new(),
                changing_until: None,
                idle_timeout: None,
                last_progress: Instant::now(),
                last_heard: None,
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
            state.last_heard = Some(now);
        });
    }

    /// Returns when it last sent something to this process; `None` if it has not yet.
    #[must_use]
    pub fn last_heard(&self) -> Option<Instant> {
        self.with(|state| state.last_heard)
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
            let accepts = state.listed
                && state.profile.state == State::Ready
                && match reach {
                    Reach::Own => state.health.accepts_requests(now) && state.has_way(now),
                    Reach::Listed => true,
                }
                && state.changing_until.is_none_or(|until| until <= now);
            let default_latency = defaults.latencies.for_stage(state.profile.stage);
            accepts.then(|| Snapshot {
                profile: state.profile.clone(),
                load: Load {
                    prefill_work: state.remaining_prefill(now, default_latency),
                    ..state.total_load()
                },
                latency: state.latency.unwrap_or(default_latency),
                cached_tokens: state.prefix_cache.cached_tokens(parts),
                fetchable_tokens: state.prefix_cache.fetchable_tokens(parts, state.age(now)),
                failure_ratio: state.health.failure_ratio(),
            })
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

    /// Marks it as changing its stage; until `until` it gets no new requests.
    pub fn mark_changing(&self, until: Instant) {
        let now = Instant::now();
        let before = self.with(|state| state.changing_until.replace(until));
        if before.is_none_or(|before| before <= now) {
            self.migration.notify_waiters();
        }
    }

    /// Updates the profile from the platform's list and returns the previous one.
    pub fn update(&self, profile: &Profile) -> Profile {
        let before = self.with(|state| {
            if state.profile.stage != profile.stage {
                state.changing_until = None;
                state.latency = None;
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

    /// Returns an idle connection if one has been idle for at most `max_idle`, else opens one. At
    /// most `max_open` connections are open at a time.
    ///
    /// # Errors
    ///
    /// [`ConnectError`]: no connection is available, and nothing was sent.
    pub async fn connect(
        self: &Arc<Self>,
        max_idle: Duration,
        max_open: usize,
    ) -> Result<Connection, ConnectError> {
        let now = Instant::now();
        let found = self.with(|state| {
            let index = state
                .idle
                .iter()
                .position(|idle| idle.is_usable(now, max_idle));
            index.map(|index| state.idle.remove(index))
        });
        if let Some(idle) = found {
            return Ok(idle.connection);
        }
        if let Some(error) = self.with(|state| state.path.error()) {
            return Err(error);
        }
        if self.open_connections.load(Ordering::Relaxed) >= max_open {
            // idle connections that this request can't use count towards the limit too; the most
            // recent one is closed
            let removed = self.with(|state| state.idle.pop().is_some());
            if !removed {
                return Err(ConnectError::Full);
            }
        }
        self.open_connection().await
    }

    /// Opens a connection, and records whether that worked.
    async fn open_connection(self: &Arc<Self>) -> Result<Connection, ConnectError> {
        let address = self.with(|state| state.profile.address);
        let opened = connection::open(address, &self.open_connections).await;
        let result = opened.as_ref().map(|_| ()).map_err(|error| *error);
        let (change, service) = self.with(|state| {
            let change = state.path.record(result, Instant::now());
            if result == Err(ConnectError::Silent) {
                // what can't be reached by a new connection can't be by an open one
                state.idle.clear();
            }
            (change, Arc::clone(&state.profile.service))
        });
        let (endpoint, service) = (&*self.id.0, &*service);
        match change {
            Some(path::Change::Lost(error)) => {
                log::info!(endpoint, service, address:%, error:%; "the path to an endpoint is lost");
                self.lost_paths.add(self);
            }
            Some(path::Change::Regained(after)) => {
                let after_ms = policy::micros(after) / 1_000;
                log::info!(endpoint, service, address:%, after_ms; "the path to an endpoint is back");
            }
            None => {}
        }
        opened
    }

    /// Whether no new connection can be opened from here, as far as is known.
    #[must_use]
    pub fn is_path_lost(&self) -> bool {
        self.with(|state| state.path.error().is_some())
    }

    /// Whether a trial of a lost path is due.
    #[must_use]
    pub fn is_trial_due(&self, now: Instant) -> bool {
        self.with(|state| state.path.next_trial().is_some_and(|at| at <= now))
    }

    /// Whether the path has not been checked just before. Lost paths are tried anyway.
    #[must_use]
    pub fn may_check_path(&self, now: Instant) -> bool {
        self.with(|state| {
            let checked = state.path_checked;
            state.path.error().is_none()
                && checked
                    .is_none_or(|at| now.saturating_duration_since(at) >= MIN_PATH_CHECK_INTERVAL)
        })
    }

    /// Checks whether a connection can be opened, and keeps it for a later request.
    pub async fn check_path(self: &Arc<Self>) {
        self.with(|state| {
            state.path_checked = Some(Instant::now());
            state.path.postpone_trial(Instant::now());
        });
        if let Ok(connection) = self.open_connection().await {
            self.put_back_connection(connection);
        }
    }

    /// Checks whether the endpoint accepts connections.
    ///
    /// One that closes or resets connections still accepts new ones, one that has crashed refuses them.
    /// One that is draining or no longer listed may exit after its last response, so it is not checked.
    pub async fn check_listening(self: &Arc<Self>) -> Listening {
        let stays = self.with(|state| state.listed && state.profile.state == State::Ready);
        if !stays {
            return Listening::Unknown;
        }
        match self.open_connection().await {
            Ok(connection) => {
                self.put_back_connection(connection);
                Listening::Accepts
            }
            Err(ConnectError::Refused) => Listening::Refuses,
            Err(ConnectError::Silent | ConnectError::Full) => Listening::Unknown,
        }
    }

    /// Checks whether the endpoint has crashed, unless a check that began at `since` or later has shown
    /// it. If it refuses connections, `confirm` tells whether that is due to a crash.
    pub async fn check_for_crash(
        self: &Arc<Self>,
        since: Instant,
        confirm: impl AsyncFnOnce() -> bool,
    ) -> CrashCheck {
        let _listen_check = self.listen_check.lock().await;
        match self.with(|state| state.last_check) {
            Some(last) if last.began >= since && last.crashed => {
                return CrashCheck::Crashed(Vec::new());
            }
            Some(last) if last.began >= since => return CrashCheck::NotCrashed,
            Some(_) | None => {}
        }
        let began = Instant::now();
        let listening = self.check_listening().await;
        let crashed = listening == Listening::Refuses && confirm().await;
        self.with(|state| {
            state.last_check = Some(ListenCheck { began, crashed });
            match (crashed, listening) {
                (true, _) => CrashCheck::Crashed(state.requests.take_all(began)),
                (false, Listening::Refuses) => {
                    // the path to it broke their connections
                    state.requests.forget_broken();
                    CrashCheck::PathLost
                }
                (false, Listening::Accepts | Listening::Unknown) => CrashCheck::NotCrashed,
            }
        })
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
