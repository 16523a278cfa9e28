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
    generate::Aborted,
    idempotency,
    refusal::{Reason, Refusal},
};
use crate::process::{
    gates::{Hold, Id},
    lock,
    pool::Entry,
};

/// Prefix of the paths.
pub const PATH_PREFIX: &str = "/services/";
/// Names a request, so that asking again does not run it again.
const KEY_HEADER: &str = "idempotency-key";
/// The longest such name, in bytes.
const MAX_KEY_BYTES: usize = 256;

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
    pub retry_policy: RetryPolicy,
}

/// An answer's head, its body still coming, and the hold on the endpoint.
pub struct EndpointResponse {
    /// Head and body.
    pub response: Response<Incoming>,
    /// Held until the body has come.
    pub hold: Hold,
}

/// Serves one request.
pub async fn serve(
    mut context: Context,
    caller: Caller,
    request: Request<Incoming>,
) -> Result<Response<Body>, Refusal> {
    let (head, incoming) = request.into_parts();
    let rest = head
        .uri
        .path()
        .strip_prefix(PATH_PREFIX)
        .unwrap_or_default();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let service = context
        .version
        .resolved
        .service(name)
        .filter(|service| service.kind == ServiceKind::Plain)
        .ok_or(Reason::UnknownService)?;
    let query = head.uri.query().map(|query| format!("?{query}"));
    let path = format!("/{path}{}", query.unwrap_or_default());
    let retry_policy = service.retry_policy_for(&path);
    let key = idempotency_key(&head.headers)?;
    let service = service.name.clone();
    let body = body::read(&mut context, incoming).await?;
    context.record(Kind::Admitted, format!("{} {name}{path}", head.method));
    let call = Call {
        service,
        caller,
        method: head.method,
        path,
        headers: head.headers,
        body,
        retry_policy,
        context,
    };
    match key {
        Some(key) if retry_policy == RetryPolicy::Never => idempotency::serve(call, &key).await,
        _ => {
            let answer = call.send().await?;
            Ok(call.forward(answer))
        }
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    headers
        .get(KEY_HEADER)
        .map(|value| match value.to_str() {
            Ok(key) if !key.is_empty() && key.len() <= MAX_KEY_BYTES => Ok(key.to_owned()),
            _ => Err(Reason::BadHeader(KEY_HEADER).into()),
        })
        .transpose()
}

impl Call {
    /// Sends the request to an endpoint; to another one if it certainly did not run, or may run
    /// twice.
    pub async fn send(&self) -> Result<EndpointResponse, Refusal> {
        let mut avoid: Vec<Id> = Vec::new();
        for attempt in 1.. {
            let Some((entry, hold)) = self.select_endpoint(&avoid) else {
                break;
            };
            match self.send_attempt(&entry).await {
                Ok(response) => return Ok(EndpointResponse { response, hold }),
                Err(failure) => {
                    drop(hold);
                    self.check_retry(&entry.id, failure, attempt)?;
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
    fn select_endpoint(&self, avoid: &[Id]) -> Option<(Entry, Hold)> {
        let process = &self.context.process;
        let pool = process.pool(&self.service)?;
        let mut entries = pool.snapshot();
        entries.retain(|entry| entry.takes() && !avoid.contains(&entry.id));
        entries.sort_by_key(|entry| {
            (
                entry.bare(0).one_way_delay,
                process.gates.in_flight(&entry.id),
            )
        });
        entries.into_iter().find_map(|entry| {
            let hold = process.gates.hold(&entry.id)?;
            Some((entry, hold))
        })
    }

    async fn send_attempt(&self, entry: &Entry) -> Result<Response<Incoming>, Failure> {
        let process = &self.context.process;
        self.context
            .record(Kind::Dispatched, format!("to {}", entry.id));
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

    fn check_retry(&self, id: &Id, failure: Failure, attempt: u32) -> Result<(), Refusal> {
        let process = &self.context.process;
        if let Some(pool) = process.pool(&self.service) {
            pool.with(id, Entry::failed);
        }
        let class = if failure.not_executed() {
            FailureClass::NotExecuted
        } else {
            FailureClass::MaybeExecuted
        };
        let time_left = self
            .caller
            .deadline
            .saturating_duration_since(Instant::now());
        let left_us = u64::try_from(time_left.as_micros()).unwrap_or(u64::MAX);
        let idempotent = self.retry_policy == RetryPolicy::Allowed;
        let budget = &mut lock(&process.budget);
        if retry::allow_retry(class, idempotent, attempt, left_us, 0, budget) {
            self.context
                .record(Kind::Retried, format!("{id}: {failure}"));
            return Ok(());
        }
        self.context
            .record(Kind::Broken, format!("{id}: {failure}"));
        Err(match class {
            FailureClass::NotExecuted => Reason::NotTaken.into(),
            FailureClass::MaybeExecuted | FailureClass::Permanent if left_us == 0 => {
                Reason::DeadlinePassed.into()
            }
            FailureClass::MaybeExecuted | FailureClass::Permanent => Reason::AnswerLost.into(),
        })
    }

    /// Passes an answer on as it comes; a break on the way breaks the caller's transfer.
    pub fn forward(self, answer: EndpointResponse) -> Response<Body> {
        let EndpointResponse { response, hold } = answer;
        let (head, body) = response.into_parts();
        self.record_outcome("answered");
        let aborted = Aborted {
            request: self.context.id.clone(),
            reason: Reason::AnswerLost,
        };
        // the request is under way, and the endpoint held, until the last part has gone
        let guards = (self, hold);
        let chunks = BodyDataStream::new(body).map(move |chunk| {
            let _ = &guards;
            chunk.map_err(|_| aborted.clone())
        });
        let mut response = Response::new(super::stream_body(chunks));
        *response.status_mut() = head.status;
        *response.headers_mut() = end_to_end(&head.headers);
        response
    }

    /// Counts the request by its outcome.
    pub fn record_outcome(&self, outcome: &str) {
        let process = &self.context.process;
        lock(&process.budget).record_success();
        self.context.record(Kind::Finished, outcome);
        process
            .metrics
            .requests
            .with_label_values(&[self.service.as_str(), self.caller.group.1.as_str(), outcome])
            .inc();
    }
}
