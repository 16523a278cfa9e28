//! Digests as they come: what peers have under way, placed, changed and know.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use clock::Instant;
use prost::Message;
use tokio::net::UdpSocket;
use wire::{Digest, Placed, ServiceDemand, StageTold};

use super::{
    Advertised, FORGOTTEN, MOST_ADVERTISED, Peer, ago, load, paces, reach::HEARTBEAT, suspects,
};
use crate::{
    endpoint::{Load, Stage, Target},
    process::{DemandTotals, Gateway},
};

/// How long an engine is left alone after the steward's last word that it is changing: a few
/// heartbeats.
const HEED: Duration = Duration::from_millis(600);
/// The largest datagram that is taken.
const DATAGRAM: usize = 64 << 10;
/// Takes digests in as long as the process lives.
pub async fn keep(gateway: &Gateway, socket: &UdpSocket) {
    let mut buffer = vec![0; DATAGRAM];
    let mut tidied = Instant::now();
    loop {
        let received = clock::timeout(HEARTBEAT, socket.recv_from(&mut buffer)).await;
        match received {
            Ok(Ok((length, _))) => match Digest::decode(&buffer[..length]) {
                Ok(digest) => take(gateway, &digest),
                Err(error) => log::warn!(error:%; "a digest can't be read"),
            },
            Ok(Err(error)) => log::debug!(error:%; "no digest was received"),
            Err(_) => {}
        }
        if tidied.elapsed() >= HEARTBEAT {
            tidied = Instant::now();
            drop_silent(gateway);
        }
    }
}

fn take(gateway: &Gateway, digest: &Digest) {
    let Ok(address) = digest.address.parse::<SocketAddr>() else {
        log::warn!(peer = digest.name; "a digest names no address");
        return;
    };
    let now = Instant::now();
    let mut known = gateway.peers.known.lock();
    let at = match known.binary_search_by_key(&address, |peer| peer.address) {
        Ok(at) => at,
        Err(at) => {
            known.insert(at, Peer::new(address, &digest.data_centre));
            at
        }
    };
    let peer = &mut known[at];
    let restarted = peer.incarnation != digest.incarnation;
    let newer = restarted || peer.number < digest.number;
    if !newer {
        return;
    }
    if !peer.is_live(now) {
        log::info!(peer = digest.name, data_centre = digest.data_centre; "a peer is heard");
    }
    if restarted {
        peer.begun = now;
    }
    peer.incarnation = digest.incarnation;
    peer.number = digest.number;
    peer.heard = Some(now);
    peer.beat = Duration::from_millis(u64::from(digest.beat_ms)).max(HEARTBEAT);
    peer.data_centre = Arc::from(digest.data_centre.as_str());
    let loads = digest.loads.iter().map(load).collect();
    let before = std::mem::replace(&mut peer.loads, loads);
    let after = peer.loads.clone();
    peer.steward = digest.steward;
    peer.store_answers = digest.store_answers;
    peer.reads = digest.reads;
    peer.changed = [digest.endpoints_changed, digest.configuration_changed];
    peer.ceded = digest.ceded;
    peer.ordered = ago(now, digest.last_order_ms);
    peer.answered_since = ago(now, digest.answered_ms);
    let grown = grown(&mut peer.demands, &digest.demands, !restarted);
    drop(known);
    for (service, asked) in grown {
        gateway.peers.add_demand(service, asked);
    }
    recount(gateway, &before, &after);
    note_progress(gateway, &before, &after);
    remember(gateway, &digest.placed);
    take_changes(gateway, digest);
    paces::take(gateway, &digest.paces);
    suspects::take(gateway, &digest.suspects, &digest.name);
    heed(gateway, &digest.changing, &digest.stages);
}

/// Keeps the changes of the endpoints that a peer tells for the loop that follows their list.
fn take_changes(gateway: &Gateway, digest: &Digest) {
    if digest.changes.is_empty() {
        return;
    }
    let changes: Vec<Advertised> = digest
        .changes
        .iter()
        .filter_map(Advertised::decode)
        .collect();
    if changes.len() < digest.changes.len() {
        log::warn!(peer = digest.name; "changes of the endpoints can't be read");
    }
    let mut advertised = gateway.peers.advertised.lock();
    if advertised.len() < MOST_ADVERTISED {
        advertised.extend(changes);
    }
    drop(advertised);
    gateway.peers.more_advertised.notify_one();
}

/// What was asked since the digest before; a peer that is new counts from now on.
fn grown(
    known: &mut Vec<(u32, DemandTotals)>,
    told: &[ServiceDemand],
    same: bool,
) -> Vec<(u32, DemandTotals)> {
    let before = std::mem::take(known);
    *known = told
        .iter()
        .map(|demand| {
            let asked = DemandTotals {
                prefill_work: demand.reading,
                decode_tokens: demand.writing,
            };
            (demand.service, asked)
        })
        .collect();
    known.sort_unstable_by_key(|(service, _)| *service);
    if !same {
        return Vec::new();
    }
    known
        .iter()
        .map(|(service, asked)| {
            let at = before.binary_search_by_key(service, |(service, _)| *service);
            let old = at.map_or_else(|_| DemandTotals::default(), |at| before[at].1);
            (*service, asked.since(old))
        })
        .collect()
}

/// Does as a steward says, also one that has just lost its lease and sees a change through: sends
/// nothing new to engines that are changing, and takes the stages that they told.
pub fn heed(gateway: &Gateway, changing: &[u32], stages: &[StageTold]) {
    let until = Instant::now() + HEED;
    for told in stages {
        if let Some(target) = gateway.registry.find(told.endpoint) {
            target.take_stage(if told.prefill {
                Stage::Prefill
            } else {
                Stage::Decode
            });
        }
    }
    let told = |short: u32| stages.iter().any(|told| told.endpoint == short);
    for short in changing.iter().filter(|short| !told(**short)) {
        if let Some(target) = gateway.registry.find(*short) {
            target.leave_alone(until);
        }
    }
}

/// Counts a peer's loads anew; both lists are sorted by endpoint.
fn recount(gateway: &Gateway, before: &[(u32, Load)], after: &[(u32, Load)]) {
    let find = |loads: &[(u32, Load)], short: u32| {
        let at = loads.binary_search_by_key(&short, |(short, _)| *short);
        at.map(|at| loads[at].1).unwrap_or_default()
    };
    let count = |short: u32| {
        let (old, new) = (find(before, short), find(after, short));
        if old != new
            && let Some(target) = gateway.registry.find(short)
        {
            let more = new.reading.saturating_sub(old.reading);
            let service = target.with(|state| Arc::clone(&state.profile.service));
            let paces = gateway.paces(&service);
            target.with(|state| {
                if more > 0 {
                    let common = paces.of(state.profile.stage);
                    state.sends(Instant::now(), common, more);
                }
                state.peers = replaced(state.peers, old, new);
            });
        }
    };
    for (short, _) in after {
        count(*short);
    }
    for (short, _) in before {
        if after
            .binary_search_by_key(short, |(short, _)| *short)
            .is_err()
        {
            count(*short);
        }
    }
}

/// Notes which engines have got on with what a peer has under way there: some of it has ended. Both lists are
/// sorted by endpoint.
fn note_progress(gateway: &Gateway, before: &[(u32, Load)], after: &[(u32, Load)]) {
    for (short, old) in before {
        let at = after.binary_search_by_key(short, |(short, _)| *short);
        let new = at.map(|at| after[at].1).unwrap_or_default();
        let ended = new.prompts < old.prompts || new.writing < old.writing;
        if let Some(target) = gateway.registry.find(*short).filter(|_| ended) {
            target.progressed();
        }
    }
}

/// A sum in which one part is replaced. An endpoint that was listed after a peer told of it starts
/// at nothing, so a part may be missing in the sum.
fn replaced(sum: Load, old: Load, new: Load) -> Load {
    Load {
        reading: sum.reading.saturating_sub(old.reading) + new.reading,
        late: sum.late.saturating_sub(old.late) + new.late,
        prompts: sum.prompts.saturating_sub(old.prompts) + new.prompts,
        late_prompts: sum.late_prompts.saturating_sub(old.late_prompts) + new.late_prompts,
        writing: sum.writing.saturating_sub(old.writing) + new.writing,
        long: sum.long.saturating_sub(old.long) + new.long,
        suspects: sum.suspects.saturating_sub(old.suspects) + new.suspects,
    }
}

/// Notes which engines likely hold what peers placed there.
fn remember(gateway: &Gateway, placed: &[Placed]) {
    for placed in placed {
        if let Some(target) = gateway.registry.find(placed.endpoint) {
            used(gateway, &target, placed);
        }
    }
}

fn used(gateway: &Gateway, target: &Target, placed: &Placed) {
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
    let common = gateway.common(&service);
    target.with(|state| {
        // an engine that writes has mostly fetched it
        let fetched = state.profile.stage == Some(Stage::Decode);
        state.uses(Instant::now(), &common, &parts, fetched);
    });
}

/// Counts no longer what peers had under way that are not heard any more.
fn drop_silent(gateway: &Gateway) {
    let now = Instant::now();
    let mut silent = Vec::new();
    let mut known = gateway.peers.known.lock();
    for peer in known.iter_mut() {
        if !peer.is_live(now) && !peer.loads.is_empty() {
            silent.push(std::mem::take(&mut peer.loads));
        }
    }
    known.retain(|peer| now - peer.heard.unwrap_or(peer.since) < FORGOTTEN);
    drop(known);
    for loads in silent {
        log::info!(loads = loads.len(); "a peer is no longer heard");
        recount(gateway, &loads, &[]);
    }
}
