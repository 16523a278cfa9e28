//! A request that has been read and found its route.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use caller::Open;
use clock::Instant;
use hyper::{HeaderMap, Method, Uri, http::request::Parts};

use super::{attempts::Arrivals, fingerprint::Fingerprint};
use crate::{
    connection::CountGuard,
    edge::Metadata,
    process::Gateway,
    version::{Route, Service},
};

/// How long a caller waits if neither it nor its route says.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);
/// The part of an objective that the way from the caller and back takes, with a new connection.
const CALLER_TRANSIT: Duration = Duration::from_millis(12);

/// What came of a caller.
pub struct Received {
    /// What its head says beyond HTTP.
    pub metadata: Metadata,
    /// Its head.
    pub head: Parts,
    /// Its body.
    pub body: Bytes,
    /// When its head had come.
    pub arrived: Instant,
    /// Its place on the caller's connection.
    pub open: Open,
}

/// A request.
pub struct Job {
    /// The process.
    pub gateway: Arc<Gateway>,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that it goes to.
    pub service: Arc<Service>,
    /// What its head says beyond HTTP.
    pub metadata: Metadata,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its headers as they go on to endpoints.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// What it asks for.
    pub fingerprint: Fingerprint,
    /// When it arrived.
    pub arrived: Instant,
    /// When its time is over: the caller's, or the route's if that is shorter.
    pub deadline: Instant,
    /// Until when an answer is worth most.
    pub objective: Instant,
    /// The longest pause that streams of its service may have.
    pub max_stall: Option<Duration>,
    /// Its arrivals at endpoints.
    pub arrivals: Arrivals,
    /// Its place on the caller's connection.
    pub open: Open,
    _in_flight: CountGuard,
}

impl Job {
    /// A request with all that belongs to it.
    pub fn new(
        gateway: Arc<Gateway>,
        route: Arc<Route>,
        service: Arc<Service>,
        received: Received,
    ) -> Self {
        let Received {
            metadata,
            head,
            body,
            arrived,
            open,
        } = received;
        let caller_timeout = metadata.timeout.unwrap_or(DEFAULT_TIMEOUT);
        let timeout = route.timeout.unwrap_or(caller_timeout);
        let deadline = arrived + caller_timeout.min(timeout);
        let objective = arrived + route.objective.saturating_sub(CALLER_TRANSIT);
        let headers = gateway.adapters.dialect.forwarded_headers(&head.headers);
        let max_stall = gateway
            .configuration()
            .and_then(|version| version.tightest_max_stall(&service.name));
        let in_flight = CountGuard::new(&gateway.in_flight);
        let fingerprint = Fingerprint::of(&head.method, super::host(&head), &head.uri, &body);
        Self {
            gateway,
            route,
            service,
            metadata,
            method: head.method,
            uri: head.uri,
            headers,
            body,
            fingerprint,
            arrived,
            deadline,
            objective,
            max_stall,
            arrivals: Arrivals::default(),
            open,
            _in_flight: in_flight,
        }
    }

    /// The time until its deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// The time until its caller leaves if nothing has come.
    pub fn first_event_timeout(&self) -> Duration {
        let silence = self.route.max_silence.map(|silence| self.arrived + silence);
        let latest = silence.map_or(self.deadline, |leaves| leaves.min(self.deadline));
        latest.saturating_duration_since(Instant::now())
    }

    /// Whether it will have ended before this process does: after so long by
    /// expectation. What comes when the balancer sends nothing any more must not be cut even if its
    /// endpoint falls silent, so its whole time has to fit.
    pub fn ends_before_stop(&self, expected: Duration) -> bool {
        let now = Instant::now();
        self.gateway.shutdown().is_none_or(|stop| {
            // the balancer still sends until then, and takes no cut amiss
            let ends = if now < stop.balancer_removed {
                (now + expected).min(self.deadline)
            } else {
                self.deadline
            };
            ends <= stop.deadline
        })
    }

    /// Connections that this process may hold to one endpoint of its service.
    pub fn max_connections(&self) -> usize {
        let sharers = usize::try_from(self.gateway.peers.count_alive()).unwrap_or(0) + 1;
        (self.service.max_connections / sharers).max(MIN_CONNECTIONS)
    }
}

impl Drop for Job {
    fn drop(&mut self) {
        self.arrivals.release(self);
    }
}

/// Connections to an endpoint that a process may always hold.
const MIN_CONNECTIONS: usize = 4;
