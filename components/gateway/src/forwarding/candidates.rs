//! Which peers a request may be forwarded to.

use std::sync::Arc;

use crate::{
    endpoint::{Fleet, short_id},
    peer::Candidate,
    process::Gateway,
};

/// A peer is asked only if it reaches more of a service's endpoints than this process, by at least this
/// fraction (1/n) of them: some endpoints may just have failed, and not every gateway knows it yet.
const MIN_ADVANTAGE_DIVISOR: usize = 4;
/// Number of requests in flight to a peer that cost as much as the way to another data centre.
const REMOTE_PENALTY: usize = 4;

impl Gateway {
    /// Returns the peers that a request for a service may be forwarded to, the best one first.
    pub(super) fn candidates(&self, service: &Arc<str>) -> Vec<Candidate> {
        let id = short_id(service);
        let mut loaded: Vec<(usize, Candidate)> = self
            .peers_with_more_paths(service)
            .into_iter()
            .filter_map(|peer| Some((self.forwarding.load(peer.address, id)?, peer)))
            .collect();
        // of peers with the same load chance decides, so that several gateways do not choose the same one
        loaded.sort_by_cached_key(|(load, peer)| {
            let penalty = if peer.is_local { 0 } else { REMOTE_PENALTY };
            (load + penalty, rand::random::<u32>())
        });
        loaded.into_iter().map(|(_, peer)| peer).collect()
    }

    /// Whether peers reach more of a service's endpoints, so that the paths of this process have failed
    /// and not the endpoints.
    pub fn lacks_paths(&self, service: &Arc<str>) -> bool {
        !self.peers_with_more_paths(service).is_empty()
    }

    /// Whether peers reach more of the engines of some service, so that this process should not decide
    /// about them.
    pub fn lacks_paths_to_engines(&self) -> bool {
        self.configuration().is_some_and(|configuration| {
            let services = configuration.services().iter();
            let mut with_engines = services.filter(|service| service.engines.is_some());
            with_engines.any(|service| self.lacks_paths(&service.name))
        })
    }

    /// Returns the number of unreachable endpoints from which a peer lacks paths that this process has.
    pub fn unreachable_limits(&self) -> Vec<(u32, usize)> {
        let limit = |fleet: &Fleet| fleet.count_unreachable() + min_advantage(fleet);
        let fleets = self.registry.fleets();
        fleets
            .iter()
            .map(|(service, fleet)| (short_id(service), limit(fleet)))
            .collect()
    }

    fn peers_with_more_paths(&self, service: &Arc<str>) -> Vec<Candidate> {
        if self.registry.lost_paths().is_empty() {
            return Vec::new();
        }
        let fleet = self.registry.fleet(service);
        let unreachable = fleet.count_unreachable();
        if unreachable == 0 {
            return Vec::new();
        }
        let advantage = min_advantage(&fleet);
        let own = &self.settings.gateway;
        let mut peers = self.peers.candidates(short_id(service), &own.data_centre);
        peers.retain(|peer| peer.unreachable + advantage <= unreachable);
        peers
    }
}

fn min_advantage(fleet: &Fleet) -> usize {
    (fleet.subset().len() / MIN_ADVANTAGE_DIVISOR).max(1)
}
