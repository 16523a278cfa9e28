//! The endpoints of a service and the queue of requests in front of them.
//!
//! A pool lives as long as the process; a new settings version updates it in place. The decisions are made
//! by the `policy` crate. See `docs/DESIGN.md#routing`.

mod entry;
mod grant;
mod queue;
#[cfg(test)]
mod tests;

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
    time::{Duration, Instant},
};

use policy::{
    Micros,
    estimate::BatchLatency,
    load::{self, URGENT_PRIORITY},
    route::{self, Choice, Placement, Request, Weights},
    to_f64, to_u64,
};
use settings::tree::resolve;
use tokio::sync::{Notify, oneshot};

pub use entry::Entry;
pub use grant::{Grant, GrantedEngine};
use queue::{Queue, Ticket};

use super::{gates::Gates, members::Member};

/// Weight of a new response's length in the group's mean.
const MEAN_OUTPUT_WEIGHT: f64 = 0.1;
/// Longest time between two checks of the queue.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of groups whose first request is tried while none of them fits.
const MAX_GROUPS_TRIED: usize = 8;
/// Number of requests decoding together that the work of a response is estimated with.
const TYPICAL_BATCH_REQUESTS: u64 = 16;
/// Retry delay given to refused callers while no wait can be estimated.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_secs(2);

/// The requirements of a request for placement.
#[derive(Clone, Debug)]
pub struct Requirements {
    /// Index of the group in the settings version that admitted the request, and the group's name.
    pub group: (usize, String),
    /// Model, adapter and version.
    pub model: (String, String, String),
    /// Hashes of the prompt's blocks.
    pub blocks: Vec<u64>,
    pub prompt_tokens: u64,
    /// Tokens of the response that the caller has received, in earlier attempts.
    pub received_tokens: u64,
    /// Upper bound for the tokens of the response.
    pub max_output_tokens: u64,
    /// Priority; 9 is the highest.
    pub priority: u8,
    /// When the request must be complete.
    pub deadline: Instant,
    /// When the request must have been placed.
    pub start_by: Instant,
    /// Endpoints at which the request has failed.
    pub avoid: Vec<super::gates::Id>,
}

/// Why a request was not placed. It was not executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementError {
    /// It cannot complete before its deadline, it was not placed by its latest start, or its group was
    /// removed while it waited.
    WouldMissDeadline {
        /// Time after which a retry may succeed.
        retry_after: Duration,
    },
    QueueFull {
        /// Time after which a retry may succeed.
        retry_after: Duration,
    },
    /// No endpoint accepts requests.
    NoEndpoint {
        /// Time after which a retry may succeed.
        retry_after: Duration,
    },
}

#[derive(Debug)]
pub struct Pool {
    pub service: String,
    gates: Gates,
    started: Instant,
    data_centre: String,
    max_queued: usize,
    weights: Weights,
    queue: Mutex<Queue>,
    entries: Mutex<Vec<Entry>>,
    changed: Arc<Notify>,
}

impl Pool {
    /// Creates a pool without endpoints.
    pub fn new(service: &str, gates: Gates, data_centre: &str, max_queued: usize) -> Self {
        Self {
            service: service.to_owned(),
            gates,
            started: Instant::now(),
            data_centre: data_centre.to_owned(),
            max_queued,
            weights: Weights::default(),
            queue: Mutex::new(Queue::new()),
            entries: Mutex::default(),
            changed: Arc::new(Notify::new()),
        }
    }

    /// Applies the endpoints and groups of a new settings version.
    pub fn apply(&self, version: &resolve::ResolvedTree) {
        self.entries().retain_mut(|entry| {
            version
                .endpoint(&entry.id.data_centre, entry.id.number)
                .filter(|endpoint| endpoint.service == self.service)
                .is_some_and(|endpoint| entry.update(endpoint))
        });
        let has_reports = version
            .service(&self.service)
            .is_some_and(|service| service.kind == resolve::ServiceKind::Engines);
        for endpoint in &version.endpoints {
            if endpoint.service == self.service {
                self.add_endpoint(endpoint, has_reports);
            }
        }
        self.queue().regroup(version);
        self.changed.notify_one();
    }

    fn add_endpoint(&self, endpoint: &resolve::Endpoint, has_reports: bool) {
        let entry = Entry::new(endpoint, &self.data_centre, has_reports);
        let mut entries = self.entries();
        if let Err(at) = entries.binary_search_by(|other| other.id.cmp(&entry.id)) {
            entries.insert(at, entry);
        }
    }

    /// Places a request, at once or after it has waited in the queue.
    pub async fn place(
        self: &Arc<Self>,
        requirements: Requirements,
    ) -> Result<Grant, PlacementError> {
        // refuses a request that would miss its deadline even on an idle engine
        let output = self.queue().expected_output(&requirements);
        let unloaded_time =
            Duration::from_micros(self.estimate_unloaded_time(requirements.prompt_tokens, output));
        if Instant::now() + unloaded_time > requirements.deadline {
            return Err(PlacementError::WouldMissDeadline {
                retry_after: self.retry_after(),
            });
        }
        if let Some(grant) = self.try_place_now(&requirements) {
            return Ok(grant);
        }
        let (ticket, grant) = self.enqueue(requirements)?;
        let start_by = ticket.start_by;
        let waited = tokio::time::timeout_at(start_by.into(), grant).await;
        drop(ticket);
        match waited {
            Ok(Ok(grant)) => Ok(grant),
            _ => Err(PlacementError::WouldMissDeadline {
                retry_after: self.retry_after(),
            }),
        }
    }

    /// Places a request without waiting, unless queued requests go before it.
    fn try_place_now(self: &Arc<Self>, requirements: &Requirements) -> Option<Grant> {
        let urgent = requirements.priority >= URGENT_PRIORITY;
        let queue = self.queue();
        if !urgent && !queue.fair.is_empty() {
            return None;
        }
        let output = queue.expected_output(requirements);
        let grant = self.try_place(requirements, output)?;
        drop(queue);
        Some(grant)
    }

    fn enqueue(
        self: &Arc<Self>,
        mut requirements: Requirements,
    ) -> Result<(Ticket, oneshot::Receiver<Grant>), PlacementError> {
        let engines = self.available_endpoints();
        let mut queue = self.queue();
        if queue.waiters.len() >= self.max_queued {
            return Err(PlacementError::QueueFull {
                retry_after: self.retry_after(),
            });
        }
        let Some(group) = queue.group(&requirements.group.1) else {
            return Err(PlacementError::NoEndpoint {
                retry_after: NO_ENDPOINT_RETRY_AFTER,
            });
        };
        requirements.group.0 = group;
        let output = queue.expected_output(&requirements);
        let work = estimate_work(requirements.prompt_tokens, output);
        let wait = Duration::from_micros(queue.fair.estimate_wait(requirements.group.0, engines));
        let service =
            Duration::from_micros(self.estimate_unloaded_time(requirements.prompt_tokens, output));
        let now = Instant::now();
        if now + wait + service > requirements.deadline || now + wait > requirements.start_by {
            return Err(if engines == 0 {
                PlacementError::NoEndpoint {
                    retry_after: NO_ENDPOINT_RETRY_AFTER,
                }
            } else {
                PlacementError::WouldMissDeadline {
                    retry_after: wait.max(self.retry_after()),
                }
            });
        }
        let (sender, receiver) = oneshot::channel();
        let ticket = queue.push(self, requirements, work, sender);
        drop(queue);
        self.changed.notify_one();
        Ok((ticket, receiver))
    }

    /// Places queued requests while engines accept them. Returns when the pool is dropped.
    pub async fn run_queue(pool: Weak<Self>) {
        while let Some(changed) = pool.upgrade().map(|pool| Arc::clone(&pool.changed)) {
            // the timeout ends this task after the pool has been dropped
            let _ = tokio::time::timeout(QUEUE_CHECK_INTERVAL, changed.notified()).await;
            if let Some(pool) = pool.upgrade() {
                pool.grant_waiting();
            }
        }
    }

    fn grant_waiting(self: &Arc<Self>) {
        let mut queue = self.queue();
        while self.grant_next(&mut queue) {}
    }

    /// Places the first queued request that fits. Returns whether there was one.
    fn grant_next(self: &Arc<Self>, queue: &mut Queue) -> bool {
        for (group, queued) in queue.fair.peek(MAX_GROUPS_TRIED) {
            let Some(at) = queue.find(queued.id) else {
                continue;
            };
            let output = queue.expected_output(&queue.waiters[at].requirements);
            let Some(grant) = self.try_place(&queue.waiters[at].requirements, output) else {
                continue;
            };
            queue.fair.pop(group);
            let waiter = queue.waiters.remove(at);
            // if the request was cancelled, the grant is dropped here and thereby released
            let _ = waiter.grant.send(grant);
            return true;
        }
        false
    }

    fn try_place(self: &Arc<Self>, requirements: &Requirements, output: u64) -> Option<Grant> {
        let mut entries = self.entries();
        let (indices, candidates) = self.candidates(&entries, requirements);
        let request = Request {
            prompt_tokens: requirements.prompt_tokens,
            expected_output_tokens: output,
            urgent: requirements.priority >= URGENT_PRIORITY,
            interactive: load::priority_class(requirements.priority) > 0,
        };
        let choice = route::choose(&candidates, &request, &self.weights, rand::random())?;
        let engines = self.reserve(&mut entries, &indices, &choice, requirements)?;
        Some(Grant::new(Arc::clone(self), engines))
    }

    /// Returns the engines that can take a request, with their indices into `entries`. Engines at which the
    /// request has failed are only included if there is no other.
    fn candidates(
        &self,
        entries: &[Entry],
        requirements: &Requirements,
    ) -> (Vec<usize>, Vec<route::Engine>) {
        let eligible =
            |entry: &Entry| entry.can_serve(requirements) && self.gates.is_open(&entry.id);
        let preferred = |entry: &Entry| eligible(entry) && !requirements.avoid.contains(&entry.id);
        let any_preferred = entries.iter().any(preferred);
        entries
            .iter()
            .enumerate()
            .filter(|(_, entry)| {
                if any_preferred {
                    preferred(entry)
                } else {
                    eligible(entry)
                }
            })
            .map(|(at, entry)| (at, entry.to_engine_for(requirements)))
            .unzip()
    }

    fn reserve(
        &self,
        entries: &mut [Entry],
        indices: &[usize],
        choice: &Choice,
        requirements: &Requirements,
    ) -> Option<Vec<GrantedEngine>> {
        let order: &[usize] = match &choice.placement {
            Placement::Single { engine } => &[*engine],
            Placement::Split { prefill, decode } => &[*prefill, *decode],
        };
        let mut engines = Vec::with_capacity(order.len());
        for (nth, engine) in order.iter().enumerate() {
            let entry = &mut entries[indices[*engine]];
            let guard = self.gates.try_acquire(&entry.id)?;
            let prefill_tokens = if nth == 0 {
                requirements.prompt_tokens
            } else {
                0
            };
            let decodes = nth + 1 == order.len();
            engines.push(GrantedEngine::new(
                entry,
                guard,
                prefill_tokens,
                load::priority_class(requirements.priority),
                decodes,
            ));
        }
        // the load is only counted once all guards are acquired
        for engine in &mut engines {
            engine.add_load(entries);
        }
        Some(engines)
    }

    /// Returns the number of endpoints that accept requests now.
    pub fn available_endpoints(&self) -> u64 {
        let entries = self.entries();
        let available = entries
            .iter()
            .filter(|entry| entry.accepts_requests() && self.gates.is_open(&entry.id));
        u64::try_from(available.count()).unwrap_or(0)
    }

    /// Returns the time after which a refused caller should retry.
    pub fn retry_after(&self) -> Duration {
        let entries = self.entries();
        let candidates: Vec<route::Engine> = entries
            .iter()
            .filter(|entry| entry.accepts_requests())
            .map(|entry| entry.to_engine(0))
            .collect();
        drop(entries);
        route::estimate_shortest_prefill_wait(&candidates, &self.weights)
            .map_or(NO_ENDPOINT_RETRY_AFTER, |us| {
                Duration::from_micros(to_u64(us)).max(Duration::from_secs(1))
            })
    }

    fn estimate_unloaded_time(&self, prompt: u64, output: u64) -> Micros {
        let latency = self
            .entries()
            .iter()
            .find(|entry| entry.accepts_requests())
            .map_or_else(BatchLatency::default, |entry| entry.latency);
        to_u64(
            to_f64(prompt) * latency.prefill_token_us + to_f64(output) * latency.inter_token_us(1),
        )
    }

    /// Records the length of a complete response.
    pub fn record_output_length(&self, group: &str, output: u64) {
        let mut queue = self.queue();
        if let Ok(at) = queue
            .groups
            .binary_search_by(|name| name.as_str().cmp(group))
        {
            let mean = &mut queue.mean_outputs[at];
            *mean += MEAN_OUTPUT_WEIGHT * (to_f64(output) - *mean);
        }
    }

    /// Charges groups for the work that peers have given them.
    pub fn charge_peer_usage(&self, usages: &[wire::Usage]) {
        let mut queue = self.queue();
        for usage in usages {
            if let Ok(at) = queue
                .groups
                .binary_search_by(|name| name.as_str().cmp(&usage.group))
            {
                queue.fair.charge(at, usage.work);
            }
        }
    }

    /// Records the dispatches of the reachable peers.
    pub fn update_peer_loads(&self, reachable: &[Member]) {
        for entry in self.entries().iter_mut() {
            entry.update_peer_loads(reachable);
        }
        self.changed.notify_one();
    }

    /// Calls `f` on the entry of an endpoint, if it is part of this pool.
    pub fn with_entry<T>(
        &self,
        id: &super::gates::Id,
        f: impl FnOnce(&mut Entry) -> T,
    ) -> Option<T> {
        let mut entries = self.entries();
        let at = entries.binary_search_by(|entry| entry.id.cmp(id)).ok()?;
        Some(f(&mut entries[at]))
    }

    pub fn snapshot(&self) -> Vec<Entry> {
        self.entries().clone()
    }

    /// Triggers a check of the queue after a change.
    pub fn wake(&self) {
        self.changed.notify_one();
    }

    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn entries(&self) -> MutexGuard<'_, Vec<Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn micros(&self, at: Instant) -> Micros {
        let since = at.saturating_duration_since(self.started);
        Micros::try_from(since.as_micros()).unwrap_or(Micros::MAX)
    }
}

/// Estimates the work of a request, in microseconds of engine time.
pub fn estimate_work(prompt: u64, output: u64) -> Micros {
    let latency = BatchLatency::default();
    let each = latency.inter_token_us(TYPICAL_BATCH_REQUESTS) / to_f64(TYPICAL_BATCH_REQUESTS);
    to_u64(to_f64(prompt) * latency.prefill_token_us + to_f64(output) * each)
}
