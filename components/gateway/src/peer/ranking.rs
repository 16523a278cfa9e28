//! Rendezvous hashing over the live peers: every gateway ranks them alike for a key, without any agreement.

use std::net::{IpAddr, SocketAddr};

use clock::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Peers;

/// The live peers at one moment.
#[derive(Clone, Debug, Default)]
pub struct Ranking {
    /// Their addresses and incarnations.
    peers: Vec<(SocketAddr, u64)>,
    /// The incarnations alone, sorted.
    incarnations: Vec<u64>,
}

impl Peers {
    /// Returns the live peers.
    pub fn ranking(&self) -> Ranking {
        let now = Instant::now();
        let known = self.known.lock();
        let alive = known.iter().filter(|peer| peer.is_alive(now));
        let peers: Vec<(SocketAddr, u64)> =
            alive.map(|peer| (peer.address, peer.incarnation)).collect();
        let mut incarnations: Vec<u64> =
            peers.iter().map(|(_, incarnation)| *incarnation).collect();
        incarnations.sort_unstable();
        Ranking {
            peers,
            incarnations,
        }
    }

    /// Returns the first live peers for a key.
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
    /// Whether no peer is alive.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Whether a peer of this incarnation is alive.
    pub fn has_incarnation(&self, incarnation: u64) -> bool {
        self.incarnations.binary_search(&incarnation).is_ok()
    }

    /// Returns the first peers for a key, by their index, the highest rank first.
    pub fn first(&self, key: u64, count: usize) -> Vec<usize> {
        let mut ranked: Vec<(u64, usize)> = self
            .peers
            .iter()
            .enumerate()
            .map(|(index, (address, _))| (weight(*address, key), index))
            .collect();
        let count = count.min(ranked.len());
        if count < ranked.len() {
            ranked.select_nth_unstable_by(count, |first, second| second.cmp(first));
            ranked.truncate(count);
        }
        ranked.sort_unstable_by(|first, second| second.cmp(first));
        ranked.into_iter().map(|(_, index)| index).collect()
    }

    /// Returns the number of peers that rank higher for a key than a process with this address.
    pub fn count_before(&self, own: SocketAddr, key: u64) -> usize {
        let own = weight(own, key);
        let before = |(address, _): &&(SocketAddr, u64)| weight(*address, key) > own;
        self.peers.iter().filter(before).count()
    }

    /// Returns the address of a peer.
    pub fn address(&self, peer: usize) -> SocketAddr {
        self.peers[peer].0
    }

    /// Returns a hash of these incarnations of peers, not zero. A peer that restarts has lost its copies.
    pub fn token(&self, peers: &[usize]) -> u64 {
        let incarnations = peers.iter().map(|peer| self.peers[*peer].1);
        let combined = incarnations.fold(0_u64, |token, incarnation| {
            token.rotate_left(1) ^ incarnation
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
