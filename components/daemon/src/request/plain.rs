//! `/services/NAME/…`: requests to plain services, passed through whole.

use std::time::Instant;

use bytes::Bytes;
use endpoint::{Failure, service::end_to_end};
use futures::StreamExt;
use http_body_util::BodyDataStream;
use hyper::{HeaderMap, Method, Request, Response, body::Incoming};
use policy::retry::{self, FailureClass};
use settings::tree::resolve::{RetryPolicy, ServiceKind};
use telemetry::timeline::Kind;

use super::{
    Body, Context, body,
    caller::Caller,
    generate::Broken,
    keyed,
    refusal::{Reason, Refusal},
};
use crate::process::{
    gates::{Id, RequestGuard},
    lock,
    pool::Entry,
};

/// Prefix of the paths.
pub const PREFIX: &str = "/services/";
/// Names a request, so that asking again does not run it again.
const KEY: &str = "idempotency-key";
/// The longest such name, in bytes.
const KEY_BYTES: usize = 256;

/// A request to a plain service, read whole.
pub struct Call {
    /// The request.
    pub context: Context,
    /// Who calls.
    pub caller: Caller,
    /// The service's name.
    pub service: String,
    /// Its method.
    pub method: Method,
    /// The path behind the service's name, with its query.
    pub path: String,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// Whether it may run twice.
    pub repeat: RetryPolicy,
}

/// An answer's head, its body still coming, and the hold on the endpoint.
pub struct Answered {
    /// Head and body.
    pub response: Response<Incoming>,
    /// Held until the body has come.
    pub hold: RequestGuard,
}

/// Serves one request.
pub async fn serve(
    mut context: Context,
    caller: Caller,
    request: Request<Incoming>,
) -> Result<Response<Body>, Refusal> {
    let (head, incoming) = request.into_parts();
    let rest = head.uri.path().strip_prefix(PREFIX).unwrap_or_default();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let service = context
        .version
        .typed
        .service(name)
        .filter(|service| service.kind == ServiceKind::Plain)
        .ok_or(Reason::UnknownService)?;
    let query = head.uri.query().map(|query| format!("?{query}"));
    let path = format!("/{path}{}", query.unwrap_or_default());
    let repeat = service.retry_policy_for(&path);
    let key = key(&head.headers)?;
    let service = service.name.clone();
    let body = body::read(&mut context, incoming).await?;
    context.note(Kind::Admitted, format!("{} {name}{path}", head.method));
    let call = Call {
        service,
        caller,
        method: head.method,
        path,
        headers: head.headers,
        body,
        repeat,
        context,
    };
    match key {
        Some(key) if repeat == RetryPolicy::Never => keyed::serve(call, &key).await,
        _ => {
            let answered = call.send().await?;
            Ok(call.pass_on(answered))
        }
    }
}

fn key(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    headers
        .get(KEY)
        .map(|value| match value.to_str() {
            Ok(key) if !key.is_empty() && key.len() <= KEY_BYTES => Ok(key.to_owned()),
            _ => Err(Reason::BadHeader(KEY).into()),
        })
        .transpose()
}

impl Call {
    /// Sends the request to an endpoint; to another one if it certainly did not run, or may run
    /// twice.
    pub async fn send(&self) -> Result<Answered, Refusal> {
        let mut avoid: Vec<Id> = Vec::new();
        for attempt in 1.. {
            let Some((entry, hold)) = self.choose(&avoid) else {
                break;
            };
            match self.attempt(&entry).await {
                Ok(response) => return Ok(Answered { response, hold }),
                Err(failure) => {
                    drop(hold);
                    self.may_go_on(&entry.id, failure, attempt)?;
                    avoid.push(entry.id);
                }
            }
        }
        Err(if avoid.is_empty() {
            Reason::NoEndpoint(std::time::Duration::from_secs(2)).into()
        } else {
            Reason::NotTaken.into()
        })
    }

    /// The open endpoint with the fewest requests in flight from here; local ones first.
    fn choose(&self, avoid: &[Id]) -> Option<(Entry, RequestGuard)> {
        let process = &self.context.process;
        let pool = process.pool(&self.service)?;
        let mut entries = pool.snapshot();
        entries.retain(|entry| entry.accepts_requests() && !avoid.contains(&entry.id));
        entries.sort_by_key(|entry| {
            (
                entry.to_engine(0).one_way_delay,
                process.gates.in_flight(&entry.id),
            )
        });
        entries.into_iter().find_map(|entry| {
            let hold = process.gates.try_acquire(&entry.id)?;
            Some((entry, hold))
        })
    }

    async fn attempt(&self, entry: &Entry) -> Result<Response<Incoming>, Failure> {
        let process = &self.context.process;
        self.context
            .note(Kind::Dispatched, format!("to {}", entry.id));
        let send = process.service.send(
            entry.endpoint.address,
            &self.method,
            &self.path,
            &self.headers,
            self.body.clone(),
        );
        tokio::time::timeout_at(self.caller.deadline.into(), send)
            .await
            .unwrap_or(Err(Failure::Lost))
    }

    fn may_go_on(&self, id: &Id, failure: Failure, attempt: u32) -> Result<(), Refusal> {
        let process = &self.context.process;
        if let Some(pool) = process.pool(&self.service) {
            pool.with_entry(id, Entry::quarantine);
        }
        let class = if failure.not_executed() {
            FailureClass::NotExecuted
        } else {
            FailureClass::MaybeExecuted
        };
        let left = self
            .caller
            .deadline
            .saturating_duration_since(Instant::now());
        let left = u64::try_from(left.as_micros()).unwrap_or(u64::MAX);
        let repeatable = self.repeat == RetryPolicy::Allowed;
        let budget = &mut lock(&process.retry_budget);
        if retry::allow_retry(class, repeatable, attempt, left, 0, budget) {
            self.context.note(Kind::Retried, format!("{id}: {failure}"));
            return Ok(());
        }
        self.context.note(Kind::Broken, format!("{id}: {failure}"));
        Err(match class {
            FailureClass::NotExecuted => Reason::NotTaken.into(),
            FailureClass::MaybeExecuted | FailureClass::Permanent if left == 0 => {
                Reason::DeadlinePassed.into()
            }
            FailureClass::MaybeExecuted | FailureClass::Permanent => Reason::AnswerLost.into(),
        })
    }

    /// Passes an answer on as it comes; a break on the way breaks the caller's transfer.
    pub fn pass_on(self, answered: Answered) -> Response<Body> {
        let Answered { response, hold } = answered;
        let (head, body) = response.into_parts();
        self.count("answered");
        let lost = Broken {
            request: self.context.id.clone(),
            reason: Reason::AnswerLost,
        };
        // the request is under way, and the endpoint held, until the last part has gone
        let kept = (self, hold);
        let parts = BodyDataStream::new(body).map(move |part| {
            let _ = &kept;
            part.map_err(|_| lost.clone())
        });
        let mut response = Response::new(super::streamed(parts));
        *response.status_mut() = head.status;
        *response.headers_mut() = end_to_end(&head.headers);
        response
    }

    /// Counts the request by its outcome.
    pub fn count(&self, outcome: &str) {
        let process = &self.context.process;
        lock(&process.retry_budget).record_success();
        self.context.note(Kind::Finished, outcome);
        process
            .metrics
            .requests
            .with_label_values(&[self.service.as_str(), self.caller.group.1.as_str(), outcome])
            .inc();
    }
}
