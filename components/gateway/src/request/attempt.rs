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
    endpoint::{Link, NotOpened, Run, Target, Verdict},
};

/// What an endpoint answered.
pub struct Answer {
    /// The head.
    pub head: response::Parts,
    /// The body, still coming.
    pub body: Incoming,
    /// The connection that it comes on.
    pub link: Link,
    /// Who answers.
    pub target: Arc<Target>,
    /// The request under way there.
    pub run: Run,
}

impl Answer {
    /// The answer as one that goes on where another one stopped.
    ///
    /// # Errors
    ///
    /// [`Cause::Failed`] if the endpoint failed it: its words must not follow the other one's events.
    pub fn continuing(self) -> Result<Self, Cause> {
        match self.head.status {
            status if status.is_success() => Ok(self),
            status => {
                self.run.answered();
                Err(Cause::Failed(status.as_u16()))
            }
        }
    }
}

/// Why an attempt gave no answer that can be handed on.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Cause {
    /// No connection was made.
    #[display("no connection: {_0}")]
    NotOpened(NotOpened),
    /// The connection had closed before anything was sent.
    #[display("the connection had closed")]
    NotSent,
    /// A prompt was read, but no engine has room to write the answer.
    #[display("no engine has room to write the answer")]
    NoWriter,
    /// The budget of repeats is used up.
    #[display("the budget of repeats is used up")]
    NoBudget,
    /// Too many endpoints have ended under the request.
    #[display("endpoints have ended under the request")]
    Withheld,
    /// An engine could not fetch the KV cache of the prompt from the engine that had read it.
    #[display("the prompt's KV cache could not be fetched")]
    NoHandle,
    /// A late prompt was still giving way to others when the time was over.
    #[display("other prompts went first until the time was over")]
    GaveWay,
    /// The endpoint said that it did not run it.
    #[display("the endpoint did not run it, status {_0}")]
    NotRun(u16),
    /// The connection broke before the answer's head came.
    #[display("the connection broke")]
    Broken,
    /// The answer belongs to another request, or is none at all.
    #[display("the answer belongs to another request")]
    Foreign,
    /// The time was over.
    #[display("the time was over")]
    TimeOver,
    /// The endpoint failed the request with this status.
    #[display("the endpoint failed it, status {_0}")]
    Failed(u16),
}

impl Cause {
    /// Whether the request certainly did not run there.
    pub fn not_run(self) -> bool {
        matches!(
            self,
            Self::NotOpened(_)
                | Self::NotSent
                | Self::NoWriter
                | Self::NoBudget
                | Self::Withheld
                | Self::NoHandle
                | Self::NotRun(_)
        )
    }

    /// A word for it, as a label of a metric.
    pub fn label(self) -> &'static str {
        match self {
            Self::NotOpened(_) => "not-opened",
            Self::NotSent => "not-sent",
            Self::NoWriter => "no-writer",
            Self::NoBudget => "no-budget",
            Self::Withheld => "withheld",
            Self::NoHandle => "no-handle",
            Self::GaveWay => "gave-way",
            Self::NotRun(_) => "not-run",
            Self::Broken => "broken",
            Self::Foreign => "foreign",
            Self::TimeOver => "time-over",
            Self::Failed(_) => "failed",
        }
    }

    /// What it tells of the endpoint, if it tells anything.
    pub fn verdict(self) -> Option<Verdict> {
        match self {
            Self::NotOpened(NotOpened::Silent | NotOpened::Refused) | Self::TimeOver => {
                Some(Verdict::Silent)
            }
            Self::NotRun(_) => Some(Verdict::Refused),
            Self::Broken | Self::Foreign | Self::Failed(_) => Some(Verdict::Failed),
            Self::NotOpened(NotOpened::Full)
            | Self::NotSent
            | Self::NoWriter
            | Self::NoBudget
            | Self::Withheld
            | Self::NoHandle
            | Self::GaveWay => None,
        }
    }
}

/// A request that may not run twice goes only on a connection that was used this lately: one that was
/// idle for longer may have been dropped by its endpoint, and then nobody knows whether it ran.
const FRESH: Duration = Duration::from_millis(900);
/// Others may take any idle connection.
const ANY: Duration = Duration::from_secs(3600);

/// What an endpoint that has started again had sent before may still come within this time: several times the way
/// between two data centres.
pub const GRACE: Duration = Duration::from_millis(50);

/// Waits until nothing more can come from an incarnation of an endpoint.
pub async fn ended(target: &Target) {
    target.ended().await;
    clock::sleep(GRACE).await;
}

/// Sends a request to an endpoint and waits for the head of the answer.
pub async fn send(
    job: &Job,
    target: &Arc<Target>,
    directive: &Directive,
    timeout: Timeout<'_>,
) -> Result<Answer, Cause> {
    if job.gateway.withheld(job.content).is_some() {
        return Err(Cause::Withheld);
    }
    let fresh = if job.route.kind.repeats() { ANY } else { FRESH };
    let mut link = target
        .connect(fresh, job.most_links())
        .await
        .map_err(Cause::NotOpened)?;
    let phase = if directive.read_only {
        Phase::Read
    } else {
        Phase::Run
    };
    if !job.arrivals.begin(job, phase) {
        target.give_back(link);
        return Err(Cause::NoBudget);
    }
    let request = request(job, directive);
    let suspect = job.gateway.is_suspect(job.content);
    let run = Run::new(target, job.content, suspect);
    let runs = phase == Phase::Run;
    job.open.passed_on(&target.id.0, runs);
    let sending = link.sender().try_send_request(request);
    let answered = tokio::select! {
        answered = sending => answered,
        () = timeout.over(job, target) => return Err(Cause::TimeOver),
        () = ended(target) => return Err(Cause::Broken),
    };
    let response = match answered {
        Ok(response) => response,
        Err(mut error) => {
            return Err(match error.take_message() {
                // the connection had closed before a byte was written
                Some(_) => {
                    run.answered();
                    not_run(job, runs);
                    Cause::NotSent
                }
                None if error.error().is_parse() => Cause::Foreign,
                None => {
                    run.broke();
                    job.gateway.look_for_end(target, &job.ask.id).await;
                    Cause::Broken
                }
            });
        }
    };
    target.progressed();
    let (head, body) = response.into_parts();
    let reply = job.gateway.edges.dialect.reply(&job.ask.id, &head);
    target.keeps(reply.keeps);
    match () {
        () if !reply.ours => Err(Cause::Foreign),
        () if reply.not_run => {
            run.answered();
            not_run(job, runs);
            give_back_after(target, link, body);
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
fn not_run(job: &Job, runs: bool) {
    if runs {
        job.open.not_run();
    }
}

/// Puts the request together as the endpoint gets it.
fn request(job: &Job, directive: &Directive) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.uri.clone();
    let mut headers = job.headers.clone();
    job.gateway.edges.dialect.direct(directive, &mut headers);
    *request.headers_mut() = headers;
    request
}

/// The most of a refusal's body that is read for its connection to be used again.
const REFUSAL: u64 = 4 << 10;

/// Reads the short rest of an answer and gives its connection back.
fn give_back_after(target: &Arc<Target>, link: Link, body: Incoming) {
    if body.size_hint().upper().is_none_or(|most| most > REFUSAL) {
        return;
    }
    let target = Arc::clone(target);
    tokio::spawn(async move {
        if body.collect().await.is_ok() {
            target.give_back(link);
        }
    });
}

/// The longest wait for the answer to a call of the gateway's own.
const CALL: Duration = Duration::from_secs(1);
/// The most of an answer to such a call that is read, in bytes: some 40 for each of the parts that an engine lists, of
/// which as many are remembered as [`policy::prefix_cache`] keeps.
const CALL_BYTES: usize = 256 << 10;
/// Connections that calls of the gateway's own may hold to an endpoint.
const CALL_LINKS: usize = 64;

/// Makes a call of the gateway's own to an endpoint and gives the whole answer; none if there was
/// none.
pub async fn call(target: &Arc<Target>, call: Call) -> Option<(StatusCode, Bytes)> {
    call_within(CALL, target, call).await
}

/// The same for a call that may take so long.
pub async fn call_within(
    timeout: Duration,
    target: &Arc<Target>,
    call: Call,
) -> Option<(StatusCode, Bytes)> {
    let mut link = target.connect(ANY, CALL_LINKS).await.ok()?;
    let mut request = Request::new(Full::new(call.body));
    *request.method_mut() = call.method;
    *request.uri_mut() = call.path.parse().ok()?;
    *request.headers_mut() = call.headers;
    let exchange = async {
        let response = link.sender().send_request(request).await.ok()?;
        let status = response.status();
        let body = Limited::new(response.into_body(), CALL_BYTES).collect();
        Some((status, body.await.ok()?.to_bytes()))
    };
    let answer = clock::timeout(timeout, exchange).await.ok()??;
    target.give_back(link);
    Some(answer)
}
