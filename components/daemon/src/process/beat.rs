//! Heartbeats: who is alive, which settings version is in force, soft state.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use telemetry::timeline::{Kind, Time};
use wire::{Heartbeat, Usage};

use super::{Phase, Process, lock, sync};

/// How many members a heartbeat names.
const KNOWN: usize = 16;
const WAIT: Duration = Duration::from_secs(1);

/// Beats as long as the process lives, and at once after a settings change.
pub async fn keep(process: Arc<Process>) {
    let pause: Duration = process.settings.control.heartbeat.into();
    let mut live: Vec<SocketAddr> = Vec::new();
    for round in 0.. {
        let beats = process
            .members
            .targets(process.addresses.peers, round)
            .into_iter()
            .map(|address| send(&process, address));
        futures::future::join_all(beats).await;
        let now = process.members.live();
        for pool in process.all_pools() {
            pool.peers(&now);
        }
        note_changes(&process, &mut live, now.iter().map(|m| m.address).collect());
        let jitter = rand::random_range(0.8..1.2);
        tokio::select! {
            () = tokio::time::sleep(pause.mul_f64(jitter)) => {}
            () = process.beat_now.notified() => {}
        }
    }
}

async fn send(process: &Arc<Process>, address: SocketAddr) {
    let Some(mut client) = process.members.client(address) else {
        return;
    };
    let beat = client.beat(compose(process));
    if let Ok(Ok(reply)) = tokio::time::timeout(WAIT, beat).await {
        receive(process, &reply.into_inner());
    }
}

/// What this daemon says of itself.
pub fn compose(process: &Process) -> Heartbeat {
    let time = process.timeline.now();
    let known = process.members.live().into_iter().take(KNOWN);
    Heartbeat {
        member: Some(process.member()),
        settings_version: process.current.number(),
        leaving: *process.phase.borrow() != Phase::Serving,
        loads: process
            .all_pools()
            .iter()
            .flat_map(|pool| pool.snapshot())
            .map(|entry| entry.load())
            .collect(),
        usages: lock(&process.usage)
            .iter()
            .map(|(group, work)| Usage {
                group: group.clone(),
                work: *work,
            })
            .collect(),
        known: known
            .map(|member| wire::Member {
                incarnation: member.incarnation.0,
                address: member.address.to_string(),
                data_centre: member.data_centre,
            })
            .collect(),
        clock_ms: time.physical_ms,
        clock_logical: time.logical,
    }
}

/// Takes what a peer said, and fetches its settings when they are newer.
pub fn receive(process: &Arc<Process>, beat: &Heartbeat) {
    process.timeline.observe(Time {
        physical_ms: beat.clock_ms,
        logical: beat.clock_logical,
    });
    let usages = process.members.receive(beat);
    if !usages.is_empty() {
        for pool in process.all_pools() {
            pool.charge(&usages);
        }
    }
    let newer = beat.settings_version > process.current.number();
    let address = beat.member.as_ref().and_then(|m| m.address.parse().ok());
    if let (true, Some(address)) = (newer, address) {
        let process = Arc::clone(process);
        tokio::spawn(async move {
            // one at a time: every beat tells of the version, and a large tree takes longer than the time between two
            let Ok(_fetching) = process.fetching.try_lock() else {
                return;
            };
            if let Some(tree) = sync::fetch(&process, address).await {
                sync::apply(&process, sync::from_wire(tree));
            }
        });
    }
}

fn note_changes(process: &Process, before: &mut Vec<SocketAddr>, mut now: Vec<SocketAddr>) {
    now.sort_unstable();
    for address in &now {
        if before.binary_search(address).is_err() {
            let subject = format!("peer/{address}");
            process.timeline.record(Kind::PeerUp, subject, "");
        }
    }
    for address in before.iter() {
        if now.binary_search(address).is_err() {
            let subject = format!("peer/{address}");
            process.timeline.record(Kind::PeerDown, subject, "");
        }
    }
    *before = now;
}
