//! The endpoints of a service, with the queue before them.
//!
//! Lives as long as the process; a new settings version changes it in place. The decisions are
//! those of the `policy` crate. See `docs/DESIGN.md#routing`.

mod entry;
mod grant;
mod line;

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
pub use grant::{Grant, Place};
use line::{Line, Ticket};

use super::{gates::Gates, members::Member};

/// Weight of a new answer's length in a group's average.
const OUTPUT_WEIGHT: f64 = 0.1;
/// Longest time between two looks at the queue.
const LOOK: Duration = Duration::from_millis(500);
/// How many groups are tried in turn when the first one's request doesn't fit.
const HEADS: usize = 8;
/// How many write together when the work of an answer is estimated.
const USUAL_BATCH: u64 = 16;
/// When nothing is known, callers are told to come back after this long.
const COME_BACK: Duration = Duration::from_secs(2);

/// What a request needs of an engine.
#[derive(Clone, Debug)]
pub struct Need {
    /// Index of its group in the version that admitted it, and the group's name.
    pub group: (usize, String),
    /// Model, adapter and version.
    pub weights: (String, String, String),
    /// Hashes of its prompt's blocks.
    pub blocks: Vec<u64>,
    /// Tokens of its prompt.
    pub prompt: u64,
    /// Most tokens that it may write.
    pub most_output: u64,
    /// 9 goes first.
    pub priority: u8,
    /// When it must be done.
    pub deadline: Instant,
    /// When its turn must have come.
    pub start_by: Instant,
    /// Engines that have failed it.
    pub avoid: Vec<super::gates::Id>,
}

/// Why a request got no engine. It did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unplaced {
    /// It can't meet its deadline.
    Late {
        /// When trying again may help.
        after: Duration,
    },
    /// The queue is full.
    Full {
        /// When trying again may help.
        after: Duration,
    },
    /// No engine takes requests.
    NoEndpoint {
        /// When trying again may help.
        after: Duration,
    },
}

/// The endpoints of one service.
#[derive(Debug)]
pub struct Pool {
    /// The service's name.
    pub service: String,
    gates: Gates,
    started: Instant,
    data_centre: String,
    most_waiting: usize,
    weights: Weights,
    line: Mutex<Line>,
    entries: Mutex<Vec<Entry>>,
    freed: Arc<Notify>,
}

impl Pool {
    /// A pool without endpoints.
    pub fn new(service: &str, gates: Gates, data_centre: &str, most_waiting: usize) -> Self {
        Self {
            service: service.to_owned(),
            gates,
            started: Instant::now(),
            data_centre: data_centre.to_owned(),
            most_waiting,
            weights: Weights::default(),
            line: Mutex::new(Line::new()),
            entries: Mutex::default(),
            freed: Arc::new(Notify::new()),
        }
    }

    /// Takes the endpoints and groups of a new settings version.
    pub fn apply(&self, version: &resolve::ResolvedTree) {
        self.entries().retain_mut(|entry| {
            version
                .endpoint(&entry.id.data_centre, entry.id.number)
                .filter(|endpoint| endpoint.service == self.service)
                .is_some_and(|endpoint| entry.update(endpoint))
        });
        let reports = version
            .service(&self.service)
            .is_some_and(|service| service.kind == resolve::ServiceKind::Engines);
        for endpoint in &version.endpoints {
            if endpoint.service == self.service {
                self.adopt(endpoint, reports);
            }
        }
        self.line().regroup(version);
        self.freed.notify_one();
    }

    fn adopt(&self, endpoint: &resolve::Endpoint, reports: bool) {
        let entry = Entry::new(endpoint, &self.data_centre, reports);
        let mut entries = self.entries();
        if let Err(at) = entries.binary_search_by(|other| other.id.cmp(&entry.id)) {
            entries.insert(at, entry);
        }
    }

    /// Gives a request its engines, at once or after it has waited its turn.
    pub async fn place(self: &Arc<Self>, need: Need) -> Result<Grant, Unplaced> {
        // even alone on an engine it would come too late
        let output = self.line().expected_output(&need);
        let alone = Duration::from_micros(self.alone(need.prompt, output));
        if Instant::now() + alone > need.deadline {
            return Err(Unplaced::Late {
                after: self.come_back(),
            });
        }
        if let Some(grant) = self.try_now(&need) {
            return Ok(grant);
        }
        let (ticket, grant) = self.enqueue(need)?;
        let start_by = ticket.start_by;
        let waited = tokio::time::timeout_at(start_by.into(), grant).await;
        drop(ticket);
        match waited {
            Ok(Ok(grant)) => Ok(grant),
            _ => Err(Unplaced::Late {
                after: self.come_back(),
            }),
        }
    }

    /// Places a request without waiting, unless others wait that go before it.
    fn try_now(self: &Arc<Self>, need: &Need) -> Option<Grant> {
        let urgent = need.priority >= URGENT_PRIORITY;
        let line = self.line();
        if !urgent && !line.queue.is_empty() {
            return None;
        }
        let output = line.expected_output(need);
        let grant = self.try_place(need, output)?;
        drop(line);
        Some(grant)
    }

    fn enqueue(
        self: &Arc<Self>,
        need: Need,
    ) -> Result<(Ticket, oneshot::Receiver<Grant>), Unplaced> {
        let engines = self.serving();
        let mut line = self.line();
        if line.waiters.len() >= self.most_waiting {
            return Err(Unplaced::Full {
                after: self.come_back(),
            });
        }
        let output = line.expected_output(&need);
        let work = work(need.prompt, output);
        let wait = Duration::from_micros(line.queue.estimate_wait(need.group.0, engines));
        let service = Duration::from_micros(self.alone(need.prompt, output));
        let now = Instant::now();
        if now + wait + service > need.deadline || now + wait > need.start_by {
            return Err(if engines == 0 {
                Unplaced::NoEndpoint { after: COME_BACK }
            } else {
                Unplaced::Late {
                    after: wait.max(self.come_back()),
                }
            });
        }
        let (sender, receiver) = oneshot::channel();
        let ticket = line.push(self, need, work, sender);
        drop(line);
        self.freed.notify_one();
        Ok((ticket, receiver))
    }

    /// Hands out engines to those that wait, until the engines are full or nobody waits.
    /// Ends when the pool is gone.
    pub async fn pump(pool: Weak<Self>) {
        while let Some(freed) = pool.upgrade().map(|pool| Arc::clone(&pool.freed)) {
            // the look from time to time ends the task of a pool that is gone
            let _ = tokio::time::timeout(LOOK, freed.notified()).await;
            if let Some(pool) = pool.upgrade() {
                pool.hand_out();
            }
        }
    }

    fn hand_out(self: &Arc<Self>) {
        let mut line = self.line();
        while self.hand_out_one(&mut line) {}
    }

    /// Gives the first request that fits its engine; says whether there was one.
    fn hand_out_one(self: &Arc<Self>, line: &mut Line) -> bool {
        for (group, waiting) in line.queue.peek(HEADS) {
            let Some(at) = line.find(waiting.id) else {
                continue;
            };
            let output = line.expected_output(&line.waiters[at].need);
            let Some(grant) = self.try_place(&line.waiters[at].need, output) else {
                continue;
            };
            line.queue.pop(group);
            let waiter = line.waiters.remove(at);
            // one that hung up gives its grant back by dropping it
            let _ = waiter.grant.send(grant);
            return true;
        }
        false
    }

    fn try_place(self: &Arc<Self>, need: &Need, output: u64) -> Option<Grant> {
        let mut entries = self.entries();
        let (at, view) = self.view(&entries, need);
        let ask = Request {
            prompt_tokens: need.prompt,
            expected_output_tokens: output,
            urgent: need.priority >= URGENT_PRIORITY,
            interactive: load::priority_class(need.priority) > 0,
        };
        let choice = route::choose(&view, &ask, &self.weights, rand::random())?;
        let places = self.hold(&mut entries, &at, &choice, need)?;
        Some(Grant::new(Arc::clone(self), places))
    }

    /// The engines that may take a request, with their indices among the entries. One that has
    /// failed the request gets it again only where there is no other.
    fn view(&self, entries: &[Entry], need: &Need) -> (Vec<usize>, Vec<route::Engine>) {
        let fit = |entry: &Entry| entry.serves(need) && self.gates.is_open(&entry.id);
        let fresh = |entry: &Entry| fit(entry) && !need.avoid.contains(&entry.id);
        let any_fresh = entries.iter().any(fresh);
        entries
            .iter()
            .enumerate()
            .filter(|(_, entry)| if any_fresh { fresh(entry) } else { fit(entry) })
            .map(|(at, entry)| (at, entry.seen(need)))
            .unzip()
    }

    fn hold(
        &self,
        entries: &mut [Entry],
        at: &[usize],
        choice: &Choice,
        need: &Need,
    ) -> Option<Vec<Place>> {
        let order: &[usize] = match &choice.placement {
            Placement::Single { engine } => &[*engine],
            Placement::Split { prefill, decode } => &[*prefill, *decode],
        };
        let mut places = Vec::with_capacity(order.len());
        for (nth, engine) in order.iter().enumerate() {
            let entry = &mut entries[at[*engine]];
            let hold = self.gates.hold(&entry.id)?;
            let reading = if nth == 0 { need.prompt } else { 0 };
            let writes = nth + 1 == order.len();
            places.push(Place::new(
                entry,
                hold,
                reading,
                load::priority_class(need.priority),
                writes,
            ));
        }
        // counted only after all holds were had
        for place in &mut places {
            place.count(entries);
        }
        Some(places)
    }

    /// Engines that take requests now.
    pub fn serving(&self) -> u64 {
        let entries = self.entries();
        let serving = entries
            .iter()
            .filter(|entry| entry.takes() && self.gates.is_open(&entry.id));
        u64::try_from(serving.count()).unwrap_or(0)
    }

    /// When a caller that was turned away should try again.
    pub fn come_back(&self) -> Duration {
        let entries = self.entries();
        let view: Vec<route::Engine> = entries
            .iter()
            .filter(|entry| entry.takes())
            .map(|entry| entry.bare(0))
            .collect();
        drop(entries);
        route::estimate_shortest_wait(&view, &self.weights).map_or(COME_BACK, |us| {
            Duration::from_micros(to_u64(us)).max(Duration::from_secs(1))
        })
    }

    fn alone(&self, prompt: u64, output: u64) -> Micros {
        let rates = self
            .entries()
            .iter()
            .find(|entry| entry.takes())
            .map_or_else(BatchLatency::default, |entry| entry.rates);
        to_u64(to_f64(prompt) * rates.prefill_token_us + to_f64(output) * rates.inter_token_us(1))
    }

    /// Notes the end of a whole answer.
    pub fn finished(&self, group: &str, output: u64) {
        let mut line = self.line();
        if let Ok(at) = line
            .groups
            .binary_search_by(|name| name.as_str().cmp(group))
        {
            let mean = &mut line.outputs[at];
            *mean += OUTPUT_WEIGHT * (to_f64(output) - *mean);
        }
    }

    /// Charges groups for what peers gave them.
    pub fn charge(&self, usages: &[wire::Usage]) {
        let mut line = self.line();
        for usage in usages {
            if let Ok(at) = line
                .groups
                .binary_search_by(|name| name.as_str().cmp(&usage.group))
            {
                line.queue.charge(at, usage.work);
            }
        }
    }

    /// Takes what live peers have dispatched.
    pub fn peers(&self, live: &[Member]) {
        for entry in self.entries().iter_mut() {
            entry.peers(live);
        }
        self.freed.notify_one();
    }

    /// Works on one entry, if the endpoint is of this pool.
    pub fn with<T>(&self, id: &super::gates::Id, f: impl FnOnce(&mut Entry) -> T) -> Option<T> {
        let mut entries = self.entries();
        let at = entries.binary_search_by(|entry| entry.id.cmp(id)).ok()?;
        Some(f(&mut entries[at]))
    }

    /// All entries as they are now.
    pub fn snapshot(&self) -> Vec<Entry> {
        self.entries().clone()
    }

    /// Wakes the queue after something has changed.
    pub fn wake(&self) {
        self.freed.notify_one();
    }

    fn line(&self) -> MutexGuard<'_, Line> {
        self.line.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn entries(&self) -> MutexGuard<'_, Vec<Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn micros(&self, at: Instant) -> Micros {
        let since = at.saturating_duration_since(self.started);
        Micros::try_from(since.as_micros()).unwrap_or(Micros::MAX)
    }
}

/// The work of a request in microseconds of an engine.
pub fn work(prompt: u64, output: u64) -> Micros {
    let rates = BatchLatency::default();
    let each = rates.inter_token_us(USUAL_BATCH) / to_f64(USUAL_BATCH);
    to_u64(to_f64(prompt) * rates.prefill_token_us + to_f64(output) * each)
}
