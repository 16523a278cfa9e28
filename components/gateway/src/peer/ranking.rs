//! Rendezvous hashing over the live peers: every gateway ranks them alike for a key, without any agreement.

use std::net::{IpAddr, SocketAddr};

use clock::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Peers;

/// The peers that are alive at one moment, and those of which only the address is known: in a large fleet the first digest
/// of a peer arrives seconds after its address has become known.
#[derive(Clone, Debug, Default)]
pub struct Ranking {
    peers: Vec<Ranked>,
    /// The incarnations of the live peers, sorted.
    incarnations: Vec<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Ranked {
    address: SocketAddr,
    /// Its incarnation if it is alive; `None` if no digest of it has been received.
    incarnation: Option<u64>,
}

impl Peers {
    /// Returns the peers that are alive or may be.
    pub fn ranking(&self) -> Ranking {
        let now = Instant::now();
        let known = self.known.lock();
        let ranked = known.iter().filter_map(|peer| {
            let is_alive = peer.is_alive(now);
            let may_be_alive = is_alive || peer.last_received.is_none();
            may_be_alive.then(|| Ranked {
                address: peer.address,
                incarnation: is_alive.then_some(peer.incarnation),
            })
        });
        let peers: Vec<Ranked> = ranked.collect();
        let mut incarnations: Vec<u64> = peers.iter().filter_map(|peer| peer.incarnation).collect();
        incarnations.sort_unstable();
        Ranking {
            peers,
            incarnations,
        }
    }

    /// Returns the first peers for a key, see [`Ranking::first`].
    pub fn ranked(&self, key: u64, count: usize) -> Vec<SocketAddr> {
        let ranking = self.ranking();
        let first = ranking.first(key, count);
        first
            .into_iter()
            .map(|peer| ranking.address(peer))
            .collect()
    }
}

impl Ranking {
    /// Whether there is no peer.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Whether a peer of this incarnation is alive.
    pub fn has_incarnation(&self, incarnation: u64) -> bool {
        self.incarnations.binary_search(&incarnation).is_ok()
    }

    /// Returns the indices of the first `count` live peers for a key, and of up to `count` peers that rank before the last of
    /// them and of which no digest has been received. So they include the first ones of a gateway that knows all peers.
    pub fn first(&self, key: u64, count: usize) -> Vec<usize> {
        let alive = self.first_of(key, count, |peer| peer.incarnation.is_some());
        let last = alive.last().copied().filter(|_| alive.len() == count);
        let unconfirmed = self.first_of(key, count, |peer| peer.incarnation.is_none());
        let before = unconfirmed
            .into_iter()
            .filter(|peer| last.is_none_or(|last| *peer > last));
        let first = alive.iter().copied().chain(before);
        first.map(|(_, index)| index).collect()
    }

    /// Returns the first of some peers for a key, with their weights and indices, the highest rank first.
    fn first_of(
        &self,
        key: u64,
        count: usize,
        is_ranked: impl Fn(&Ranked) -> bool,
    ) -> Vec<(u64, usize)> {
        let mut ranked: Vec<(u64, usize)> = self
            .peers
            .iter()
            .enumerate()
            .filter(|(_, peer)| is_ranked(peer))
            .map(|(index, peer)| (weight(peer.address, key), index))
            .collect();
        let count = count.min(ranked.len());
        if count < ranked.len() {
            ranked.select_nth_unstable_by(count, |first, second| second.cmp(first));
            ranked.truncate(count);
        }
        ranked.sort_unstable_by(|first, second| second.cmp(first));
        ranked
    }

    /// Returns the number of live peers that rank higher for a key than a process with this address.
    pub fn count_before(&self, own: SocketAddr, key: u64) -> usize {
        let own = weight(own, key);
        let before = |peer: &&Ranked| weight(peer.address, key) > own;
        let alive = self.peers.iter().filter(|peer| peer.incarnation.is_some());
        alive.filter(before).count()
    }

    /// Returns the address of a peer.
    pub fn address(&self, peer: usize) -> SocketAddr {
        self.peers[peer].address
    }

    /// Returns a hash of these peers and their incarnations, not zero. A peer that restarts has lost its copies, and one that
    /// has sent no digest may not have accepted any.
    pub fn token(&self, peers: &[usize]) -> u64 {
        let peers = peers.iter().map(|peer| self.peers[*peer]);
        let combined = peers.fold(0_u64, |token, peer| {
            let incarnation = peer.incarnation.unwrap_or_default();
            token.rotate_left(1) ^ weight(peer.address, incarnation)
        });
        combined.max(1)
    }
}

/// Returns the rank of a peer for a key.
fn weight(address: SocketAddr, key: u64) -> u64 {
    let port = address.port().to_be_bytes();
    match address.ip() {
        IpAddr::V4(ip) => {
            let [a, b, c, d] = ip.octets();
            xxh3_64_with_seed(&[a, b, c, d, port[0], port[1]], key)
        }
        IpAddr::V6(ip) => xxh3_64_with_seed(&[&ip.octets()[..], &port[..]].concat(), key),
    }
}
