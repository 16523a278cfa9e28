//! A request that has been read and found its route.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use caller::Open;
use clock::Instant;
use hyper::{HeaderMap, Method, Uri, http::request::Parts};

use super::{attempts::Arrivals, content::Content};
use crate::{
    connection::Counted,
    edge::Ask,
    process::Gateway,
    version::{Route, Service},
};

/// How long a caller waits if neither it nor its route says.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);
/// The part of an objective that the way from the caller and back takes, with a new connection.
const WAY: Duration = Duration::from_millis(12);

/// What came of a caller.
pub struct Received {
    /// What its head says beyond HTTP.
    pub ask: Ask,
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
    pub ask: Ask,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its headers as they go on to endpoints.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// What it asks for.
    pub content: Content,
    /// When it arrived.
    pub arrived: Instant,
    /// When its time is over: the caller's, or the route's if that is shorter.
    pub deadline: Instant,
    /// Until when an answer is worth most.
    pub objective: Instant,
    /// The longest pause that streams of its service may have.
    pub pause: Option<Duration>,
    /// Its arrivals at endpoints.
    pub arrivals: Arrivals,
    /// Its place on the caller's connection.
    pub open: Open,
    _under_way: Counted,
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
            ask,
            head,
            body,
            arrived,
            open,
        } = received;
        let waits = ask.timeout.unwrap_or(DEFAULT_TIMEOUT);
        let timeout = route.timeout.unwrap_or(waits);
        let deadline = arrived + waits.min(timeout);
        let objective = arrived + route.objective.saturating_sub(WAY);
        let headers = gateway.adapters.dialect.pass_on(&head.headers);
        let pause = gateway
            .configuration()
            .and_then(|version| version.shortest_pause(&service.name));
        let under_way = Counted::new(&gateway.in_flight);
        let content = Content::of(&head.method, super::host(&head), &head.uri, &body);
        Self {
            gateway,
            route,
            service,
            ask,
            method: head.method,
            uri: head.uri,
            headers,
            body,
            content,
            arrived,
            deadline,
            objective,
            pause,
            arrivals: Arrivals::default(),
            open,
            _under_way: under_way,
        }
    }

    /// The time until its deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// The time until its caller leaves if nothing has come.
    pub fn time_to_begin(&self) -> Duration {
        let silence = self.route.silence.map(|silence| self.arrived + silence);
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
    pub fn most_links(&self) -> usize {
        let sharers = usize::try_from(self.gateway.peers.count()).unwrap_or(0) + 1;
        (self.service.connections / sharers).max(LEAST_LINKS)
    }
}

impl Drop for Job {
    fn drop(&mut self) {
        self.arrivals.release(self);
    }
}

/// Connections to an endpoint that a process may always hold.
const LEAST_LINKS: usize = 4;
