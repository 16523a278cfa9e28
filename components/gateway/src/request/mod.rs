//! How a request is handled: [`handle`] finds the route and reads the body, [`plain`] or
//! [`generate`] chooses endpoints, [`attempt`] sends the request to one of them, and [`relay`]
//! streams the response back to the caller.

pub mod access;
mod attempt;
mod attempts;
mod body;
mod events;
mod fingerprint;
mod framing;
mod generate;
mod job;
mod plain;
mod refusal;
mod relay;
mod timeout;

use std::{panic::AssertUnwindSafe, sync::Arc};

use caller::{Exchange, ExchangeGuard};
use clock::Instant;
use futures::FutureExt;
use hyper::{Request, Response, body::Incoming, header, http::request::Parts};

use crate::{
    adapters::Metadata,
    process::{Gateway, Phase},
    version::{Configuration, Route, Workspace},
};
use access::{Caller, Denial};
pub use attempt::call;
pub use fingerprint::Fingerprint;
pub use generate::Queue;
use job::{Job, Received};
use refusal::Reason;
use relay::Body;

/// Handles a request that arrived on a connection. A refusal is sent immediately.
pub async fn handle(
    gateway: Arc<Gateway>,
    exchange: Arc<Exchange>,
    request: Request<Incoming>,
) -> Response<Body> {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let metadata = gateway.adapters.dialect.parse_request(&head);
    let id = metadata.id.clone();
    let exchange_guard = exchange.begin(&id, head.version, arrived);
    let path = head.uri.path().to_owned();
    // unwind-safe: after a panic drop guards release everything that the request held
    let response_future = AssertUnwindSafe(serve(
        &gateway,
        exchange_guard,
        head,
        body,
        metadata,
        arrived,
    ))
    .catch_unwind();
    let refusal_for = |reason| {
        if exchange.may_have_executed() {
            Reason::AnswerLost
        } else {
            reason
        }
    };
    let result = tokio::select! {
        biased;
        result = response_future => result.unwrap_or_else(|_| Err(refusal_for(Reason::Panicked))),
        () = gateway.shutdown_deadline_reached() => Err(refusal_for(Reason::ShuttingDown)),
    };
    let refused = result.as_ref().err().copied();
    let mut response = match result {
        Ok(response) => response,
        Err(reason) => {
            let metrics = &gateway.metrics;
            metrics.refusals.with_label_values(&[reason.label()]).inc();
            let after_ms = reason.retry_after().map(policy::micros).unwrap_or_default() / 1_000;
            log::info!(
                request = id, path, reason:%, run:% = reason.execution(), after_ms,
                took_us = policy::micros(arrived.elapsed());
                "refused"
            );
            reason.response()
        }
    };
    // on a new connection the caller may reach a gateway that accepts its key
    if *gateway.phase.borrow() >= Phase::Draining || refused == Some(Reason::KeyUnconfirmed) {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn serve(
    gateway: &Arc<Gateway>,
    exchange_guard: ExchangeGuard,
    head: Parts,
    body: Incoming,
    metadata: Metadata,
    arrived: Instant,
) -> Result<Response<Body>, Reason> {
    if *gateway.phase.borrow() >= Phase::Closing {
        return Err(Reason::ShuttingDown);
    }
    let configuration = gateway.configuration().ok_or(Reason::NotReady)?;
    let host = host(&head);
    let route = configuration
        .route(host, head.uri.path())
        .ok_or(Reason::NoSuchRoute)?;
    let workspace = authorize(gateway, &configuration, route, &metadata, arrived)?;
    let hash = xxhash_rust::xxh3::xxh3_64(metadata.id.as_bytes());
    let service = route
        .pick_service(hash)
        .and_then(|name| configuration.service(name))
        .ok_or(Reason::NoEndpoint(refusal::DEFAULT_RETRY_AFTER))?;
    let (route, service) = (Arc::clone(route), Arc::clone(service));
    let body = body::read(body, configuration.limits, arrived).await?;
    exchange_guard.body_received();
    let received = Received {
        metadata,
        head,
        body,
        configuration,
        workspace,
        arrived,
        exchange_guard,
    };
    let job = Job::new(Arc::clone(gateway), route, service, received);
    gateway.count_request(&job.service.name);
    if let Some(lapses) = gateway.withheld_for(job.fingerprint) {
        log::info!(
            request = job.metadata.id, content:% = job.fingerprint,
            lapses_ms = policy::micros(lapses) / 1_000;
            "a request is withheld"
        );
        return Err(Reason::Withheld(lapses));
    }
    match (&job.service.engines, &job.metadata.prompt) {
        (Some(_), Some(_)) => generate::serve(job).await,
        _ => plain::serve(job).await,
    }
}

/// Returns the workspace of a caller, or `None` if it needs no key and presents none. Refuses callers that may
/// not use the route.
fn authorize(
    gateway: &Gateway,
    configuration: &Configuration,
    route: &Route,
    metadata: &Metadata,
    arrived: Instant,
) -> Result<Option<Arc<Workspace>>, Reason> {
    let freshness = gateway.freshness(arrived);
    let checked = access::check(
        configuration.keyring(),
        route.anonymous,
        metadata.key.as_ref(),
        freshness,
    );
    match checked {
        Ok(Caller::Member(workspace)) => Ok(Some(workspace)),
        Ok(Caller::Anonymous) => Ok(None),
        Err(denial) => {
            log::info!(
                request = metadata.id, route = &*route.name, version = configuration.version, freshness:?,
                age_ms = gateway.configuration_age(arrived).map(protocol::millis), denial:?;
                "an API key was not accepted"
            );
            Err(match denial {
                Denial::Unauthorized => Reason::Unauthorized,
                Denial::Unconfirmed => Reason::KeyUnconfirmed,
            })
        }
    }
}

/// Returns the host that a request names, without the port.
fn host(head: &Parts) -> &str {
    let named = head
        .headers
        .get(header::HOST)
        .and_then(|value| value.to_str().ok())
        .or_else(|| head.uri.host())
        .unwrap_or_default();
    named.split_once(':').map_or(named, |(host, _)| host)
}
