//! Endpoints at which this process has requests in flight.
//!
//! Their loads are collected many times a second for the digests to the peers, and they are few
//! among the thousands of a large fleet. See `docs/CAPACITY.md#gateways-on-a-platform`.

use std::sync::Arc;

use parking_lot::Mutex;

use super::{Load, Target};

/// Set of endpoints with requests in flight. One whose requests have all ended stays until the next
/// call of [`Self::loads`].
#[derive(Debug, Default)]
pub struct BusySet(Mutex<Vec<Arc<Target>>>);

impl BusySet {
    /// Adds an endpoint that had nothing in flight until now.
    pub(super) fn add(&self, target: &Arc<Target>) {
        self.0.lock().push(Arc::clone(target));
    }

    /// Returns this process's loads by the short id of the endpoint, sorted by id.
    #[must_use]
    pub fn loads(&self) -> Vec<(u32, Load)> {
        let mut busy = self.0.lock();
        let mut loads = Vec::with_capacity(busy.len());
        // an endpoint that becomes busy after its removal here is added again
        busy.retain(|target| {
            let load = target.with(|state| state.own_load);
            let in_flight = load != Load::default();
            if in_flight {
                loads.push((target.short_id, load));
            }
            in_flight
        });
        busy.sort_unstable_by_key(|target| target.short_id);
        busy.dedup_by(|a, b| Arc::ptr_eq(a, b));
        loads.sort_unstable_by_key(|(short_id, _)| *short_id);
        // an endpoint may be in the set twice; of two that share a short id only one load is
        // reported
        loads.dedup_by_key(|(short_id, _)| *short_id);
        loads
    }
}
