//! Selects the endpoints of a large fleet that this process uses.
//!
//! With thousands of endpoints and hundreds of processes, a process that considered every endpoint
//! for each request, and kept connections to all of them, would spend more on the choice than it
//! gains from it. Instead it uses a subset selected by rendezvous hashing: each process uses a
//! different one, and it changes little when an endpoint is added or removed. See
//! `docs/CAPACITY.md#gateways-on-a-platform`.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Target;

/// Maximum number of local endpoints of a large fleet that are used. Placement among this many is
/// nearly as good as among all, and the fleets of the first deployments (57 engines at most) are
/// used completely.
const MAX_LOCAL: usize = 64;
/// Number of remote endpoints that are used as well, as a fallback if no local one is left; more if
/// there are fewer than [`MAX_LOCAL`] local ones.
const MAX_REMOTE: usize = 32;

/// Selection of endpoints by a process.
#[derive(Debug, Default)]
pub struct Selector {
    seed: u64,
    data_centre: Box<str>,
}

impl Selector {
    /// Creates the selection of a named process in a data centre.
    pub fn new(process: &str, data_centre: &str) -> Self {
        Self {
            seed: xxh3_64_with_seed(process.as_bytes(), 0),
            data_centre: data_centre.into(),
        }
    }

    /// Returns the selected endpoints, in the order of the fleet; `None` if all of them are used.
    pub fn select(&self, fleet: &[Arc<Target>]) -> Option<Vec<Arc<Target>>> {
        if fleet.len() <= MAX_LOCAL + MAX_REMOTE {
            return None;
        }
        let (local, remote) = fleet.iter().partition(|target| {
            target.with(|state| *state.profile.data_centre == *self.data_centre)
        });
        let mut selected = self.take_highest(local, MAX_LOCAL);
        let remaining = MAX_LOCAL + MAX_REMOTE - selected.len();
        selected.extend(self.take_highest(remote, remaining));
        selected.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        Some(selected)
    }

    /// Returns the `count` endpoints with the highest hashes.
    fn take_highest(&self, mut targets: Vec<&Arc<Target>>, count: usize) -> Vec<Arc<Target>> {
        let hash = |target: &Arc<Target>| xxh3_64_with_seed(target.id.0.as_bytes(), self.seed);
        targets.sort_by_cached_key(|target| std::cmp::Reverse(hash(target)));
        targets.into_iter().take(count).map(Arc::clone).collect()
    }
}
