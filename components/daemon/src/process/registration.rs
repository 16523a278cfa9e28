//! The row that says that this incarnation lives.
//!
//! A daemon registers, then reads what is being closed, then dispatches; a steward writes that it
//! is closing, then reads who is registered, then asks. In that order neither can miss the other.
//! See `docs/DESIGN.md#closing-an-endpoint`.

use std::{sync::Arc, time::Duration};

use cloud::table::{Row, Transaction};
use protocol::{Incarnation, order};
use serde::{Deserialize, Serialize};

use super::{
    Process,
    gates::Id,
    store::{self, under},
};

/// Prefix of the rows.
pub const PREFIX: &str = "daemon/";

/// A registered daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registered {
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Where peers reach it.
    pub address: std::net::SocketAddr,
    /// Its data centre.
    pub data_centre: String,
}

/// How far registration has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The first try is under way; nothing is dispatched yet.
    Trying,
    /// The table did not answer. The daemon serves on what its peers tell it.
    Unregistered,
    /// Registered, and what is being closed was read after that.
    Registered,
}

/// Registers as soon as the table answers.
pub async fn keep(process: Arc<Process>) {
    let mut pause = FIRST_PAUSE;
    while !register(&process).await {
        process.registration.send_replace(State::Unregistered);
        // spread, so that all daemons don't knock at once when the table is back
        let jitter = rand::random_range(0.5..1.5);
        tokio::time::sleep(pause.mul_f64(jitter)).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
    process.registration.send_replace(State::Registered);
}

const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(3);

async fn register(process: &Process) -> bool {
    let Ok(rows) = process.store.read(under(PREFIX)).await else {
        return false;
    };
    for row in &rows {
        if let Some(one) = store::value::<Registered>(Some(row)) {
            process.members.learn(&to_wire(&one));
        }
    }
    let me = Registered {
        incarnation: process.me,
        address: process.addresses.peers,
        data_centre: process.settings.daemon.data_centre.clone(),
    };
    let key = key(process.me);
    let text = store::text(&me);
    let mut transaction = Transaction::default().write(&key, text.clone());
    for old in others(&rows, &me) {
        transaction = transaction.remove(&old);
    }
    let done = process.store.commit_sure(transaction, &key, &text).await;
    if done.is_err() {
        return false;
    }
    close_what_is_closing(process).await
}

/// Incarnations before this one at the same address: only one process can listen there.
fn others(rows: &[Row], me: &Registered) -> Vec<String> {
    rows.iter()
        .filter_map(|row| store::value::<Registered>(Some(row)))
        .filter(|other| other.address == me.address && other.incarnation != me.incarnation)
        .map(|other| key(other.incarnation))
        .collect()
}

async fn close_what_is_closing(process: &Process) -> bool {
    let Ok(rows) = process.store.read(under(super::orders::PREFIX)).await else {
        return false;
    };
    for row in &rows {
        let (Some(id), Some(order)) = (
            super::orders::id_of(&row.key),
            store::value::<order::Row>(Some(row)),
        ) else {
            continue;
        };
        if order.blocks_dispatch(reached(process, &id, &order)) {
            process.gates.close(&id, order.number);
        }
    }
    true
}

/// Whether the endpoint's own report says that it has what the order wants.
pub fn reached(process: &Process, id: &Id, order: &order::Row) -> bool {
    process.all_pools().iter().any(|pool| {
        pool.with(id, |entry| {
            entry.report.as_ref().is_some_and(|(report, _)| {
                report.number >= order.number && !report.changing && report.holds == order.wanted
            })
        })
        .unwrap_or(false)
    })
}

/// A registered daemon as a member.
pub fn to_wire(one: &Registered) -> wire::Member {
    wire::Member {
        incarnation: one.incarnation.0,
        address: one.address.to_string(),
        data_centre: one.data_centre.clone(),
    }
}

/// Takes the registration away, at the end of a planned stop.
pub async fn leave(process: &Process) {
    let transaction = Transaction::default().remove(&key(process.me));
    // left behind by an outage, it is taken away by whoever finds it gone
    let _ = process.store.commit(transaction).await;
}

/// The key of an incarnation's row.
pub fn key(incarnation: Incarnation) -> String {
    format!("{PREFIX}{incarnation}")
}
