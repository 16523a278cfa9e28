//! The row in the table by which other daemons know that this incarnation exists.
//!
//! A daemon registers, then reads which endpoints are being closed, then dispatches. A steward writes that
//! it closes an endpoint, then reads which daemons are registered, then sends them close requests. In this
//! order neither can miss the other. See `docs/DESIGN.md#closing-an-endpoint`.

use std::{sync::Arc, time::Duration};

use cloud::table::{Row, Transaction};
use protocol::{Incarnation, order};
use serde::{Deserialize, Serialize};

use super::{
    Process,
    gates::Id,
    store::{self, by_prefix},
};

/// Prefix of the row keys.
pub const PREFIX: &str = "daemon/";

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registered {
    pub incarnation: Incarnation,
    /// The address for peers.
    pub address: std::net::SocketAddr,
    pub data_centre: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The first attempt is in flight; nothing is dispatched yet.
    Registering,
    /// The table was unavailable. The daemon uses the settings and closed endpoints that its peers report.
    Unregistered,
    /// Registered, and afterwards the endpoints that are being closed were read.
    Registered,
}

/// Registers, retrying until it succeeds.
pub async fn run(process: Arc<Process>) {
    let mut backoff = INITIAL_BACKOFF;
    while !register(&process).await {
        process.registration.send_replace(State::Unregistered);
        // jitter keeps the daemons from retrying all at once when the table recovers
        let jitter = rand::random_range(0.5..1.5);
        tokio::time::sleep(backoff.mul_f64(jitter)).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
    process.registration.send_replace(State::Registered);
}

const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(3);

async fn register(process: &Process) -> bool {
    let Ok(rows) = process.store.read(by_prefix(PREFIX)).await else {
        return false;
    };
    for row in &rows {
        if let Some(registered) = store::parse::<Registered>(Some(row)) {
            process.members.add_advertised(&to_wire(&registered));
        }
    }
    let own = Registered {
        incarnation: process.incarnation,
        address: process.addresses.peers,
        data_centre: process.settings.daemon.data_centre.clone(),
    };
    let key = key(process.incarnation);
    let text = store::to_json(&own);
    let mut transaction = Transaction::default().write(&key, text.clone());
    for old in replaced_registrations(&rows, &own) {
        transaction = transaction.remove(&old);
    }
    let committed = process
        .store
        .commit_confirmed(transaction, &key, &text)
        .await;
    if committed.is_err() {
        return false;
    }
    close_gates_under_order(process).await
}

/// Returns the row keys of earlier incarnations at the same address. They are gone, because only one process
/// can listen there.
fn replaced_registrations(rows: &[Row], own: &Registered) -> Vec<String> {
    rows.iter()
        .filter_map(|row| store::parse::<Registered>(Some(row)))
        .filter(|other| other.address == own.address && other.incarnation != own.incarnation)
        .map(|other| key(other.incarnation))
        .collect()
}

/// Closes the gates of the endpoints whose rows forbid dispatch. Returns whether the rows could be read.
async fn close_gates_under_order(process: &Process) -> bool {
    let Ok(rows) = process.store.read(by_prefix(super::orders::PREFIX)).await else {
        return false;
    };
    for row in &rows {
        let (Some(id), Some(order)) = (
            super::orders::id_of(&row.key),
            store::parse::<order::Row>(Some(row)),
        ) else {
            continue;
        };
        if order.blocks_dispatch(has_wanted_state(process, &id, &order)) {
            process.gates.close(&id, order.number);
        }
    }
    true
}

/// Whether the endpoint's own report shows that it has the state wanted by the order.
pub fn has_wanted_state(process: &Process, id: &Id, order: &order::Row) -> bool {
    process.all_pools().iter().any(|pool| {
        pool.with_entry(id, |entry| {
            entry.report.as_ref().is_some_and(|(report, _)| {
                report.number >= order.number && !report.changing && report.holds == order.wanted
            })
        })
        .unwrap_or(false)
    })
}

pub fn to_wire(registered: &Registered) -> wire::Member {
    wire::Member {
        incarnation: registered.incarnation.0,
        address: registered.address.to_string(),
        data_centre: registered.data_centre.clone(),
    }
}

/// Removes the registration at the end of a graceful shutdown.
pub async fn deregister(process: &Process) {
    let transaction = Transaction::default().remove(&key(process.incarnation));
    // if the table is unavailable, the row is removed later by a daemon that finds this one gone
    let _ = process.store.commit(transaction).await;
}

pub fn key(incarnation: Incarnation) -> String {
    format!("{PREFIX}{incarnation}")
}
