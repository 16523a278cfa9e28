//! The gates of all endpoints. Each request in flight is counted at its endpoint's gate by a guard.
//!
//! See `docs/DESIGN.md#closing-an-endpoint`.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use protocol::gate::Gate;
use tokio::sync::Notify;

/// The identity of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
#[display("endpoint/{data_centre}/{number}")]
pub struct Id {
    pub data_centre: Arc<str>,
    /// The endpoint's number within its data centre.
    pub number: u32,
}

const SHARD_COUNT: usize = 16;

/// The gates of one shard, sorted by endpoint.
type Shard = Mutex<Vec<(Id, Gate)>>;

/// The gates of a daemon, in shards with a lock each.
#[derive(Clone, Debug)]
pub struct Gates(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    shards: [Shard; SHARD_COUNT],
    changed: Notify,
}

impl Default for Gates {
    fn default() -> Self {
        Self(Arc::new(Shared {
            shards: std::array::from_fn(|_| Mutex::default()),
            changed: Notify::new(),
        }))
    }
}

impl Gates {
    /// Registers a request in flight at an endpoint; `None` if the endpoint is closed.
    pub fn try_acquire(&self, id: &Id) -> Option<RequestGuard> {
        self.with_gate(id, Gate::acquire).then(|| RequestGuard {
            gates: self.clone(),
            id: id.clone(),
        })
    }

    /// Whether this daemon may dispatch to an endpoint.
    pub fn is_open(&self, id: &Id) -> bool {
        self.with_gate(id, |gate| gate.closed_for().is_none())
    }

    /// Returns the number of requests in flight at an endpoint.
    pub fn in_flight(&self, id: &Id) -> u32 {
        self.with_gate(id, |gate| gate.in_flight())
    }

    /// Closes an endpoint for an order; requests in flight continue.
    pub fn close(&self, id: &Id, number: u64) {
        self.with_gate(id, |gate| gate.close(number));
    }

    /// Closes an endpoint and waits until no request is in flight there. Returns whether that was reached
    /// within the timeout.
    pub async fn drain(&self, id: &Id, number: u64, timeout: Duration) -> bool {
        self.close(id, number);
        let drained = async {
            loop {
                let changed = self.0.changed.notified();
                tokio::pin!(changed);
                // enabled before the check, so that a release between the check and the wait is not missed
                changed.as_mut().enable();
                if self.with_gate(id, |gate| gate.is_drained(number)) {
                    return;
                }
                changed.await;
            }
        };
        tokio::time::timeout(timeout, drained).await.is_ok()
    }

    /// Opens an endpoint once the outcome of an order is known.
    pub fn open(&self, id: &Id, number: u64) {
        self.with_gate(id, |gate| gate.open(number));
        self.0.changed.notify_waiters();
    }

    /// Returns the closed endpoints with the numbers of the orders that they are closed for, sorted.
    pub fn closed(&self) -> Vec<(Id, u64)> {
        let mut closed: Vec<(Id, u64)> = Vec::new();
        for shard in &self.0.shards {
            let gates = lock(shard);
            closed.extend(
                gates
                    .iter()
                    .filter_map(|(id, gate)| Some((id.clone(), gate.closed_for()?))),
            );
        }
        closed.sort_unstable();
        closed
    }

    fn with_gate<T>(&self, id: &Id, f: impl FnOnce(&mut Gate) -> T) -> T {
        let mut gates = lock(&self.0.shards[id.number as usize % SHARD_COUNT]);
        let at = match gates.binary_search_by(|(other, _)| other.cmp(id)) {
            Ok(at) => at,
            Err(at) => {
                gates.insert(at, (id.clone(), Gate::default()));
                at
            }
        };
        f(&mut gates[at].1)
    }
}

fn lock(shard: &Shard) -> MutexGuard<'_, Vec<(Id, Gate)>> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}

/// One request in flight at an endpoint, released on drop.
#[derive(Debug)]
pub struct RequestGuard {
    gates: Gates,
    id: Id,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.gates.with_gate(&self.id, Gate::release);
        self.gates.0.changed.notify_waiters();
    }
}
