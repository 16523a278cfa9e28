//! Guards of the requests in flight at an endpoint.

use std::sync::Arc;

use super::Target;
use crate::{crashes::Interruption, request::Fingerprint};

/// A request in flight at an endpoint. Dropping it records a cancellation.
#[derive(Debug)]
pub struct RequestGuard {
    target: Arc<Target>,
    number: u64,
    suspect: bool,
}

impl RequestGuard {
    /// Records a request that is about to be sent to an endpoint. `suspect` tells whether other
    /// endpoints have crashed while running it.
    #[must_use]
    pub fn new(
        target: &Arc<Target>,
        fingerprint: Fingerprint,
        parts: &Arc<[u64]>,
        suspect: bool,
    ) -> Self {
        target.add_load(|load| load.suspects += u64::from(suspect));
        Self {
            target: Arc::clone(target),
            number: target.with(|state| state.requests.insert(fingerprint, parts)),
            suspect,
        }
    }

    /// Records that the endpoint has begun to write the answer.
    pub fn record_first_event(&self) {
        self.target
            .with(|state| state.requests.record_first_event(self.number));
    }

    /// Records that the endpoint gave a complete answer, or never began to process the request.
    pub fn finish(self) {
        self.target.with(|state| state.requests.remove(self.number));
    }

    /// Records that the connection broke.
    pub fn connection_broke(self) {
        self.interrupt(Interruption::ConnectionBroken);
    }

    fn interrupt(&self, interruption: Interruption) {
        self.target.record_interruption(self.number, interruption);
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.interrupt(Interruption::Cancelled);
        self.target
            .with(|state| state.own_load.suspects -= u64::from(self.suspect));
    }
}
