//! Endpoints that left requests of this process without an answer a short time ago. If one of them crashes, a request that nobody
//! waits for any more may be the cause, and then no connection of a request breaks that would show the crash.

use std::sync::Arc;

use clock::Instant;
use parking_lot::Mutex;
use tokio::sync::Notify;

use super::Target;

/// Set of these endpoints.
#[derive(Debug, Default)]
pub struct InterruptedSet {
    targets: Mutex<Vec<Arc<Target>>>,
    added: Notify,
}

impl InterruptedSet {
    /// Adds an endpoint that has just left a request without an answer.
    pub(super) fn add(&self, target: &Arc<Target>) {
        let mut targets = self.targets.lock();
        if !targets.iter().any(|other| Arc::ptr_eq(other, target)) {
            targets.push(Arc::clone(target));
        }
        self.added.notify_one();
    }

    /// Returns the endpoints with requests that may be the cause of a crash, and drops the others.
    #[must_use]
    pub fn current(&self) -> Vec<Arc<Target>> {
        let now = Instant::now();
        let mut targets = self.targets.lock();
        targets.retain(|target| target.with(|state| state.requests.has_unanswered(now)));
        targets.clone()
    }

    /// Waits until an endpoint is added.
    pub async fn wait_for_addition(&self) {
        self.added.notified().await;
    }
}
