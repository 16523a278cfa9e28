//! The other gateways: their loads, their placements of prompts, and whether they are alive.
//!
//! This is soft state, exchanged in datagrams. Only the quality of placement depends on it.

mod cache_listing;
mod candidates;
mod changes;
mod discovery;
mod fan_out;
mod latencies;
mod lost;
mod ranking;
mod receive;
mod send;
#[cfg(test)]
mod tests;

pub use candidates::Candidate;
pub use changes::Advertisement;
pub use lost::Lost;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use clock::Instant;
use parking_lot::Mutex;
use policy::prompt::Part;
use prost::Message;
use settings::gateway::Settings;
use tokio::{
    net::UdpSocket,
    sync::{Notify, watch},
};
use wire::{Digest, EndpointChanges, EndpointLoad, Placed, ServiceDemand, StageTold};

use crate::{
    adapters::StoreTime,
    endpoint::{Load, Stage, short_id},
    process::{DemandTotals, Gateway, List, run_again},
    streams,
};

/// Missed heartbeat intervals after which a peer is unreachable and its load is no longer counted.
/// More than one, since datagrams are lost now and then.
const MAX_MISSED_HEARTBEATS: u32 = 4;
/// How long a peer stays known without a digest from it, as far as this process was running and could
/// have received one. A peer that recovers sends a digest on its own.
const PEER_TTL: Duration = Duration::from_secs(60);
/// Time in which a live peer whose address has become known sends a digest or answers a question: two heartbeat intervals,
/// this process's and its own, and a margin for delays.
pub const DISCOVERY_PERIOD: Duration = Duration::from_millis(250);
/// How long after its start a peer counts as new: three times the shortest interval of digests to
/// peers that are not neighbours.
const NEW_PEER_PERIOD: Duration = Duration::from_secs(3);
/// Gateways in each data centre that retry an unavailable store at the shortest interval. At least
/// as many as read the operators' lists, since one of them may be unreachable for longer than the
/// outage lasts.
const STORE_PROBERS: usize = 2;
/// Maximum number of placements that wait for the next digest. Placements are hints, so losing one
/// costs little.
const MAX_PENDING_PLACEMENTS: usize = 64;
/// Maximum number of endpoint changes in one message, so that it fits into a datagram, and maximum
/// number of messages that wait for the next digest.
const MAX_CHANGES: usize = 32;
/// Maximum size of the messages that wait for the next digest together: less than half of a datagram, as a digest has other
/// parts too. A digest that does not fit into a datagram is not sent at all.
const MAX_CHANGES_BYTES: usize = 30 << 10;
/// Number of received advertisements that wait for processing above which those in further digests
/// are dropped. Their changes are read from the store instead.
const MAX_ADVERTISEMENTS: usize = 256;

/// Number of gateways, the first by address, that get the usage of all others besides the steward.
const USAGE_COLLECTORS: usize = 3;

/// A known gateway.
#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    incarnation: u64,
    data_centre: Arc<str>,
    name: Arc<str>,
    service_state: candidates::ServiceState,
    /// How many endpoints of a service it can't reach, where that is not zero; sorted by service.
    unreachable: Vec<(u32, usize)>,
    /// Sequence number of its last digest.
    digest_number: u64,
    /// When its last digest was received; `None` if only its address is known.
    last_received: Option<Instant>,
    /// When its last digest was received, or else when it became known; time for which this machine
    /// was suspended does not count.
    last_contact: tokio::time::Instant,
    /// When the first digest of its current incarnation was received.
    incarnation_since: Instant,
    /// When the first digest of a later incarnation was received; `None` if all were of the same one.
    replaced_at: Option<Instant>,
    /// Its heartbeat interval, as it reported it.
    heartbeat_interval: Duration,
    /// Whether it reads the operators' lists from the store itself.
    reads_lists: bool,
    /// Latest revisions that it knows of the endpoint list and of the configuration.
    revisions: [u64; 2],
    /// When the endpoint list was last known to have no change after that revision; `None` if unknown.
    endpoints_confirmed: Option<StoreTime>,
    /// Its load at each endpoint, sorted by endpoint.
    loads: Vec<(u32, Load)>,
    /// Whether it reports that it is the steward.
    is_steward: bool,
    /// Demand of its callers by service since it started, sorted by service.
    demands: Vec<(u32, DemandTotals)>,
    /// Whether the store is available to it, as it reported.
    store_available: bool,
    /// Since when the store has been available to it, if it reads the operators' lists.
    store_available_since: Option<Instant>,
    /// The last epoch that it has given up as the steward; it gives no more orders in it.
    ceded_epoch: u64,
    /// When it gave its last order, if it reported one.
    last_order: Option<Instant>,
    /// Difference of its wall clock to the store's clock in milliseconds, if it reported one.
    wall_clock_ms: Option<i64>,
}

/// One incarnation of a peer that reads the operators' lists from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reader {
    /// Whether it is in this process's data centre.
    pub is_local: bool,
    address: SocketAddr,
    incarnation: u64,
}

/// The known gateways, sorted by address.
#[derive(Debug, Default)]
pub struct Peers {
    known: Mutex<Vec<Peer>>,
    /// When a peer whose digests had been received was last forgotten.
    last_dropped: Mutex<Option<Instant>>,
    pending_placements: Mutex<Vec<Placed>>,
    /// Encoded endpoint changes that wait for the next digest.
    pending_changes: Mutex<Vec<EndpointChanges>>,
    /// Endpoint changes received from peers that have not been processed yet.
    advertisements: Mutex<Vec<Advertisement>>,
    /// Notified when `advertisements` grows.
    advertisement_received: Notify,
    /// Demand of peers' callers by service, counted from the first digest of each peer; sorted by
    /// service.
    demands: Mutex<Vec<(u32, DemandTotals)>>,
    /// When the registration rows of all gateways were first read.
    membership_known: watch::Sender<Option<tokio::time::Instant>>,
}

impl Peers {
    /// Returns the number of peers that are alive.
    pub fn count_alive(&self) -> u64 {
        let now = Instant::now();
        let known = self.known.lock();
        let alive = known.iter().filter(|peer| peer.is_alive(now)).count();
        u64::try_from(alive).unwrap_or(0)
    }

    /// Returns the number of peers that share fleet-wide budgets with this process, or `None` while
    /// it is unknown.
    ///
    /// Unreachable peers count until [`PEER_TTL`] has passed. A process that has just started may
    /// not have received digests from peers that are unreachable from it. Until its uptime reaches
    /// [`PEER_TTL`] it therefore also counts peers known only by address, and needs to have read
    /// the registration rows to know them.
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

    /// Whether the registration rows of all gateways have been read.
    pub fn is_membership_known(&self) -> bool {
        self.membership_known.borrow().is_some()
    }

    /// Waits until the registration rows of all gateways have been read.
    pub async fn membership_known(&self) {
        let mut known = self.membership_known.subscribe();
        // the sender lives as long as this
        let _ = known.wait_for(Option::is_some).await;
    }

    fn record_membership_known(&self) {
        self.membership_known.send_if_modified(|known| {
            let is_first = known.is_none();
            known.get_or_insert_with(tokio::time::Instant::now);
            is_first
        });
    }

    /// Whether live peers may not be known yet: the registration rows have not been read, or so recently that peers without
    /// a row may not have sent a digest.
    pub fn is_discovering(&self) -> bool {
        let known_since = *self.membership_known.borrow();
        known_since.is_none_or(|since| since.elapsed() < DISCOVERY_PERIOD)
    }

    /// Whether a peer has sent a digest, rather than being known only by its address.
    pub fn has_received_from(&self, address: SocketAddr) -> bool {
        let known = self.known.lock();
        let index = known.binary_search_by_key(&address, |peer| peer.address);
        index.is_ok_and(|index| known[index].last_received.is_some())
    }

    /// Whether a live peer has started recently and may lack what the others have learnt.
    fn has_new_peer(&self) -> bool {
        let now = Instant::now();
        let known = self.known.lock();
        let is_new =
            |peer: &Peer| peer.is_alive(now) && now - peer.incarnation_since < NEW_PEER_PERIOD;
        known.iter().any(is_new)
    }

    /// Records a prompt placed on an engine, to be sent to the peers.
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

    /// Whether the store is available to any live peer.
    pub fn is_store_available(&self) -> bool {
        let now = Instant::now();
        let known = self.known.lock();
        known
            .iter()
            .any(|peer| peer.store_available && peer.is_alive(now))
    }

    /// Whether at least [`STORE_PROBERS`] live peers in `data_centre` precede this process by
    /// address. They retry a store that is unavailable to all gateways at the shortest interval, so
    /// that this process need not. There are several since one may be unreachable for longer than
    /// the outage lasts.
    pub fn has_preceding_store_probers(&self, own: SocketAddr, data_centre: &str) -> bool {
        let now = Instant::now();
        let known = self.known.lock();
        let before = known
            .iter()
            .take_while(|peer| peer.address < own)
            .filter(|peer| *peer.data_centre == *data_centre && peer.is_alive(now));
        before.count() >= STORE_PROBERS
    }

    /// Returns the earliest time since which the store has been available to some live peer that
    /// reads the operators' lists.
    pub fn store_available_since(&self) -> Option<Instant> {
        let now = Instant::now();
        let known = self.known.lock();
        let alive = known.iter().filter(|peer| peer.is_alive(now));
        alive.filter_map(|peer| peer.store_available_since).min()
    }

    /// Returns the highest epoch that a steward has given up.
    pub fn ceded_epoch(&self) -> u64 {
        let known = self.known.lock();
        known.iter().map(|peer| peer.ceded_epoch).max().unwrap_or(0)
    }

    /// Returns the time since the last order of the peer that gave up the highest epoch, if one
    /// gave up an epoch.
    pub fn time_since_last_order(&self) -> Option<Duration> {
        let known = self.known.lock();
        let last = known.iter().max_by_key(|peer| peer.ceded_epoch)?;
        // a steward without any order reports none; an hour is longer than any order can matter
        let never = Duration::from_secs(3600);
        (last.ceded_epoch > 0).then(|| last.last_order.map_or(never, Instant::elapsed))
    }

    /// Returns the live peers that read the operators' lists and can reach the store: in this data
    /// centre those with lower addresses, in others all.
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

    /// Whether a live peer with a lower address reads the operators' lists and can reach the store.
    pub fn has_preceding_reader(&self, own: SocketAddr) -> bool {
        let now = Instant::now();
        let known = self.known.lock();
        known
            .iter()
            .take_while(|peer| peer.address < own)
            .any(|peer| peer.reads_lists && peer.store_available && peer.is_alive(now))
    }

    /// Returns the latest time at which one of these readers knew of no change of the endpoints after a revision.
    pub fn endpoints_confirmed(&self, readers: &[Reader], revision: u64) -> Option<StoreTime> {
        let known = self.known.lock();
        let confirms = |peer: &&Peer| {
            let is_reader = |reader: &Reader| {
                reader.address == peer.address && reader.incarnation == peer.incarnation
            };
            peer.revisions[List::Endpoints.index()] <= revision && readers.iter().any(is_reader)
        };
        let confirming = known.iter().filter(confirms);
        confirming.filter_map(|peer| peer.endpoints_confirmed).max()
    }

    /// Returns the latest revision of a list that any live peer knows.
    pub fn latest_revision(&self, list: List) -> u64 {
        let now = Instant::now();
        let known = self.known.lock();
        let alive = known.iter().filter(|peer| peer.is_alive(now));
        let revisions = alive.map(|peer| peer.revisions[list.index()]);
        revisions.max().unwrap_or(0)
    }

    /// Queues endpoint changes for the peers. Batches of more than [`MAX_CHANGES`] are dropped, and
    /// so are batches while [`MAX_CHANGES`] of them are queued or they would have more than
    /// [`MAX_CHANGES_BYTES`] together; peers then read the list from the store.
    pub fn advertise(&self, changes: &Advertisement) {
        if changes.changes.len() > MAX_CHANGES {
            return;
        }
        let encoded = changes.encode();
        let mut pending_changes = self.pending_changes.lock();
        let pending = pending_changes.iter().map(Message::encoded_len);
        let bytes = pending.sum::<usize>() + encoded.encoded_len();
        if bytes <= MAX_CHANGES_BYTES && pending_changes.len() < MAX_CHANGES {
            pending_changes.push(encoded);
        }
    }

    /// Waits for endpoint changes from peers and takes them.
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

    /// Returns the data centres that are unreachable from here: at least one peer there has been
    /// alive, none is now, while peers elsewhere are. If no peer is reachable at all, this process
    /// itself is isolated and knows nothing about the others, so the result is empty.
    ///
    /// In each data centre the peers with the shortest heartbeat interval decide; others are
    /// expected to send less often.
    pub fn unreachable_data_centres(&self) -> Vec<Arc<str>> {
        let now = Instant::now();
        let known = self.known.lock();
        let mut data_centres: Vec<(&Arc<str>, Instant, Duration)> = Vec::new();
        for peer in known.iter() {
            let Some(last_received) = peer.last_received else {
                continue;
            };
            match data_centres.binary_search_by(|(name, ..)| (*name).cmp(&peer.data_centre)) {
                Ok(index) => {
                    let (_, last, heartbeat_interval) = &mut data_centres[index];
                    *last = last_received.max(*last);
                    *heartbeat_interval = peer.heartbeat_interval.min(*heartbeat_interval);
                }
                Err(index) => data_centres.insert(
                    index,
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

    /// Like [`Self::steward_rank`], but also counts peers that cannot reach the store or endpoints.
    pub fn address_rank(&self, own: SocketAddr) -> usize {
        self.count_preceding(own, |_| true)
    }

    /// Returns the number of live peers with a lower address.
    pub fn rank(&self, own: SocketAddr) -> usize {
        let now = Instant::now();
        let known = self.known.lock();
        let before = known.iter().take_while(|peer| peer.address < own);
        before.filter(|peer| peer.is_alive(now)).count()
    }

    fn count_preceding(&self, own: SocketAddr, is_counted: impl Fn(&Peer) -> bool) -> usize {
        let now = Instant::now();
        let known = self.known.lock();
        let before = known.iter().take_while(|peer| peer.address < own);
        before
            .filter(|peer| is_counted(peer) && !peer.is_steward && peer.is_alive(now))
            .count()
    }

    /// Returns the demand of peers' callers for a service, counted from the first digest of each
    /// peer.
    pub fn demand(&self, service: &str) -> DemandTotals {
        let demands = self.demands.lock();
        let index = demands.binary_search_by_key(&short_id(service), |(service, _)| *service);
        index.map_or_else(|_| DemandTotals::default(), |index| demands[index].1)
    }

    fn add_demand(&self, service: u32, demand: DemandTotals) {
        let mut demands = self.demands.lock();
        match demands.binary_search_by_key(&service, |(service, _)| *service) {
            Ok(index) => demands[index].1 = demands[index].1.plus(demand),
            Err(index) => demands.insert(index, (service, demand)),
        }
    }

    /// Returns the peers that may have to report usage: the steward, and the first ones by address, which succeed it.
    pub(super) fn usage_collectors(&self) -> Vec<SocketAddr> {
        let now = Instant::now();
        let known = self.known.lock();
        let alive = || known.iter().filter(|peer| peer.is_alive(now));
        let first = alive().take(USAGE_COLLECTORS);
        let stewards = alive().filter(|peer| peer.is_steward);
        first.chain(stewards).map(|peer| peer.address).collect()
    }

    /// Returns the incarnations of the peers whose last digest was received within `span`.
    pub fn incarnations_active_within(&self, span: Duration) -> Vec<u64> {
        let known = self.known.lock();
        let recent = |peer: &&Peer| peer.last_received.is_some_and(|last| last.elapsed() < span);
        known
            .iter()
            .filter(recent)
            .map(|peer| peer.incarnation)
            .collect()
    }

    /// Returns the median of the differences of wall clocks to the store's clock, of this process and of live peers.
    pub fn median_wall_clock_offset_ms(&self, own: Option<i64>) -> Option<i64> {
        let now = Instant::now();
        let known = self.known.lock();
        let alive = known.iter().filter(|peer| peer.is_alive(now));
        let mut offsets: Vec<i64> = alive
            .filter_map(|peer| peer.wall_clock_ms)
            .chain(own)
            .collect();
        offsets.sort_unstable();
        offsets.get(offsets.len() / 2).copied()
    }

    /// Adds the seed VMs, on which gateways may be running.
    pub fn add_seeds(&self, settings: &Settings) {
        let own = settings.gateway.peers;
        for seed in &settings.gateway.seeds {
            let address = SocketAddr::new(seed.ip(), own.port());
            if address != own {
                self.add(address, "");
            }
        }
    }

    /// Adds a peer unless it is known.
    fn add(&self, address: SocketAddr, data_centre: &str) {
        let mut known = self.known.lock();
        if let Err(index) = known.binary_search_by_key(&address, |peer| peer.address) {
            known.insert(index, Peer::new(address, data_centre));
        }
    }
}

impl Peer {
    fn new(address: SocketAddr, data_centre: &str) -> Self {
        Self {
            address,
            incarnation: 0,
            data_centre: Arc::from(data_centre),
            name: Arc::from(""),
            service_state: candidates::ServiceState::Serving,
            unreachable: Vec::new(),
            digest_number: 0,
            last_received: None,
            last_contact: tokio::time::Instant::now(),
            incarnation_since: Instant::now(),
            replaced_at: None,
            heartbeat_interval: fan_out::HEARTBEAT_INTERVAL,
            reads_lists: false,
            revisions: [0; 2],
            endpoints_confirmed: None,
            loads: Vec::new(),
            is_steward: false,
            demands: Vec::new(),
            store_available: false,
            store_available_since: None,
            ceded_epoch: 0,
            last_order: None,
            wall_clock_ms: None,
        }
    }

    fn is_alive(&self, now: Instant) -> bool {
        self.last_received.is_some_and(|last_received| {
            is_heartbeat_recent(last_received, self.heartbeat_interval, now)
        })
    }
}

/// Whether a peer with this heartbeat interval, whose last digest came at `last_received`, counts
/// as alive.
fn is_heartbeat_recent(last_received: Instant, heartbeat_interval: Duration, now: Instant) -> bool {
    now - last_received < heartbeat_interval * MAX_MISSED_HEARTBEATS
}

/// Runs peer discovery and the exchange of digests until the process ends.
pub async fn run(gateway: Arc<Gateway>, socket: UdpSocket) {
    let socket = Arc::new(socket);
    gateway.streams.attach(&socket);
    tokio::join!(
        run_again("discovery", || discovery::run(&gateway)),
        run_again("digests to peers", || send::run(&gateway, &socket)),
        run_again("digests of peers", || receive::run(&gateway, &socket)),
        run_again("streams of peers", || streams::run(&gateway, &socket)),
    );
}

fn decode_load(message: &EndpointLoad) -> (u32, Load) {
    let load = Load {
        prefill_work: u64::from(message.reading),
        deferred_work: u64::from(message.late),
        prompts: u64::from(message.prompts),
        deferred_prompts: u64::from(message.late_prompts),
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
        late: narrow(load.deferred_work),
        prompts: narrow(load.prompts),
        late_prompts: narrow(load.deferred_prompts),
        writing: narrow(load.decoding),
        long: narrow(load.long_answers),
        suspects: narrow(load.suspects),
    }
}

/// Returns the age of `index` in milliseconds as digests encode it: at least 1, since 0 stands for
/// "never".
fn age_ms(at: Instant) -> u32 {
    u32::try_from(at.elapsed().as_millis())
        .unwrap_or(u32::MAX)
        .max(1)
}

/// Decodes an age from a digest; 0 gives `None`.
fn instant_before(now: Instant, age_ms: u32) -> Option<Instant> {
    let age = Duration::from_millis(u64::from(age_ms));
    now.checked_sub(age).filter(|_| age_ms > 0)
}

/// Returns a digest of this process without loads, placements, changes, latencies and suspects.
fn own_digest(gateway: &Gateway, number: u64) -> Digest {
    // read before the version and the revision, which only increase: this confirms them or earlier ones
    let [endpoints_confirmed, confirmed] = [List::Endpoints, List::Configuration].map(|list| {
        let time = gateway.confirmed(list);
        time.map_or(0, |time| time.0)
    });
    Digest {
        confirmed_ms: confirmed,
        endpoints_confirmed_ms: endpoints_confirmed,
        wall_clock_ms: gateway.wall_clock_offset_ms().unwrap_or_default(),
        usage: Vec::new(),
        incarnation: gateway.incarnation,
        name: gateway.settings.gateway.name.clone(),
        data_centre: gateway.settings.gateway.data_centre.clone(),
        address: gateway.settings.gateway.peers.to_string(),
        number,
        unreachable: candidates::encode_unreachable(gateway),
        leaving: *gateway.phase.borrow() != crate::process::Phase::Serving,
        configuration: gateway
            .configuration()
            .map_or(0, |configuration| configuration.version),
        loads: Vec::new(),
        placed: Vec::new(),
        steward: gateway.steward.holds_lease(),
        store_answers: gateway.store_available(),
        reads: gateway.is_reliable_reader(),
        endpoints_changed: gateway.last_changes.revision(List::Endpoints),
        configuration_changed: gateway.last_changes.revision(List::Configuration),
        changes: Vec::new(),
        streams: None,
        paces: Vec::new(),
        suspects: Vec::new(),
        crashes: Vec::new(),
        served_parts: Vec::new(),
        reached: Vec::new(),
        beat_ms: 0,
        answered_ms: gateway.store_available_since().map_or(0, age_ms),
        ceded: gateway.steward.ceded(),
        last_order_ms: gateway.steward.last_order().map_or(0, age_ms),
        changing: gateway.steward.known_changes(),
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
            .map(|(service, demand)| ServiceDemand {
                service: short_id(&service),
                reading: demand.prefill_work,
                writing: demand.decode_tokens,
            })
            .collect(),
    }
}
