//! State with the lifetime of the process: its identity, the data shared by all requests, and its background
//! tasks.

mod backoff;
mod builds;
mod configuration;
mod crashes;
mod endpoints;
mod follow;
mod freshness;
pub mod memory;
mod missing;
mod paths;
mod reload;
mod restart;
mod service;
mod shutdown;
mod status;
mod streams;
pub mod usage;
mod withheld;

pub use builds::{Reported, Rows};
pub use crashes::{Liveness, join};
pub use follow::List;
pub use restart::run_again;
pub use service::{DemandTotals, RetryPermit};
pub use shutdown::Shutdown;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use clock::Instant;
use cloud::table::Table;
use parking_lot::{Mutex, RwLock};
use settings::gateway::{Bounds, Settings};
use telemetry::metrics::gateway::Metrics;
use tokio::{net::TcpListener, net::UdpSocket, sync::watch, task::JoinSet};

use backoff::{Backoff, next_read};
use builds::StoredBuilds;
use follow::LastChanges;
use freshness::Confirmation;
use memory::Budget;
use service::Services;
use streams::StoredStreams;
use usage::Usage;

use crate::{
    adapters::{Dialect, Directory, Duties, DutyError},
    connection::{self, Overload},
    crashes::Crashes,
    endpoint::Registry,
    error::Error,
    forwarding::{Admission, Connections},
    peer::{self, Peers},
    steward::{self, Steward},
    streams::Streams,
    version::{Configuration, Limits, idle},
};

/// How long a starting process stays not ready because it has not yet read the withheld requests from the
/// store; several times the store's response time. Serving without them may crash one or two endpoints; as
/// long as the process is not ready it serves no caller at all.
const WITHHELD_READ_TIMEOUT: Duration = Duration::from_secs(1);

/// The phases of a graceful shutdown. See `docs/DESIGN.md#planned-stop`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Serving normally.
    Serving,
    /// No longer ready, but connections that the load balancer still sends are served. Connections close
    /// after the response in flight.
    Draining,
    /// About to exit: new requests are refused.
    Closing,
    /// The shutdown is complete.
    Stopped,
}

/// The adapters to the systems around the process.
#[derive(Clone)]
pub struct Adapters {
    /// The operators' lists of endpoints and configurations.
    pub directory: Arc<dyn Directory>,
    /// The mapping to HTTP as callers and endpoints use it.
    pub dialect: Arc<dyn Dialect>,
    /// The table for data that must survive the process.
    pub table: Arc<dyn Table>,
    /// The platform's calls for one gateway at a time; `None` if the deployment has none.
    pub duties: Option<Arc<dyn Duties>>,
}

/// The shared state of a gateway process.
pub struct Gateway {
    /// The settings that the process started with.
    pub settings: Settings,
    /// The bounds for all gateways together, as last read from the settings file.
    pub bounds: RwLock<Bounds>,
    /// The metrics.
    pub metrics: Metrics,
    /// The identity of this process: random at start and never reused.
    pub incarnation: u64,
    /// The adapters.
    pub adapters: Adapters,
    /// The endpoints.
    pub registry: Registry,
    /// The other gateways that are known.
    pub peers: Peers,
    /// Connections to peers for requests that are forwarded to them.
    pub forwarding: Connections,
    /// The requests in flight that peers have forwarded to this process.
    pub admission: Admission,
    /// The memory for the bodies of requests in flight.
    pub bodies: Budget,
    /// The state of this process as the steward.
    pub steward: Steward,
    /// The phase of a graceful shutdown.
    pub phase: watch::Sender<Phase>,
    /// The number of open caller connections that have carried a request; a graceful shutdown waits until it
    /// is zero.
    pub connections: watch::Sender<usize>,
    /// Whether this process has more work than it can do.
    pub overload: Overload,
    /// The number of requests in flight; a graceful shutdown waits until it is zero.
    pub in_flight: watch::Sender<usize>,
    /// The deadlines of the graceful shutdown, once one has begun.
    shutdown: RwLock<Option<Shutdown>>,
    configuration: RwLock<Option<Arc<Configuration>>>,
    idle_limits: idle::History,
    /// How recent the configuration is known to be.
    confirmation: Confirmation,
    /// Usage of the workspaces.
    pub usage: Usage,
    /// Whether the list of endpoints has been read at least once.
    endpoints_read: watch::Sender<bool>,
    /// Since when the store has been available to this process; `None` if the last call recorded by
    /// `record_store_availability` failed, or before the first one.
    store_available_since: Mutex<Option<Instant>>,
    /// The newest known revisions of the operators' lists.
    pub last_changes: LastChanges,
    /// Counters and learnt values of each service.
    services: Services,
    /// Crashes of endpoints, and what may have caused them.
    pub crashes: Crashes,
    /// The builds that began streams.
    pub streams: Streams,
    /// Builds in the store.
    stored_builds: StoredBuilds,
    /// This process's streams in the store.
    stored_streams: StoredStreams,
    started: Instant,
}

impl Gateway {
    /// Returns the configuration in force; `None` until the first one is known.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.read().clone()
    }

    /// Returns the limits for callers.
    pub fn limits(&self) -> Limits {
        self.configuration
            .read()
            .as_ref()
            .map_or_else(Limits::default, |configuration| configuration.limits)
    }

    /// Puts a configuration into force unless the current one is at least as new. Returns whether it did.
    pub fn adopt_configuration(&self, configuration: Arc<Configuration>) -> bool {
        let mut current = self.configuration.write();
        let newer = current
            .as_ref()
            .is_none_or(|current| current.version < configuration.version);
        if newer {
            self.idle_limits
                .record(Instant::now(), configuration.limits.idle_timeout);
            *current = Some(configuration);
        }
        newer
    }

    /// Returns how long a connection that has been idle since `since` may stay open: the longest limit that
    /// its caller may still rely on. Callers may not know of a shortened limit until the time that operators
    /// allow for a configuration to take effect has passed.
    pub fn idle_limit(&self, since: Instant) -> Duration {
        let notice_period = self.bounds.read().configuration_ms;
        let since = since.checked_sub(notice_period).unwrap_or(since);
        let longest = self.idle_limits.longest_since(since);
        longest.unwrap_or_else(|| Limits::default().idle_timeout)
    }

    /// Whether the store is available to this process: the last call that was recorded succeeded.
    pub fn store_available(&self) -> bool {
        self.store_available_since.lock().is_some()
    }

    /// Returns since when the store has been available to this process; `None` if the last recorded call
    /// failed, or if this process does not read the operators' lists.
    pub fn store_available_since(&self) -> Option<Instant> {
        let since = *self.store_available_since.lock();
        since.filter(|_| self.reads_lists())
    }

    /// Records whether the store answered a call. Called after reads of the endpoint list, after failed reads
    /// and renewals of the steward's lease, and after successful reads of the registration rows.
    pub fn record_store_availability(&self, answered: bool) {
        let mut since = self.store_available_since.lock();
        if answered {
            since.get_or_insert_with(Instant::now);
        } else {
            *since = None;
        }
    }

    /// Counts a call to the store in the metrics.
    pub fn count_store_call(&self, call: &str, answered: bool) {
        let labels = [call, if answered { "yes" } else { "no" }];
        self.metrics.store_calls.with_label_values(&labels).inc();
    }

    /// Counts a call that only the steward makes to the platform in the metrics.
    pub fn count_duty(&self, call: &str, outcome: Result<(), DutyError>) {
        let outcome = match outcome {
            Ok(()) => "accepted",
            Err(DutyError::Unavailable) => "unavailable",
            Err(DutyError::Throttled) => "throttled",
            Err(DutyError::Refused(_)) => "refused",
            Err(DutyError::Unanswered) => "unanswered",
        };
        self.metrics
            .duties
            .with_label_values(&[call, outcome])
            .inc();
    }

    /// Whether this process reads the operators' lists from the store itself.
    pub fn reads_lists(&self) -> bool {
        follow::reads_lists(self)
    }

    /// Whether followers can rely on this process for the operators' lists.
    pub fn is_reliable_reader(&self) -> bool {
        follow::is_reliable_reader(self)
    }

    /// Returns the graceful shutdown in progress, if any.
    pub fn shutdown(&self) -> Option<Shutdown> {
        *self.shutdown.read()
    }

    /// Returns the microseconds since the start of the process, for the policy's time-based decisions.
    pub fn micros(&self) -> policy::Micros {
        policy::micros(self.started.elapsed())
    }

    /// Whether the process can serve: it is not shutting down and has the configuration, the endpoints, the
    /// withheld requests and builds at which streams may begin, and accepts keys. The load balancer prefers other gateways until then.
    pub fn is_ready(&self) -> bool {
        *self.phase.borrow() == Phase::Serving
            && self.configuration.read().is_some()
            && *self.endpoints_read.borrow()
            && self.accepts_keys()
            && (self.started.elapsed() > WITHHELD_READ_TIMEOUT
                || self.crashes.rows().is_loaded() && self.may_begin_streams())
    }
}

/// The addresses that a gateway listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For the load balancer's readiness probes.
    pub ready: SocketAddr,
    /// For peers.
    pub peers: SocketAddr,
    /// For the metrics collector.
    pub metrics: SocketAddr,
}

/// A running gateway. Dropping it aborts all its tasks without a graceful shutdown, as if the process were
/// killed.
pub struct Running {
    gateway: Arc<Gateway>,
    tasks: JoinSet<()>,
}

impl Running {
    /// Returns the addresses that it listens on; a port left open in the settings is replaced by the one
    /// chosen.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        let settings = &self.gateway.settings.gateway;
        Addresses {
            callers: settings.callers,
            ready: settings.ready,
            peers: settings.peers,
            metrics: settings.metrics,
        }
    }

    /// Applies changed settings as far as a running process can.
    pub fn reload(&self, settings: &Settings) {
        reload::apply(&self.gateway, settings);
    }

    /// Returns the name of the gateway.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.gateway.settings.gateway.name
    }

    /// Begins a graceful shutdown.
    pub fn stop(&self) {
        shutdown::begin(&self.gateway);
    }

    /// Waits for the end of a graceful shutdown and returns how many requests were interrupted.
    pub async fn ended(&mut self) -> usize {
        let mut phase = self.gateway.phase.subscribe();
        // the sender lives in the process, which this handle keeps alive
        let _ = phase.wait_for(|phase| *phase == Phase::Stopped).await;
        let cut = *self.gateway.in_flight.borrow();
        self.tasks.abort_all();
        cut
    }
}

/// Starts a gateway.
///
/// # Errors
///
/// [`Error`] if an address cannot be bound.
pub async fn start(mut settings: Settings, adapters: Adapters) -> Result<Running, Error> {
    let own = &mut settings.gateway;
    let callers = listen(&mut own.callers).await?;
    let ready = listen(&mut own.ready).await?;
    let (peers, forwarded) = bind_peers(&mut own.peers).await?;
    let metrics = listen(&mut own.metrics).await?;
    let gateway = Arc::new(assemble(settings, adapters)?);
    log::info!(
        gateway = gateway.settings.gateway.name, incarnation = gateway.incarnation,
        data_centre = gateway.settings.gateway.data_centre; "started"
    );
    let mut tasks = JoinSet::new();
    tasks.spawn(clock::watch_suspensions(|missed| {
        let missed_ms = policy::micros(missed) / 1_000;
        log::warn!(missed_ms; "the machine was suspended");
    }));
    let shared = Arc::clone(&gateway);
    tasks.spawn(async move {
        run_again("configuration", || configuration::run(Arc::clone(&shared))).await;
    });
    let shared = Arc::clone(&gateway);
    tasks.spawn(async move {
        run_again("endpoints", || endpoints::run(Arc::clone(&shared))).await;
    });
    let shared = Arc::clone(&gateway);
    tasks.spawn(async move {
        run_again("paths", || paths::run(Arc::clone(&shared))).await;
    });
    tasks.spawn(peer::run(Arc::clone(&gateway), peers));
    tasks.spawn(status::serve(Arc::clone(&gateway), ready, status::ready));
    tasks.spawn(status::serve(
        Arc::clone(&gateway),
        metrics,
        status::metrics,
    ));
    tasks.spawn(connection::accept(Arc::clone(&gateway), callers));
    tasks.spawn(connection::accept_peers(Arc::clone(&gateway), forwarded));
    tasks.spawn(steward::run(Arc::clone(&gateway)));
    tasks.spawn(steward::report_usage(Arc::clone(&gateway)));
    tasks.spawn(steward::order_endpoints(Arc::clone(&gateway)));
    tasks.spawn(shutdown::run(Arc::clone(&gateway)));
    let shared = Arc::clone(&gateway);
    tasks.spawn(async move { connection::watch_overload(&shared).await });
    let shared = Arc::clone(&gateway);
    tasks.spawn(async move { run_again("crashes", || crashes::run(&shared)).await });
    let shared = Arc::clone(&gateway);
    tasks.spawn(async move {
        run_again("interrupted", || {
            crashes::watch_interrupted(Arc::clone(&shared))
        })
        .await;
    });
    let shared = Arc::clone(&gateway);
    tasks.spawn(async move { run_again("withheld", || withheld::run(&shared)).await });
    let shared = Arc::clone(&gateway);
    tasks.spawn(async move { run_again("builds", || builds::run(&shared)).await });
    let shared = Arc::clone(&gateway);
    tasks.spawn(async move { run_again("streams", || streams::run(&shared)).await });
    Ok(Running { gateway, tasks })
}

fn assemble(settings: Settings, adapters: Adapters) -> Result<Gateway, Error> {
    Ok(Gateway {
        bounds: RwLock::new(settings.bounds.clone()),
        metrics: Metrics::new().map_err(Error::Metrics)?,
        incarnation: rand::random(),
        adapters,
        registry: Registry::new(&settings.gateway.name, &settings.gateway.data_centre),
        peers: Peers::default(),
        forwarding: Connections::new(settings.gateway.peers.ip()),
        admission: Admission::default(),
        bodies: Budget::for_bodies(settings.resources.memory_mb),
        steward: Steward::default(),
        phase: watch::Sender::new(Phase::Serving),
        connections: watch::Sender::new(0),
        overload: Overload::default(),
        in_flight: watch::Sender::new(0),
        shutdown: RwLock::default(),
        configuration: RwLock::default(),
        idle_limits: idle::History::default(),
        confirmation: Confirmation::default(),
        usage: Usage::default(),
        endpoints_read: watch::Sender::new(false),
        store_available_since: Mutex::default(),
        last_changes: LastChanges::default(),
        services: Services::default(),
        crashes: Crashes::default(),
        streams: Streams::default(),
        stored_builds: StoredBuilds::default(),
        stored_streams: StoredStreams::default(),
        started: Instant::now(),
        settings,
    })
}

/// Binds a listener and stores the chosen port if it was left open.
async fn listen(address: &mut SocketAddr) -> Result<TcpListener, Error> {
    let failed = |source| Error::Bind {
        address: *address,
        source,
    };
    let listener = TcpListener::bind(*address).await.map_err(failed)?;
    *address = listener.local_addr().map_err(failed)?;
    Ok(listener)
}

/// How often another port is tried if the one that was chosen for digests is taken for connections.
const MAX_PORT_ATTEMPTS: u32 = 16;

/// Binds the port for peers, for digests and for connections. Stores the chosen port if it was left open.
async fn bind_peers(address: &mut SocketAddr) -> Result<(UdpSocket, TcpListener), Error> {
    let configured = *address;
    let mut attempts = 0;
    loop {
        let digests = bind_udp(address).await?;
        match listen(address).await {
            Ok(connections) => return Ok((digests, connections)),
            Err(_) if configured.port() == 0 && attempts < MAX_PORT_ATTEMPTS => {
                attempts += 1;
                *address = configured;
            }
            Err(error) => return Err(error),
        }
    }
}

/// Binds a UDP socket and stores the chosen port if it was left open.
async fn bind_udp(address: &mut SocketAddr) -> Result<UdpSocket, Error> {
    let failed = |source| Error::Bind {
        address: *address,
        source,
    };
    let socket = UdpSocket::bind(*address).await.map_err(failed)?;
    *address = socket.local_addr().map_err(failed)?;
    Ok(socket)
}
