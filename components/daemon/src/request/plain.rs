//! `/services/NAME/…`: requests that are forwarded to plain services.

use std::time::Instant;

use bytes::Bytes;
use endpoint::{Failure, service::forwarded_headers};
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
    gates::{Id, RequestGuard},
    lock,
    pool::Entry,
};

/// Prefix of the paths of plain services.
pub const PATH_PREFIX: &str = "/services/";
/// Request header with an idempotency key: a retry by the caller with the same key does not execute
/// the request again.
const KEY_HEADER: &str = "idempotency-key";
/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 256;

/// A request to a plain service, with its body received.
pub struct Call {
    /// State of the request.
    pub context: Context,
    /// Authenticated caller.
    pub caller: Caller,
    /// Name of the service.
    pub service: String,
    /// HTTP method.
    pub method: Method,
    /// Path after the service's name, with the query.
    pub path: String,
    /// Request headers.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// Whether a failed attempt may be retried.
    pub retry_policy: RetryPolicy,
}

/// An answer of which the headers have been received, and the guard of the request at its endpoint.
pub struct EndpointResponse {
    /// Headers, and the body as it is received.
    pub response: Response<Incoming>,
    /// Counts the request at its endpoint until the body has been received.
    pub guard: RequestGuard,
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
    /// Sends the request to an endpoint. A failed attempt is retried at another endpoint if the
    /// request was certainly not executed or is idempotent.
    pub async fn send(&self) -> Result<EndpointResponse, Refusal> {
        let mut avoid: Vec<Id> = Vec::new();
        for attempt in 1.. {
            let Some((entry, guard)) = self.select_endpoint(&avoid) else {
                break;
            };
            if self.context.is_caller_gone().await {
                break;
            }
            match self.send_attempt(&entry).await {
                Ok(response) => return Ok(EndpointResponse { response, guard }),
                Err(failure) => {
                    drop(guard);
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

    /// Selects the open endpoint with the fewest requests in flight from this daemon, preferring
    /// those in the local data centre.
    fn select_endpoint(&self, avoid: &[Id]) -> Option<(Entry, RequestGuard)> {
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
            let guard = process.gates.try_acquire(&entry.id)?;
            Some((entry, guard))
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
            pool.with_entry(id, Entry::quarantine);
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
        let budget = &mut lock(&process.retry_budget);
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

    /// Streams an answer to the caller. If the endpoint's transfer is aborted, so is the caller's. The
    /// request is recorded as answered before the body is received.
    pub fn forward(self, answer: EndpointResponse) -> Response<Body> {
        let EndpointResponse { response, guard } = answer;
        let (head, body) = response.into_parts();
        self.record_answered("answered");
        let aborted = Aborted {
            request: self.context.id.clone(),
            reason: Reason::AnswerLost,
        };
        // the request counts as in flight, here and at the endpoint, until its last chunk is sent
        let guards = (self, guard);
        let chunks = BodyDataStream::new(body).map(move |chunk| {
            let _ = &guards;
            chunk.map_err(|_| aborted.clone())
        });
        let mut response = Response::new(super::stream_body(chunks));
        *response.status_mut() = head.status;
        *response.headers_mut() = forwarded_headers(&head.headers);
        response
    }

    /// Records that the request was answered: in the timeline, the metrics and the retry budget.
    pub fn record_answered(&self, outcome: &str) {
        let process = &self.context.process;
        lock(&process.retry_budget).record_success();
        self.context.record(Kind::Finished, outcome);
        process
            .metrics
            .requests
            .with_label_values(&[self.service.as_str(), self.caller.group.1.as_str(), outcome])
            .inc();
    }
}
