//! State with the lifetime of the process: its identity, the data shared by all requests, and its
//! background tasks.

pub mod claims;
pub mod gates;
pub mod members;
pub mod pool;
pub mod store;

mod health;
mod heartbeat;
mod operators;
mod orders;
mod peers;
mod registration;
mod settings_sync;
mod shutdown;
mod status;
mod steward;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use cloud::{table, vms};
use endpoint::{engine::EngineClient, service::ServiceClient};
use policy::retry::Budget;
use protocol::Incarnation;
use settings::daemon::Settings;
use telemetry::{
    metrics::Metrics,
    timeline::{Kind, Timeline},
};
use tokio::{
    net::TcpListener,
    sync::{Notify, watch},
    task::JoinSet,
};

use crate::{connection, error::Error, version::Current};
use claims::Claims;
use gates::Gates;
use members::Members;
use pool::Pool;
use steward::Stewardships;
use store::Store;

/// The phases of a graceful shutdown. See `docs/DESIGN.md#planned-stop`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Serving normally.
    Serving,
    /// No longer ready, but requests that the load balancer still sends are served.
    NotReady,
    /// New requests are refused; those in flight continue.
    Draining,
    /// The shutdown is complete.
    Stopped,
}

/// The addresses that a daemon listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For peers and operators.
    pub peers: SocketAddr,
    /// For metrics and health checks.
    pub status: SocketAddr,
}

/// The shared state of a daemon.
pub struct Process {
    /// The settings that the process started with.
    pub settings: Settings,
    /// The identity of this process: random at start and never reused.
    pub incarnation: Incarnation,
    pub addresses: Addresses,
    /// The record of events for operators.
    pub timeline: Timeline,
    pub metrics: Metrics,
    /// The table for data that must survive the process.
    pub store: Store,
    vms: Box<dyn vms::VmList>,
    /// The settings version in force.
    pub current: Current,
    /// Held while newer settings that a heartbeat reported are fetched.
    fetch_lock: tokio::sync::Mutex<()>,
    /// The other daemons that are known.
    pub members: Members,
    /// The gates of all endpoints.
    pub gates: Gates,
    /// One pool per service, sorted by the service's name.
    pools: Mutex<Vec<Arc<Pool>>>,
    /// Claims of idempotency keys.
    pub claims: Claims,
    pub retry_budget: Mutex<Budget>,
    /// The client for engines.
    pub engine: EngineClient,
    /// The client for plain services.
    pub service: ServiceClient,
    /// The phase of a graceful shutdown.
    pub phase: watch::Sender<Phase>,
    /// The number of requests in flight; a graceful shutdown waits until it is zero.
    pub in_flight: watch::Sender<usize>,
    /// Bytes of request bodies held by requests in flight.
    pub buffered_bytes: Arc<std::sync::atomic::AtomicUsize>,
    /// The number of open caller connections; a graceful shutdown waits until it is zero.
    pub connections: watch::Sender<usize>,
    /// Work that this daemon has given to each group, in microseconds, sorted by group.
    usage: Mutex<Vec<(String, u64)>>,
    /// Orders sent by this daemon whose response was lost, so that they may still take effect.
    lost_orders: Mutex<Vec<(gates::Id, u64)>>,
    /// The state of this daemon's registration in the table.
    pub registration: watch::Sender<registration::State>,
    stewardships: Stewardships,
    /// Triggers a heartbeat at once, after a settings change.
    pub(crate) heartbeat_due: Notify,
    started: std::time::Instant,
}

impl Process {
    /// Returns the pool of a service.
    pub fn pool(&self, service: &str) -> Option<Arc<Pool>> {
        let pools = self.pools();
        let at = pools.binary_search_by(|pool| pool.service.as_str().cmp(service));
        at.ok().map(|at| Arc::clone(&pools[at]))
    }

    pub fn all_pools(&self) -> Vec<Arc<Pool>> {
        self.pools().clone()
    }

    /// Adds work given to a group to its usage.
    pub fn record_usage(&self, group: &str, work: u64) {
        let mut usage = lock(&self.usage);
        match usage.binary_search_by(|(name, _)| name.as_str().cmp(group)) {
            Ok(at) => usage[at].1 += work,
            Err(at) => usage.insert(at, (group.to_owned(), work)),
        }
    }

    /// Returns this daemon's entry for heartbeats and replies to peers.
    pub fn member(&self) -> wire::Member {
        wire::Member {
            incarnation: self.incarnation.0,
            address: self.addresses.peers.to_string(),
            data_centre: self.settings.daemon.data_centre.clone(),
        }
    }

    /// Records that the response to an order was lost.
    fn record_lost_order(&self, id: &gates::Id, number: u64) {
        lock(&self.lost_orders).push((id.clone(), number));
    }

    /// Whether an order sent by this daemon may still take effect because its response was lost.
    fn is_lost_order(&self, id: &gates::Id, number: u64) -> bool {
        let lost = lock(&self.lost_orders);
        lost.iter().any(|(other, n)| other == id && *n == number)
    }

    fn pools(&self) -> MutexGuard<'_, Vec<Arc<Pool>>> {
        lock(&self.pools)
    }
}

/// Locks a mutex and ignores poisoning: a panic while a lock is held does not leave the data inconsistent.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A running daemon. Dropping it terminates it at once, as a kill would.
pub struct Running {
    process: Arc<Process>,
    tasks: JoinSet<()>,
}

impl Running {
    /// Returns the addresses that the daemon listens on.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        self.process.addresses
    }

    /// Begins a graceful shutdown.
    pub fn stop(&self) {
        shutdown::begin(&self.process);
    }

    /// Waits for the end of a graceful shutdown and returns how many requests were aborted.
    pub async fn ended(&mut self) -> usize {
        let mut phase = self.process.phase.subscribe();
        // the sender lives in the process, which this handle keeps alive
        let _ = phase.wait_for(|phase| *phase == Phase::Stopped).await;
        let aborted = *self.process.in_flight.borrow();
        self.tasks.abort_all();
        aborted
    }

    /// Terminates the daemon at once and returns how many requests were aborted.
    #[must_use]
    pub fn abort(self) -> usize {
        let aborted = *self.process.in_flight.borrow();
        self.process
            .metrics
            .aborted_streams
            .inc_by(u64::try_from(aborted).unwrap_or(0));
        aborted
    }
}

/// Starts a daemon.
///
/// # Errors
///
/// [`Error`] if an address cannot be bound.
pub async fn start(settings: Settings) -> Result<Running, Error> {
    let callers = bind(settings.daemon.callers).await?;
    let peers = bind(settings.daemon.peers).await?;
    let status = bind(settings.daemon.status).await?;
    let addresses = Addresses {
        callers: local_address(&callers, settings.daemon.callers)?,
        peers: local_address(&peers, settings.daemon.peers)?,
        status: local_address(&status, settings.daemon.status)?,
    };
    let process = Arc::new(assemble(settings, addresses)?);
    process.timeline.record(
        Kind::Started,
        "process",
        format!("incarnation {}", process.incarnation),
    );
    log::info!(
        "started as incarnation {} on {:?}",
        process.incarnation,
        process.addresses
    );
    let mut tasks = JoinSet::new();
    tasks.spawn(peers::serve(Arc::clone(&process), peers));
    tasks.spawn(status::serve(Arc::clone(&process), status));
    tasks.spawn(registration::run(Arc::clone(&process)));
    tasks.spawn(settings_sync::run(Arc::clone(&process)));
    tasks.spawn(heartbeat::run(Arc::clone(&process)));
    tasks.spawn(health::poll_vms(Arc::clone(&process)));
    tasks.spawn(health::poll_reports(Arc::clone(&process)));
    tasks.spawn(orders::reopen_endpoints(Arc::clone(&process)));
    tasks.spawn(steward::run(Arc::clone(&process)));
    tasks.spawn(claims::run(Arc::clone(&process)));
    tasks.spawn(connection::accept(Arc::clone(&process), callers));
    tasks.spawn(shutdown::run(Arc::clone(&process)));
    Ok(Running { process, tasks })
}

fn assemble(settings: Settings, addresses: Addresses) -> Result<Process, Error> {
    let metrics = Metrics::new().map_err(Error::Metrics)?;
    let timeline = Timeline::default();
    let incarnation = Incarnation(rand::random());
    let control = &settings.control;
    let timeout: Duration = control.table_timeout.into();
    let table = table::HttpTable::new(settings.platform.table, timeout);
    let heartbeat: Duration = control.heartbeat.into();
    let seeds = settings.daemon.seeds.clone();
    Ok(Process {
        incarnation,
        addresses,
        store: Store::new(Box::new(table), timeline.clone(), metrics.clone()),
        vms: Box::new(vms::HttpVmList::new(settings.platform.vms, timeout)),
        timeline,
        metrics,
        current: Current::new(),
        fetch_lock: tokio::sync::Mutex::default(),
        members: Members::new(incarnation, seeds, heartbeat * MAX_MISSED_HEARTBEATS),
        gates: Gates::default(),
        pools: Mutex::default(),
        claims: Claims::default(),
        retry_budget: Mutex::new(Budget::default()),
        engine: EngineClient::default(),
        service: ServiceClient::default(),
        phase: watch::Sender::new(Phase::Serving),
        in_flight: watch::Sender::new(0),
        buffered_bytes: Arc::default(),
        connections: watch::Sender::new(0),
        usage: Mutex::default(),
        lost_orders: Mutex::default(),
        registration: watch::Sender::new(registration::State::Registering),
        stewardships: Stewardships::default(),
        heartbeat_due: Notify::new(),
        started: std::time::Instant::now(),
        settings,
    })
}

/// Number of heartbeat intervals without a heartbeat after which a member counts as unreachable.
const MAX_MISSED_HEARTBEATS: u32 = 4;

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .map_err(|source| Error::Bind { address, source })
}

fn local_address(listener: &TcpListener, configured: SocketAddr) -> Result<SocketAddr, Error> {
    listener.local_addr().map_err(|source| Error::Bind {
        address: configured,
        source,
    })
}
