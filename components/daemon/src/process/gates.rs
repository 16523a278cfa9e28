//! Gates of all endpoints: a hold for each request in flight, released by its guard's `Drop`.
//!
//! See `docs/DESIGN.md#closing-an-endpoint`.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use protocol::gate::Gate;
use tokio::sync::Notify;

/// An endpoint's name: data centre and number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
#[display("endpoint/{data_centre}/{number}")]
pub struct Id {
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Its number there.
    pub number: u32,
}

const SHARDS: usize = 16;

/// One shard's gates, sorted by endpoint.
type Shard = Mutex<Vec<(Id, Gate)>>;

/// The gates of a daemon, in shards, each under its own lock.
#[derive(Clone, Debug)]
pub struct Gates(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    shards: [Shard; SHARDS],
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
    /// Takes a hold; none when the endpoint is closed.
    pub fn hold(&self, id: &Id) -> Option<Hold> {
        self.with(id, Gate::acquire).then(|| Hold {
            gates: self.clone(),
            id: id.clone(),
        })
    }

    /// Whether an endpoint is open here.
    pub fn is_open(&self, id: &Id) -> bool {
        self.with(id, |gate| gate.closed_for().is_none())
    }

    /// Requests in flight to an endpoint.
    pub fn in_flight(&self, id: &Id) -> u32 {
        self.with(id, |gate| gate.in_flight())
    }

    /// Closes an endpoint for an order; requests in flight go on.
    pub fn close(&self, id: &Id, number: u64) {
        self.with(id, |gate| gate.close(number));
    }

    /// Closes an endpoint and waits for its last hold. Says whether it is closed with none left.
    pub async fn drain(&self, id: &Id, number: u64, wait: Duration) -> bool {
        self.close(id, number);
        let empty = async {
            loop {
                let changed = self.0.changed.notified();
                tokio::pin!(changed);
                // registered before the look, so that no release falls between the two
                changed.as_mut().enable();
                if self.with(id, |gate| gate.is_drained(number)) {
                    return;
                }
                changed.await;
            }
        };
        tokio::time::timeout(wait, empty).await.is_ok()
    }

    /// Opens an endpoint after an order's outcome is known.
    pub fn open(&self, id: &Id, number: u64) {
        self.with(id, |gate| gate.open(number));
        self.0.changed.notify_waiters();
    }

    /// The endpoints that are closed, with the order's number.
    pub fn closed(&self) -> Vec<(Id, u64)> {
        let mut closed: Vec<(Id, u64)> = Vec::new();
        for shard in &self.0.shards {
            let rows = lock(shard);
            closed.extend(
                rows.iter()
                    .filter_map(|(id, gate)| Some((id.clone(), gate.closed_for()?))),
            );
        }
        closed.sort_unstable();
        closed
    }

    fn with<T>(&self, id: &Id, f: impl FnOnce(&mut Gate) -> T) -> T {
        let mut rows = lock(&self.0.shards[id.number as usize % SHARDS]);
        let at = match rows.binary_search_by(|(other, _)| other.cmp(id)) {
            Ok(at) => at,
            Err(at) => {
                rows.insert(at, (id.clone(), Gate::default()));
                at
            }
        };
        f(&mut rows[at].1)
    }
}

fn lock(shard: &Shard) -> MutexGuard<'_, Vec<(Id, Gate)>> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}

/// One request in flight to an endpoint.
#[derive(Debug)]
pub struct Hold {
    gates: Gates,
    id: Id,
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.gates.with(&self.id, Gate::release);
        self.gates.0.changed.notify_waiters();
    }
}
