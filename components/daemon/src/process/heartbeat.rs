//! Heartbeats to peers. They show that a daemon is alive and report its settings version, its dispatches,
//! its usage and the members it knows.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use telemetry::timeline::{HybridTime, Kind};
use wire::{Heartbeat, Usage};

use super::{Phase, Process, lock, settings_sync};

/// Maximum number of members that a heartbeat advertises.
const MAX_ADVERTISED_MEMBERS: usize = 16;
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends heartbeats at regular intervals, and at once after a settings change.
pub async fn run(process: Arc<Process>) {
    let interval: Duration = process.settings.control.heartbeat.into();
    let mut reachable: Vec<SocketAddr> = Vec::new();
    for round in 0.. {
        let heartbeats = process
            .members
            .heartbeat_targets(process.addresses.peers, round)
            .into_iter()
            .map(|address| send(&process, address));
        futures::future::join_all(heartbeats).await;
        let now = process.members.reachable();
        for pool in process.all_pools() {
            pool.update_peer_loads(&now);
        }
        record_changes(
            &process,
            &mut reachable,
            now.iter().map(|m| m.address).collect(),
        );
        let jitter = rand::random_range(0.8..1.2);
        tokio::select! {
            () = tokio::time::sleep(interval.mul_f64(jitter)) => {}
            () = process.heartbeat_due.notified() => {}
        }
    }
}

async fn send(process: &Arc<Process>, address: SocketAddr) {
    let Some(mut client) = process.members.client(address) else {
        return;
    };
    let heartbeat = client.beat(compose(process));
    if let Ok(Ok(reply)) = tokio::time::timeout(REPLY_TIMEOUT, heartbeat).await {
        receive(process, &reply.into_inner());
    }
}

/// Builds the heartbeat of this daemon.
pub fn compose(process: &Process) -> Heartbeat {
    let time = process.timeline.now();
    let known = process
        .members
        .reachable()
        .into_iter()
        .take(MAX_ADVERTISED_MEMBERS);
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

/// Records a peer's heartbeat, and fetches the peer's settings if they are newer.
pub fn receive(process: &Arc<Process>, heartbeat: &Heartbeat) {
    process.timeline.observe(HybridTime {
        physical_ms: heartbeat.clock_ms,
        logical: heartbeat.clock_logical,
    });
    let usages = process.members.receive_heartbeat(heartbeat);
    if !usages.is_empty() {
        for pool in process.all_pools() {
            pool.charge_peer_usage(&usages);
        }
    }
    let newer = heartbeat.settings_version > process.current.number();
    let address = heartbeat
        .member
        .as_ref()
        .and_then(|m| m.address.parse().ok());
    if let (true, Some(address)) = (newer, address) {
        let process = Arc::clone(process);
        tokio::spawn(async move {
            // one fetch at a time: each heartbeat reports the version, and a large tree takes longer than
            // the heartbeat interval
            let Ok(_guard) = process.fetch_lock.try_lock() else {
                return;
            };
            if let Some(tree) = settings_sync::fetch_from_peer(&process, address).await {
                settings_sync::apply(&process, settings_sync::from_wire(tree));
            }
        });
    }
}

fn record_changes(process: &Process, before: &mut Vec<SocketAddr>, mut now: Vec<SocketAddr>) {
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
