//! Closes an endpoint at all daemons. See `docs/DESIGN.md#closing-an-endpoint`.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cloud::table::Transaction;

use super::REPLY_MARGIN;
use crate::process::{
    Process,
    gates::Id,
    registration::{self, Registered},
    store::{self, by_prefix},
};

/// Asks every daemon that may dispatch to the endpoint to close it. Returns whether all have, with no
/// request in flight.
pub(super) async fn close_everywhere(process: &Arc<Process>, id: &Id, number: u64) -> bool {
    let timeout: Duration = process.settings.control.close_wait.into();
    // the closing row is committed, so daemons that register from now on read it
    let Ok(rows) = process.store.read(by_prefix(registration::PREFIX)).await else {
        return false;
    };
    let registered: Vec<Registered> = rows
        .iter()
        .filter_map(|row| store::parse(Some(row)))
        .collect();
    for daemon in &registered {
        process
            .members
            .add_advertised(&registration::to_wire(daemon));
    }
    let own = process.gates.drain(id, number, timeout);
    let others = close_at_others(process, id, number, &registered, timeout);
    let (own, others) = tokio::join!(own, others);
    own && others
}

async fn close_at_others(
    process: &Process,
    id: &Id,
    number: u64,
    registered: &[Registered],
    timeout: Duration,
) -> bool {
    let mut contacted: Vec<SocketAddr> = vec![process.addresses.peers];
    loop {
        // a reply may advertise daemons that were not known before
        let mut remaining: Vec<SocketAddr> = process
            .members
            .addresses(process.addresses.peers)
            .into_iter()
            .chain(registered.iter().map(|daemon| daemon.address))
            .filter(|address| !contacted.contains(address))
            .collect();
        remaining.sort_unstable();
        remaining.dedup();
        if remaining.is_empty() {
            return true;
        }
        let calls = remaining
            .iter()
            .map(|address| close_at(process, id, number, *address, registered, timeout));
        if !futures::future::join_all(calls)
            .await
            .into_iter()
            .all(|closed| closed)
        {
            return false;
        }
        contacted.extend(remaining);
    }
}

async fn close_at(
    process: &Process,
    id: &Id,
    number: u64,
    address: SocketAddr,
    registered: &[Registered],
    timeout: Duration,
) -> bool {
    let request = wire::CloseRequest {
        endpoint: id.number,
        data_centre: id.data_centre.to_string(),
        number,
        wait_ms: u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX),
    };
    let reply = match process.members.client(address) {
        Some(mut client) => {
            tokio::time::timeout(timeout + REPLY_MARGIN, client.close(request)).await
        }
        None => return false,
    };
    let known: Vec<&Registered> = registered
        .iter()
        .filter(|daemon| daemon.address == address)
        .collect();
    match reply {
        Ok(Ok(reply)) => {
            let reply = reply.into_inner();
            for member in &reply.known {
                process.members.add_advertised(member);
            }
            let replaced = known
                .iter()
                .filter(|daemon| daemon.incarnation.0 != reply.incarnation);
            for daemon in replaced {
                remove_registration(process, daemon).await;
            }
            reply.closed
        }
        _ if process
            .members
            .is_gone(address, process.settings.control.vm_lag.into()) =>
        {
            for daemon in known {
                remove_registration(process, daemon).await;
            }
            true
        }
        _ => {
            log::info!(
                "{id}: the daemon at {address} did not answer the close request; aborting the change"
            );
            false
        }
    }
}

/// Removes the registration of a daemon that is known to be gone.
async fn remove_registration(process: &Process, daemon: &Registered) {
    let key = registration::key(daemon.incarnation);
    // if this fails, the next steward that closes an endpoint removes it
    let _ = process
        .store
        .commit(Transaction::default().remove(&key))
        .await;
    log::info!(
        "daemon {} at {} is gone; removing its registration",
        daemon.incarnation,
        daemon.address
    );
}
