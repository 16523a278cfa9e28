//! What lives as long as the process: its identity, what it knows, and its loops.

pub mod claims;
pub mod gates;
pub mod members;
pub mod pool;
pub mod store;

mod beat;
mod health;
mod operators;
mod orders;
mod peers;
mod registration;
mod status;
mod steward;
mod stop;
mod sync;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use cloud::{table, vms};
use endpoint::{engine::Engine, service::Service};
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

/// How far a planned stop has come. See `docs/DESIGN.md#planned-stop`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Serving.
    Serving,
    /// Not ready any more, but the balancer still sends requests, and they are served.
    Lag,
    /// New requests are turned away; those under way go on.
    Draining,
    /// Everything is over.
    Ended,
}

/// Where a daemon listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Callers.
    pub callers: SocketAddr,
    /// Peers and operators.
    pub peers: SocketAddr,
    /// Metrics and health.
    pub status: SocketAddr,
}

/// The state that the parts of a daemon share.
pub struct Process {
    /// Its settings.
    pub settings: Settings,
    /// Its identity: random at start, never reused.
    pub me: Incarnation,
    /// Where it listens.
    pub addresses: Addresses,
    /// Its events.
    pub timeline: Timeline,
    /// Its metrics.
    pub metrics: Metrics,
    /// The table.
    pub store: Store,
    vms: Box<dyn vms::List>,
    /// The settings version in force.
    pub current: Current,
    /// Held while a peer's settings are fetched.
    fetching: tokio::sync::Mutex<()>,
    /// The daemons it knows.
    pub members: Members,
    /// The gates of all endpoints.
    pub gates: Gates,
    /// One pool a service, sorted by name.
    pools: Mutex<Vec<Arc<Pool>>>,
    /// Claims of idempotency keys.
    pub claims: Claims,
    /// The budget of retries.
    pub budget: Mutex<Budget>,
    /// The adapter to engines.
    pub engine: Engine,
    /// The adapter to plain services.
    pub service: Service,
    /// How far a planned stop has come.
    pub phase: watch::Sender<Phase>,
    /// Requests under way; a planned stop waits until there are none.
    pub under_way: watch::Sender<usize>,
    /// Bytes of bodies held by requests under way.
    pub held_bytes: Arc<std::sync::atomic::AtomicUsize>,
    /// Open connections of callers; a planned stop waits until there are none.
    pub connections: watch::Sender<usize>,
    /// Work given to groups by this daemon, in microseconds, sorted by group.
    usage: Mutex<Vec<(String, u64)>>,
    /// Orders of this daemon whose answers were lost: they may still strike.
    lost_orders: Mutex<Vec<(gates::Id, u64)>>,
    /// How far registration has come.
    pub registration: watch::Sender<registration::State>,
    stewardships: Stewardships,
    /// Wakes the heartbeat at once, after a settings change.
    pub(crate) beat_now: Notify,
    started: std::time::Instant,
}

impl Process {
    /// The pool of a service.
    pub fn pool(&self, service: &str) -> Option<Arc<Pool>> {
        let pools = self.pools();
        let at = pools.binary_search_by(|pool| pool.service.as_str().cmp(service));
        at.ok().map(|at| Arc::clone(&pools[at]))
    }

    /// All pools.
    pub fn all_pools(&self) -> Vec<Arc<Pool>> {
        self.pools().clone()
    }

    /// Counts work given to a group.
    pub fn used(&self, group: &str, work: u64) {
        let mut usage = lock(&self.usage);
        match usage.binary_search_by(|(name, _)| name.as_str().cmp(group)) {
            Ok(at) => usage[at].1 += work,
            Err(at) => usage.insert(at, (group.to_owned(), work)),
        }
    }

    /// This daemon as its peers know it.
    pub fn member(&self) -> wire::Member {
        wire::Member {
            incarnation: self.me.0,
            address: self.addresses.peers.to_string(),
            data_centre: self.settings.daemon.data_centre.clone(),
        }
    }

    /// Notes that an order's answer was lost.
    fn lose_order(&self, id: &gates::Id, number: u64) {
        lock(&self.lost_orders).push((id.clone(), number));
    }

    /// Whether an order of this daemon may still strike.
    fn is_lost(&self, id: &gates::Id, number: u64) -> bool {
        let lost = lock(&self.lost_orders);
        lost.iter().any(|(other, n)| other == id && *n == number)
    }

    fn pools(&self) -> MutexGuard<'_, Vec<Arc<Pool>>> {
        lock(&self.pools)
    }
}

/// A panic elsewhere leaves the state whole, so the poison is of no concern.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A running daemon. Dropping it ends it hard, as a kill would.
pub struct Running {
    process: Arc<Process>,
    tasks: JoinSet<()>,
}

impl Running {
    /// Where it listens.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        self.process.addresses
    }

    /// Begins a planned stop.
    pub fn stop(&self) {
        stop::begin(&self.process);
    }

    /// Waits for the end of a planned stop and says how many requests it had to cut.
    pub async fn ended(&mut self) -> usize {
        let mut phase = self.process.phase.subscribe();
        // the sender lives in the process, which this handle keeps
        let _ = phase.wait_for(|phase| *phase == Phase::Ended).await;
        let cut = *self.process.under_way.borrow();
        self.tasks.abort_all();
        cut
    }

    /// Ends the daemon at once and says how many requests were cut.
    #[must_use]
    pub fn end_hard(self) -> usize {
        let cut = *self.process.under_way.borrow();
        self.process
            .metrics
            .aborted_streams
            .inc_by(u64::try_from(cut).unwrap_or(0));
        cut
    }
}

/// Starts a daemon.
///
/// # Errors
///
/// [`Error`] when an address can't be bound.
pub async fn start(settings: Settings) -> Result<Running, Error> {
    let callers = bind(settings.daemon.callers).await?;
    let peers = bind(settings.daemon.peers).await?;
    let status = bind(settings.daemon.status).await?;
    let addresses = Addresses {
        callers: address(&callers, settings.daemon.callers)?,
        peers: address(&peers, settings.daemon.peers)?,
        status: address(&status, settings.daemon.status)?,
    };
    let process = Arc::new(assemble(settings, addresses)?);
    process.timeline.record(
        Kind::Started,
        "process",
        format!("incarnation {}", process.me),
    );
    log::info!("started as {} on {:?}", process.me, process.addresses);
    let mut tasks = JoinSet::new();
    tasks.spawn(peers::serve(Arc::clone(&process), peers));
    tasks.spawn(status::serve(Arc::clone(&process), status));
    tasks.spawn(registration::keep(Arc::clone(&process)));
    tasks.spawn(sync::keep(Arc::clone(&process)));
    tasks.spawn(beat::keep(Arc::clone(&process)));
    tasks.spawn(health::list(Arc::clone(&process)));
    tasks.spawn(health::reports(Arc::clone(&process)));
    tasks.spawn(orders::reopen(Arc::clone(&process)));
    tasks.spawn(steward::keep(Arc::clone(&process)));
    tasks.spawn(claims::keep(Arc::clone(&process)));
    tasks.spawn(connection::accept(Arc::clone(&process), callers));
    tasks.spawn(stop::carry_out(Arc::clone(&process)));
    Ok(Running { process, tasks })
}

fn assemble(settings: Settings, addresses: Addresses) -> Result<Process, Error> {
    let metrics = Metrics::new().map_err(Error::Metrics)?;
    let timeline = Timeline::default();
    let me = Incarnation(rand::random());
    let control = &settings.control;
    let timeout: Duration = control.table_timeout.into();
    let table = table::Http::new(settings.platform.table, timeout);
    let heartbeat: Duration = control.heartbeat.into();
    let seeds = settings.daemon.seeds.clone();
    Ok(Process {
        me,
        addresses,
        store: Store::new(Box::new(table), timeline.clone(), metrics.clone()),
        vms: Box::new(vms::Http::new(settings.platform.vms, timeout)),
        timeline,
        metrics,
        current: Current::new(),
        fetching: tokio::sync::Mutex::default(),
        members: Members::new(me, seeds, heartbeat * SILENT_BEATS),
        gates: Gates::default(),
        pools: Mutex::default(),
        claims: Claims::default(),
        budget: Mutex::new(Budget::default()),
        engine: Engine::default(),
        service: Service::default(),
        phase: watch::Sender::new(Phase::Serving),
        under_way: watch::Sender::new(0),
        held_bytes: Arc::default(),
        connections: watch::Sender::new(0),
        usage: Mutex::default(),
        lost_orders: Mutex::default(),
        registration: watch::Sender::new(registration::State::Trying),
        stewardships: Stewardships::default(),
        beat_now: Notify::new(),
        started: std::time::Instant::now(),
        settings,
    })
}

/// A member is silent after this many heartbeats have not come.
const SILENT_BEATS: u32 = 4;

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .map_err(|source| Error::Bind { address, source })
}

fn address(listener: &TcpListener, asked: SocketAddr) -> Result<SocketAddr, Error> {
    listener.local_addr().map_err(|source| Error::Bind {
        address: asked,
        source,
    })
}
