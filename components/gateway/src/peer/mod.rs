//! The other gateways: what they have under way, which prompts they placed, and whether they are
//! heard at all. Soft state in datagrams; only the quality of choices depends on it.

mod changes;
mod held;
mod paces;
mod reach;
mod receive;
mod register;
mod send;
mod suspects;

pub use changes::Advertised;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use clock::Instant;
use parking_lot::Mutex;
use policy::prompt::Part;
use settings::gateway::Settings;
use tokio::{net::UdpSocket, sync::Notify};
use wire::{Digest, EndpointChanges, EndpointLoad, Placed, ServiceDemand, StageTold};

use crate::{
    endpoint::{Load, Stage, short},
    process::{DemandTotals, Gateway, List},
};

/// A peer that was not heard for so many of its heartbeats is taken to be away: what it had under way is
/// no longer counted. Datagrams are lost now and then.
const SILENT_BEATS: u32 = 4;
/// A peer that was not heard for this long is forgotten. It sends a digest itself when it is back.
const FORGOTTEN: Duration = Duration::from_secs(60);
/// A peer is new for this long: a few heartbeats also of peers that are not neighbours.
const NEW: Duration = Duration::from_secs(3);
/// Peers that look for a store that is away as often as they can, in each data centre: as many as read the
/// lists at least, so that one may be cut off for longer than the store is away.
const LOOKERS: usize = 2;
/// The most placements that wait for the next digest; a hint that is lost costs little.
const PLACED: usize = 64;
/// The most changes of the endpoints in one message: it then stays within a datagram.
const CHANGES: usize = 32;
/// The most messages of changes that wait to be taken; those that are lost are read at the store.
const MOST_ADVERTISED: usize = 256;

/// A gateway that was heard of.
#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    incarnation: u64,
    data_centre: Arc<str>,
    /// The number of its last digest.
    number: u64,
    /// When it was last heard; none if it is known only by name.
    heard: Option<Instant>,
    /// When it was first heard of.
    since: Instant,
    /// When its present incarnation was first heard.
    begun: Instant,
    /// How often it says that it lives.
    beat: Duration,
    /// Whether it reads the operators' lists itself.
    reads: bool,
    /// The revisions of the last changes that it knows of the endpoints and of the configuration.
    changed: [u64; 2],
    /// What it has under way, sorted by endpoint.
    loads: Vec<(u32, Load)>,
    /// Whether it says that it is the steward.
    steward: bool,
    /// What its callers asked of services since it started, sorted by service.
    demands: Vec<(u32, DemandTotals)>,
    /// Whether the store answered its last call.
    store_answers: bool,
    /// Since when the store has answered each of its calls, if it reads the operators' lists.
    answered_since: Option<Instant>,
    /// An epoch in which it was the steward and gives no more orders.
    ceded: u64,
    /// When it gave its last order, if it has told that it gave one.
    ordered: Option<Instant>,
}

/// One incarnation of a peer that reads the operators' lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reader {
    /// Whether it is in this process's data centre.
    pub near: bool,
    address: SocketAddr,
    incarnation: u64,
}

/// The gateways that are known, sorted by address.
#[derive(Debug, Default)]
pub struct Peers {
    known: Mutex<Vec<Peer>>,
    placed: Mutex<Vec<Placed>>,
    /// Changes of the endpoints that wait for the next digest.
    news: Mutex<Vec<EndpointChanges>>,
    /// Changes of the endpoints that peers told, until they are taken.
    advertised: Mutex<Vec<Advertised>>,
    /// Wakes who takes them.
    more_advertised: Notify,
    /// What peers' callers asked of services since the peers were first heard, sorted by service.
    demands: Mutex<Vec<(u32, DemandTotals)>>,
    /// Whether the register of all gateways has been read.
    registered: AtomicBool,
}

impl Peers {
    /// How many live peers there are.
    pub fn count(&self) -> u64 {
        let now = Instant::now();
        let known = self.known.lock();
        let live = known.iter().filter(|peer| peer.is_live(now)).count();
        u64::try_from(live).unwrap_or(0)
    }

    /// How many peers share with this process what is allowed to all of them together; none while it can't know.
    ///
    /// Peers that fell silent count until they are forgotten. A process that has just started may not have received
    /// a digest of peers that are cut off from it, so for as long as a peer takes to be forgotten it also counts
    /// those that are only known by name, and knows them once it has read the register.
    pub fn sharers(&self, uptime: Duration) -> Option<u64> {
        let starting = uptime < FORGOTTEN;
        if starting && !self.are_registered() {
            return None;
        }
        let known = self.known.lock();
        let sharers = known.iter().filter(|peer| starting || peer.heard.is_some());
        u64::try_from(sharers.count()).ok()
    }

    /// Whether the register of all gateways has been read.
    pub fn are_registered(&self) -> bool {
        self.registered.load(Ordering::Relaxed)
    }

    /// Whether a live peer has started lately, and may not know yet what others have learnt.
    fn has_newcomer(&self) -> bool {
        let now = Instant::now();
        let known = self.known.lock();
        let new = |peer: &Peer| peer.is_live(now) && now - peer.begun < NEW;
        known.iter().any(new)
    }

    /// Notes a prompt that was placed on an engine, to be told to the peers.
    pub fn placed(&self, endpoint: u32, parts: &[Part]) {
        let mut placed = self.placed.lock();
        if placed.len() < PLACED {
            placed.push(Placed {
                endpoint,
                parts: parts.iter().map(|part| part.key).collect(),
                tokens: parts
                    .iter()
                    .map(|part| u32::try_from(part.tokens).unwrap_or(u32::MAX))
                    .collect(),
            });
        }
    }

    /// Whether the store answers any live peer.
    pub fn store_answers(&self) -> bool {
        let now = Instant::now();
        let known = self.known.lock();
        known
            .iter()
            .any(|peer| peer.store_answers && peer.is_live(now))
    }

    /// Whether enough live peers of a data centre come before this process, by address, to look for a store
    /// that fails all of them: one may be cut off for longer.
    pub fn look_before(&self, own: SocketAddr, data_centre: &str) -> bool {
        let now = Instant::now();
        let known = self.known.lock();
        let before = known
            .iter()
            .take_while(|peer| peer.address < own)
            .filter(|peer| *peer.data_centre == *data_centre && peer.is_live(now));
        before.count() >= LOOKERS
    }

    /// Since when the store has answered each call of some live peer that reads the operators' lists.
    pub fn store_steady_since(&self) -> Option<Instant> {
        let now = Instant::now();
        let known = self.known.lock();
        let live = known.iter().filter(|peer| peer.is_live(now));
        live.filter_map(|peer| peer.answered_since).min()
    }

    /// The last epoch that a steward has given up.
    pub fn ceded(&self) -> u64 {
        let known = self.known.lock();
        known.iter().map(|peer| peer.ceded).max().unwrap_or(0)
    }

    /// How long ago the peer that gave up the last epoch gave its last order, if it said so.
    pub fn last_order(&self) -> Option<Duration> {
        let known = self.known.lock();
        let last = known.iter().max_by_key(|peer| peer.ceded)?;
        // one that never gave an order has given none that could matter
        let never = Duration::from_secs(3600);
        (last.ceded > 0).then(|| last.ordered.map_or(never, Instant::elapsed))
    }

    /// The live peers that read the operators' lists and are answered: in a data centre those with lower
    /// addresses, and all in others.
    pub fn readers(&self, own: SocketAddr, data_centre: &str) -> Vec<Reader> {
        let now = Instant::now();
        let known = self.known.lock();
        known
            .iter()
            .filter(|peer| peer.reads && peer.store_answers && peer.is_live(now))
            .map(|peer| Reader {
                near: *peer.data_centre == *data_centre,
                address: peer.address,
                incarnation: peer.incarnation,
            })
            .filter(|reader| !reader.near || reader.address < own)
            .collect()
    }

    /// The revision of the last change of a list that any live peer knows.
    pub fn changed(&self, list: List) -> u64 {
        let now = Instant::now();
        let known = self.known.lock();
        let live = known.iter().filter(|peer| peer.is_live(now));
        let revisions = live.map(|peer| peer.changed[usize::from(list == List::Configuration)]);
        revisions.max().unwrap_or(0)
    }

    /// Tells the peers changes of the endpoints. Too many are left for them to read.
    pub fn advertise(&self, changes: &Advertised) {
        let mut news = self.news.lock();
        if changes.changes.len() <= CHANGES && news.len() < CHANGES {
            news.push(changes.encode());
        }
    }

    /// Waits for changes of the endpoints that peers tell, and takes them.
    pub async fn advertised(&self) -> Vec<Advertised> {
        loop {
            let more = self.more_advertised.notified();
            let advertised = std::mem::take(&mut *self.advertised.lock());
            if !advertised.is_empty() {
                return advertised;
            }
            more.await;
        }
    }

    /// The data centres that are cut off from here: peers there were heard once and none is now, while
    /// others still are. A process that hears nobody is cut off itself, and knows nothing of others.
    ///
    /// Some of a data centre's peers say often that they live, and those show it; the others are silent for
    /// longer anyway.
    pub fn cut_off(&self) -> Vec<Arc<str>> {
        let now = Instant::now();
        let known = self.known.lock();
        let mut centres: Vec<(&Arc<str>, Instant, Duration)> = Vec::new();
        for peer in known.iter() {
            let Some(heard) = peer.heard else {
                continue;
            };
            match centres.binary_search_by(|(name, ..)| (*name).cmp(&peer.data_centre)) {
                Ok(at) => {
                    let (_, last, beat) = &mut centres[at];
                    *last = heard.max(*last);
                    *beat = peer.beat.min(*beat);
                }
                Err(at) => centres.insert(at, (&peer.data_centre, heard, peer.beat)),
            }
        }
        let is_live = |(_, last, beat): &(_, Instant, Duration)| is_recent(*last, *beat, now);
        if !centres.iter().any(is_live) {
            return Vec::new();
        }
        let silent = centres.iter().filter(|centre| !is_live(centre));
        silent.map(|(name, ..)| Arc::clone(name)).collect()
    }

    /// How many live peers come before this process, by address, of those that the store answers and that
    /// aren't the steward.
    pub fn rank(&self, own: SocketAddr) -> usize {
        self.before(own, |peer| peer.store_answers)
    }

    /// The same whether or not the store answers them.
    pub fn place(&self, own: SocketAddr) -> usize {
        self.before(own, |_| true)
    }

    fn before(&self, own: SocketAddr, counts: impl Fn(&Peer) -> bool) -> usize {
        let now = Instant::now();
        let known = self.known.lock();
        let before = known.iter().take_while(|peer| peer.address < own);
        before
            .filter(|peer| counts(peer) && !peer.steward && peer.is_live(now))
            .count()
    }

    /// What peers' callers asked of a service since the peers were first heard.
    pub fn demand(&self, service: &str) -> DemandTotals {
        let demands = self.demands.lock();
        let at = demands.binary_search_by_key(&short(service), |(service, _)| *service);
        at.map_or_else(|_| DemandTotals::default(), |at| demands[at].1)
    }

    fn add_demand(&self, service: u32, asked: DemandTotals) {
        let mut demands = self.demands.lock();
        match demands.binary_search_by_key(&service, |(service, _)| *service) {
            Ok(at) => demands[at].1 = demands[at].1.with(asked),
            Err(at) => demands.insert(at, (service, asked)),
        }
    }

    /// Adds the VMs on which peers may be found.
    pub fn learn_seeds(&self, settings: &Settings) {
        let own = settings.gateway.peers;
        for seed in &settings.gateway.seeds {
            let address = SocketAddr::new(seed.ip(), own.port());
            if address != own {
                self.learn(address, "");
            }
        }
    }

    /// Adds a peer that was heard of.
    fn learn(&self, address: SocketAddr, data_centre: &str) {
        let mut known = self.known.lock();
        if let Err(at) = known.binary_search_by_key(&address, |peer| peer.address) {
            known.insert(at, Peer::new(address, data_centre));
        }
    }
}

impl Peer {
    fn new(address: SocketAddr, data_centre: &str) -> Self {
        Self {
            address,
            incarnation: 0,
            data_centre: Arc::from(data_centre),
            number: 0,
            heard: None,
            since: Instant::now(),
            begun: Instant::now(),
            beat: reach::HEARTBEAT,
            reads: false,
            changed: [0; 2],
            loads: Vec::new(),
            steward: false,
            demands: Vec::new(),
            store_answers: false,
            answered_since: None,
            ceded: 0,
            ordered: None,
        }
    }

    fn is_live(&self, now: Instant) -> bool {
        self.heard
            .is_some_and(|heard| is_recent(heard, self.beat, now))
    }
}

/// Whether who says so often that it lives, and was last heard then, is taken to live.
fn is_recent(heard: Instant, beat: Duration, now: Instant) -> bool {
    now - heard < beat * SILENT_BEATS
}

/// Talks with the peers as long as the process lives.
pub async fn keep(gateway: Arc<Gateway>, socket: UdpSocket) {
    tokio::join!(
        register::keep(&gateway),
        send::keep(&gateway, &socket),
        receive::keep(&gateway, &socket),
    );
}

fn load(told: &EndpointLoad) -> (u32, Load) {
    let load = Load {
        reading: u64::from(told.reading),
        late: u64::from(told.late),
        prompts: u64::from(told.prompts),
        late_prompts: u64::from(told.late_prompts),
        writing: u64::from(told.writing),
        long: u64::from(told.long),
        suspects: u64::from(told.suspects),
    };
    (told.endpoint, load)
}

fn endpoint_load(endpoint: u32, load: Load) -> EndpointLoad {
    let narrow = |count: u64| u32::try_from(count).unwrap_or(u32::MAX);
    EndpointLoad {
        endpoint,
        reading: narrow(load.reading),
        late: narrow(load.late),
        prompts: narrow(load.prompts),
        late_prompts: narrow(load.late_prompts),
        writing: narrow(load.writing),
        long: narrow(load.long),
        suspects: narrow(load.suspects),
    }
}

/// How long ago something was, in milliseconds as digests tell it: zero stands for never.
fn age_ms(at: Instant) -> u32 {
    u32::try_from(at.elapsed().as_millis())
        .unwrap_or(u32::MAX)
        .max(1)
}

/// The moment that lies so many milliseconds back; none for zero.
fn ago(now: Instant, age_ms: u32) -> Option<Instant> {
    let age = Duration::from_millis(u64::from(age_ms));
    now.checked_sub(age).filter(|_| age_ms > 0)
}

/// An empty digest of this process.
fn own(gateway: &Gateway, number: u64) -> Digest {
    Digest {
        incarnation: gateway.incarnation,
        name: gateway.settings.gateway.name.clone(),
        data_centre: gateway.settings.gateway.data_centre.clone(),
        address: gateway.settings.gateway.peers.to_string(),
        number,
        leaving: *gateway.phase.borrow() != crate::process::Phase::Serving,
        configuration: gateway
            .configuration()
            .map_or(0, |configuration| configuration.version),
        loads: Vec::new(),
        placed: Vec::new(),
        steward: gateway.steward.holds_lease(),
        store_answers: gateway.store_available(),
        reads: gateway.reads_lists(),
        endpoints_changed: gateway.last_changes.revision(List::Endpoints),
        configuration_changed: gateway.last_changes.revision(List::Configuration),
        changes: Vec::new(),
        paces: Vec::new(),
        suspects: Vec::new(),
        beat_ms: 0,
        answered_ms: gateway.store_available_since().map_or(0, age_ms),
        ceded: gateway.steward.ceded(),
        last_order_ms: gateway.steward.last_order().map_or(0, age_ms),
        changing: gateway.steward.changing(),
        stages: gateway
            .steward
            .stages()
            .into_iter()
            .map(|(endpoint, stage)| StageTold {
                endpoint,
                prefill: stage == Stage::Prefill,
            })
            .collect(),
        demands: gateway
            .own_demand()
            .into_iter()
            .map(|(service, asked)| ServiceDemand {
                service: short(&service),
                reading: asked.prefill_work,
                writing: asked.decode_tokens,
            })
            .collect(),
    }
}
