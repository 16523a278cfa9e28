//! Sends digests: when there is something to report, and as heartbeats.

use std::{net::SocketAddr, time::Duration};

use clock::Instant;
use prost::Message;
use tokio::net::UdpSocket;
use wire::{Digest, EndpointChanges, Placed, UsageWindow};

use super::{
    MAX_PENDING_PLACEMENTS, encode_load,
    fan_out::{HEARTBEAT_INTERVAL, MIN_DIGEST_INTERVAL, PeerGroup},
    latencies, own_digest,
    receive::apply_stage_changes,
};
use crate::{
    crashes::Backlog,
    endpoint::Load,
    process::{Gateway, List},
    steward,
};

/// Maximum number of placements in one digest, so that a datagram usually fits into a packet or
/// two.
const MAX_PLACEMENTS_PER_DIGEST: usize = 24;

/// Minimum interval between two digests to a group that contain latencies; learning more takes
/// several prompts.
const LATENCIES_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum interval between two digests to a group that contain usage. A process that is killed loses the counts of
/// this time.
const USAGE_INTERVAL: Duration = Duration::from_millis(900);

/// Sends digests until the process ends.
pub async fn run(gateway: &Gateway, socket: &UdpSocket) {
    let mut number = 0;
    let mut schedules = [
        PeerGroup::LocalNeighbours,
        PeerGroup::RemoteNeighbours,
        PeerGroup::Others,
    ]
    .map(DigestSchedule::new);
    let mut is_announced = false;
    loop {
        clock::sleep(MIN_DIGEST_INTERVAL).await;
        // peers accept nothing from a process that they don't know, and read its registration row much later
        let announces = !is_announced && gateway.peers.is_membership_known();
        is_announced |= announces;
        let update = Update::collect(gateway);
        apply_stage_changes(gateway, &update.changing, &[]);
        for schedule in &mut schedules {
            schedule.enqueue(&update);
            if !announces && !schedule.is_due(&update) {
                continue;
            }
            let own = &gateway.settings.gateway;
            let recipients = gateway.peers.recipients(
                schedule.group,
                own.peers,
                &own.data_centre,
                is_critical(gateway, &update),
            );
            schedule.min_interval = recipients.min_interval;
            schedule.max_interval = recipients.max_interval;
            number += 1;
            let digest = schedule.next_digest(gateway, &update, number);
            let datagrams = Datagrams::new(gateway, digest, schedule.usage_due(gateway));
            for address in recipients.peers {
                let bytes = datagrams.bytes_for(address);
                if let Err(error) = socket.send_to(bytes, address).await {
                    log::debug!(peer:% = address, error:%; "failed to send a digest");
                }
            }
        }
    }
}

/// The encoded forms of a digest.
struct Datagrams {
    plain: Vec<u8>,
    /// With usage, for its collectors only.
    with_usage: Vec<u8>,
    collectors: Vec<SocketAddr>,
}

impl Datagrams {
    fn new(gateway: &Gateway, digest: Digest, usage: Vec<UsageWindow>) -> Self {
        let plain = digest.encode_to_vec();
        if usage.is_empty() {
            return Self {
                plain,
                with_usage: Vec::new(),
                collectors: Vec::new(),
            };
        }
        Self {
            plain,
            with_usage: Digest { usage, ..digest }.encode_to_vec(),
            collectors: gateway.peers.usage_collectors(),
        }
    }

    fn bytes_for(&self, address: SocketAddr) -> &[u8] {
        if self.collectors.contains(&address) {
            &self.with_usage
        } else {
            &self.plain
        }
    }
}

/// Whether others depend on this process and must notice its failure soon.
fn is_critical(gateway: &Gateway, update: &Update) -> bool {
    // during an outage all processes would read the lists, and all would be critical
    (update.reads_lists && gateway.store_available()) || steward::is_steward_or_successor(gateway)
}

/// State to report at one moment.
#[derive(Debug)]
struct Update {
    loads: Vec<(u32, Load)>,
    placed: Vec<Placed>,
    changing: Vec<u32>,
    changes: Vec<EndpointChanges>,
    revisions: [u64; 2],
    /// Whether this process reads the operators' lists from the store itself.
    reads_lists: bool,
    crashes: Backlog,
    /// Number of endpoints that this process can't reach.
    unreachable: usize,
}

impl Update {
    fn collect(gateway: &Gateway) -> Self {
        Self {
            loads: gateway.registry.busy().loads(),
            placed: std::mem::take(&mut *gateway.peers.pending_placements.lock()),
            changing: gateway.steward.known_changes(),
            changes: std::mem::take(&mut *gateway.peers.pending_changes.lock()),
            revisions: [List::Endpoints, List::Configuration]
                .map(|list| gateway.last_changes.revision(list)),
            reads_lists: gateway.reads_lists(),
            unreachable: gateway.registry.lost_paths().current().len(),
            crashes: gateway.crashes.take_encoded_updates(),
        }
    }
}

/// Digests to one group of peers: what they contained last and what waits for the next one.
#[derive(Debug)]
struct DigestSchedule {
    group: PeerGroup,
    /// When the last digest was sent.
    last_sent: Instant,
    /// Minimum interval until the next one.
    min_interval: Duration,
    /// Maximum interval until the next one.
    max_interval: Duration,
    /// Loads in the last digest.
    loads: Vec<(u32, Load)>,
    changing: Vec<u32>,
    unreachable: usize,
    revisions: [u64; 2],
    /// Placements that no digest has contained yet.
    placed: Vec<Placed>,
    changes: Vec<EndpointChanges>,
    crashes: Backlog,
    /// When a digest last contained latencies.
    latencies_sent: Instant,
    /// When a digest last contained usage.
    usage_sent: Instant,
}

impl DigestSchedule {
    fn new(group: PeerGroup) -> Self {
        Self {
            group,
            last_sent: Instant::now(),
            min_interval: MIN_DIGEST_INTERVAL,
            max_interval: HEARTBEAT_INTERVAL,
            loads: Vec::new(),
            changing: Vec::new(),
            unreachable: 0,
            revisions: [0; 2],
            placed: Vec::new(),
            changes: Vec::new(),
            crashes: Backlog::default(),
            latencies_sent: Instant::now(),
            usage_sent: Instant::now(),
        }
    }

    /// Returns the usage for the next digest; empty if the last one is recent.
    fn usage_due(&mut self, gateway: &Gateway) -> Vec<UsageWindow> {
        if self.usage_sent.elapsed() < USAGE_INTERVAL {
            return Vec::new();
        }
        self.usage_sent = Instant::now();
        gateway.own_usage()
    }

    /// Queues items that are sent in one digest only. Placements are hints that are useful only to
    /// peers that receive the loads in time, so peers that are not neighbours get none.
    fn enqueue(&mut self, update: &Update) {
        if self.group != PeerGroup::Others {
            let remaining = MAX_PENDING_PLACEMENTS.saturating_sub(self.placed.len());
            self.placed
                .extend(update.placed.iter().take(remaining).cloned());
        }
        self.changes.extend_from_slice(&update.changes);
        self.crashes.append(&update.crashes);
    }

    /// Whether a digest is due.
    fn is_due(&self, update: &Update) -> bool {
        let since = self.last_sent.elapsed();
        // a revision learnt from a peer needs no urgent digest: the peer that read it has sent it
        // to all
        let urgent = !self.changes.is_empty()
            || !self.crashes.is_empty()
            || update.changing != self.changing
            || (update.reads_lists && update.revisions != self.revisions);
        let changed = update.loads != self.loads
            || !self.placed.is_empty()
            || update.unreachable != self.unreachable;
        urgent || (changed && since >= self.min_interval) || since >= self.max_interval
    }

    /// Builds the next digest from queued items and `update`.
    fn next_digest(&mut self, gateway: &Gateway, update: &Update, number: u64) -> Digest {
        self.last_sent = Instant::now();
        self.loads.clone_from(&update.loads);
        self.changing.clone_from(&update.changing);
        self.revisions = update.revisions;
        self.unreachable = update.unreachable;
        let count = self.placed.len().min(MAX_PLACEMENTS_PER_DIGEST);
        let crashes = self.crashes.take_some();
        let latencies = if self.latencies_sent.elapsed() < LATENCIES_INTERVAL {
            Vec::new()
        } else {
            self.latencies_sent = self.last_sent;
            latencies::collect(gateway, gateway.peers.has_new_peer())
        };
        Digest {
            paces: latencies,
            loads: update
                .loads
                .iter()
                .map(|(at, load)| encode_load(*at, *load))
                .collect(),
            placed: self.placed.drain(..count).collect(),
            beat_ms: u32::try_from(self.max_interval.as_millis()).unwrap_or(u32::MAX),
            changes: std::mem::take(&mut self.changes),
            suspects: crashes.suspects,
            crashes: crashes.reports,
            served_parts: crashes.served,
            reached: crashes.reached,
            ..own_digest(gateway, number)
        }
    }
}
