//! What is under way on one caller's connection.

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use clock::Instant;
use hyper::Version;
use parking_lot::Mutex;

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Its body is still coming.
    Receiving,
    /// It has come whole, and nothing of its answer has been sent.
    Waiting,
    /// Its answer is being sent.
    Responding,
}

/// A request under way on a connection.
#[derive(Clone, Debug)]
pub struct Request {
    /// The caller's name for it.
    pub id: String,
    /// When its head had come.
    pub arrived: Instant,
    /// The version of HTTP that its caller speaks.
    pub version: Version,
    /// How far it has come.
    pub stage: Stage,
    /// The endpoint that it was sent to last; none if no endpoint got it.
    pub endpoint: Option<Arc<str>>,
}

/// What a connection is waiting for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    /// For its next request, since then.
    Idle(Instant),
    /// For the rest of a request's head, since then.
    Head(Instant),
    /// For the rest of a request or its answer.
    Request,
}

/// The request under way on one connection, if any: HTTP/1 has one at a time.
#[derive(Debug)]
pub struct Exchange {
    state: Mutex<State>,
    /// Attempts in which the last request may have run; also known when it is over.
    executions: AtomicU32,
}

#[derive(Debug)]
struct State {
    request: Option<Request>,
    /// Since when no request has been under way.
    idle_since: Instant,
    /// When the first bytes of the next head came.
    head_since: Option<Instant>,
    /// Requests so far.
    requests: u64,
}

impl Default for Exchange {
    fn default() -> Self {
        Self::new()
    }
}

impl Exchange {
    /// For a connection that was accepted just now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            state: Mutex::new(State {
                request: None,
                idle_since: Instant::now(),
                head_since: None,
                requests: 0,
            }),
            executions: AtomicU32::new(0),
        }
    }

    /// What the connection is waiting for.
    #[must_use]
    pub fn wait(&self) -> Wait {
        let state = self.state.lock();
        match (&state.request, state.head_since) {
            (Some(_), _) => Wait::Request,
            (None, Some(since)) => Wait::Head(since),
            (None, None) => Wait::Idle(state.idle_since),
        }
    }

    /// Whether it has had a request.
    #[must_use]
    pub fn is_used(&self) -> bool {
        self.state.lock().requests > 0
    }

    /// Notes that bytes were received.
    pub fn received_bytes(&self) {
        let mut state = self.state.lock();
        if state.request.is_none() {
            state.head_since.get_or_insert_with(Instant::now);
        }
    }

    /// Notes a request whose head has come.
    #[must_use]
    pub fn begin(self: &Arc<Self>, id: &str, version: Version, arrived: Instant) -> ExchangeGuard {
        self.executions.store(0, Ordering::Relaxed);
        let mut state = self.state.lock();
        state.requests += 1;
        state.head_since = None;
        state.request = Some(Request {
            id: id.to_owned(),
            arrived,
            version,
            stage: Stage::Receiving,
            endpoint: None,
        });
        drop(state);
        ExchangeGuard(Arc::clone(self))
    }

    /// The request that is under way.
    #[must_use]
    pub fn in_flight(&self) -> Option<Request> {
        self.state.lock().request.clone()
    }

    /// How far the request under way has come.
    #[must_use]
    pub fn stage(&self) -> Option<Stage> {
        let state = self.state.lock();
        state.request.as_ref().map(|request| request.stage)
    }

    /// Whether the caller may be sent an interim response now: it understands those, and its answer has not begun.
    #[must_use]
    pub fn accepts_interim_response(&self) -> bool {
        let state = self.state.lock();
        state.request.as_ref().is_some_and(|request| {
            request.stage == Stage::Waiting && request.version == Version::HTTP_11
        })
    }

    /// Whether the last request may have run.
    #[must_use]
    pub fn may_have_executed(&self) -> bool {
        self.executions.load(Ordering::Relaxed) > 0
    }

    /// Notes that bytes of the answer were sent.
    pub fn sent_bytes(&self) {
        if let Some(request) = &mut self.state.lock().request {
            request.stage = match request.stage {
                Stage::Receiving => Stage::Receiving,
                Stage::Waiting | Stage::Responding => Stage::Responding,
            };
        }
    }
}

/// A request under way. It is over when this is dropped: answered whole, or given up with its connection.
#[derive(Debug)]
pub struct ExchangeGuard(Arc<Exchange>);

impl ExchangeGuard {
    /// Notes that the request has come whole.
    pub fn received(&self) {
        self.with(|request| request.stage = Stage::Waiting);
    }

    /// Notes that the request is sent to an endpoint, and whether to be run there.
    pub fn forwarded(&self, endpoint: &Arc<str>, executes: bool) {
        self.0
            .executions
            .fetch_add(u32::from(executes), Ordering::Relaxed);
        self.with(|request| request.endpoint = Some(Arc::clone(endpoint)));
    }

    /// Notes that an attempt to have the request run has certainly not done so.
    pub fn not_executed(&self) {
        self.0.executions.fetch_sub(1, Ordering::Relaxed);
    }

    fn with(&self, change: impl FnOnce(&mut Request)) {
        if let Some(request) = &mut self.0.state.lock().request {
            change(request);
        }
    }
}

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        let mut state = self.0.state.lock();
        state.request = None;
        state.idle_since = Instant::now();
    }
}
