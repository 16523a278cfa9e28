//! One attempt: a request sent to one endpoint, and what is known of its run if it fails.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use derive_more::Display;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Request, StatusCode,
    body::{Body as _, Incoming},
    http::response,
};

use super::{attempts::Phase, job::Job, timeout::Timeout};
use crate::{
    edge::{Call, Directive},
    endpoint::{ConnectError, Connection, RequestGuard, Target, Verdict},
};

/// What an endpoint answered.
pub struct Answer {
    /// The head.
    pub head: response::Parts,
    /// The body, still coming.
    pub body: Incoming,
    /// The connection that it comes on.
    pub link: Connection,
    /// Who answers.
    pub target: Arc<Target>,
    /// The request under way there.
    pub run: RequestGuard,
}

impl Answer {
    /// The answer as one that goes on where another one stopped.
    ///
    /// # Errors
    ///
    /// [`Cause::Failed`] if the endpoint failed it: its words must not follow the other one's events.
    pub fn into_continuation(self) -> Result<Self, Cause> {
        match self.head.status {
            status if status.is_success() => Ok(self),
            status => {
                self.run.finish();
                Err(Cause::ErrorStatus(status.as_u16()))
            }
        }
    }
}

/// Why an attempt gave no answer that can be handed on.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Cause {
    /// No connection was made.
    #[display("no connection: {_0}")]
    NotOpened(ConnectError),
    /// The connection had closed before anything was sent.
    #[display("the connection had closed")]
    NotSent,
    /// A prompt was read, but no engine has room to write the answer.
    #[display("no engine has room to write the answer")]
    NoDecodeCapacity,
    /// The budget of repeats is used up.
    #[display("the budget of repeats is used up")]
    RetryBudgetExhausted,
    /// Too many endpoints have ended under the request.
    #[display("endpoints have ended under the request")]
    Withheld,
    /// An engine could not fetch the KV cache of the prompt from the engine that had read it.
    #[display("the prompt's KV cache could not be fetched")]
    KvFetchFailed,
    /// A late prompt was still giving way to others when the time was over.
    #[display("other prompts went first until the time was over")]
    Starved,
    /// The endpoint said that it did not run it.
    #[display("the endpoint did not run it, status {_0}")]
    NotRun(u16),
    /// The connection broke before the answer's head came.
    #[display("the connection broke")]
    ConnectionBroken,
    /// The answer belongs to another request, or is none at all.
    #[display("the answer belongs to another request")]
    ForeignResponse,
    /// The time was over.
    #[display("the time was over")]
    TimedOut,
    /// The endpoint failed the request with this status.
    #[display("the endpoint failed it, status {_0}")]
    ErrorStatus(u16),
}

impl Cause {
    /// Whether the request certainly did not run there.
    pub fn not_run(self) -> bool {
        matches!(
            self,
            Self::NotOpened(_)
                | Self::NotSent
                | Self::NoDecodeCapacity
                | Self::RetryBudgetExhausted
                | Self::Withheld
                | Self::KvFetchFailed
                | Self::NotRun(_)
        )
    }

    /// A word for it, as a label of a metric.
    pub fn label(self) -> &'static str {
        match self {
            Self::NotOpened(_) => "not-opened",
            Self::NotSent => "not-sent",
            Self::NoDecodeCapacity => "no-writer",
            Self::RetryBudgetExhausted => "no-budget",
            Self::Withheld => "withheld",
            Self::KvFetchFailed => "no-handle",
            Self::Starved => "gave-way",
            Self::NotRun(_) => "not-run",
            Self::ConnectionBroken => "broken",
            Self::ForeignResponse => "foreign",
            Self::TimedOut => "time-over",
            Self::ErrorStatus(_) => "failed",
        }
    }

    /// What it tells of the endpoint, if it tells anything.
    pub fn verdict(self) -> Option<Verdict> {
        match self {
            Self::NotOpened(ConnectError::Silent | ConnectError::Refused) | Self::TimedOut => {
                Some(Verdict::Silent)
            }
            Self::NotRun(_) => Some(Verdict::Refused),
            Self::ConnectionBroken | Self::ForeignResponse | Self::ErrorStatus(_) => {
                Some(Verdict::Failed)
            }
            Self::NotOpened(ConnectError::Full)
            | Self::NotSent
            | Self::NoDecodeCapacity
            | Self::RetryBudgetExhausted
            | Self::Withheld
            | Self::KvFetchFailed
            | Self::Starved => None,
        }
    }
}

/// A request that may not run twice goes only on a connection that was used this lately: one that was
/// idle for longer may have been dropped by its endpoint, and then nobody knows whether it ran.
const MAX_IDLE_ONCE: Duration = Duration::from_millis(900);
/// Others may take any idle connection.
const MAX_IDLE_RETRYABLE: Duration = Duration::from_secs(3600);

/// What an endpoint that has started again had sent before may still come within this time: several times the way
/// between two data centres.
pub const LATE_DATA_GRACE: Duration = Duration::from_millis(50);

/// Waits until nothing more can come from an incarnation of an endpoint.
pub async fn wait_for_termination(target: &Target) {
    target.terminated().await;
    clock::sleep(LATE_DATA_GRACE).await;
}

/// Sends a request to an endpoint and waits for the head of the answer.
pub async fn send(
    job: &Job,
    target: &Arc<Target>,
    directive: &Directive,
    timeout: Timeout<'_>,
) -> Result<Answer, Cause> {
    if job.gateway.withheld_for(job.fingerprint).is_some() {
        return Err(Cause::Withheld);
    }
    let max_idle = if job.route.kind.is_retryable() {
        MAX_IDLE_RETRYABLE
    } else {
        MAX_IDLE_ONCE
    };
    let mut link = target
        .connect(max_idle, job.max_connections())
        .await
        .map_err(Cause::NotOpened)?;
    let phase = if directive.prefill_only {
        Phase::Read
    } else {
        Phase::Run
    };
    if !job.arrivals.record(job, phase) {
        target.return_connection(link);
        return Err(Cause::RetryBudgetExhausted);
    }
    let request = build_request(job, directive);
    let suspect = job.gateway.is_suspect(job.fingerprint);
    let run = RequestGuard::new(target, job.fingerprint, suspect);
    let runs = phase == Phase::Run;
    job.open.passed_on(&target.id.0, runs);
    let sending = link.sender().try_send_request(request);
    let answered = tokio::select! {
        answered = sending => answered,
        () = timeout.wait(job, target) => return Err(Cause::TimedOut),
        () = wait_for_termination(target) => return Err(Cause::ConnectionBroken),
    };
    let response = match answered {
        Ok(response) => response,
        Err(mut error) => {
            return Err(match error.take_message() {
                // the connection had closed before a byte was written
                Some(_) => {
                    run.finish();
                    note_not_run(job, runs);
                    Cause::NotSent
                }
                None if error.error().is_parse() => Cause::ForeignResponse,
                None => {
                    run.connection_broke();
                    job.gateway.check_for_crash(target, &job.metadata.id).await;
                    Cause::ConnectionBroken
                }
            });
        }
    };
    target.record_progress();
    let (head, body) = response.into_parts();
    let reply = job
        .gateway
        .adapters
        .dialect
        .parse_reply(&job.metadata.id, &head);
    target.set_idle_timeout(reply.keep_alive);
    match () {
        () if !reply.matches_request => Err(Cause::ForeignResponse),
        () if reply.not_run => {
            run.finish();
            note_not_run(job, runs);
            drain_and_give_back(target, link, body);
            Err(Cause::NotRun(head.status.as_u16()))
        }
        () => Ok(Answer {
            head,
            body,
            link,
            target: Arc::clone(target),
            run,
        }),
    }
}

/// Notes that an attempt did not run the request, if it was meant to.
fn note_not_run(job: &Job, runs: bool) {
    if runs {
        job.open.not_run();
    }
}

/// Puts the request together as the endpoint gets it.
fn build_request(job: &Job, directive: &Directive) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.uri.clone();
    let mut headers = job.headers.clone();
    job.gateway
        .adapters
        .dialect
        .apply_directive(directive, &mut headers);
    *request.headers_mut() = headers;
    request
}

/// The most of a refusal's body that is read for its connection to be used again.
const MAX_DRAINED_BYTES: u64 = 4 << 10;

/// Reads the short rest of an answer and gives its connection back.
fn drain_and_give_back(target: &Arc<Target>, link: Connection, body: Incoming) {
    if body
        .size_hint()
        .upper()
        .is_none_or(|bytes| bytes > MAX_DRAINED_BYTES)
    {
        return;
    }
    let target = Arc::clone(target);
    tokio::spawn(async move {
        if body.collect().await.is_ok() {
            target.return_connection(link);
        }
    });
}

/// The longest wait for the answer to a call of the gateway's own.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The most of an answer to such a call that is read, in bytes: some 40 for each of the parts that an engine lists, of
/// which as many are remembered as [`policy::prefix_cache`] keeps.
const MAX_CALL_RESPONSE_BYTES: usize = 256 << 10;
/// Connections that calls of the gateway's own may hold to an endpoint.
const MAX_CALL_CONNECTIONS: usize = 64;

/// Makes a call of the gateway's own to an endpoint and gives the whole answer; none if there was
/// none.
pub async fn call(target: &Arc<Target>, call: Call) -> Option<(StatusCode, Bytes)> {
    call_with_timeout(CALL_TIMEOUT, target, call).await
}

/// The same for a call that may take so long.
pub async fn call_with_timeout(
    timeout: Duration,
    target: &Arc<Target>,
    call: Call,
) -> Option<(StatusCode, Bytes)> {
    let mut link = target
        .connect(MAX_IDLE_RETRYABLE, MAX_CALL_CONNECTIONS)
        .await
        .ok()?;
    let mut request = Request::new(Full::new(call.body));
    *request.method_mut() = call.method;
    *request.uri_mut() = call.path.parse().ok()?;
    *request.headers_mut() = call.headers;
    let exchange = async {
        let response = link.sender().send_request(request).await.ok()?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_CALL_RESPONSE_BYTES).collect();
        Some((status, body.await.ok()?.to_bytes()))
    };
    let answer = clock::timeout(timeout, exchange).await.ok()??;
    target.return_connection(link);
    Some(answer)
}
