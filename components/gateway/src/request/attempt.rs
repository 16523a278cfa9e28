//! A single attempt: sends a request to one endpoint and, if that fails, determines whether the
//! request may have run there.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use clock::Instant;
use derive_more::Display;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Request, StatusCode,
    body::{Body as _, Incoming},
    http::response,
};

use super::{
    attempts::Purpose,
    evidence::{self, Doubt, Finding, NotRun},
    framing::Framing,
    job::Job,
    presence,
    timeout::Timeout,
};
use crate::{
    adapters::{Call, Directive, Identity, Reply},
    endpoint::{Build, ConnectError, Connection, RequestGuard, Reuse, Target, Verdict},
    steward,
};

/// An endpoint's response.
pub struct Answer {
    /// The status and headers.
    pub head: response::Parts,
    /// The body, still being received.
    pub body: Incoming,
    /// The connection on which it arrives.
    pub connection: Connection,
    /// The endpoint that responds.
    pub target: Arc<Target>,
    /// The build of that endpoint when the request was sent.
    pub build: Build,
    /// The request in flight on the endpoint.
    pub guard: RequestGuard,
}

impl Answer {
    /// Returns what marks the end of its body.
    pub fn framing(&self) -> Framing {
        // `evidence::examine` takes no response without one for an answer
        Framing::of(&self.head).unwrap_or(Framing::Close)
    }

    /// Checks that this response can continue a stream that another response has begun.
    ///
    /// # Errors
    ///
    /// [`Cause::ErrorStatus`] if the endpoint failed the request: the text of its error must not be
    /// appended to the events of the stream.
    pub fn into_continuation(self) -> Result<Self, Cause> {
        match self.head.status {
            status if status.is_success() => Ok(self),
            status => {
                self.guard.finish();
                Err(Cause::ErrorStatus(status.as_u16()))
            }
        }
    }
}

/// Why an attempt gave no response that can be forwarded.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Cause {
    /// No connection could be opened.
    #[display("no connection: {_0}")]
    NotOpened(ConnectError),
    /// The connection had closed before anything was sent.
    #[display("the connection had closed")]
    NotSent,
    /// The prompt was prefilled, but no engine has a free slot to decode the answer.
    #[display("no engine has room to write the answer")]
    NoDecodeCapacity,
    /// The retry budget is exhausted.
    #[display("the budget of repeats is used up")]
    RetryBudgetExhausted,
    /// Too many endpoints have crashed while running this request.
    #[display("endpoints have ended under the request")]
    Withheld,
    /// An engine did not run the request, as it could not fetch the KV cache of the prompt from the engine that prefilled
    /// it.
    #[display("the prompt's KV cache could not be fetched: {_0}")]
    KvFetchFailed(NotRun),
    /// A deferred prompt was still waiting behind others when its time was up.
    #[display("other prompts went first until the time was over")]
    Starved,
    /// Another build than the endpoint's began the stream.
    #[display("another build began the stream")]
    OtherBuild,
    /// The endpoint did not run the request.
    #[display("the endpoint did not run it: {_0}")]
    NotRun(NotRun),
    /// The response does not show that it answers the request.
    #[display("the response was rejected: {_0}")]
    Unproven(Doubt),
    /// The connection broke before the headers of the response arrived.
    #[display("the connection broke")]
    ConnectionBroken,
    /// The response is not valid, be it as HTTP or as a KV handle.
    #[display("the answer is not valid")]
    InvalidResponse,
    /// The time of the request was over before anything was sent.
    #[display("the time was over before it was sent")]
    Expired,
    /// The caller had disconnected before anything was sent.
    #[display("the caller had left before it was sent")]
    CallerGone,
    /// This process would shut down before the answer certainly ends. Nothing was sent.
    #[display("this process stops before the answer would certainly end")]
    ShuttingDown,
    /// The attempt timed out, or no engine was available to resume a stream.
    #[display("the time was over")]
    TimedOut,
    /// The endpoint failed the request with this status.
    #[display("the endpoint failed it, status {_0}")]
    ErrorStatus(u16),
}

impl Cause {
    /// Whether the request certainly did not run on the endpoint.
    pub fn not_run(self) -> bool {
        matches!(
            self,
            Self::NotOpened(_)
                | Self::NotSent
                | Self::NoDecodeCapacity
                | Self::RetryBudgetExhausted
                | Self::Withheld
                | Self::KvFetchFailed(_)
                | Self::OtherBuild
                | Self::NotRun(_)
                | Self::Expired
                | Self::CallerGone
                | Self::ShuttingDown
        )
    }

    /// Returns the value of the metric label.
    pub fn label(self) -> &'static str {
        match self {
            Self::NotOpened(_) => "not-opened",
            Self::NotSent => "not-sent",
            Self::NoDecodeCapacity => "no-writer",
            Self::RetryBudgetExhausted => "no-budget",
            Self::Withheld => "withheld",
            Self::KvFetchFailed(_) => "no-handle",
            Self::OtherBuild => "other-build",
            Self::Starved => "gave-way",
            Self::NotRun(_) => "not-run",
            Self::Unproven(_) => "unproven",
            Self::ConnectionBroken => "broken",
            Self::InvalidResponse => "invalid",
            Self::Expired => "too-late",
            Self::CallerGone => "caller-gone",
            Self::ShuttingDown => "stopping",
            Self::TimedOut => "time-over",
            Self::ErrorStatus(_) => "failed",
        }
    }

    /// Returns what the failure says about the endpoint's health, if anything.
    pub fn verdict(self) -> Option<Verdict> {
        match self {
            Self::TimedOut => Some(Verdict::Silent),
            Self::NotRun(_) => Some(Verdict::Refused),
            Self::ConnectionBroken
            | Self::Unproven(_)
            | Self::InvalidResponse
            | Self::ErrorStatus(_) => Some(Verdict::Failed),
            Self::NotOpened(_)
            | Self::NotSent
            | Self::NoDecodeCapacity
            | Self::RetryBudgetExhausted
            | Self::Withheld
            | Self::KvFetchFailed(_)
            | Self::OtherBuild
            | Self::Expired
            | Self::CallerGone
            | Self::ShuttingDown
            | Self::Starved => None,
        }
    }
}

/// A request that must not run twice is only sent on a connection that was used within this time.
/// One that has been idle for longer may have been closed by its endpoint, and then it would be
/// unknown whether the request ran.
pub const MAX_IDLE_ONCE: Duration = Duration::from_millis(900);
/// Other requests may use any idle connection.
pub const MAX_IDLE_RETRYABLE: Duration = Duration::from_secs(3600);

/// Data that an endpoint sent before it restarted may still arrive within this time, which is
/// several times the latency between two data centres.
pub const LATE_DATA_GRACE: Duration = Duration::from_millis(50);

/// Waits until an incarnation of an endpoint has terminated and nothing more can arrive from it.
pub async fn wait_for_termination(target: &Target) {
    target.terminated().await;
    clock::sleep(LATE_DATA_GRACE).await;
}

/// Returns which connections to an endpoint the request may be sent on.
fn reuse(job: &Job, target: &Target, purpose: Purpose) -> Reuse {
    match () {
        // a late response to the first of both attempts would name this request
        () if job.was_sent_to(target) => Reuse::Never,
        () if job.route.kind.is_retryable() => Reuse::Idle(MAX_IDLE_RETRYABLE),
        // only there does its refusal show that the request did not run, see `evidence::examine`
        () if purpose == Purpose::Run && target.refuses_unnamed() => Reuse::Never,
        () => Reuse::Idle(MAX_IDLE_ONCE),
    }
}

/// Sends a request to an endpoint and waits for the headers of the response.
pub async fn send(
    job: &Job,
    target: &Arc<Target>,
    directive: &Directive,
    timeout: Timeout<'_>,
) -> Result<Answer, Cause> {
    if job.withheld().is_some() {
        return Err(Cause::Withheld);
    }
    // endpoints do not check this, so nothing is sent without the check, whatever chose the endpoint
    let build = target.build();
    if !job.accepts(&build) {
        return Err(Cause::OtherBuild);
    }
    let purpose = if directive.prefill_only {
        Purpose::Read
    } else {
        Purpose::Run
    };
    job.sends.wait_for_budget(job).await;
    let mut connection = target
        .connect(reuse(job, target, purpose), job.max_connections())
        .await
        .map_err(Cause::NotOpened)?;
    let request = build_request(job, directive);
    if let Err(cause) = check_before_send(job, target, purpose).await {
        target.put_back_connection(connection);
        return Err(cause);
    }
    let suspect = job.gateway.crashes.is_suspect(job.fingerprint);
    let guard = RequestGuard::new(target, job.fingerprint, &job.parts, suspect);
    let executes = purpose == Purpose::Run;
    let sent = Instant::now();
    job.record_sent_to(target);
    job.exchange_guard.forwarded(&target.id.0, executes);
    let sending = connection.start_request().try_send_request(request);
    let answered = tokio::select! {
        answered = sending => answered,
        () = timeout.wait(job, target) => return Err(Cause::TimedOut),
        () = wait_for_termination(target) => return Err(Cause::ConnectionBroken),
    };
    let response = match answered {
        Ok(response) => response,
        Err(mut error) => {
            return Err(match error.take_message() {
                // the connection had closed before any byte was written
                Some(_) => {
                    guard.finish();
                    record_not_run(job, executes);
                    Cause::NotSent
                }
                None if error.error().is_parse() => Cause::InvalidResponse,
                None => {
                    guard.connection_broke();
                    job.gateway.check_for_crash(target, &job.metadata.id).await;
                    Cause::ConnectionBroken
                }
            });
        }
    };
    target.record_response();
    let (head, body) = response.into_parts();
    let reply = job
        .gateway
        .adapters
        .dialect
        .parse_reply(&job.metadata.id, &head);
    target.set_idle_timeout(reply.keep_alive);
    if reply.not_run && reply.identity == Identity::Unnamed {
        target.record_unnamed_refusal(&job.metadata.id);
    }
    let is_first = connection.requests() == 1;
    let finding = evidence::examine(&reply, &head, purpose, is_first);
    record_finding(job, target, finding, &reply, connection.requests());
    match finding {
        Finding::Nothing(doubt) => Err(Cause::Unproven(doubt)),
        Finding::NotRun(not_run) => {
            guard.finish();
            record_not_run(job, executes);
            // a late copy of a refusal without a name could be taken for that of the next request
            if reply.identity == Identity::Own {
                drain_and_return(target, connection, body);
            }
            steward::check_refusal(&job.gateway, target);
            Err(Cause::NotRun(not_run))
        }
        Finding::Answer => {
            target.record_answer();
            job.gateway.crashes.record_alive(target.short_id, sent);
            Ok(Answer {
                head,
                body,
                connection,
                target: Arc::clone(target),
                build,
                guard,
            })
        }
    }
}

/// Checks right before a request is sent, whatever the delay since the endpoint was chosen, that it still may be, and counts
/// it as sent.
async fn check_before_send(job: &Job, target: &Target, purpose: Purpose) -> Result<(), Cause> {
    if !presence::may_send(job, &target.id.0).await {
        return Err(Cause::CallerGone);
    }
    match () {
        () if job.time_left().is_zero() => Err(Cause::Expired),
        () if job.withheld().is_some() => Err(Cause::Withheld),
        () if !job.may_be_sent_before_shutdown() => Err(Cause::ShuttingDown),
        () if !job.sends.record(job, purpose) => Err(Cause::RetryBudgetExhausted),
        () => Ok(()),
    }
}

/// Counts and logs a response that does not answer its request.
fn record_finding(job: &Job, target: &Target, finding: Finding, reply: &Reply, requests: u32) {
    let service = &*job.service.name;
    let identity = reply.identity.to_string();
    let metrics = &job.gateway.metrics.evidence;
    let shows = match finding {
        Finding::Answer => return,
        Finding::NotRun(not_run) => {
            let connection = if requests > 1 { "used" } else { "new" };
            let labels = [service, &*identity, connection];
            metrics.refusals.with_label_values(&labels).inc();
            format!("not run: {not_run}")
        }
        Finding::Nothing(doubt) => {
            let labels = [service, doubt.label()];
            metrics.unproven.with_label_values(&labels).inc();
            format!("nothing: {doubt}")
        }
    };
    log::info!(
        request = job.metadata.id, endpoint = &*target.id.0, shows, identity, signed = reply.signed, requests;
        "examined the response of an endpoint"
    );
}

/// Records that an attempt did not run the request, unless it was only meant to prefill the prompt.
fn record_not_run(job: &Job, executes: bool) {
    if executes {
        job.exchange_guard.not_executed();
    }
}

/// Builds the request that is sent to the endpoint.
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

/// Largest body of a refusal that is read so that its connection can be reused.
const MAX_DRAINED_BYTES: u64 = 4 << 10;

/// Reads the short remainder of a response and returns its connection to the pool.
fn drain_and_return(target: &Arc<Target>, connection: Connection, body: Incoming) {
    if body
        .size_hint()
        .upper()
        .is_none_or(|bytes| bytes > MAX_DRAINED_BYTES)
    {
        return;
    }
    let target = Arc::clone(target);
    tokio::spawn(async move {
        let drained = clock::timeout(CALL_TIMEOUT, body.collect()).await;
        if drained.is_ok_and(|drained| drained.is_ok()) {
            target.put_back_connection(connection);
        }
    });
}

/// Timeout of the gateway's own calls to endpoints.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest response to such a call, in bytes. It has room for as many cached parts as
/// [`policy::prefix_cache`] remembers, at about 40 bytes each.
const MAX_CALL_RESPONSE_BYTES: usize = 256 << 10;
/// Connections to one endpoint that the gateway's own calls may use.
const MAX_CALL_CONNECTIONS: usize = 64;

/// Makes a call of the gateway's own to an endpoint and returns the complete response; `None` if it
/// did not arrive within [`CALL_TIMEOUT`].
pub async fn call(target: &Arc<Target>, call: Call) -> Option<(StatusCode, Bytes)> {
    call_with_timeout(CALL_TIMEOUT, target, call).await
}

/// Makes a call of the gateway's own with the given timeout, on a connection that carries nothing else: responses to such
/// calls name no request, so that a late one to an earlier request could be taken for theirs.
pub async fn call_with_timeout(
    timeout: Duration,
    target: &Arc<Target>,
    call: Call,
) -> Option<(StatusCode, Bytes)> {
    let mut connection = target
        .connect(Reuse::Never, MAX_CALL_CONNECTIONS)
        .await
        .ok()?;
    let mut request = Request::new(Full::new(call.body));
    *request.method_mut() = call.method;
    *request.uri_mut() = call.path.parse().ok()?;
    *request.headers_mut() = call.headers;
    let exchange = async {
        let response = connection
            .start_request()
            .send_request(request)
            .await
            .ok()?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_CALL_RESPONSE_BYTES).collect();
        Some((status, body.await.ok()?.to_bytes()))
    };
    let answer = clock::timeout(timeout, exchange).await.ok()??;
    connection.end_request();
    Some(answer)
}
