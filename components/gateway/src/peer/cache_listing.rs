//! What engines hold when a process starts: asked of the engines, as all gateways may have started at once.
//!
//! A list delays its engine's work, so each engine is asked by one of the processes that start, which tells its peers.
//! From then on what is placed tells what engines hold. See `docs/PLATFORM.md#what-engines-hold`.

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

/// Between two looks at whether this process knows the configuration and the endpoints.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// After so long peers are told again: some of those that start at the same time have not heard the first time.
const REPEAT_DELAY: Duration = Duration::from_secs(1);
/// Parts that are told together, so that a digest stays within a packet or two.
const MAX_PARTS_PER_PLACEMENT: usize = 96;

/// Asks this process's share of the engines what they hold, and tells the peers.
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
    clock::sleep(REPEAT_DELAY).await;
    for (target, parts) in lists.into_iter().flatten() {
        advertise_parts(gateway, target, &parts);
    }
}

/// Tells the peers what an engine holds.
fn advertise_parts(gateway: &Gateway, target: &Target, parts: &[Part]) {
    for parts in parts.chunks(MAX_PARTS_PER_PLACEMENT) {
        gateway.peers.record_placement(target.short_id, parts);
    }
}

/// Asks an engine what it holds, and notes it; none if it does not say.
async fn query_engine(gateway: &Gateway, target: &Arc<Target>) -> Option<Vec<Part>> {
    let answer = call(target, gateway.adapters.dialect.kv_list_call()).await;
    let cached = answer
        .filter(|(status, _)| status.is_success())
        .and_then(|(_, body)| gateway.adapters.dialect.parse_kv_list(&body));
    let label = if cached.is_some() { "yes" } else { "no" };
    gateway.metrics.listings.with_label_values(&[label]).inc();
    let Some(parts) = cached else {
        log::info!(endpoint = &*target.id.0; "an engine did not tell what it holds");
        return None;
    };
    let tokens: u64 = parts.iter().map(|part| part.tokens).sum();
    log::info!(endpoint = &*target.id.0, parts = parts.len(), tokens; "an engine told what it holds");
    let service = target.with(|state| Arc::clone(&state.profile.service));
    let defaults = gateway.common(&service);
    target.with(|state| state.record_prompt(Instant::now(), &defaults, &parts, true));
    Some(parts)
}

/// Whether this process asks an engine.
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
    /// Whether a process is the one of all known that an engine falls to: of those in its data centre, or of all
    /// where none is there. A process that is away leaves its share unasked; what is placed tells it in time.
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
