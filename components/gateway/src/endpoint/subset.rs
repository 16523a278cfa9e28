//! Which endpoints of a large fleet a process uses.
//!
//! With some thousand endpoints and some hundred processes, a process that weighed all of them for each
//! request, and had connections to all, would spend more on choosing than it gains. It uses a part that is
//! drawn by rendezvous hashing: each process another one, and little changes when an endpoint comes or
//! goes. See `docs/CAPACITY.md#gateways-on-a-platform`.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Target;

/// Endpoints of the own data centre that are used: placement among this many finds nearly what it would
/// find among all, and fleets of the first deployments (57 engines at most) are used whole.
const MAX_LOCAL: usize = 64;
/// Endpoints of other data centres that are used besides, for when the own one has none left.
const MAX_REMOTE: usize = 32;

/// How a process draws the endpoints that it uses.
#[derive(Debug, Default)]
pub struct Selector {
    seed: u64,
    data_centre: Box<str>,
}

impl Selector {
    /// The choice of a process with a name, in a data centre.
    pub fn new(process: &str, data_centre: &str) -> Self {
        Self {
            seed: xxh3_64_with_seed(process.as_bytes(), 0),
            data_centre: data_centre.into(),
        }
    }

    /// The endpoints of a fleet that are used, in the order of the fleet; none if all of them are.
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

    /// So many of some endpoints, those with the highest hashes.
    fn take_highest(&self, mut targets: Vec<&Arc<Target>>, count: usize) -> Vec<Arc<Target>> {
        let hash = |target: &Arc<Target>| xxh3_64_with_seed(target.id.0.as_bytes(), self.seed);
        targets.sort_by_cached_key(|target| std::cmp::Reverse(hash(target)));
        targets.into_iter().take(count).map(Arc::clone).collect()
    }
}
