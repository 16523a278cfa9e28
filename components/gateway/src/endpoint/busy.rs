//! The endpoints at which this process has something under way.
//!
//! They are looked at many times a second to tell the peers, and are few among the thousands of a large
//! fleet. See `docs/CAPACITY.md#gateways-on-a-platform`.

use std::sync::Arc;

use parking_lot::Mutex;

use super::{Load, Target};

/// Endpoints with something under way. One whose work has ended stays until the next look.
#[derive(Debug, Default)]
pub struct BusySet(Mutex<Vec<Arc<Target>>>);

impl BusySet {
    /// Adds an endpoint that had nothing under way until now.
    pub(super) fn add(&self, target: &Arc<Target>) {
        self.0.lock().push(Arc::clone(target));
    }

    /// What is under way, by the short number of the endpoint.
    #[must_use]
    pub fn loads(&self) -> Vec<(u32, Load)> {
        let mut busy = self.0.lock();
        let mut loads = Vec::with_capacity(busy.len());
        // what begins now where everything had ended is added again
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
        // one that is there twice, or two that share a number, which would only blur their loads
        loads.dedup_by_key(|(short_id, _)| *short_id);
        loads
    }
}
