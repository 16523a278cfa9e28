//! Endpoints that crash with requests in flight. See `docs/DESIGN.md#requests-that-end-endpoints`.

use std::{sync::Arc, time::Duration};

use clock::Instant;

use super::Gateway;
use crate::{
    crashes::InFlight,
    endpoint::{CrashCheck, Target},
    forwarding::probe,
    request::Fingerprint,
};

/// How long a check whether an endpoint still listens is valid for other broken connections: when an
/// endpoint crashes, its connections break within a few milliseconds of each other.
const LISTEN_CHECK_TTL: Duration = Duration::from_millis(100);
/// Maximum number of requests named in a log line: as many as an engine of the first deployments runs
/// concurrently.
const MAX_LOGGED_REQUESTS: usize = 48;

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
        let confirm = async || probe::confirms_crash(self, target, request).await;
        match target.check_for_crash(since, confirm).await {
            CrashCheck::PathLost => {
                self.drop_connections_without_path(&target.service());
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
        let (in_flight, known) = target.with(|state| {
            let known = state.requests.fingerprints(now);
            (state.requests.take_broken(now), known)
        });
        if !known.is_empty() {
            log::info!(
                endpoint = &*target.id.0, counted = in_flight.len(), contents = join(&known);
                "an endpoint with requests without an answer is no longer listed"
            );
        }
        if self.lacks_paths(&target.service()) {
            // the paths of this process may have broken the connections
            return;
        }
        self.record_crash(target, &in_flight, "it is no longer listed", "");
    }

    fn record_crash(&self, target: &Target, in_flight: &[InFlight], evidence: &str, request: &str) {
        if in_flight.is_empty() {
            return;
        }
        let service = target.with(|state| Arc::clone(&state.profile.service));
        self.metrics.crashes.with_label_values(&[&*service]).inc();
        let fingerprints: Vec<Fingerprint> = in_flight
            .iter()
            .map(|request| request.fingerprint)
            .collect();
        log::warn!(
            request, endpoint = &*target.id.0, service = &*service, evidence,
            under_way = fingerprints.len(), contents = join(&fingerprints),
            written_ms = format_written(in_flight), parts = format_parts(in_flight);
            "an endpoint crashed with requests in flight"
        );
        self.crashes.record_crash(target.short_id, in_flight);
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
