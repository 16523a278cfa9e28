//! Endpoints that end while requests are under way there. See `docs/DESIGN.md#requests-that-end-endpoints`.

use std::sync::Arc;

use clock::Instant;

use super::Gateway;
use crate::{endpoint::Target, request::Fingerprint};

/// The most requests that a line of the log names: as many as an engine of the first deployments runs at once.
const MOST_NAMED: usize = 48;

impl Gateway {
    /// Finds out whether an endpoint that broke a request's connection has ended, and notes what was under way there.
    pub async fn look_for_end(&self, target: &Arc<Target>, request: &str) {
        let contents = target.take_requests_if_terminated(Instant::now()).await;
        self.note_end(target, &contents, "it refuses connections", request);
    }

    /// Notes what was under way at an endpoint that is no longer listed, though it had not said that it leaves.
    pub fn note_lapsed(&self, target: &Arc<Target>) {
        let contents = target.with(|state| state.requests.take_broken(Instant::now()));
        self.note_end(target, &contents, "it is no longer listed", "");
    }

    fn note_end(&self, target: &Target, contents: &[Fingerprint], evidence: &str, request: &str) {
        if contents.is_empty() {
            return;
        }
        let service = target.with(|state| Arc::clone(&state.profile.service));
        self.metrics.ends.with_label_values(&[&*service]).inc();
        log::warn!(
            request, endpoint = &*target.id.0, service = &*service, evidence,
            under_way = contents.len(), contents = names(contents);
            "an endpoint ended with requests under way"
        );
        self.suspect_all(target.short_id, contents);
    }
}

fn names(contents: &[Fingerprint]) -> String {
    let named = contents.iter().take(MOST_NAMED);
    let named: Vec<String> = named.map(ToString::to_string).collect();
    named.join(" ")
}
