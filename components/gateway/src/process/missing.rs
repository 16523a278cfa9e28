//! Endpoints that are missing from the list after an outage of the store.
//!
//! Entries may have expired while the store was unavailable, and reappear soon after its recovery if their
//! endpoints are alive. Such endpoints are therefore not removed at once, unless the store was unavailable
//! for this process only. See `docs/PLATFORM.md#after-an-outage-of-the-store`.

use std::time::Duration;

use clock::Instant;

use super::Gateway;
use crate::{adapters::Change, endpoint::Id};

/// How long after the store's recovery an expired entry may take to reappear if its endpoint is alive; after
/// that the endpoint counts as gone. The time that the platform specifies, and a margin for the time until
/// the change arrives here.
const REAPPEAR_TIMEOUT: Duration = Duration::from_millis(2_200);
/// How often to check whether peers report that the store was never unavailable: their heartbeat interval.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The interval between checks when no endpoint is missing.
const IDLE_INTERVAL: Duration = Duration::from_secs(3600);

/// The missing endpoints, each with the time at which it was found missing.
#[derive(Debug, Default)]
pub struct Missing(Vec<(Id, Instant)>);

impl Missing {
    /// Adds a missing endpoint; one that is missing already keeps its time.
    pub fn add(&mut self, id: &Id) {
        if !self.0.iter().any(|(missing, _)| missing == id) {
            log::info!(endpoint = &*id.0; "an endpoint is missing after an outage of the store");
            self.0.push((id.clone(), Instant::now()));
        }
    }

    /// Removes an endpoint about which a newer change is known.
    pub fn remove(&mut self, id: &Id) {
        self.0.retain(|(missing, _)| missing != id);
    }

    /// Returns when to check again.
    pub fn next_check(&self) -> Instant {
        Instant::now()
            + if self.0.is_empty() {
                IDLE_INTERVAL
            } else {
                POLL_INTERVAL
            }
    }

    /// Removes the endpoints that will not reappear, and returns their removals from the list.
    pub fn take_gone(&mut self, gateway: &Gateway) -> Vec<Change> {
        let now = Instant::now();
        let available_since = [
            gateway.store_available_since(),
            gateway.peers.store_available_since(),
        ];
        let available_since = available_since.into_iter().flatten().min();
        let (gone, still_missing) = std::mem::take(&mut self.0)
            .into_iter()
            .partition(|(_, since)| is_gone(*since, available_since, now));
        self.0 = still_missing;
        let gone: Vec<(Id, Instant)> = gone;
        gone.into_iter().map(|(id, _)| Change::Gone(id)).collect()
    }
}

/// Whether an endpoint missing since `missing_since` will not reappear. The store has answered some gateway
/// since `available_since`, so it recovered from its last outage no later than then.
fn is_gone(missing_since: Instant, available_since: Option<Instant>, now: Instant) -> bool {
    let recovered = available_since.map_or(missing_since, |available_since| {
        available_since.min(missing_since)
    });
    now.duration_since(recovered) >= REAPPEAR_TIMEOUT
}
