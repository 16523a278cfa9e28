//! Endpoints that crash with requests in flight. See `docs/DESIGN.md#requests-that-end-endpoints`.

use std::sync::Arc;

use clock::Instant;

use super::Gateway;
use crate::{endpoint::Target, request::Fingerprint};

/// Maximum number of requests named in a log line: as many as an engine of the first deployments runs
/// concurrently.
const MAX_LOGGED_REQUESTS: usize = 48;

impl Gateway {
    /// Checks whether an endpoint that broke a request's connection has crashed, and if so records the
    /// requests that were in flight there.
    pub async fn check_for_crash(&self, target: &Arc<Target>, request: &str) {
        let fingerprints = target.take_requests_if_crashed(Instant::now()).await;
        self.record_crash(target, &fingerprints, "it refuses connections", request);
    }

    /// Records the requests that were in flight at an endpoint whose entry disappeared from the list although
    /// it was not draining.
    pub fn record_unlisted(&self, target: &Arc<Target>) {
        let fingerprints = target.with(|state| state.requests.take_broken(Instant::now()));
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
