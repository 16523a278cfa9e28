//! The state of one caller's connection and of the request in flight on it.

use std::{
    io,
    mem::MaybeUninit,
    sync::{
        Arc, OnceLock, Weak,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use clock::Instant;
use derive_more::Display;
use futures::FutureExt;
use hyper::{Method, Response, Version, body::Body};
use parking_lot::Mutex;
use socket2::SockRef;
use tokio::{io::Interest, net::TcpStream};

use crate::outgoing::{Framing, Outgoing, ProbeBytes};

/// Progress of a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "kebab-case")]
pub enum Stage {
    /// The body is being received.
    Receiving,
    /// The body is complete, and no byte of the response has been sent.
    Waiting,
    /// The response is being sent.
    Responding,
}

/// A request in flight on a connection.
#[derive(Clone, Debug)]
pub struct Request {
    /// Request id.
    pub id: String,
    /// When the request head was complete.
    pub arrived: Instant,
    /// HTTP version of the request.
    pub version: Version,
    /// How far the request has progressed.
    pub stage: Stage,
    /// The endpoint that the request was last forwarded to; `None` if it was not forwarded.
    pub endpoint: Option<Arc<str>>,
}

/// What a connection is waiting for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    /// The next request, since the given time.
    Idle(Instant),
    /// The rest of a request head, since the given time.
    Head(Instant),
    /// The rest of a request body, or the end of the response.
    Request,
}

/// What a caller's socket shows of its side of the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Side {
    /// It may send more.
    Open,
    /// It has ended: the caller has shut down its sending side, or has disconnected.
    Ended,
    /// The connection was reset or has failed, or the end of the side means that the caller has disconnected.
    Reset,
}

/// Whether the other side of a connection may shut down its sending side and wait for responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HalfClose {
    /// It may, as HTTP allows.
    Possible,
    /// It never does, so the end of its side means that it has disconnected.
    Never,
}

/// The state of one connection. At most one request is in flight: HTTP/1 requests are served one at a time.
#[derive(Debug)]
pub struct Exchange {
    half_close: HalfClose,
    state: Mutex<State>,
    /// Number of attempts that may have executed the last request; kept after the request has ended.
    executions: AtomicU32,
    /// The connection's socket, as long as it is open.
    stream: OnceLock<Weak<TcpStream>>,
    /// Whether the HTTP library waits for more bytes, and so sees the end of the caller's side.
    is_read: AtomicBool,
}

#[derive(Debug)]
struct State {
    request: Option<Request>,
    /// Since when no request has been in flight.
    idle_since: Instant,
    /// When the first bytes of the next request head arrived.
    head_since: Option<Instant>,
    /// Number of requests so far.
    requests: u64,
    /// When the caller's side was first seen to have ended.
    ended_at: Option<Instant>,
    /// When the caller was last probed.
    probed_at: Option<Instant>,
    /// Whether the connection is known to be lost.
    is_lost: bool,
    outgoing: Outgoing,
}

impl Exchange {
    /// Creates the state of a newly accepted connection.
    #[must_use]
    pub fn new(half_close: HalfClose) -> Self {
        Self {
            half_close,
            state: Mutex::new(State {
                request: None,
                idle_since: Instant::now(),
                head_since: None,
                requests: 0,
                ended_at: None,
                probed_at: None,
                is_lost: false,
                outgoing: Outgoing::default(),
            }),
            executions: AtomicU32::new(0),
            stream: OnceLock::new(),
            is_read: AtomicBool::new(false),
        }
    }

    /// Sets the socket of the connection. The first call counts.
    pub(crate) fn attach(&self, stream: &Arc<TcpStream>) {
        self.stream.get_or_init(|| Arc::downgrade(stream));
    }

    /// Looks at the socket itself, which may know more than has been read from it. Costs one system call.
    pub(crate) fn side(&self) -> Side {
        let Some(stream) = self.stream().filter(|_| !self.has_recorded_loss()) else {
            return Side::Reset;
        };
        let side = side_of(&stream);
        if side != Side::Open {
            self.record_end();
        }
        match (side, self.half_close) {
            (Side::Ended, HalfClose::Never) => Side::Reset,
            (side, _) => side,
        }
    }

    /// Whether the end of the caller's side means that it has disconnected.
    pub(crate) fn never_half_closes(&self) -> bool {
        self.half_close == HalfClose::Never
    }

    /// Returns the socket of the connection; `None` once it is closed.
    pub(crate) fn stream(&self) -> Option<Arc<TcpStream>> {
        self.stream.get().and_then(Weak::upgrade)
    }

    /// Returns when the caller's side was first seen to have ended; `None` if it has not.
    #[must_use]
    pub fn ended_at(&self) -> Option<Instant> {
        self.state.lock().ended_at
    }

    /// Records that the caller's side has ended.
    pub(crate) fn record_end(&self) {
        let mut state = self.state.lock();
        if state.ended_at.is_some() {
            return;
        }
        state.ended_at = Some(Instant::now());
        let Some(request) = &state.request else {
            return;
        };
        log::info!(
            request = request.id, stage:% = request.stage, endpoint = request.endpoint.as_deref(),
            took_us = u64::try_from(request.arrived.elapsed().as_micros()).unwrap_or(u64::MAX);
            "a caller's side of its connection has ended with its request under way"
        );
    }

    /// Returns what the connection is waiting for.
    #[must_use]
    pub fn waiting_for(&self) -> Wait {
        let state = self.state.lock();
        match (&state.request, state.head_since) {
            (Some(_), _) => Wait::Request,
            (None, Some(since)) => Wait::Head(since),
            (None, None) => Wait::Idle(state.idle_since),
        }
    }

    /// Whether the connection has carried a request.
    #[must_use]
    pub fn is_used(&self) -> bool {
        self.state.lock().requests > 0
    }

    /// Records that bytes were received.
    pub fn received_bytes(&self) {
        let mut state = self.state.lock();
        if state.request.is_none() {
            state.head_since.get_or_insert_with(Instant::now);
        }
    }

    /// Records a request whose head is complete.
    #[must_use]
    pub fn begin(self: &Arc<Self>, id: &str, version: Version, arrived: Instant) -> ExchangeGuard {
        self.executions.store(0, Ordering::Relaxed);
        let mut state = self.state.lock();
        state.requests += 1;
        state.head_since = None;
        state.outgoing.begin(Framing::default());
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

    /// Returns the request in flight, if any.
    #[must_use]
    pub fn request(&self) -> Option<Request> {
        self.state.lock().request.clone()
    }

    /// Returns the stage of the request in flight, if any.
    #[must_use]
    pub fn stage(&self) -> Option<Stage> {
        let state = self.state.lock();
        state.request.as_ref().map(|request| request.stage)
    }

    /// Records the response to the request in flight, of which no byte has been sent.
    pub fn record_response(&self, method: &Method, response: &Response<impl Body>) {
        let framing = Framing::of(method, response);
        self.state.lock().outgoing.begin(framing);
    }

    /// Records that all bytes that the HTTP library has produced are written.
    pub(crate) fn record_flush(&self) {
        self.state.lock().outgoing.is_flushed = true;
    }

    /// Returns bytes that may be sent now to probe the caller and are no part of the response. Prepares the connection for
    /// them.
    pub(crate) fn probe_bytes(&self) -> Option<ProbeBytes> {
        let bytes = {
            let state = self.state.lock();
            let request = state.request.as_ref()?;
            state.outgoing.probe_bytes(request.stage, request.version)
        };
        if bytes == Some(ProbeBytes::LeadingZero) {
            // some clients take a zero before an orderly end for the last chunk
            self.set_reset_on_close(true);
        }
        bytes
    }

    /// Returns when the caller was last probed.
    pub(crate) fn last_probe(&self) -> Option<Instant> {
        self.state.lock().probed_at
    }

    /// Records that the caller was probed with these bytes.
    pub(crate) fn record_probe(&self, bytes: ProbeBytes) {
        let mut state = self.state.lock();
        state.probed_at = Some(Instant::now());
        state.outgoing.record_probe(bytes);
    }

    /// Whether the connection is known to be lost.
    pub(crate) fn has_recorded_loss(&self) -> bool {
        self.state.lock().is_lost
    }

    /// Records that the connection is lost.
    pub(crate) fn record_loss(&self) {
        self.state.lock().is_lost = true;
    }

    /// Sets whether the connection is reset when the socket is closed.
    pub(crate) fn set_reset_on_close(&self, resets: bool) {
        let mut state = self.state.lock();
        let Some(stream) = self
            .stream()
            .filter(|_| state.outgoing.resets_on_close != resets)
        else {
            return;
        };
        let linger = resets.then_some(Duration::ZERO);
        // fails only if the connection is closed already
        if SockRef::from(&*stream).set_linger(linger).is_ok() {
            state.outgoing.resets_on_close = resets;
        }
    }

    /// Returns how many of the bytes that the HTTP library is about to write have been sent ahead, see
    /// [`Outgoing::take_sent_ahead`].
    pub(crate) fn take_sent_ahead(&self, bytes: &[u8]) -> io::Result<usize> {
        self.state.lock().outgoing.take_sent_ahead(bytes)
    }

    /// Records a write of the HTTP library, and whether the send buffer is full. Returns whether it was before.
    pub(crate) fn record_write(&self, is_blocked: bool) -> bool {
        let mut state = self.state.lock();
        if !is_blocked {
            state.begin_response();
        }
        state.outgoing.record_write(is_blocked)
    }

    /// Records whether the HTTP library waits for more bytes.
    pub(crate) fn set_read(&self, is_read: bool) {
        self.is_read.store(is_read, Ordering::Relaxed);
    }

    /// Whether a response is pending while the HTTP library does not read on, as it holds the next request.
    pub(crate) fn is_unread(&self) -> bool {
        !self.is_read.load(Ordering::Relaxed) && self.is_response_pending()
    }

    /// Whether a complete request has not been answered completely.
    pub(crate) fn is_response_pending(&self) -> bool {
        let state = self.state.lock();
        match state.request.as_ref().map(|request| request.stage) {
            Some(Stage::Waiting | Stage::Responding) => true,
            Some(Stage::Receiving) => false,
            None => state.outgoing.is_blocked,
        }
    }

    /// Whether the request in flight is of a version without chunks. If its response has no length, the end of the
    /// connection marks its end.
    #[must_use]
    pub fn lacks_chunks(&self) -> bool {
        let state = self.state.lock();
        let request = state.request.as_ref();
        request.is_some_and(|request| request.version < Version::HTTP_11)
    }

    /// Whether the last request may have been executed.
    #[must_use]
    pub fn may_have_executed(&self) -> bool {
        self.executions.load(Ordering::Relaxed) > 0
    }
}

impl State {
    /// Records that bytes of the response were sent.
    fn begin_response(&mut self) {
        if let Some(request) = &mut self.request {
            request.stage = match request.stage {
                // an interim or early response does not end the reception of the body
                Stage::Receiving => Stage::Receiving,
                Stage::Waiting | Stage::Responding => Stage::Responding,
            };
        }
    }
}

/// A request in flight. Dropping the guard ends the request, whether the response is complete or the connection was
/// closed.
#[derive(Debug)]
pub struct ExchangeGuard(Arc<Exchange>);

impl ExchangeGuard {
    /// Returns the exchange of the request.
    #[must_use]
    pub fn exchange(&self) -> &Exchange {
        &self.0
    }

    /// Records that the request body is complete.
    pub fn body_received(&self) {
        self.with(|request| request.stage = Stage::Waiting);
    }

    /// Records that the request is forwarded to an endpoint, and whether that endpoint is to execute it.
    pub fn forwarded(&self, endpoint: &Arc<str>, executes: bool) {
        self.0
            .executions
            .fetch_add(u32::from(executes), Ordering::Relaxed);
        self.with(|request| request.endpoint = Some(Arc::clone(endpoint)));
    }

    /// Whether an attempt may have executed the request.
    #[must_use]
    pub fn may_have_executed(&self) -> bool {
        self.0.may_have_executed()
    }

    /// Records that one attempt certainly did not execute the request.
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

/// Returns what the system knows of the other side of a socket.
fn side_of(stream: &TcpStream) -> Side {
    match SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
        Ok(0) => Side::Ended,
        // unread bytes hide the end from a read, but not from the event queue
        Ok(_) => match stream.ready(Interest::READABLE).now_or_never() {
            Some(Ok(ready)) if ready.is_read_closed() => Side::Ended,
            Some(_) | None => Side::Open,
        },
        Err(error) if is_disconnect(&error) => Side::Reset,
        Err(_) => Side::Open,
    }
}

/// Whether an error of a socket says that the connection is lost.
fn is_disconnect(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionReset
            | io::ErrorKind::ConnectionAborted
            | io::ErrorKind::BrokenPipe
            | io::ErrorKind::NotConnected
            | io::ErrorKind::TimedOut
    )
}
