//! Which peers may serve requests for this process, and how many endpoints they reach.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
};

use clock::Instant;
use wire::{Digest, UnreachableEndpoints};

use super::{Peer, Peers};
use crate::{endpoint::short_id, process::Gateway};

/// Whether a peer takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ServiceState {
    Serving,
    /// It shuts down.
    Leaving,
}

/// A peer that may serve requests for this process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its name.
    pub name: Arc<str>,
    /// Where it accepts forwarded requests.
    pub address: SocketAddr,
    /// Whether it is in this process's data centre.
    pub is_local: bool,
    /// How many endpoints of the service it can't reach.
    pub unreachable: usize,
}

impl ServiceState {
    /// Returns the state of the sender of a digest.
    pub(super) fn of(digest: &Digest) -> Self {
        if digest.leaving {
            Self::Leaving
        } else {
            Self::Serving
        }
    }
}

impl Peers {
    /// Returns the live peers that go on serving, for requests to a service.
    pub fn candidates(&self, service: u32, data_centre: &str) -> Vec<Candidate> {
        let now = Instant::now();
        let known = self.known.lock();
        let serving = known
            .iter()
            .filter(|peer| peer.is_alive(now) && peer.service_state == ServiceState::Serving);
        let candidate = |peer: &Peer| Candidate {
            name: Arc::clone(&peer.name),
            address: peer.address,
            is_local: *peer.data_centre == *data_centre,
            unreachable: peer.count_unreachable(service),
        };
        serving.map(candidate).collect()
    }

    /// Whether a peer is alive.
    pub fn is_alive(&self, address: SocketAddr) -> bool {
        let now = Instant::now();
        let known = self.known.lock();
        let index = known.binary_search_by_key(&address, |peer| peer.address);
        index.is_ok_and(|index| known[index].is_alive(now))
    }

    /// Whether a peer is known at an IP address.
    pub fn has_ip(&self, ip: IpAddr) -> bool {
        let known = self.known.lock();
        known.iter().any(|peer| peer.address.ip() == ip)
    }

    /// Whether a peer of this incarnation is known at an IP address.
    pub fn has_incarnation(&self, ip: IpAddr, incarnation: u64) -> bool {
        let known = self.known.lock();
        let is_sender = |peer: &Peer| peer.address.ip() == ip && peer.incarnation == incarnation;
        known.iter().any(is_sender)
    }

    /// Returns how many live peers precede this process by address, counting those that can reach
    /// the store and are not the steward. Those that can't reach `unreachable_limits` endpoints of a service or
    /// more are not counted.
    pub fn steward_rank(&self, own: SocketAddr, unreachable_limits: &[(u32, usize)]) -> usize {
        let lacks_paths = |peer: &Peer| {
            let mut limits = unreachable_limits.iter();
            limits.any(|(service, limit)| peer.count_unreachable(*service) >= *limit)
        };
        self.count_preceding(own, |peer| peer.store_available && !lacks_paths(peer))
    }
}

impl Peer {
    /// Returns how many endpoints of a service it can't reach.
    fn count_unreachable(&self, service: u32) -> usize {
        let index = self
            .unreachable
            .binary_search_by_key(&service, |(service, _)| *service);
        index.map_or(0, |index| self.unreachable[index].1)
    }
}

/// Returns how many endpoints this process can't reach, by service.
pub(super) fn encode_unreachable(gateway: &Gateway) -> Vec<UnreachableEndpoints> {
    if gateway.registry.lost_paths().is_empty() {
        return Vec::new();
    }
    let fleets = gateway.registry.fleets();
    let counts = fleets
        .iter()
        .map(|(service, fleet)| (service, fleet.count_unreachable()));
    counts
        .filter(|(_, count)| *count > 0)
        .map(|(service, count)| UnreachableEndpoints {
            service: short_id(service),
            count: u32::try_from(count).unwrap_or(u32::MAX),
        })
        .collect()
}

/// Returns how many endpoints of each service a peer can't reach, sorted by service.
pub(super) fn decode_unreachable(digest: &Digest) -> Vec<(u32, usize)> {
    let count = |count: u32| usize::try_from(count).unwrap_or(usize::MAX);
    let received = digest.unreachable.iter();
    let mut unreachable: Vec<(u32, usize)> = received
        .map(|received| (received.service, count(received.count)))
        .collect();
    unreachable.sort_unstable_by_key(|(service, _)| *service);
    unreachable
}
