//! The other gateways: what they have under way, which prompts they placed, and whether they are
//! heard at all. Soft state in datagrams; only the quality of choices depends on it.

mod cache_listing;
mod changes;
mod discovery;
mod fan_out;
mod paces;
mod receive;
mod send;
mod suspects;

pub use changes::Advertisement;

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
    endpoint::{Load, Stage, short_id},
    process::{DemandTotals, Gateway, List},
};

/// A peer that was not heard for so many of its heartbeats is taken to be away: what it had under way is
/// no longer counted. Datagrams are lost now and then.
const MAX_MISSED_HEARTBEATS: u32 = 4;
/// A peer that was not heard for this long is forgotten. It sends a digest itself when it is back.
const PEER_TTL: Duration = Duration::from_secs(60);
/// A peer is new for this long: a few heartbeats also of peers that are not neighbours.
const NEW_PEER_PERIOD: Duration = Duration::from_secs(3);
/// Peers that look for a store that is away as often as they can, in each data centre: as many as read the
/// lists at least, so that one may be cut off for longer than the store is away.
const STORE_PROBERS: usize = 2;
/// The most placements that wait for the next digest; a hint that is lost costs little.
const MAX_PENDING_PLACEMENTS: usize = 64;
/// The most changes of the endpoints in one message: it then stays within a datagram.
const MAX_CHANGES: usize = 32;
/// The most messages of changes that wait to be taken; those that are lost are read at the store.
const MAX_ADVERTISEMENTS: usize = 256;

/// A gateway that was heard of.
#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    incarnation: u64,
    data_centre: Arc<str>,
    /// The number of its last digest.
    digest_number: u64,
    /// When it was last heard; none if it is known only by name.
    last_received: Option<Instant>,
    /// When it was first heard of.
    first_known: Instant,
    /// When its present incarnation was first heard.
    incarnation_since: Instant,
    /// How often it says that it lives.
    heartbeat_interval: Duration,
    /// Whether it reads the operators' lists itself.
    reads_lists: bool,
    /// The revisions of the last changes that it knows of the endpoints and of the configuration.
    revisions: [u64; 2],
    /// What it has under way, sorted by endpoint.
    loads: Vec<(u32, Load)>,
    /// Whether it says that it is the steward.
    is_steward: bool,
    /// What its callers asked of services since it started, sorted by service.
    demands: Vec<(u32, DemandTotals)>,
    /// Whether the store answered its last call.
    store_available: bool,
    /// Since when the store has answered each of its calls, if it reads the operators' lists.
    store_available_since: Option<Instant>,
    /// An epoch in which it was the steward and gives no more orders.
    ceded_epoch: u64,
    /// When it gave its last order, if it has told that it gave one.
    last_order: Option<Instant>,
}

/// One incarnation of a peer that reads the operators' lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reader {
    /// Whether it is in this process's data centre.
    pub is_local: bool,
    address: SocketAddr,
    incarnation: u64,
}

/// The gateways that are known, sorted by address.
#[derive(Debug, Default)]
pub struct Peers {
    known: Mutex<Vec<Peer>>,
    pending_placements: Mutex<Vec<Placed>>,
    /// Changes of the endpoints that wait for the next digest.
    pending_changes: Mutex<Vec<EndpointChanges>>,
    /// Changes of the endpoints that peers told, until they are taken.
    advertisements: Mutex<Vec<Advertisement>>,
    /// Wakes who takes them.
    advertisement_received: Notify,
    /// What peers' callers asked of services since the peers were first heard, sorted by service.
    demands: Mutex<Vec<(u32, DemandTotals)>>,
    /// Whether the register of all gateways has been read.
    membership_known: AtomicBool,
}

impl Peers {
    /// How many live peers there are.
    pub fn count_alive(&self) -> u64 {
        let now = Instant::now();
        let known = self.known.lock();
        let alive = known.iter().filter(|peer| peer.is_alive(now)).count();
        u64::try_from(alive).unwrap_or(0)
    }

    /// How many peers share with this process what is allowed to all of them together; none while it can't know.
    ///
    /// Peers that fell silent count until they are forgotten. A process that has just started may not have received
    /// a digest of peers that are cut off from it, so for as long as a peer takes to be forgotten it also counts
    /// those that are only known by name, and knows them once it has read the register.
    pub fn budget_sharers(&self, uptime: Duration) -> Option<u64> {
        let starting = uptime < PEER_TTL;
        if starting && !self.is_membership_known() {
            return None;
        }
        let known = self.known.lock();
        let sharers = known
            .iter()
            .filter(|peer| starting || peer.last_received.is_some());
        u64::try_from(sharers.count()).ok()
    }

    /// Whether the register of all gateways has been read.
    pub fn is_membership_known(&self) -> bool {
        self.membership_known.load(Ordering::Relaxed)
    }

    /// Whether a live peer has started lately, and may not know yet what others have learnt.
    fn has_new_peer(&self) -> bool {
        let now = Instant::now();
        let known = self.known.lock();
        let is_new =
            |peer: &Peer| peer.is_alive(now) && now - peer.incarnation_since < NEW_PEER_PERIOD;
        known.iter().any(is_new)
    }

    /// Notes a prompt that was placed on an engine, to be told to the peers.
    pub fn record_placement(&self, endpoint: u32, parts: &[Part]) {
        let mut pending = self.pending_placements.lock();
        if pending.len() < MAX_PENDING_PLACEMENTS {
            pending.push(Placed {
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
    pub fn is_store_available(&self) -> bool {
        let now = Instant::now();
        let known = self.known.lock();
        known
            .iter()
            .any(|peer| peer.store_available && peer.is_alive(now))
    }

    /// Whether enough live peers of a data centre come before this process, by address, to look for a store
    /// that fails all of them: one may be cut off for longer.
    pub fn has_preceding_store_probers(&self, own: SocketAddr, data_centre: &str) -> bool {
        let now = Instant::now();
        let known = self.known.lock();
        let before = known
            .iter()
            .take_while(|peer| peer.address < own)
            .filter(|peer| *peer.data_centre == *data_centre && peer.is_alive(now));
        before.count() >= STORE_PROBERS
    }

    /// Since when the store has answered each call of some live peer that reads the operators' lists.
    pub fn store_available_since(&self) -> Option<Instant> {
        let now = Instant::now();
        let known = self.known.lock();
        let alive = known.iter().filter(|peer| peer.is_alive(now));
        alive.filter_map(|peer| peer.store_available_since).min()
    }

    /// The last epoch that a steward has given up.
    pub fn ceded_epoch(&self) -> u64 {
        let known = self.known.lock();
        known.iter().map(|peer| peer.ceded_epoch).max().unwrap_or(0)
    }

    /// How long ago the peer that gave up the last epoch gave its last order, if it said so.
    pub fn time_since_last_order(&self) -> Option<Duration> {
        let known = self.known.lock();
        let last = known.iter().max_by_key(|peer| peer.ceded_epoch)?;
        // one that never gave an order has given none that could matter
        let never = Duration::from_secs(3600);
        (last.ceded_epoch > 0).then(|| last.last_order.map_or(never, Instant::elapsed))
    }

    /// The live peers that read the operators' lists and are answered: in a data centre those with lower
    /// addresses, and all in others.
    pub fn readers(&self, own: SocketAddr, data_centre: &str) -> Vec<Reader> {
        let now = Instant::now();
        let known = self.known.lock();
        known
            .iter()
            .filter(|peer| peer.reads_lists && peer.store_available && peer.is_alive(now))
            .map(|peer| Reader {
                is_local: *peer.data_centre == *data_centre,
                address: peer.address,
                incarnation: peer.incarnation,
            })
            .filter(|reader| !reader.is_local || reader.address < own)
            .collect()
    }

    /// The revision of the last change of a list that any live peer knows.
    pub fn latest_revision(&self, list: List) -> u64 {
        let now = Instant::now();
        let known = self.known.lock();
        let alive = known.iter().filter(|peer| peer.is_alive(now));
        let revisions = alive.map(|peer| peer.revisions[usize::from(list == List::Configuration)]);
        revisions.max().unwrap_or(0)
    }

    /// Tells the peers changes of the endpoints. Too many are left for them to read.
    pub fn advertise(&self, changes: &Advertisement) {
        let mut pending_changes = self.pending_changes.lock();
        if changes.changes.len() <= MAX_CHANGES && pending_changes.len() < MAX_CHANGES {
            pending_changes.push(changes.encode());
        }
    }

    /// Waits for changes of the endpoints that peers tell, and takes them.
    pub async fn receive_advertisements(&self) -> Vec<Advertisement> {
        loop {
            let received = self.advertisement_received.notified();
            let advertisements = std::mem::take(&mut *self.advertisements.lock());
            if !advertisements.is_empty() {
                return advertisements;
            }
            received.await;
        }
    }

    /// The data centres that are cut off from here: peers there were heard once and none is now, while
    /// others still are. A process that hears nobody is cut off itself, and knows nothing of others.
    ///
    /// Some of a data centre's peers say often that they live, and those show it; the others are silent for
    /// longer anyway.
    pub fn unreachable_data_centres(&self) -> Vec<Arc<str>> {
        let now = Instant::now();
        let known = self.known.lock();
        let mut data_centres: Vec<(&Arc<str>, Instant, Duration)> = Vec::new();
        for peer in known.iter() {
            let Some(last_received) = peer.last_received else {
                continue;
            };
            match data_centres.binary_search_by(|(name, ..)| (*name).cmp(&peer.data_centre)) {
                Ok(at) => {
                    let (_, last, heartbeat_interval) = &mut data_centres[at];
                    *last = last_received.max(*last);
                    *heartbeat_interval = peer.heartbeat_interval.min(*heartbeat_interval);
                }
                Err(at) => data_centres.insert(
                    at,
                    (&peer.data_centre, last_received, peer.heartbeat_interval),
                ),
            }
        }
        let is_alive = |(_, last, heartbeat_interval): &(_, Instant, Duration)| {
            is_heartbeat_recent(*last, *heartbeat_interval, now)
        };
        if !data_centres.iter().any(is_alive) {
            return Vec::new();
        }
        let unreachable = data_centres
            .iter()
            .filter(|data_centre| !is_alive(data_centre));
        unreachable.map(|(name, ..)| Arc::clone(name)).collect()
    }

    /// How many live peers come before this process, by address, of those that the store answers and that
    /// aren't the steward.
    pub fn store_rank(&self, own: SocketAddr) -> usize {
        self.count_preceding(own, |peer| peer.store_available)
    }

    /// The same whether or not the store answers them.
    pub fn address_rank(&self, own: SocketAddr) -> usize {
        self.count_preceding(own, |_| true)
    }

    fn count_preceding(&self, own: SocketAddr, is_counted: impl Fn(&Peer) -> bool) -> usize {
        let now = Instant::now();
        let known = self.known.lock();
        let before = known.iter().take_while(|peer| peer.address < own);
        before
            .filter(|peer| is_counted(peer) && !peer.is_steward && peer.is_alive(now))
            .count()
    }

    /// What peers' callers asked of a service since the peers were first heard.
    pub fn demand(&self, service: &str) -> DemandTotals {
        let demands = self.demands.lock();
        let at = demands.binary_search_by_key(&short_id(service), |(service, _)| *service);
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
    pub fn add_seeds(&self, settings: &Settings) {
        let own = settings.gateway.peers;
        for seed in &settings.gateway.seeds {
            let address = SocketAddr::new(seed.ip(), own.port());
            if address != own {
                self.add(address, "");
            }
        }
    }

    /// Adds a peer that was heard of.
    fn add(&self, address: SocketAddr, data_centre: &str) {
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
            digest_number: 0,
            last_received: None,
            first_known: Instant::now(),
            incarnation_since: Instant::now(),
            heartbeat_interval: fan_out::HEARTBEAT_INTERVAL,
            reads_lists: false,
            revisions: [0; 2],
            loads: Vec::new(),
            is_steward: false,
            demands: Vec::new(),
            store_available: false,
            store_available_since: None,
            ceded_epoch: 0,
            last_order: None,
        }
    }

    fn is_alive(&self, now: Instant) -> bool {
        self.last_received.is_some_and(|last_received| {
            is_heartbeat_recent(last_received, self.heartbeat_interval, now)
        })
    }
}

/// Whether who says so often that it lives, and was last heard then, is taken to live.
fn is_heartbeat_recent(last_received: Instant, heartbeat_interval: Duration, now: Instant) -> bool {
    now - last_received < heartbeat_interval * MAX_MISSED_HEARTBEATS
}

/// Talks with the peers as long as the process lives.
pub async fn run(gateway: Arc<Gateway>, socket: UdpSocket) {
    tokio::join!(
        discovery::run(&gateway),
        send::run(&gateway, &socket),
        receive::run(&gateway, &socket),
    );
}

fn decode_load(message: &EndpointLoad) -> (u32, Load) {
    let load = Load {
        prefill_work: u64::from(message.reading),
        low_priority_work: u64::from(message.late),
        prompts: u64::from(message.prompts),
        low_priority_prompts: u64::from(message.late_prompts),
        decoding: u64::from(message.writing),
        long_answers: u64::from(message.long),
        suspects: u64::from(message.suspects),
    };
    (message.endpoint, load)
}

fn encode_load(endpoint: u32, load: Load) -> EndpointLoad {
    let narrow = |count: u64| u32::try_from(count).unwrap_or(u32::MAX);
    EndpointLoad {
        endpoint,
        reading: narrow(load.prefill_work),
        late: narrow(load.low_priority_work),
        prompts: narrow(load.prompts),
        late_prompts: narrow(load.low_priority_prompts),
        writing: narrow(load.decoding),
        long: narrow(load.long_answers),
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
fn instant_before(now: Instant, age_ms: u32) -> Option<Instant> {
    let age = Duration::from_millis(u64::from(age_ms));
    now.checked_sub(age).filter(|_| age_ms > 0)
}

/// An empty digest of this process.
fn own_digest(gateway: &Gateway, number: u64) -> Digest {
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
                service: short_id(&service),
                reading: asked.prefill_work,
                writing: asked.decode_tokens,
            })
            .collect(),
    }
}
