//! Which peers this process tells of itself, and how often.
//!
//! Each process telling each other one grows with the square of their number. In a data centre with many,
//! a process tells a few of them often, its neighbours, which is what choices depend on; all others hear
//! seldom that it lives, and at once what must be told to all. See
//! `docs/CAPACITY.md#gateways-on-a-platform`.

use std::{net::SocketAddr, time::Duration};

use xxhash_rust::xxh3::xxh3_64;

use super::{Peer, Peers};

/// The shortest time between two digests: twice the way between two data centres, and well below the
/// time that a prompt takes to be read.
pub(super) const MIN_DIGEST_INTERVAL: Duration = Duration::from_millis(10);
/// What each peer adds to that time: a process then takes in some 600 digests a second from its data
/// centre and as many from all others. One gateway of many matters less to the others' choices, so what it
/// tells may be older.
const MIN_INTERVAL_PER_PEER: Duration = Duration::from_micros(1_600);
/// A digest is sent to neighbours at least this often, so that they know that this process lives.
pub(super) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// The shortest time between two digests to the others, and what each of them adds: a process takes in
/// some 125 of them a second, however many there are. They show who shares the budgets, and where engines
/// are busy on the whole.
const OTHERS_INTERVAL: Duration = Duration::from_secs(1);
const OTHERS_INTERVAL_PER_PEER: Duration = Duration::from_millis(8);
/// Peers in a data centre up to which all of them are neighbours: above the first large deployments' 22, where
/// fewer neighbours in other data centres were measured to serve less (`docs/MEASUREMENTS.md#on-the-platform`).
const MAX_FULL_MESH: usize = 32;
/// Neighbours in the own data centre where there are more: what they have under way is heard of some 160 times a
/// second, a quarter of what is taken in from 32. Not swept.
const LOCAL_NEIGHBOURS: usize = 16;
/// Neighbours in each other data centre where there are more: one that is cut off is noticed by the silence
/// of all of them, and bytes between data centres are paid for. Not swept.
const REMOTE_NEIGHBOURS: usize = 4;

/// Some of the peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PeerGroup {
    /// Neighbours in the same data centre.
    LocalNeighbours,
    /// Neighbours in other ones: what goes there is paid for, and what they have under way matters less here.
    RemoteNeighbours,
    /// All others.
    Others,
}

/// Peers that are told alike.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Recipients {
    /// Where they listen.
    pub peers: Vec<SocketAddr>,
    /// The shortest time between two digests, unless there is something urgent.
    pub min_interval: Duration,
    /// The longest time between two digests.
    pub max_interval: Duration,
}

impl Peers {
    /// The circle of a reach around a process. A `prompt` one must be missed soon when it ends, since others
    /// depend on it: all of its circles hear it as often as neighbours.
    pub(super) fn recipients(
        &self,
        group: PeerGroup,
        own: SocketAddr,
        data_centre: &str,
        critical: bool,
    ) -> Recipients {
        let known = self.known.lock();
        let mut data_centres: Vec<&str> = known.iter().map(|peer| &*peer.data_centre).collect();
        data_centres.sort_unstable();
        data_centres.dedup();
        let mut peers = Vec::new();
        let mut full_mesh = true;
        for peer_data_centre in data_centres {
            let is_local = peer_data_centre == data_centre;
            let within = known
                .iter()
                .filter(|peer| *peer.data_centre == *peer_data_centre);
            let (neighbours, others) = neighbours(
                own,
                within,
                if is_local {
                    LOCAL_NEIGHBOURS
                } else {
                    REMOTE_NEIGHBOURS
                },
            );
            match group {
                PeerGroup::LocalNeighbours if is_local => peers.extend(&neighbours),
                PeerGroup::RemoteNeighbours if !is_local => peers.extend(&neighbours),
                PeerGroup::Others => peers.extend(&others),
                PeerGroup::LocalNeighbours | PeerGroup::RemoteNeighbours => continue,
            }
            full_mesh &= others.is_empty();
        }
        let (min_interval, max_interval) =
            digest_intervals(group, peers.len(), full_mesh, critical);
        Recipients {
            peers,
            min_interval,
            max_interval,
        }
    }
}

/// The neighbours among the peers of a data centre, and the others. They are drawn by a hash that is the same
/// for both of a pair, so who tells a process is likely told by it.
fn neighbours<'a>(
    own: SocketAddr,
    peers: impl Iterator<Item = &'a Peer>,
    count: usize,
) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    let mut peers: Vec<SocketAddr> = peers.map(|peer| peer.address).collect();
    if peers.len() <= MAX_FULL_MESH {
        return (peers, Vec::new());
    }
    peers.sort_by_cached_key(|peer| {
        let (first, second) = (own.min(*peer), own.max(*peer));
        xxh3_64(format!("{first} {second}").as_bytes())
    });
    let others = peers.split_off(count);
    (peers, others)
}

/// The shortest and the longest time between two digests to so many peers; `whole` if there are no others.
fn digest_intervals(
    group: PeerGroup,
    peers: usize,
    full_mesh: bool,
    critical: bool,
) -> (Duration, Duration) {
    let peers = u32::try_from(peers).unwrap_or(u32::MAX);
    match group {
        PeerGroup::LocalNeighbours | PeerGroup::RemoteNeighbours if full_mesh => {
            let min_interval = MIN_DIGEST_INTERVAL.max(MIN_INTERVAL_PER_PEER.saturating_mul(peers));
            (min_interval, HEARTBEAT_INTERVAL.max(min_interval))
        }
        PeerGroup::LocalNeighbours | PeerGroup::RemoteNeighbours => {
            (HEARTBEAT_INTERVAL, HEARTBEAT_INTERVAL)
        }
        PeerGroup::Others if critical => (HEARTBEAT_INTERVAL, HEARTBEAT_INTERVAL),
        PeerGroup::Others => {
            let max_interval = OTHERS_INTERVAL.max(OTHERS_INTERVAL_PER_PEER.saturating_mul(peers));
            (max_interval, max_interval)
        }
    }
}
