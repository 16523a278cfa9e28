//! What lives as long as the process: its identity, what it knows, and its loops.

mod backoff;
mod configuration;
mod crashes;
mod endpoints;
mod follow;
mod missing;
mod reload;
mod service;
mod shutdown;
mod status;
mod suspects;
mod withheld;

pub use follow::List;
pub use service::{DemandTotals, RetryPermit};
pub use shutdown::Shutdown;
pub use suspects::Source;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use clock::Instant;
use cloud::table::Table;
use parking_lot::{Mutex, RwLock};
use settings::gateway::{Bounds, Settings};
use telemetry::metrics::gateway::Metrics;
use tokio::{net::TcpListener, net::UdpSocket, sync::watch, task::JoinSet};

use backoff::{Backoff, next_read};
use follow::LastChanges;
use service::Services;
use suspects::Suspects;

use crate::{
    connection,
    edge::{Dialect, Directory},
    endpoint::Registry,
    error::Error,
    peer::{self, Peers},
    steward::{self, Steward},
    version::{Configuration, Limits, idle},
};

/// How long a process that starts is not ready because it has not read which requests are withheld: several times what
/// the store's answers take. Serving without them costs an endpoint or two, not serving costs all callers.
const WITHHELD_READ_TIMEOUT: Duration = Duration::from_secs(1);

/// How far a planned stop has come. See `docs/DESIGN.md#planned-stop`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Serving.
    Serving,
    /// Not ready any more, but the balancer still sends connections, and they are served; connections
    /// close after the answer under way.
    Draining,
    /// About to end: whatever comes is refused.
    Closing,
    /// Everything is over.
    Stopped,
}

/// The adapters to the world around the process.
#[derive(Clone)]
pub struct Adapters {
    /// The operators' lists.
    pub directory: Arc<dyn Directory>,
    /// How callers and endpoints put things into HTTP.
    pub dialect: Arc<dyn Dialect>,
    /// The table that keeps what must last.
    pub table: Arc<dyn Table>,
}

/// The state that the parts of a gateway share.
pub struct Gateway {
    /// Its settings as it started.
    pub settings: Settings,
    /// The bounds for all gateways together, as the settings file says now.
    pub bounds: RwLock<Bounds>,
    /// Its metrics.
    pub metrics: Metrics,
    /// Its identity: random at start, never reused.
    pub incarnation: u64,
    /// The adapters.
    pub adapters: Adapters,
    /// The endpoints.
    pub registry: Registry,
    /// The gateways that it knows.
    pub peers: Peers,
    /// What this process does as the steward.
    pub steward: Steward,
    /// How far a planned stop has come.
    pub phase: watch::Sender<Phase>,
    /// Open connections of callers; a planned stop waits until there are none.
    pub connections: watch::Sender<usize>,
    /// Requests under way; a planned stop waits until there are none.
    pub in_flight: watch::Sender<usize>,
    /// When a planned stop ends, if one has begun.
    shutdown: RwLock<Option<Shutdown>>,
    configuration: RwLock<Option<Arc<Configuration>>>,
    idle_limits: idle::History,
    /// Whether the endpoints were read once.
    endpoints_read: watch::Sender<bool>,
    /// Since when the store has answered each call of this process; none if it failed the last one.
    store_available_since: Mutex<Option<Instant>>,
    /// The last changes of the operators' lists that this process knows.
    pub last_changes: LastChanges,
    /// What is counted and learnt of each service, sorted by service.
    services: Services,
    /// Requests that endpoints ended under.
    suspects: Suspects,
    started: Instant,
}

impl Gateway {
    /// The configuration in force; none before the first one is known.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.read().clone()
    }

    /// Bounds towards callers.
    pub fn limits(&self) -> Limits {
        self.configuration
            .read()
            .as_ref()
            .map_or_else(Limits::default, |version| version.limits)
    }

    /// Puts a configuration into force unless a newer one is. Says whether it did.
    pub fn adopt(&self, version: Arc<Configuration>) -> bool {
        let mut current = self.configuration.write();
        let newer = current
            .as_ref()
            .is_none_or(|current| current.version < version.version);
        if newer {
            self.idle_limits
                .record(Instant::now(), version.limits.idle_timeout);
            *current = Some(version);
        }
        newer
    }

    /// How long a connection may stay that has been idle since then: the longest limit that its caller may go by. One
    /// that has become shorter is not yet known to all callers while operators grant it time to come into force.
    pub fn idle_limit(&self, since: Instant) -> Duration {
        let unknown = self.bounds.read().configuration_ms;
        let since = since.checked_sub(unknown).unwrap_or(since);
        let longest = self.idle_limits.longest_since(since);
        longest.unwrap_or_else(|| Limits::default().idle_timeout)
    }

    /// Whether the store answered this process's last call.
    pub fn store_available(&self) -> bool {
        self.store_available_since.lock().is_some()
    }

    /// Since when the store has answered each call of this process; none if it failed the last one, or if
    /// this process calls too seldom to know.
    pub fn store_available_since(&self) -> Option<Instant> {
        let since = *self.store_available_since.lock();
        since.filter(|_| self.reads_lists())
    }

    /// Notes whether the store answered a call.
    pub fn record_store_call(&self, answered: bool) {
        let mut since = self.store_available_since.lock();
        if answered {
            since.get_or_insert_with(Instant::now);
        } else {
            *since = None;
        }
    }

    /// Counts a call to the store.
    pub fn count_store_call(&self, call: &str, answered: bool) {
        let labels = [call, if answered { "yes" } else { "no" }];
        self.metrics.calls.with_label_values(&labels).inc();
    }

    /// Whether this process reads the operators' lists itself.
    pub fn reads_lists(&self) -> bool {
        follow::reads_lists(self)
    }

    /// The planned stop that has begun.
    pub fn shutdown(&self) -> Option<Shutdown> {
        *self.shutdown.read()
    }

    /// Time since the start, for decisions that keep their own time.
    pub fn micros(&self) -> policy::Micros {
        policy::micros(self.started.elapsed())
    }

    /// Whether it can serve: it knows the configuration, the endpoints and the withheld requests, and doesn't stop.
    pub fn is_ready(&self) -> bool {
        *self.phase.borrow() == Phase::Serving
            && self.configuration.read().is_some()
            && *self.endpoints_read.borrow()
            && (self.suspects.is_loaded() || self.started.elapsed() > WITHHELD_READ_TIMEOUT)
    }
}

/// Where a gateway listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Callers.
    pub callers: SocketAddr,
    /// The balancer.
    pub ready: SocketAddr,
    /// Peers.
    pub peers: SocketAddr,
    /// Whoever collects the metrics.
    pub metrics: SocketAddr,
}

/// A running gateway. Dropping it ends it hard, as a kill would.
pub struct Running {
    gateway: Arc<Gateway>,
    tasks: JoinSet<()>,
}

impl Running {
    /// Where it listens; a port that was left open in the settings has been chosen.
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

    /// Takes settings that have changed, as far as a running process can.
    pub fn reload(&self, settings: &Settings) {
        reload::apply(&self.gateway, settings);
    }

    /// Its name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.gateway.settings.gateway.name
    }

    /// Begins a planned stop.
    pub fn stop(&self) {
        shutdown::begin(&self.gateway);
    }

    /// Waits for the end of a planned stop and says how many requests it had to cut.
    pub async fn ended(&mut self) -> usize {
        let mut phase = self.gateway.phase.subscribe();
        // the sender lives in the process, which this handle keeps
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
/// [`Error`] when an address can't be bound.
pub async fn start(mut settings: Settings, adapters: Adapters) -> Result<Running, Error> {
    let own = &mut settings.gateway;
    let callers = listen(&mut own.callers).await?;
    let ready = listen(&mut own.ready).await?;
    let peers = bind_udp(&mut own.peers).await?;
    let metrics = listen(&mut own.metrics).await?;
    let gateway = Arc::new(assemble(settings, adapters)?);
    log::info!(
        gateway = gateway.settings.gateway.name, incarnation = gateway.incarnation,
        data_centre = gateway.settings.gateway.data_centre; "started"
    );
    let mut tasks = JoinSet::new();
    tasks.spawn(clock::watch(|missed| {
        let missed_ms = policy::micros(missed) / 1_000;
        log::warn!(missed_ms; "the machine was suspended");
    }));
    tasks.spawn(configuration::run(Arc::clone(&gateway)));
    tasks.spawn(endpoints::run(Arc::clone(&gateway)));
    tasks.spawn(peer::run(Arc::clone(&gateway), peers));
    tasks.spawn(status::serve(Arc::clone(&gateway), ready, status::ready));
    tasks.spawn(status::serve(
        Arc::clone(&gateway),
        metrics,
        status::metrics,
    ));
    tasks.spawn(connection::accept(Arc::clone(&gateway), callers));
    tasks.spawn(steward::run(Arc::clone(&gateway)));
    tasks.spawn(shutdown::run(Arc::clone(&gateway)));
    let shared = Arc::clone(&gateway);
    tasks.spawn(async move { withheld::run(&shared).await });
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
        steward: Steward::default(),
        phase: watch::Sender::new(Phase::Serving),
        connections: watch::Sender::new(0),
        in_flight: watch::Sender::new(0),
        shutdown: RwLock::default(),
        configuration: RwLock::default(),
        idle_limits: idle::History::default(),
        endpoints_read: watch::Sender::new(false),
        store_available_since: Mutex::default(),
        last_changes: LastChanges::default(),
        services: Services::default(),
        suspects: Suspects::default(),
        started: Instant::now(),
        settings,
    })
}

/// Listens on an address, and notes the port if it was left open.
async fn listen(address: &mut SocketAddr) -> Result<TcpListener, Error> {
    let failed = |source| Error::Bind {
        address: *address,
        source,
    };
    let listener = TcpListener::bind(*address).await.map_err(failed)?;
    *address = listener.local_addr().map_err(failed)?;
    Ok(listener)
}

/// The same for datagrams.
async fn bind_udp(address: &mut SocketAddr) -> Result<UdpSocket, Error> {
    let failed = |source| Error::Bind {
        address: *address,
        source,
    };
    let socket = UdpSocket::bind(*address).await.map_err(failed)?;
    *address = socket.local_addr().map_err(failed)?;
    Ok(socket)
}
