//! Queries engines for their cached prompt parts when this process starts.
//!
//! All gateways may have started at once, so peers may not know either. Listing its cache delays an
//! engine's work, so each engine is queried by only one of the starting processes, which passes the
//! result to its peers. Afterwards the cache contents are estimated from recorded placements. See
//! `docs/PLATFORM.md#what-engines-hold`.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use clock::Instant;
use futures::future::join_all;
use policy::prompt::Part;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Peers;
use crate::{
    endpoint::{State, Target},
    process::Gateway,
    request::call,
};

/// Interval between checks whether the configuration and the endpoints are known.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Delay before the parts are sent to the peers a second time, for those that start at the same
/// time and missed the first.
const RESEND_DELAY: Duration = Duration::from_secs(1);
/// Maximum number of parts of a listing in one placement, so that a digest with one such placement
/// fits into a packet or two.
const MAX_PARTS_PER_PLACEMENT: usize = 96;

/// Queries the engines assigned to this process for their cached parts and passes these to the
/// peers.
pub(super) async fn query_engines(gateway: &Gateway) {
    while !gateway.is_ready() {
        clock::sleep(READY_POLL_INTERVAL).await;
    }
    let all = gateway.registry.all();
    let assigned = all
        .iter()
        .filter(|target| is_assigned_here(gateway, target));
    let lists = assigned.map(|target| async move {
        let parts = query_engine(gateway, target).await?;
        advertise_parts(gateway, target, &parts);
        Some((target, parts))
    });
    let lists = join_all(lists).await;
    clock::sleep(RESEND_DELAY).await;
    for (target, parts) in lists.into_iter().flatten() {
        advertise_parts(gateway, target, &parts);
    }
}

/// Queues an engine's cached parts for the peers.
fn advertise_parts(gateway: &Gateway, target: &Target, parts: &[Part]) {
    for parts in parts.chunks(MAX_PARTS_PER_PLACEMENT) {
        gateway.peers.record_placement(target.short_id, parts);
    }
}

/// Queries an engine for its cached parts and records them. Returns `None` if it does not list
/// them.
async fn query_engine(gateway: &Gateway, target: &Arc<Target>) -> Option<Vec<Part>> {
    let response = call(target, gateway.adapters.dialect.kv_list_call()).await;
    let cached = response
        .filter(|(status, _)| status.is_success())
        .and_then(|(_, body)| gateway.adapters.dialect.parse_kv_list(&body));
    let label = if cached.is_some() { "yes" } else { "no" };
    gateway
        .metrics
        .cache_listings
        .with_label_values(&[label])
        .inc();
    let Some(parts) = cached else {
        log::info!(endpoint = &*target.id.0; "engine did not list its cached prompt parts");
        return None;
    };
    let tokens: u64 = parts.iter().map(|part| part.tokens).sum();
    log::info!(endpoint = &*target.id.0, parts = parts.len(), tokens; "engine listed its cached prompt parts");
    let service = target.with(|state| Arc::clone(&state.profile.service));
    let defaults = gateway.service_defaults(&service);
    target.with(|state| state.record_prompt(Instant::now(), &defaults, &parts, true));
    Some(parts)
}

/// Whether a target is a ready engine that is assigned to this process.
fn is_assigned_here(gateway: &Gateway, target: &Target) -> bool {
    let (is_engine, data_centre) = target.with(|state| {
        let is_engine = state.profile.stage.is_some() && state.profile.state == State::Ready;
        (is_engine, Arc::clone(&state.profile.data_centre))
    });
    let own = &gateway.settings.gateway;
    is_engine
        && gateway.peers.is_assigned_engine(
            target.short_id,
            &data_centre,
            (own.peers, &own.data_centre),
        )
}

impl Peers {
    /// Whether an engine is assigned to this process, by rendezvous hashing over all known
    /// processes in the engine's data centre, or over all known processes if there is none.
    ///
    /// Engines assigned to an unreachable process are not queried; their contents become known from
    /// later placements.
    fn is_assigned_engine(&self, engine: u32, data_centre: &str, own: (SocketAddr, &str)) -> bool {
        let known = self.known.lock();
        let others = known.iter().filter(|peer| !peer.data_centre.is_empty());
        let others = others.map(|peer| (peer.address, &*peer.data_centre));
        let all: Vec<(SocketAddr, &str)> = others.chain([own]).collect();
        let has_local = all
            .iter()
            .any(|(_, peer_data_centre)| *peer_data_centre == data_centre);
        let first = all
            .iter()
            .filter(|(_, peer_data_centre)| !has_local || *peer_data_centre == data_centre)
            .map(|(address, _)| *address)
            .max_by_key(|address| xxh3_64_with_seed(address.to_string().as_bytes(), engine.into()));
        first == Some(own.0)
    }
}
