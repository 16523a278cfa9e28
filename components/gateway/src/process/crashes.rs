//! Endpoints that crash with requests in flight. See `docs/DESIGN.md#requests-that-end-endpoints`.

use std::{sync::Arc, time::Duration};

use clock::Instant;
use tokio::task::JoinSet;

use super::Gateway;
use crate::{
    crashes::{Doubt, InFlight},
    endpoint::{CrashCheck, Profile, State, Target},
    forwarding::probe,
    request::Fingerprint,
};

/// How long a check whether an endpoint still listens is valid for other broken connections: when an
/// endpoint crashes, its connections break within a few milliseconds of each other.
const LISTEN_CHECK_TTL: Duration = Duration::from_millis(100);
/// Maximum number of requests named in a log line: as many as an engine of the first deployments runs
/// concurrently.
const MAX_LOGGED_REQUESTS: usize = 48;

/// How often it is checked whether an endpoint has closed its connections that left requests without an answer. It may restart
/// soon after a crash.
const INTERRUPTED_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Maximum number of concurrent checks of such endpoints.
const MAX_CONCURRENT_CHECKS: usize = 32;
/// How often endpoints that may have crashed are checked.
const PENDING_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Evidence that an endpoint has crashed.
const REPLACED: &str = "another endpoint is listed at its address";

/// What is known of an endpoint that ended a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// It accepts connections.
    Listens,
    /// It has crashed.
    Crashed,
    /// Neither is certain.
    Unknown,
}

/// Follows endpoints that may have crashed, for the lifetime of the process.
pub async fn run(gateway: &Gateway) {
    let is_connected = |endpoint| {
        let target = gateway.registry.find(endpoint);
        target.is_some_and(|target| !target.is_path_lost())
    };
    loop {
        clock::sleep(PENDING_CHECK_INTERVAL).await;
        gateway.crashes.record_connected(is_connected);
        gateway.drop_expired_pending();
    }
}

/// Checks endpoints that may have crashed under requests that nobody waits for, for the lifetime of the process. No broken
/// connection shows such a crash if the requests were the only ones there.
pub async fn watch_interrupted(gateway: Arc<Gateway>) {
    let interrupted = gateway.registry.interrupted();
    let mut checks = JoinSet::new();
    loop {
        let targets = interrupted.current();
        if targets.is_empty() {
            interrupted.wait_for_addition().await;
            continue;
        }
        while checks.try_join_next().is_some() {}
        let due = targets.into_iter().filter(|at| at.needs_crash_check());
        for target in due.take(MAX_CONCURRENT_CHECKS.saturating_sub(checks.len())) {
            let gateway = Arc::clone(&gateway);
            checks.spawn(async move { gateway.check_for_crash(&target, "").await });
        }
        clock::sleep(INTERRUPTED_CHECK_INTERVAL).await;
    }
}

impl Gateway {
    /// Checks whether an endpoint that broke a request's connection has crashed, and if so records the
    /// requests that were in flight there.
    pub async fn check_for_crash(&self, target: &Arc<Target>, request: &str) {
        let since = Instant::now().checked_sub(LISTEN_CHECK_TTL);
        self.liveness_since(target, request, since.unwrap_or_else(Instant::now))
            .await;
    }

    /// Checks whether an endpoint that ended a request's connection in an orderly way has crashed. If so,
    /// records the requests that were in flight there.
    pub async fn liveness(&self, target: &Arc<Target>, request: &str) -> Liveness {
        self.liveness_since(target, request, Instant::now()).await
    }

    async fn liveness_since(
        &self,
        target: &Arc<Target>,
        request: &str,
        since: Instant,
    ) -> Liveness {
        let explain = async || probe::explain_refusal(self, target, request).await;
        match target.check_for_crash(since, explain).await {
            CrashCheck::PathLost(unanswered) => {
                self.drop_connections_without_path(&target.service());
                self.hold(target, unanswered, Doubt::Reached);
                Liveness::Unknown
            }
            CrashCheck::Unclear(unanswered) => {
                self.drop_connections_without_path(&target.service());
                self.hold(target, unanswered, Doubt::Unreachable);
                Liveness::Unknown
            }
            check @ (CrashCheck::Listens | CrashCheck::NotCrashed) => {
                if self.lacks_paths(&target.service()) {
                    target.with(|state| state.requests.forget_broken());
                }
                match check {
                    CrashCheck::Listens => Liveness::Listens,
                    _ => Liveness::Unknown,
                }
            }
            CrashCheck::Crashed(in_flight) => {
                self.record_crash(target, &in_flight, "it refuses connections", request);
                Liveness::Crashed
            }
        }
    }

    /// Records the requests that were in flight at an endpoint whose entry disappeared from the list although
    /// it was not draining.
    pub fn record_unlisted(&self, target: &Arc<Target>) {
        let now = Instant::now();
        let (known, profile) =
            target.with(|state| (state.requests.fingerprints(now), state.profile.clone()));
        self.crashes.record_unlisted(&profile);
        let has_successor = self.registry.has_successor(target);
        if !known.is_empty() {
            log::info!(
                endpoint = &*target.id.0, has_successor, contents = join(&known);
                "an endpoint with requests without an answer is no longer listed"
            );
        }
        if has_successor {
            self.crashes.confirm(target.short_id);
            let in_flight = target.with(|state| state.requests.take_all(now));
            self.record_crash(target, &in_flight, REPLACED, "");
            return;
        }
        if self.lacks_paths(&target.service()) {
            // the paths of this process may have broken the connections
            let unanswered = target.with(|state| state.requests.take_unanswered(now));
            self.hold(target, unanswered, Doubt::Reached);
            return;
        }
        let broken = target.with(|state| state.requests.take_broken(now));
        if !broken.is_empty() {
            self.record_crash(target, &broken, "it is no longer listed", "");
        }
        // it may still run them if it is only cut off from the store
        let silent = target.with(|state| state.requests.take_silent(now));
        self.hold(target, silent, Doubt::Unreachable);
    }

    /// Records the crashes of endpoints at whose address another one has been listed since.
    pub fn record_successor(&self, profile: &Profile) {
        let Some(successor) = self.registry.find(profile.short_id()) else {
            return;
        };
        let interrupted = self.registry.interrupted().current();
        // one that drains may exit at any time
        let has_crashed = |target: &&Arc<Target>| {
            let was_ready = target.with(|state| state.profile.state == State::Ready);
            was_ready && successor.succeeds(target)
        };
        for target in interrupted.iter().filter(has_crashed) {
            let in_flight = target.with(|state| state.requests.take_all(Instant::now()));
            self.record_crash(target, &in_flight, REPLACED, "");
        }
        for endpoint in self.crashes.pending_endpoints() {
            let is_succeeded = self.registry.find(endpoint).map_or_else(
                || self.crashes.was_listed_at(endpoint, profile.address),
                |target| successor.succeeds(&target),
            );
            if is_succeeded && endpoint != successor.short_id {
                self.crashes.confirm(endpoint);
            }
        }
        let listed = successor.known_since();
        for ended in self.crashes.pending_before(profile, listed) {
            self.log_crash(&ended.profile, &ended.requests, REPLACED, "");
            self.crashes.record_crash(ended.profile.short_id(), &[]);
        }
    }

    /// Keeps requests until it is known whether their endpoint has crashed.
    fn hold(&self, target: &Target, requests: Vec<InFlight>, doubt: Doubt) {
        if requests.is_empty() {
            return;
        }
        if self.registry.has_successor(target) {
            self.record_crash(target, &requests, REPLACED, "");
            return;
        }
        let contents = requests.iter().map(|request| request.fingerprint);
        let contents: Vec<Fingerprint> = contents.collect();
        log::info!(
            endpoint = &*target.id.0, short_id = format!("{:08x}", target.short_id), doubt:?, contents = join(&contents);
            "it is not known whether an endpoint has crashed"
        );
        let profile = target.with(|state| state.profile.clone());
        self.crashes.hold(&profile, requests, doubt);
    }

    /// Drops endpoints of which it has not become known in time whether they crashed.
    fn drop_expired_pending(&self) {
        for expired in self.crashes.drop_expired_pending() {
            let contents = expired.requests.iter().map(|request| request.fingerprint);
            let contents: Vec<Fingerprint> = contents.collect();
            log::info!(
                endpoint = &*expired.profile.id.0, contents = join(&contents);
                "it has not become known whether an endpoint crashed"
            );
        }
    }

    /// Records the crash of an endpoint with requests in flight, and with those that have been held until it was certain.
    fn record_crash(&self, target: &Target, in_flight: &[InFlight], evidence: &str, request: &str) {
        let held = self.crashes.pending_requests(target.short_id);
        if in_flight.is_empty() && held.is_empty() {
            return;
        }
        let all: Vec<InFlight> = in_flight.iter().chain(&held).cloned().collect();
        let profile = target.with(|state| state.profile.clone());
        self.log_crash(&profile, &all, evidence, request);
        self.crashes.record_crash(target.short_id, in_flight);
    }

    fn log_crash(&self, profile: &Profile, in_flight: &[InFlight], evidence: &str, request: &str) {
        let service = &*profile.service;
        self.metrics.crashes.with_label_values(&[service]).inc();
        let fingerprints: Vec<Fingerprint> = in_flight
            .iter()
            .map(|request| request.fingerprint)
            .collect();
        log::warn!(
            request, endpoint = &*profile.id.0, service, evidence,
            under_way = fingerprints.len(), contents = join(&fingerprints),
            written_ms = format_written(in_flight), parts = format_parts(in_flight);
            "an endpoint crashed with requests in flight"
        );
    }
}

/// Joins the first items for a log line.
pub fn join<T: ToString>(items: &[T]) -> String {
    let logged = items.iter().take(MAX_LOGGED_REQUESTS);
    let logged: Vec<String> = logged.map(ToString::to_string).collect();
    logged.join(" ")
}

/// Formats for how many milliseconds each answer had been written; `-` for one without an event.
fn format_written(in_flight: &[InFlight]) -> String {
    let now = Instant::now();
    let written = in_flight.iter().map(|request| {
        let written = request.written_for(now);
        written.map_or_else(|| "-".to_owned(), |written| written.as_millis().to_string())
    });
    join(&written.collect::<Vec<String>>())
}

/// Formats the parts of the prompts in flight with the number of requests that have each, the most frequent ones first.
fn format_parts(in_flight: &[InFlight]) -> String {
    let mut parts: Vec<u64> = in_flight
        .iter()
        .flat_map(|request| request.parts.iter().copied())
        .collect();
    parts.sort_unstable();
    let mut counted: Vec<(usize, u64)> = parts
        .chunk_by(u64::eq)
        .map(|same| (same.len(), same[0]))
        .collect();
    counted.sort_unstable_by_key(|(count, part)| (std::cmp::Reverse(*count), *part));
    let counted = counted.into_iter();
    let formatted = counted.map(|(count, part)| format!("{part:x}*{count}"));
    join(&formatted.collect::<Vec<String>>())
}
