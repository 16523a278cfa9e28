//! Which peers this process sends digests to, and how often.
//!
//! If each process sent its digests to every other one, traffic would grow with the square of their
//! number. In a large data centre a process therefore sends frequent digests only to a few peers,
//! its neighbours, which is enough for good placement. All others get a heartbeat at longer
//! intervals, and urgent updates at once. See `docs/CAPACITY.md#gateways-on-a-platform`.

use std::{net::SocketAddr, time::Duration};

use xxhash_rust::xxh3::xxh3_64;

use super::{Peer, Peers};

/// Minimum interval between two digests: twice the one-way delay between two data centres, and well
/// below the duration of a prefill.
pub(super) const MIN_DIGEST_INTERVAL: Duration = Duration::from_millis(10);
/// Minimum interval between two digests per recipient: multiplied by their number, it applies where
/// it exceeds [`MIN_DIGEST_INTERVAL`]. A process then receives about 600 digests a second from its
/// data centre and as many from all others. The more gateways there are, the less each one matters
/// to the others' placement, so its reports may be older.
const MIN_INTERVAL_PER_PEER: Duration = Duration::from_micros(1_600);
/// Maximum interval between two digests to neighbours, so that they know that this process is
/// alive.
pub(super) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two digests to peers that are not neighbours, unless
/// [`OTHERS_INTERVAL_PER_PEER`] multiplied by their number is longer: a process receives at most
/// about 125 such digests a second, however many peers there are. They show who shares the budgets,
/// and roughly where engines are busy.
const OTHERS_INTERVAL: Duration = Duration::from_secs(1);
const OTHERS_INTERVAL_PER_PEER: Duration = Duration::from_millis(8);
/// Maximum number of peers in a data centre of which all are neighbours. Above the 22 gateways of
/// the first large deployments, where fewer neighbours in other data centres reduced throughput
/// (`docs/MEASUREMENTS.md#on-the-platform`).
const MAX_FULL_MESH: usize = 32;
/// Number of neighbours in the local data centre if it has more than [`MAX_FULL_MESH`] peers: their
/// loads are received about 160 times a second, a quarter of the rate with 32 neighbours.
const LOCAL_NEIGHBOURS: usize = 16;
/// Number of neighbours in each remote data centre that has more than [`MAX_FULL_MESH`] peers.
/// Several, since a data centre is found unreachable when all of them are silent; few, since
/// traffic between data centres is paid for.
const REMOTE_NEIGHBOURS: usize = 4;

/// Peers that get digests at the same intervals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PeerGroup {
    /// Neighbours in the same data centre.
    LocalNeighbours,
    /// Neighbours in other data centres. Traffic to them is paid for, and their load matters less
    /// here.
    RemoteNeighbours,
    /// All other peers.
    Others,
}

/// The peers of a group, with the intervals of their digests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Recipients {
    /// Their addresses.
    pub peers: Vec<SocketAddr>,
    /// Minimum interval between two digests, unless there is something urgent.
    pub min_interval: Duration,
    /// Maximum interval between two digests.
    pub max_interval: Duration,
}

impl Peers {
    /// Returns the peers of `group` around a process. The failure of a `critical` process must be
    /// noticed soon, since others depend on it: all groups then get heartbeats as often as
    /// neighbours do.
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

/// Splits the peers of a data centre into neighbours and others. Neighbours are selected by a hash
/// that is the same for both processes of a pair, so a process most likely receives digests from
/// those that it sends them to.
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

/// Returns the minimum and maximum interval between two digests to the given number of peers. With
/// `full_mesh` all peers in the data centres of the group are neighbours.
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
