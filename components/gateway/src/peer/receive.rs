//! Receives digests and applies them: the loads, placements, endpoint changes and other state that
//! peers report.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use clock::Instant;
use prost::Message;
use tokio::net::UdpSocket;
use wire::{Digest, Placed, ServiceDemand, StageTold};

use super::{
    Advertisement, MAX_ADVERTISEMENTS, PEER_TTL, Peer, candidates, decode_load,
    fan_out::HEARTBEAT_INTERVAL, instant_before, latencies,
};
use crate::{
    adapters::StoreTime,
    endpoint::{Load, Stage, Target},
    process::{DemandTotals, Gateway},
    streams,
};

/// How long an engine gets no new requests after the steward last reported that it is changing its
/// stage: a few heartbeat intervals.
const CHANGING_TTL: Duration = Duration::from_millis(600);
/// Size of the receive buffer.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// Receives and applies digests until the process ends, and drops unreachable peers.
pub async fn run(gateway: &Gateway, socket: &UdpSocket) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut last_cleanup = Instant::now();
    loop {
        let received = clock::timeout(HEARTBEAT_INTERVAL, socket.recv_from(&mut buffer)).await;
        match received {
            Ok(Ok((length, from))) => match Digest::decode(&buffer[..length]) {
                Ok(digest) => match &digest.streams {
                    Some(streams) => streams::apply(gateway, from.ip(), &digest, streams),
                    None => apply(gateway, &digest),
                },
                Err(error) => log::warn!(error:%; "could not decode a digest"),
            },
            Ok(Err(error)) => log::debug!(error:%; "failed to receive a digest"),
            Err(_) => {}
        }
        if last_cleanup.elapsed() >= HEARTBEAT_INTERVAL {
            last_cleanup = Instant::now();
            drop_unreachable(gateway);
            gateway.maintain_streams();
        }
    }
}

fn apply(gateway: &Gateway, digest: &Digest) {
    let Ok(address) = digest.address.parse::<SocketAddr>() else {
        log::warn!(peer = digest.name; "digest contains no valid address; ignoring it");
        return;
    };
    let now = Instant::now();
    let mut known = gateway.peers.known.lock();
    let index = match known.binary_search_by_key(&address, |peer| peer.address) {
        Ok(index) => index,
        Err(index) => {
            known.insert(index, Peer::new(address, &digest.data_centre));
            index
        }
    };
    let peer = &mut known[index];
    let restarted = peer.incarnation != digest.incarnation;
    let newer = restarted || peer.digest_number < digest.number;
    if !newer {
        return;
    }
    if !peer.is_alive(now) {
        log::info!(peer = digest.name, data_centre = digest.data_centre; "peer is reachable");
    }
    if restarted {
        peer.incarnation_since = now;
    }
    peer.incarnation = digest.incarnation;
    peer.digest_number = digest.number;
    peer.last_received = Some(now);
    peer.last_contact = tokio::time::Instant::now();
    peer.heartbeat_interval =
        Duration::from_millis(u64::from(digest.beat_ms)).max(HEARTBEAT_INTERVAL);
    peer.data_centre = Arc::from(digest.data_centre.as_str());
    peer.name = Arc::from(digest.name.as_str());
    peer.service_state = candidates::ServiceState::of(digest);
    peer.unreachable = candidates::decode_unreachable(digest);
    let before = std::mem::replace(&mut peer.loads, decode_loads(digest));
    let after = peer.loads.clone();
    peer.is_steward = digest.steward;
    peer.store_available = digest.store_answers;
    peer.reads_lists = digest.reads;
    peer.revisions = [digest.endpoints_changed, digest.configuration_changed];
    peer.endpoints_confirmed =
        Some(StoreTime(digest.endpoints_confirmed_ms)).filter(|time| time.0 > 0);
    peer.ceded_epoch = digest.ceded;
    peer.last_order = instant_before(now, digest.last_order_ms);
    peer.wall_clock_ms = Some(digest.wall_clock_ms).filter(|offset| *offset != 0);
    peer.store_available_since = instant_before(now, digest.answered_ms);
    let demand_growth = demand_growth(&mut peer.demands, &digest.demands, !restarted);
    drop(known);
    gateway.confirm_version(digest.configuration, StoreTime(digest.confirmed_ms));
    for (service, demand) in demand_growth {
        gateway.peers.add_demand(service, demand);
    }
    gateway.merge_usage(digest.incarnation, &digest.usage);
    update_peer_loads(gateway, &before, &after);
    record_progress(gateway, &before, &after);
    record_placements(gateway, &digest.placed);
    queue_changes(gateway, digest);
    latencies::apply(gateway, &digest.paces);
    gateway.crashes.apply(digest);
    apply_stage_changes(gateway, &digest.changing, &digest.stages);
}

/// Returns a peer's load at each endpoint, sorted by endpoint. Of several loads at one endpoint only one counts, as each
/// is subtracted again when the next digest arrives.
fn decode_loads(digest: &Digest) -> Vec<(u32, Load)> {
    let mut loads: Vec<(u32, Load)> = digest.loads.iter().map(decode_load).collect();
    loads.sort_unstable_by_key(|(endpoint, _)| *endpoint);
    loads.dedup_by_key(|(endpoint, _)| *endpoint);
    loads
}

/// Queues endpoint changes from a peer for the task that follows the endpoint list.
fn queue_changes(gateway: &Gateway, digest: &Digest) {
    if digest.changes.is_empty() {
        return;
    }
    let changes: Vec<Advertisement> = digest
        .changes
        .iter()
        .filter_map(Advertisement::decode)
        .collect();
    if changes.len() < digest.changes.len() {
        log::warn!(peer = digest.name; "could not decode endpoint changes in a digest");
    }
    let mut advertisements = gateway.peers.advertisements.lock();
    if advertisements.len() < MAX_ADVERTISEMENTS {
        advertisements.extend(changes);
    }
    drop(advertisements);
    gateway.peers.advertisement_received.notify_one();
}

/// Returns the growth of a peer's demand since its previous digest, and stores the new totals in
/// `known`. A new peer or incarnation only sets the totals from which later growth is counted.
fn demand_growth(
    known: &mut Vec<(u32, DemandTotals)>,
    received: &[ServiceDemand],
    same_incarnation: bool,
) -> Vec<(u32, DemandTotals)> {
    let before = std::mem::take(known);
    *known = received
        .iter()
        .map(|received| {
            let demand = DemandTotals {
                prefill_work: received.reading,
                decode_tokens: received.writing,
            };
            (received.service, demand)
        })
        .collect();
    known.sort_unstable_by_key(|(service, _)| *service);
    if !same_incarnation {
        return Vec::new();
    }
    known
        .iter()
        .map(|(service, demand)| {
            let index = before.binary_search_by_key(service, |(service, _)| *service);
            let old = index.map_or_else(|_| DemandTotals::default(), |index| before[index].1);
            (*service, demand.since(old))
        })
        .collect()
}

/// Applies what a steward reports: marks engines that are changing their stage, so that they get no
/// new requests, and adopts the stages that engines have reported to it. This includes reports from
/// a steward that has just lost its lease and completes a change.
pub fn apply_stage_changes(gateway: &Gateway, changing: &[u32], stages: &[StageTold]) {
    let until = Instant::now() + CHANGING_TTL;
    for changed in stages {
        if let Some(target) = gateway.registry.find(changed.endpoint) {
            target.set_stage(if changed.prefill {
                Stage::Prefill
            } else {
                Stage::Decode
            });
        }
    }
    let has_stage = |short_id: u32| stages.iter().any(|changed| changed.endpoint == short_id);
    for short_id in changing.iter().filter(|short_id| !has_stage(**short_id)) {
        if let Some(target) = gateway.registry.find(*short_id) {
            target.mark_changing(until);
        }
    }
}

/// Replaces a peer's previous loads by its new ones; both lists are sorted by endpoint.
fn update_peer_loads(gateway: &Gateway, before: &[(u32, Load)], after: &[(u32, Load)]) {
    let find = |loads: &[(u32, Load)], short_id: u32| {
        let index = loads.binary_search_by_key(&short_id, |(short_id, _)| *short_id);
        index.map(|index| loads[index].1).unwrap_or_default()
    };
    let update_load = |short_id: u32| {
        let (old, new) = (find(before, short_id), find(after, short_id));
        if old != new
            && let Some(target) = gateway.registry.find(short_id)
        {
            let added = new.prefill_work.saturating_sub(old.prefill_work);
            let service = target.with(|state| Arc::clone(&state.profile.service));
            let latencies = gateway.latencies(&service);
            target.with(|state| {
                if added > 0 {
                    let default_latency = latencies.for_stage(state.profile.stage);
                    state.record_prefill(Instant::now(), default_latency, added);
                }
                state.peer_load = replace_part(state.peer_load, old, new);
            });
        }
    };
    for (short_id, _) in after {
        update_load(*short_id);
    }
    for (short_id, _) in before {
        if after
            .binary_search_by_key(short_id, |(short_id, _)| *short_id)
            .is_err()
        {
            update_load(*short_id);
        }
    }
}

/// Records progress of the engines at which some of a peer's requests have ended. Both lists are
/// sorted by endpoint.
fn record_progress(gateway: &Gateway, before: &[(u32, Load)], after: &[(u32, Load)]) {
    for (short_id, old) in before {
        let index = after.binary_search_by_key(short_id, |(short_id, _)| *short_id);
        let new = index.map(|index| after[index].1).unwrap_or_default();
        let ended = new.prompts < old.prompts || new.decoding < old.decoding;
        if let Some(target) = gateway.registry.find(*short_id).filter(|_| ended) {
            target.record_progress();
        }
    }
}

/// Replaces one peer's contribution in a sum. An endpoint listed after a peer reported a load for
/// it starts at zero, so the sum may lack the old contribution.
fn replace_part(sum: Load, old: Load, new: Load) -> Load {
    Load {
        prefill_work: sum.prefill_work.saturating_sub(old.prefill_work) + new.prefill_work,
        deferred_work: sum.deferred_work.saturating_sub(old.deferred_work) + new.deferred_work,
        prompts: sum.prompts.saturating_sub(old.prompts) + new.prompts,
        deferred_prompts: sum.deferred_prompts.saturating_sub(old.deferred_prompts)
            + new.deferred_prompts,
        decoding: sum.decoding.saturating_sub(old.decoding) + new.decoding,
        long_answers: sum.long_answers.saturating_sub(old.long_answers) + new.long_answers,
        suspects: sum.suspects.saturating_sub(old.suspects) + new.suspects,
    }
}

/// Records the prompt parts that engines likely cache because peers placed prompts there.
fn record_placements(gateway: &Gateway, placed: &[Placed]) {
    for placed in placed {
        if let Some(target) = gateway.registry.find(placed.endpoint) {
            record_placement(gateway, &target, placed);
        }
    }
}

fn record_placement(gateway: &Gateway, target: &Target, placed: &Placed) {
    let parts: Vec<policy::prompt::Part> = placed
        .parts
        .iter()
        .zip(&placed.tokens)
        .map(|(key, tokens)| policy::prompt::Part {
            key: *key,
            tokens: u64::from(*tokens),
        })
        .collect();
    let service = target.with(|state| Arc::clone(&state.profile.service));
    let defaults = gateway.service_defaults(&service);
    target.with(|state| {
        // a decode engine has usually fetched the KV cache from a prefill engine
        let fetched = state.profile.stage == Some(Stage::Decode);
        state.record_prompt(Instant::now(), &defaults, &parts, fetched);
    });
}

/// Stops counting the loads of unreachable peers, and drops peers whose TTL has passed.
fn drop_unreachable(gateway: &Gateway) {
    let now = Instant::now();
    let mut unreachable = Vec::new();
    let mut known = gateway.peers.known.lock();
    for peer in known.iter_mut() {
        if !peer.is_alive(now) && !peer.loads.is_empty() {
            unreachable.push(std::mem::take(&mut peer.loads));
        }
    }
    known.retain(|peer| peer.last_contact.elapsed() < PEER_TTL);
    drop(known);
    for loads in unreachable {
        log::info!(loads = loads.len(); "peer is unreachable");
        update_peer_loads(gateway, &loads, &[]);
    }
}
