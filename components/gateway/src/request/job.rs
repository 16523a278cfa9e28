//! A request that has been received and matched to a route.

use std::{
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use caller::ExchangeGuard;
use clock::Instant;
use hyper::{HeaderMap, Method, Uri, http::request::Parts};
use parking_lot::Mutex;
use policy::{prompt::Prompt, remainder::Remainder};

use super::{attempts::SendCounter, body::Complete, fingerprint::Fingerprint};
use crate::{
    adapters::Metadata,
    connection::CountGuard,
    crashes::Withheld,
    endpoint::{Build, Id, Target},
    forwarding::{Admitted, Envelope},
    process::{Gateway, Shutdown, memory::Reservation},
    streams::Key,
    version::{Configuration, Kind, Route, Service, Workspace},
};

/// How long a caller waits if neither the caller nor the route sets a timeout.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);
/// A request over a lost path is given up after this many quarters of the time for which its caller waits in silence. The rest
/// is for the error to reach the caller before it disconnects.
const GIVE_UP_QUARTERS: u32 = 3;
/// The part of a latency objective that is reserved for the network between caller and gateway: a
/// new connection and both directions.
const CALLER_TRANSIT: Duration = Duration::from_millis(12);

/// A request as it was received from the caller.
pub struct Received {
    /// Metadata from the headers.
    pub metadata: Metadata,
    /// The request line and headers.
    pub head: Parts,
    /// The body.
    pub body: Complete,
    /// The configuration under which it was admitted.
    pub configuration: Arc<Configuration>,
    /// The caller's workspace; `None` if it presented no API key and needs none.
    pub workspace: Option<Arc<Workspace>>,
    /// When the headers had arrived.
    pub arrived: Instant,
    /// The request's entry on the caller's connection.
    pub exchange_guard: ExchangeGuard,
    /// Set if a peer forwarded the request.
    pub forwarded: Option<Forwarded>,
}

/// What a peer reported with a request that it forwarded.
pub struct Forwarded {
    /// What the peer knows of the request.
    pub envelope: Envelope,
    /// Counts it among the forwarded requests in flight.
    pub admitted: Admitted,
}

/// A request with everything that is needed to serve it.
pub struct Job {
    /// The process.
    pub gateway: Arc<Gateway>,
    /// The route that it matched.
    pub route: Arc<Route>,
    /// The service that it goes to.
    pub service: Arc<Service>,
    /// The caller's workspace; `None` if it presented no API key and needs none.
    pub workspace: Option<Arc<Workspace>>,
    /// Priority class; 0 is the highest.
    pub priority: u32,
    /// Metadata from the headers.
    pub metadata: Metadata,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The headers to forward to endpoints.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Identifies what the request asks for.
    pub fingerprint: Fingerprint,
    /// The keys of the parts of the prompt that other requests may have, in order.
    pub parts: Arc<[u64]>,
    /// When the request arrived at the gateway that its caller is connected to.
    pub arrived: Instant,
    /// When the request arrived at this process.
    pub received: Instant,
    /// Whether a peer forwarded it, so that it must not be forwarded again.
    pub is_forwarded: bool,
    /// The caller's deadline, or the route's if that is earlier.
    pub deadline: Instant,
    /// When the caller no longer waits, also for a response that it resumes.
    pub caller_deadline: Instant,
    /// The time until which an answer has its full value.
    pub objective: Instant,
    /// The longest time between two events that streams of this service may have.
    pub max_stall: Option<Duration>,
    /// How often the request has been sent to endpoints, for the retry budget.
    pub sends: SendCounter,
    /// The request's entry on the caller's connection.
    pub exchange_guard: ExchangeGuard,
    /// Endpoints that it has been sent to.
    sent_to: Mutex<Vec<Id>>,
    /// The build that began the stream; unset before its first event.
    build: OnceLock<Build>,
    /// The number of events of the stream that its caller has received, also in earlier responses.
    received_events: AtomicU64,
    /// Whether it has been counted in its workspace's usage.
    counted: AtomicBool,
    /// Whether it has been counted in the demand of its service.
    demand_counted: AtomicBool,
    _body_memory: Reservation,
    _in_flight: CountGuard,
    _admitted: Option<Admitted>,
}

impl Job {
    /// Creates the job of a received request.
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
            configuration,
            workspace,
            arrived: received_at,
            exchange_guard,
            forwarded,
        } = received;
        let caller_timeout = metadata.timeout.unwrap_or(DEFAULT_TIMEOUT);
        let timeout = route.timeout.unwrap_or(caller_timeout);
        let (envelope, admitted) = forwarded
            .map(|forwarded| (forwarded.envelope, forwarded.admitted))
            .unzip();
        let elapsed = envelope.as_ref().map(|envelope| envelope.elapsed);
        let arrived = elapsed.and_then(|elapsed| received_at.checked_sub(elapsed));
        let arrived = arrived.unwrap_or(received_at);
        let deadline = envelope.as_ref().map_or_else(
            || arrived + caller_timeout.min(timeout),
            |envelope| received_at + envelope.left,
        );
        let objective = arrived + route.objective.saturating_sub(CALLER_TRANSIT);
        let mut headers = gateway.adapters.dialect.forwarded_headers(&head.headers);
        // a peer that forwards a request has replaced the credentials already
        if configuration.keyring().is_some() && envelope.is_none() {
            let workspace = workspace.as_deref();
            gateway
                .adapters
                .dialect
                .set_workspace(workspace, &mut headers);
        }
        let max_stall = configuration.tightest_max_stall(&service.name);
        let workspace_priority = workspace.as_ref().and_then(|workspace| workspace.priority);
        let priority = workspace_priority.unwrap_or(route.priority);
        let in_flight = CountGuard::new(&gateway.in_flight);
        let Complete {
            bytes: body,
            reservation,
        } = body;
        let fingerprint = Fingerprint::of(&head.method, super::host(&head), &head.uri, &body);
        let prompt = metadata.prompt.as_ref();
        let parts = prompt.map_or_else(Arc::default, |prompt| prompt.shared_parts().collect());
        let resume_after = metadata.resume_after;
        let received_events = resume_after.filter(|_| route.kind == Kind::ResumableStream);
        Self {
            gateway,
            route,
            service,
            workspace,
            priority,
            metadata,
            method: head.method,
            uri: head.uri,
            headers,
            body,
            fingerprint,
            parts,
            arrived,
            received: received_at,
            is_forwarded: envelope.is_some(),
            deadline,
            caller_deadline: deadline.max(arrived + caller_timeout),
            objective,
            max_stall,
            sends: SendCounter::continuing(envelope.as_ref().map_or(0, |envelope| envelope.sends)),
            exchange_guard,
            sent_to: Mutex::default(),
            build: envelope
                .as_ref()
                .and_then(|envelope| envelope.build.clone())
                .map_or_else(OnceLock::new, OnceLock::from),
            received_events: AtomicU64::new(received_events.unwrap_or_default()),
            counted: AtomicBool::new(
                envelope
                    .as_ref()
                    .is_some_and(|envelope| envelope.usage_counted),
            ),
            demand_counted: AtomicBool::new(
                envelope.is_some_and(|envelope| envelope.demand_counted),
            ),
            _body_memory: reservation,
            _in_flight: in_flight,
            _admitted: admitted,
        }
    }

    /// Records that it is about to be sent to an endpoint.
    pub fn record_sent_to(&self, target: &Target) {
        self.sent_to.lock().push(target.id.clone());
    }

    /// Whether it has been sent to an endpoint.
    pub fn was_sent_to(&self, target: &Target) -> bool {
        self.sent_to.lock().contains(&target.id)
    }

    /// Returns the build that began the stream, as only its endpoints can continue it; `None` before the first event.
    pub fn build(&self) -> Option<&Build> {
        self.build.get()
    }

    /// Returns the key of the stream: that of the request whose response brought its first event.
    pub fn stream_key(&self) -> Key {
        let begun_by = self.metadata.resumes.as_ref().unwrap_or(&self.metadata.id);
        let workspace = self.workspace.as_ref().map(|workspace| &*workspace.name);
        Key::new(&self.service.name, workspace, begun_by)
    }

    /// Whether endpoints of a build can run or continue the request.
    pub fn accepts(&self, build: &Build) -> bool {
        match self.build() {
            Some(begun) => begun == build,
            None => !self.awaits(build),
        }
    }

    /// Whether the request is a stream that may not begin at a build yet.
    pub fn awaits(&self, build: &Build) -> bool {
        let builds = self.gateway.registry.builds();
        self.may_wait_for_build() && !builds.is_admitted(&self.service.name, build)
    }

    /// Records that the request has found no room, if it would find some at a build where it may not begin yet. That says
    /// nothing of the build in use if peers reach more of its endpoints.
    pub fn record_no_room(&self) {
        let builds = self.gateway.registry.builds();
        let name = &self.service.name;
        let is_waiting = self.may_wait_for_build() && !builds.without_row(name).is_empty();
        if is_waiting && !self.gateway.lacks_paths(name) {
            self.gateway.record_no_room_at_builds(name);
        }
    }

    /// Whether the request is a stream that callers may resume, and that has not begun.
    pub fn may_wait_for_build(&self) -> bool {
        self.route.kind == Kind::ResumableStream && self.build().is_none()
    }

    /// Binds the stream to the build that began it. The first call counts.
    pub fn bind(&self, build: &Build) {
        self.build.get_or_init(|| build.clone());
    }

    /// Records the last event that the caller has received. Endpoints number the events of a stream from one.
    pub fn record_received(&self, event: u64) {
        self.received_events.store(event, Ordering::Relaxed);
    }

    /// Returns the tokens that arrive together in one event of an answer.
    pub fn tokens_per_event(&self) -> u64 {
        let engines = self.service.engines.as_ref();
        engines.map_or(1, |engines| engines.tokens_per_event.max(1))
    }

    /// Returns what remains of the answer now.
    pub fn remainder(&self) -> Remainder {
        let none = Prompt::default();
        let prompt = self.metadata.prompt.as_ref().unwrap_or(&none);
        let events = self.received_events.load(Ordering::Relaxed);
        Remainder::new(prompt, events.saturating_mul(self.tokens_per_event()))
    }

    /// Counts the request in its workspace's usage, once. `at` is when an endpoint began to run it.
    pub fn record_start(&self, at: Instant) {
        let Some(workspace) = &self.workspace else {
            return;
        };
        if !self.counted.swap(true, Ordering::Relaxed) {
            self.gateway.count_usage(&workspace.name, at);
        }
    }

    /// Whether the request has been counted in its workspace's usage.
    pub fn is_usage_counted(&self) -> bool {
        self.counted.load(Ordering::Relaxed)
    }

    /// Whether the request still has to be counted in the demand of its service; from then on it has been.
    pub fn begin_demand_count(&self) -> bool {
        !self.demand_counted.swap(true, Ordering::Relaxed)
    }

    /// Whether the request has been counted in the demand of its service.
    pub fn is_demand_counted(&self) -> bool {
        self.demand_counted.load(Ordering::Relaxed)
    }

    /// Returns why the request is withheld from all endpoints; `None` if it may be sent.
    pub fn withheld(&self) -> Option<Withheld> {
        let rank = || self.gateway.peers.rank(self.gateway.settings.gateway.peers);
        let crashes = &self.gateway.crashes;
        crashes.withheld(self.fingerprint, &self.parts, rank)
    }

    /// Waits until the request is withheld from all endpoints.
    pub async fn until_withheld(&self) {
        let rank = || self.gateway.peers.rank(self.gateway.settings.gateway.peers);
        let crashes = &self.gateway.crashes;
        crashes
            .until_withheld(self.fingerprint, &self.parts, rank)
            .await;
    }

    /// Returns the time until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the time after which the caller gives up if no event has reached it.
    pub fn first_event_timeout(&self) -> Duration {
        self.next_event_timeout(self.arrived)
    }

    /// Returns the time after which the caller gives up if nothing has reached it after `last_event`.
    pub fn next_event_timeout(&self, last_event: Instant) -> Duration {
        let silence = self.route.max_silence.map(|silence| last_event + silence);
        let latest = silence.map_or(self.deadline, |leaves| leaves.min(self.deadline));
        latest.saturating_duration_since(Instant::now())
    }

    /// Returns when a request over a lost path is given up if nothing has reached its caller after `last_event`; `None` if
    /// its caller waits until the deadline. The error reaches the caller before it disconnects.
    pub fn gives_up_at(&self, last_event: Instant) -> Option<Instant> {
        let max_silence = self.route.max_silence?;
        Some(last_event + max_silence / 4 * GIVE_UP_QUARTERS)
    }

    /// Whether the request ends before this process shuts down, if it takes as long as `expected`.
    /// A request that arrives when the load balancer should no longer send any must not be
    /// interrupted even if its endpoint goes silent, so it is only accepted if its whole time until
    /// the deadline fits. One that arrived before goes on as late as it is expected to end in time:
    /// without that it would be broken off for certain.
    pub fn ends_before_shutdown(&self, expected: Duration) -> bool {
        self.gateway.shutdown().is_none_or(|shutdown| {
            // until `balancer_removed` the load balancer still sends requests, and tolerates one
            // that is interrupted
            let ends = if self.received < shutdown.balancer_removed {
                (Instant::now() + expected).min(self.deadline)
            } else {
                self.deadline
            };
            ends <= shutdown.deadline
        })
    }

    /// Whether the request may still be sent in a planned stop. Once the load balancer sends nothing any more, a request
    /// of which nothing has run is begun only if its whole time fits: it can be served elsewhere, and an answer that takes
    /// longer than expected would be cut off.
    pub fn may_be_sent_before_shutdown(&self) -> bool {
        let is_too_late = |shutdown: Shutdown| {
            Instant::now() >= shutdown.balancer_removed && self.deadline > shutdown.deadline
        };
        self.exchange_guard.may_have_executed() || !self.gateway.shutdown().is_some_and(is_too_late)
    }

    /// Returns how many connections this process may hold to one endpoint of the service.
    pub fn max_connections(&self) -> usize {
        let sharing_processes = usize::try_from(self.gateway.peers.count_alive()).unwrap_or(0) + 1;
        (self.service.max_connections / sharing_processes).max(MIN_CONNECTIONS)
    }
}

impl Drop for Job {
    fn drop(&mut self) {
        self.sends.refund_reserved(self);
    }
}

/// Minimum number of connections that a process may hold to an endpoint, however many processes
/// share it.
const MIN_CONNECTIONS: usize = 4;
