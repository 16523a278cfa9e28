//! Endpoints that crash with requests in flight. See `docs/DESIGN.md#requests-that-end-endpoints`.

use std::{sync::Arc, time::Duration};

use clock::Instant;

use super::Gateway;
use crate::{
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

impl Gateway {
    /// Checks whether an endpoint that broke a request's connection has crashed, and if so records the
    /// requests that were in flight there.
    pub async fn check_for_crash(&self, target: &Arc<Target>, request: &str) {
        let since = Instant::now().checked_sub(LISTEN_CHECK_TTL);
        self.has_crashed_since(target, request, since.unwrap_or_else(Instant::now))
            .await;
    }

    /// Whether an endpoint that ended a request's connection in an orderly way has crashed. If so,
    /// records the requests that were in flight there.
    pub async fn has_crashed(&self, target: &Arc<Target>, request: &str) -> bool {
        self.has_crashed_since(target, request, Instant::now())
            .await
    }

    async fn has_crashed_since(&self, target: &Arc<Target>, request: &str, since: Instant) -> bool {
        let confirm = async || probe::confirms_crash(self, target).await;
        match target.check_for_crash(since, confirm).await {
            CrashCheck::PathLost => {
                self.drop_connections_without_path(&target.service());
                false
            }
            CrashCheck::NotCrashed => {
                if self.lacks_paths(&target.service()) {
                    target.with(|state| state.requests.forget_broken());
                }
                false
            }
            CrashCheck::Crashed(fingerprints) => {
                self.record_crash(target, &fingerprints, "it refuses connections", request);
                true
            }
        }
    }

    /// Records the requests that were in flight at an endpoint whose entry disappeared from the list although
    /// it was not draining.
    pub fn record_unlisted(&self, target: &Arc<Target>) {
        let fingerprints = target.with(|state| state.requests.take_broken(Instant::now()));
        if self.lacks_paths(&target.service()) {
            // the paths of this process may have broken the connections
            return;
        }
        self.record_crash(target, &fingerprints, "it is no longer listed", "");
    }

    fn record_crash(
        &self,
        target: &Target,
        fingerprints: &[Fingerprint],
        evidence: &str,
        request: &str,
    ) {
        if fingerprints.is_empty() {
            return;
        }
        let service = target.with(|state| Arc::clone(&state.profile.service));
        self.metrics.crashes.with_label_values(&[&*service]).inc();
        log::warn!(
            request, endpoint = &*target.id.0, service = &*service, evidence,
            under_way = fingerprints.len(), contents = join(fingerprints);
            "an endpoint crashed with requests in flight"
        );
        self.suspect_all(target.short_id, fingerprints);
    }
}

fn join(fingerprints: &[Fingerprint]) -> String {
    let logged = fingerprints.iter().take(MAX_LOGGED_REQUESTS);
    let logged: Vec<String> = logged.map(ToString::to_string).collect();
    logged.join(" ")
}
