//! Handling of a single request, from its headers to the last byte of its answer.

mod body;
mod caller;
mod chat;
mod events;
mod generate;
mod idempotency;
mod plain;
mod refusal;
mod reply;

use std::sync::Arc;

use ::caller::{Exchange, ExchangeGuard, Presence};
use bytes::Bytes;
use clock::Instant;
use futures::{Stream, TryStreamExt};
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{
    Method, Request, Response,
    body::{Frame, Incoming},
    header::HeaderValue,
};
use telemetry::timeline::Kind;

use crate::{
    connection::CountGuard,
    process::{Phase, Process},
    version::Snapshot,
};
use caller::Caller;
use refusal::{Reason, Refusal};

/// Response body sent to a caller. An error aborts the transfer, so that a truncated answer is
/// never taken for a complete one.
pub type Body = UnsyncBoxBody<Bytes, generate::Aborted>;

/// State of one request.
pub struct Context {
    /// Process that serves the request.
    pub process: Arc<Process>,
    /// Settings version that the request is served under.
    pub version: Arc<Snapshot>,
    /// Request ID: a random number in hexadecimal.
    pub id: String,
    /// Memory reserved for its body.
    body_reservation: Option<body::Reservation>,
    /// Its exchange on the caller's connection.
    exchange: ExchangeGuard,
    /// Counts it among the requests in flight.
    _in_flight: CountGuard,
}

impl Context {
    /// Whether the caller has disconnected, so that nothing is to be sent for it. Asks a caller whose side of the connection
    /// has ended, see [`Exchange::presence`].
    pub async fn is_caller_gone(&self) -> bool {
        let presence = self.exchange.exchange().presence().await;
        let is_gone = presence == Presence::Gone;
        if is_gone {
            self.record(Kind::Cancelled, "the caller had hung up before it was sent");
        }
        is_gone
    }

    /// Records an event of this request in the timeline.
    pub fn record(&self, kind: Kind, detail: impl Into<String>) {
        let subject = format!("request/{}", self.id);
        self.process.timeline.record(kind, subject, detail);
    }
}

/// Handles a request and returns its response. A refused request is answered as soon as that is
/// decided.
pub async fn handle(
    process: Arc<Process>,
    exchange: Arc<Exchange>,
    request: Request<Incoming>,
) -> Response<Body> {
    let id = format!("{:016x}", rand::random::<u64>());
    let method = request.method().clone();
    let exchange_guard = exchange.begin(&id, request.version(), Instant::now());
    let mut response = match route(&process, &id, exchange_guard, request).await {
        Ok(response) => response,
        Err(refusal) => {
            let reason = refusal.reason.code();
            process.metrics.refusals.with_label_values(&[reason]).inc();
            let detail = format!("{reason}, {}", refusal.reason.execution());
            process
                .timeline
                .record(Kind::Refused, format!("request/{id}"), detail);
            refusal.response(&id)
        }
    };
    if let Ok(id) = HeaderValue::from_str(&id) {
        response.headers_mut().insert("x-request-id", id);
    }
    if *process.phase.borrow() >= Phase::NotReady {
        // makes the load balancer and the caller reconnect to another daemon
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert("connection", close);
    }
    exchange.record_response(&method, &response);
    response
}

async fn route(
    process: &Arc<Process>,
    id: &str,
    exchange: ExchangeGuard,
    request: Request<Incoming>,
) -> Result<Response<Body>, Refusal> {
    if *process.phase.borrow() >= Phase::Draining {
        return Err(Reason::Stopping.into());
    }
    let version = process.current.get().ok_or(Reason::NotReady)?;
    let context = Context {
        process: Arc::clone(process),
        version,
        id: id.to_owned(),
        body_reservation: None,
        exchange,
        _in_flight: CountGuard::new(&process.in_flight),
    };
    let path = request.uri().path().to_owned();
    let caller = Caller::identify(&context.version.resolved, request.headers())?;
    match (request.method(), path.as_str()) {
        (&Method::GET, "/v1/models") => Ok(reply::models(&context.version.resolved, &caller)),
        (&Method::POST, "/v1/chat/completions") => {
            chat::serve(context, caller, chat::Api::Chat, request).await
        }
        (&Method::POST, "/v1/completions") => {
            chat::serve(context, caller, chat::Api::Text, request).await
        }
        (_, path) if path.starts_with(plain::PATH_PREFIX) => {
            plain::serve(context, caller, request).await
        }
        _ => Err(Reason::NoSuchRoute.into()),
    }
}

/// Builds a body from all of its bytes.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Builds a streamed body; an error in the stream aborts the transfer.
pub fn stream_body<S>(chunks: S) -> Body
where
    S: Stream<Item = Result<Bytes, generate::Aborted>> + Send + 'static,
{
    StreamBody::new(chunks.map_ok(Frame::data)).boxed_unsync()
}
