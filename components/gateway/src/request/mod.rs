//! How a request is handled: [`handle`] finds the route and reads the body, [`plain`] or
//! [`generate`] chooses endpoints, [`attempt`] sends the request to one of them, and [`relay`]
//! streams the response back to the caller.

pub mod access;
mod attempt;
mod attempts;
mod body;
mod events;
pub mod evidence;
mod fingerprint;
mod framing;
mod generate;
pub mod job;
mod plain;
pub mod presence;
mod refusal;
pub mod relay;
mod resumption;
mod silence;
mod timeout;
mod unserved;
mod waiting;

use std::{net::IpAddr, panic::AssertUnwindSafe, sync::Arc};

use caller::{Exchange, ExchangeGuard};
use clock::Instant;
use derive_more::Display;
use futures::FutureExt;
use hyper::{
    Request, Response,
    body::{Body as _, Incoming},
    header,
    http::request::Parts,
};

use crate::{
    adapters::Metadata,
    crashes::Withheld,
    forwarding::{
        self, Envelope, Refusal, probe,
        receive::{self, Decline, Destination},
    },
    process::{Gateway, Phase},
    version::{Configuration, Route, Service, Workspace},
};
use access::{Caller, Denial};
pub use attempt::{MAX_IDLE_ONCE, MAX_IDLE_RETRYABLE, call};
pub use attempts::{Attempts, Purpose};
pub use fingerprint::Fingerprint;
pub use generate::{Claim, Queue, Queues, Rank};
use job::{Forwarded, Job, Received};
pub use refusal::Reason;
use relay::Body;
use unserved::{Pending, Unserved};

/// Where a request comes from.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Origin {
    /// From a caller.
    #[display("caller")]
    Caller,
    /// From a peer at this address, which forwards it.
    #[display("peer")]
    Peer(IpAddr),
}

/// Handles a request that arrived on a connection. A refusal is sent immediately.
pub async fn handle(
    gateway: Arc<Gateway>,
    exchange: Arc<Exchange>,
    origin: Origin,
    request: Request<Incoming>,
) -> Response<Body> {
    let arrived = Instant::now();
    let (mut head, body) = request.into_parts();
    let method = head.method.clone();
    if let Origin::Peer(from) = origin
        && let Some(probe_request) = probe::take_request(&mut head.headers)
    {
        return probe::respond(&gateway, from, probe_request).await;
    }
    let metadata = gateway.adapters.dialect.parse_request(&head);
    let id = metadata.id.clone();
    let exchange_guard = exchange.begin(&id, head.version, arrived);
    let path = head.uri.path().to_owned();
    // unwind-safe: after a panic drop guards release everything that the request held
    let arrival = Arrival {
        gateway: &gateway,
        exchange_guard,
        head,
        body,
        metadata,
        arrived,
    };
    let response_future = AssertUnwindSafe(async {
        match origin {
            Origin::Caller => arrival.serve().await,
            Origin::Peer(from) => arrival.serve_for_peer(from).await,
        }
    })
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
        Ok(mut response) => {
            if origin != Origin::Caller {
                gateway
                    .metrics
                    .received
                    .with_label_values(&["answered"])
                    .inc();
            }
            Refusal::remove_from(response.headers_mut());
            response
        }
        Err(reason) => {
            let metrics = &gateway.metrics;
            match origin {
                Origin::Caller => &metrics.refusals,
                Origin::Peer(_) => &metrics.received,
            }
            .with_label_values(&[reason.label()])
            .inc();
            let after_ms = reason.retry_after().map(policy::micros).unwrap_or_default() / 1_000;
            log::info!(
                request = id, path, reason:%, run:% = reason.execution(), origin:%, after_ms,
                took_us = policy::micros(arrived.elapsed());
                "refused"
            );
            let mut response = reason.response();
            if origin != Origin::Caller {
                reason.for_peer().insert_into(&id, response.headers_mut());
            }
            response
        }
    };
    // on a new connection the caller may reach a gateway that accepts its key
    if *gateway.phase.borrow() >= Phase::Draining || refused == Some(Reason::KeyUnconfirmed) {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    exchange.record_response(&method, &response);
    response
}

/// A request as it arrived.
struct Arrival<'a> {
    gateway: &'a Arc<Gateway>,
    exchange_guard: ExchangeGuard,
    head: Parts,
    body: Incoming,
    metadata: Metadata,
    arrived: Instant,
}

impl Arrival<'_> {
    /// Serves a request of a caller.
    async fn serve(self) -> Result<Response<Body>, Reason> {
        let gateway = self.gateway;
        if *gateway.phase.borrow() >= Phase::Closing {
            return Err(Reason::ShuttingDown);
        }
        let configuration = gateway.configuration().ok_or(Reason::NotReady)?;
        let route = configuration
            .route(host(&self.head), self.head.uri.path())
            .ok_or(Reason::NoSuchRoute)?;
        let workspace = authorize(gateway, &configuration, route, &self.metadata, self.arrived)?;
        // of a route with several services, a stream stays at the one that began it
        let begun_by = self.metadata.resumes.as_ref().unwrap_or(&self.metadata.id);
        let hash = xxhash_rust::xxh3::xxh3_64(begun_by.as_bytes());
        let service = route
            .pick_service(hash)
            .and_then(|name| configuration.service(name))
            .ok_or(Reason::NoEndpoint(refusal::DEFAULT_RETRY_AFTER))?;
        let (route, service) = (Arc::clone(route), Arc::clone(service));
        let job = self
            .into_job(configuration, route, service, workspace, None)
            .await?;
        job.gateway.count_request(&job.service.name);
        resumption::bind(&job).await?;
        match run(job, Attempts::default()).await {
            Ok(response) => Ok(response),
            Err(Unserved::Final(reason)) => Err(reason),
            Err(Unserved::NoRoom(pending)) if forwarding::send::is_possible(&pending.job) => {
                let Pending {
                    job,
                    attempts,
                    reason,
                } = *pending;
                forwarding::send::forward(job, attempts, reason).await
            }
            Err(Unserved::NoRoom(pending)) => Err(pending.reason),
        }
    }

    /// Serves a request that a peer forwarded. The peer has checked whether its caller may use the
    /// route.
    async fn serve_for_peer(mut self, from: IpAddr) -> Result<Response<Body>, Reason> {
        let gateway = self.gateway;
        let envelope = Envelope::take_from(&mut self.head.headers)
            .ok_or(Reason::Declined(Decline::NoEnvelope))?;
        let body_bytes = usize::try_from(self.body.size_hint().lower()).unwrap_or(usize::MAX);
        let admitted =
            receive::admit(gateway, from, &envelope, body_bytes).map_err(Reason::Declined)?;
        let configuration = gateway
            .configuration()
            .ok_or(Reason::Declined(Decline::NotServing))?;
        let (host, path) = (host(&self.head), self.head.uri.path());
        let destination = receive::destination(&configuration, host, path, &envelope)
            .map_err(Reason::Declined)?;
        let workspace = envelope.workspace.clone().map(Arc::new);
        let attempts = Attempts::continuing(envelope.runs);
        let forwarded = Some(Forwarded { envelope, admitted });
        let Destination { route, service } = destination;
        let job = self
            .into_job(configuration, route, service, workspace, forwarded)
            .await?;
        log::info!(
            request = job.metadata.id, from:%, service = &*job.service.name, runs = attempts.runs(),
            left_ms = policy::micros(job.time_left()) / 1_000, in_flight = gateway.admission.count();
            "accepted a forwarded request"
        );
        run(job, attempts).await.map_err(|unserved| match unserved {
            Unserved::Final(reason) => reason,
            Unserved::NoRoom(pending) => pending.reason,
        })
    }

    /// Reads the body, and returns the request with everything that is needed to serve it.
    async fn into_job(
        self,
        configuration: Arc<Configuration>,
        route: Arc<Route>,
        service: Arc<Service>,
        workspace: Option<Arc<Workspace>>,
        forwarded: Option<Forwarded>,
    ) -> Result<Job, Reason> {
        let budget = &self.gateway.bodies;
        let body = body::read(self.body, configuration.limits, budget, self.arrived).await?;
        self.exchange_guard.body_received();
        let received = Received {
            metadata: self.metadata,
            head: self.head,
            body,
            configuration,
            workspace,
            arrived: self.arrived,
            exchange_guard: self.exchange_guard,
            forwarded,
        };
        Ok(Job::new(Arc::clone(self.gateway), route, service, received))
    }
}

/// Serves a request with the endpoints that this process reaches.
async fn run(job: Job, attempts: Attempts) -> Result<Response<Body>, Unserved> {
    if let Some(Withheld { suspect, remaining }) = job.withheld() {
        log::info!(
            request = job.metadata.id, content:% = job.fingerprint, suspect:%,
            lapses_ms = policy::micros(remaining) / 1_000;
            "a request is withheld"
        );
        return Err(Unserved::Final(Reason::Withheld(remaining)));
    }
    waiting::wait_for_build(&job).await;
    match (&job.service.engines, &job.metadata.prompt) {
        (Some(_), Some(_)) => generate::serve(job, attempts).await,
        _ => plain::serve(job, attempts).await,
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
