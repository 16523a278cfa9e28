//! What lives as long as the process: its identity, what it knows, and its loops.

mod configuration;
mod endpoints;
mod follow;
mod reload;
mod status;
mod stop;

pub use follow::List;
pub use stop::Stop;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use cloud::table::Table;
use parking_lot::{Mutex, RwLock};
use policy::{
    learn::{Margin, Pace},
    retry::Window,
};
use settings::gateway::{Bounds, Settings};
use telemetry::metrics::gateway::Metrics;
use tokio::{net::TcpListener, net::UdpSocket, sync::watch, task::JoinSet, time::Instant};

use follow::Changed;

use crate::{
    connection,
    edge::{Dialect, Directory, From},
    endpoint::{Registry, Stage, Target},
    error::Error,
    peer::{self, Peers},
    steward::{self, Steward},
    version::{Configuration, Limits},
};

/// How far a planned stop has come. See `docs/DESIGN.md#planned-stop`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Serving.
    Serving,
    /// Not ready any more, but the balancer still sends connections, and they are served; connections
    /// close after the answer under way.
    Draining,
    /// Everything is over.
    Ended,
}

/// The adapters to the world around the process.
#[derive(Clone)]
pub struct Edges {
    /// The operators' lists.
    pub directory: Arc<dyn Directory>,
    /// How callers and endpoints put things into HTTP.
    pub dialect: Arc<dyn Dialect>,
    /// The table that keeps what must last.
    pub table: Arc<dyn Table>,
}

/// What callers asked of a service so far; only its growth means anything.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Asked {
    /// Work of prompts worth reading apart, beyond what engines were known to hold.
    pub reading: u64,
    /// Tokens that long answers were expected to have.
    pub writing: u64,
}

impl Asked {
    /// Both together.
    #[must_use]
    pub fn with(self, other: Self) -> Self {
        Self {
            reading: self.reading + other.reading,
            writing: self.writing + other.writing,
        }
    }

    /// What was asked since.
    #[must_use]
    pub fn since(self, before: Self) -> Self {
        Self {
            reading: self.reading.saturating_sub(before.reading),
            writing: self.writing.saturating_sub(before.writing),
        }
    }
}

/// What is counted and learnt of a service.
#[derive(Debug)]
struct Ledger {
    /// Repeats that were sent to it.
    repeats: Window,
    /// What callers of this process asked of it.
    asked: Asked,
    /// How much later than expected its answers begin.
    margin: Margin,
    /// How fast its engines read, and write, on average.
    paces: [Pace; 2],
    /// The longest time between tokens with which each long answer so far could end in time, in
    /// microseconds.
    bearable: f64,
}

impl Ledger {
    fn new(window: policy::Micros) -> Self {
        Self {
            repeats: Window::new(window),
            asked: Asked::default(),
            margin: Margin::default(),
            paces: [Pace::of_reader(), Pace::of_writer()],
            bearable: f64::MAX,
        }
    }
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
    pub edges: Edges,
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
    pub under_way: watch::Sender<usize>,
    /// When a planned stop ends, if one has begun.
    stop: RwLock<Option<Stop>>,
    configuration: RwLock<Option<Arc<Configuration>>>,
    /// Whether the endpoints were read once.
    endpoints_read: watch::Sender<bool>,
    /// Whether the store answered this process's last call.
    store_answers: AtomicBool,
    /// The last changes of the operators' lists that this process knows.
    pub changed: Changed,
    /// What is counted and learnt of each service, sorted by service.
    ledgers: Mutex<Vec<(Arc<str>, Ledger)>>,
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
            *current = Some(version);
        }
        newer
    }

    /// Counts a request to a service, which allows for repeats.
    pub fn count_request(&self, service: &Arc<str>) {
        let now = self.micros();
        self.with_ledger(service, |ledger| ledger.repeats.request(now));
    }

    /// Takes one repeat out of the service's budget, if there is one.
    pub fn spend_repeat(&self, service: &Arc<str>) -> bool {
        let now = self.micros();
        let (ratio, slack) = self.repeat_bounds();
        let allowed = self.with_ledger(service, |ledger| ledger.repeats.spend(now, ratio, slack));
        let labels = [&**service, if allowed { "yes" } else { "no" }];
        self.metrics.repeats.with_label_values(&labels).inc();
        allowed
    }

    /// Counts a repeat that nobody asked whether it may be.
    pub fn force_repeat(&self, service: &Arc<str>) {
        let now = self.micros();
        let labels = [&**service, "unasked"];
        self.metrics.repeats.with_label_values(&labels).inc();
        self.with_ledger(service, |ledger| ledger.repeats.force(now));
    }

    /// Whether there is a repeat left in the service's budget.
    pub fn may_repeat(&self, service: &Arc<str>) -> bool {
        let now = self.micros();
        let (ratio, slack) = self.repeat_bounds();
        self.with_ledger(service, |ledger| ledger.repeats.has(now, ratio, slack))
    }

    /// This process's part of the operators' bounds on repeats.
    fn repeat_bounds(&self) -> (f64, f64) {
        let bounds = self.bounds.read();
        let sharers = policy::real(self.peers.count() + 1);
        (bounds.retry_ratio, bounds.retry_slack / sharers)
    }

    /// Counts what a service is asked for.
    pub fn count_demand(&self, service: &Arc<str>, asked: Asked) {
        self.with_ledger(service, |ledger| ledger.asked = ledger.asked.with(asked));
    }

    /// What callers of this process asked of each service so far.
    pub fn own_demands(&self) -> Vec<(Arc<str>, Asked)> {
        let ledgers = self.ledgers.lock();
        ledgers
            .iter()
            .map(|(service, ledger)| (Arc::clone(service), ledger.asked))
            .collect()
    }

    /// What a service was asked for, here and at the peers, since each was first heard.
    pub fn demand(&self, service: &Arc<str>) -> Asked {
        let own = self.with_ledger(service, |ledger| ledger.asked);
        own.with(self.peers.demand(service))
    }

    /// Notes a long answer of at most so many tokens, which has so much time.
    pub fn count_long(&self, service: &Arc<str>, tokens: u64, time: Duration) {
        let bearable = policy::real(policy::micros(time)) / policy::real(tokens.max(1));
        self.with_ledger(service, |ledger| {
            ledger.bearable = ledger.bearable.min(bearable);
        });
    }

    /// The longest time between tokens with which each long answer so far could end in time, in
    /// microseconds.
    pub fn bearable(&self, service: &Arc<str>) -> f64 {
        self.with_ledger(service, |ledger| ledger.bearable)
    }

    /// How much later than expected most answers of a service begin, in microseconds.
    pub fn margin(&self, service: &Arc<str>) -> f64 {
        self.with_ledger(service, |ledger| ledger.margin.us())
    }

    /// Learns from an answer that was expected to begin after one time and began after another.
    pub fn learn_margin(&self, service: &Arc<str>, expected: f64, took: policy::Micros) {
        self.with_ledger(service, |ledger| ledger.margin.learn(expected, took));
    }

    /// How fast engines of a service are on average in a stage.
    pub fn pace(&self, service: &Arc<str>, stage: Stage) -> Pace {
        self.with_ledger(service, |ledger| {
            ledger.paces[usize::from(stage == Stage::Decode)]
        })
    }

    /// Learns how fast an engine is: its own pace, and its service's.
    pub fn learn_pace(&self, target: &Target, learn: impl Fn(&mut Pace)) {
        let (service, stage) = target.with(|state| {
            let stage = state.profile.stage.unwrap_or(Stage::Decode);
            (Arc::clone(&state.profile.service), stage)
        });
        let common = self.with_ledger(&service, |ledger| {
            let pace = &mut ledger.paces[usize::from(stage == Stage::Decode)];
            learn(pace);
            *pace
        });
        target.with(|state| match &mut state.pace {
            Some(pace) => learn(pace),
            None => state.pace = Some(common),
        });
    }

    fn with_ledger<T>(&self, service: &Arc<str>, f: impl FnOnce(&mut Ledger) -> T) -> T {
        let mut ledgers = self.ledgers.lock();
        let at = match ledgers.binary_search_by(|(name, _)| name.cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                let window = policy::micros(self.bounds.read().retry_window_s);
                ledgers.insert(at, (Arc::clone(service), Ledger::new(window)));
                at
            }
        };
        f(&mut ledgers[at].1)
    }

    /// Whether the store answered this process's last call.
    pub fn store_answers(&self) -> bool {
        self.store_answers.load(Ordering::Relaxed)
    }

    /// Notes whether the store answered a call.
    pub fn note_store(&self, answered: bool) {
        self.store_answers.store(answered, Ordering::Relaxed);
    }

    /// Counts a call to the store.
    pub fn count_call(&self, call: &str, answered: bool) {
        let labels = [call, if answered { "yes" } else { "no" }];
        self.metrics.calls.with_label_values(&labels).inc();
    }

    /// Whether this process reads the operators' lists itself.
    pub fn reads_lists(&self) -> bool {
        follow::reads(self)
    }

    /// The planned stop that has begun.
    pub fn stop(&self) -> Option<Stop> {
        *self.stop.read()
    }

    /// Time since the start, for decisions that keep their own time.
    pub fn micros(&self) -> policy::Micros {
        policy::micros(self.started.elapsed())
    }

    /// Whether it can serve: it knows the configuration and the endpoints, and doesn't stop.
    pub fn is_ready(&self) -> bool {
        *self.phase.borrow() == Phase::Serving
            && self.configuration.read().is_some()
            && *self.endpoints_read.borrow()
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
        reload::take(&self.gateway, settings);
    }

    /// Its name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.gateway.settings.gateway.name
    }

    /// Begins a planned stop.
    pub fn stop(&self) {
        stop::begin(&self.gateway);
    }

    /// Waits for the end of a planned stop and says how many requests it had to cut.
    pub async fn ended(&mut self) -> usize {
        let mut phase = self.gateway.phase.subscribe();
        // the sender lives in the process, which this handle keeps
        let _ = phase.wait_for(|phase| *phase == Phase::Ended).await;
        let cut = *self.gateway.under_way.borrow();
        self.tasks.abort_all();
        cut
    }
}

/// Starts a gateway.
///
/// # Errors
///
/// [`Error`] when an address can't be bound.
pub async fn start(mut settings: Settings, edges: Edges) -> Result<Running, Error> {
    let own = &mut settings.gateway;
    let callers = listen(&mut own.callers).await?;
    let ready = listen(&mut own.ready).await?;
    let peers = hear(&mut own.peers).await?;
    let metrics = listen(&mut own.metrics).await?;
    let gateway = Arc::new(assemble(settings, edges)?);
    log::info!(
        gateway = gateway.settings.gateway.name, incarnation = gateway.incarnation,
        data_centre = gateway.settings.gateway.data_centre; "started"
    );
    let mut tasks = JoinSet::new();
    tasks.spawn(configuration::keep(Arc::clone(&gateway)));
    tasks.spawn(endpoints::keep(Arc::clone(&gateway)));
    tasks.spawn(peer::keep(Arc::clone(&gateway), peers));
    tasks.spawn(status::serve(Arc::clone(&gateway), ready, status::ready));
    tasks.spawn(status::serve(
        Arc::clone(&gateway),
        metrics,
        status::metrics,
    ));
    tasks.spawn(connection::accept(Arc::clone(&gateway), callers));
    tasks.spawn(steward::keep(Arc::clone(&gateway)));
    tasks.spawn(stop::carry_out(Arc::clone(&gateway)));
    Ok(Running { gateway, tasks })
}

fn assemble(settings: Settings, edges: Edges) -> Result<Gateway, Error> {
    Ok(Gateway {
        bounds: RwLock::new(settings.bounds.clone()),
        metrics: Metrics::new().map_err(Error::Metrics)?,
        incarnation: rand::random(),
        edges,
        registry: Registry::default(),
        peers: Peers::default(),
        steward: Steward::default(),
        phase: watch::Sender::new(Phase::Serving),
        connections: watch::Sender::new(0),
        under_way: watch::Sender::new(0),
        stop: RwLock::default(),
        configuration: RwLock::default(),
        endpoints_read: watch::Sender::new(false),
        store_answers: AtomicBool::new(false),
        changed: Changed::default(),
        ledgers: Mutex::default(),
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
async fn hear(address: &mut SocketAddr) -> Result<UdpSocket, Error> {
    let failed = |source| Error::Bind {
        address: *address,
        source,
    };
    let socket = UdpSocket::bind(*address).await.map_err(failed)?;
    *address = socket.local_addr().map_err(failed)?;
    Ok(socket)
}

/// How long the store may wait for a change before it answers that there is none.
///
/// A call that was on its way when the store went silent is lost without a word. It must be noticed,
/// and the list read again, within the three seconds after the store's return that operators grant
/// (`stable_window_ms` of the first deployments); each call is paid for, so not much sooner.
const WAIT: Duration = Duration::from_millis(2_200);

/// How a list is read next.
fn next(revision: u64, answered: bool) -> From {
    // a store that failed is asked for a plain answer until it gives one
    let wait = if answered { WAIT } else { Duration::ZERO };
    From::After { revision, wait }
}

/// A pause between two tries of a call that failed; each is twice the one before it.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    next: Duration,
}

/// The first pause: a lost answer alone is no reason to wait.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// The longest pause: a store that is back must be found well within the time that a configuration
/// has to be in force.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// The longest pause of a process that others tell of the store's return. Together with the pause
/// above it is well within the three seconds that operators grant after an outage
/// (`stable_window_ms` of the first deployments).
const FOLLOWERS_PAUSE: Duration = Duration::from_millis(1_500);

impl Default for Backoff {
    fn default() -> Self {
        Self { next: FIRST_PAUSE }
    }
}

impl Backoff {
    /// Waits, and doubles the next pause.
    async fn wait(&mut self, gateway: &Gateway) {
        let longest = if follow::looks_first(gateway) {
            LONGEST_PAUSE
        } else {
            FOLLOWERS_PAUSE
        };
        // processes that failed together do not come back together
        let part: f64 = rand::random_range(0.5..1.0);
        tokio::time::sleep(self.next.mul_f64(part)).await;
        self.next = (self.next * 2).min(longest);
    }
}
