//! Detects endpoints that this process can no longer reach, and reconnects to them in the background.
//!
//! Requests thus neither detect one by one that a network has failed, nor serve as probes of whether it
//! works again. See `docs/DESIGN.md#paths-to-endpoints`.

use std::{sync::Arc, time::Duration};

use clock::Instant;
use tokio::task::JoinSet;

use super::Gateway;
use crate::endpoint::{Fleet, Target};

/// Interval between two checks which endpoints an attempt to reconnect is due for.
const RECONNECT_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Maximum number of concurrent attempts to reconnect.
const MAX_CONCURRENT_RECONNECTS: usize = 32;
/// When a path is lost, those of the other endpoints of its service are checked too, unless they have
/// sent something within this time. Several times the round trip to the farthest one.
const RECENT_RESPONSE: Duration = Duration::from_millis(100);

/// Reconnects lost paths until the process ends.
pub async fn run(gateway: Arc<Gateway>) {
    let lost_paths = gateway.registry.lost_paths();
    let mut reconnects = JoinSet::new();
    loop {
        let lost = lost_paths.current();
        if lost.is_empty() {
            tokio::select! {
                () = lost_paths.wait_for_loss() => gateway.check_affected_services(),
                () = gateway.forwarding.close_idle() => {}
            }
            continue;
        }
        while reconnects.try_join_next().is_some() {}
        let now = Instant::now();
        let due = lost
            .into_iter()
            .filter(|target| target.is_reconnect_due(now));
        for target in due.take(MAX_CONCURRENT_RECONNECTS.saturating_sub(reconnects.len())) {
            reconnects.spawn(async move { target.check_path().await });
        }
        tokio::select! {
            () = clock::sleep(RECONNECT_POLL_INTERVAL) => {}
            () = lost_paths.wait_for_loss() => gateway.check_affected_services(),
        }
    }
}

impl Gateway {
    /// Checks the path to an endpoint that has not answered a request sent at `sent_at`. If nothing has
    /// come from the rest of its service either, the other paths are checked at the same time.
    pub async fn check_silent_path(&self, target: &Arc<Target>, sent_at: Instant) {
        if !self.have_others_responded(target, sent_at) {
            self.check_siblings(target);
        }
        target.check_path().await;
    }

    /// Whether any endpoint of a service other than `target` has sent something since `since`.
    pub fn have_others_responded(&self, target: &Arc<Target>, since: Instant) -> bool {
        let fleet = self.siblings(target);
        let mut others = fleet
            .subset()
            .iter()
            .filter(|other| !Arc::ptr_eq(other, target));
        others.any(|other| other.last_response().is_some_and(|at| at >= since))
    }

    /// Checks the other paths of each service that has lost one.
    fn check_affected_services(&self) {
        let mut lost = self.registry.lost_paths().current();
        lost.sort_by_cached_key(|target| target.service());
        lost.dedup_by_key(|target| target.service());
        for target in lost {
            self.check_siblings(&target);
        }
    }

    /// Starts to check the paths to the other endpoints of a service from which nothing has come lately.
    fn check_siblings(&self, target: &Arc<Target>) {
        let now = Instant::now();
        for other in self.siblings(target).subset() {
            let responded = other.last_response();
            let is_silent =
                responded.is_none_or(|at| now.saturating_duration_since(at) > RECENT_RESPONSE);
            if is_silent && !Arc::ptr_eq(other, target) && other.may_check_path(now) {
                let other = Arc::clone(other);
                tokio::spawn(async move { other.check_path().await });
            }
        }
    }

    /// Drops the idle connections to the endpoints of a service to which no new ones can be opened, after an open
    /// connection broke there: the network that refuses new ones resets open ones too.
    pub(super) fn drop_connections_without_path(&self, service: &str) {
        let fleet = self.registry.fleet(service);
        for target in fleet.subset().iter().filter(|target| target.is_path_lost()) {
            target.drop_idle_connections();
        }
    }

    fn siblings(&self, target: &Target) -> Fleet {
        self.registry.fleet(&target.service())
    }
}
