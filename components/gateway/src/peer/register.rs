//! How gateways find each other: each writes a row of its own and reads the others'. Of two that
//! start together at least one sees the other's row, and says so in its digests.

use std::{net::SocketAddr, sync::atomic::Ordering, time::Duration};

use cloud::table::{Read, Transaction};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use super::held;
use crate::process::Gateway;

/// Rows of gateways begin so.
const PREFIX: &str = "gateway/";
/// Between two tries while the store does not answer.
const AGAIN: Duration = Duration::from_millis(400);
/// Between two reads of all rows, for peers that were cut off when both started.
const REFRESH: Duration = Duration::from_secs(20);

/// A gateway's row.
#[derive(Debug, Serialize, Deserialize)]
struct Row {
    address: SocketAddr,
    data_centre: String,
}

/// Registers this process and reads the others' rows from time to time.
pub async fn keep(gateway: &Gateway) {
    gateway.peers.learn_seeds(&gateway.settings);
    let (known, others) = oneshot::channel();
    let learn = async {
        // the others are known then, and so is which engines fall to this process
        if others.await.is_ok() {
            held::learn(gateway).await;
        }
    };
    tokio::join!(refresh(gateway, known), learn);
}

/// Writes the own row once, and reads all rows as long as the process lives; says when they are `known` first.
async fn refresh(gateway: &Gateway, known: oneshot::Sender<()>) {
    let mut known = Some(known);
    let mut written = false;
    loop {
        written = written || write(gateway).await;
        let read = written && read(gateway).await;
        if let Some(known) = known.take_if(|_| read) {
            // nobody waits any more if the process ends
            let _ = known.send(());
        }
        clock::sleep(if read { REFRESH } else { AGAIN }).await;
    }
}

async fn write(gateway: &Gateway) -> bool {
    let row = Row {
        address: gateway.settings.gateway.peers,
        data_centre: gateway.settings.gateway.data_centre.clone(),
    };
    let key = format!("{PREFIX}{}", gateway.settings.gateway.name);
    // a row of plain fields always has a JSON form
    let value = serde_json::to_string(&row).unwrap_or_default();
    let transaction = Transaction::default().write(&key, value);
    match gateway.edges.table.commit(transaction).await {
        Ok(_) => {
            gateway.count_call("register", true);
            true
        }
        Err(error) => {
            gateway.count_call("register", false);
            log::warn!(error:%; "this gateway is not registered yet");
            false
        }
    }
}

async fn read(gateway: &Gateway) -> bool {
    let read = Read {
        keys: Vec::new(),
        prefixes: vec![PREFIX.to_owned()],
    };
    let rows = match gateway.edges.table.read(read).await {
        Ok(rows) => {
            gateway.count_call("peers", true);
            gateway.note_store(true);
            rows
        }
        Err(error) => {
            gateway.count_call("peers", false);
            log::warn!(error:%; "the other gateways' rows were not read");
            return false;
        }
    };
    for row in rows {
        match serde_json::from_str::<Row>(&row.value) {
            Ok(peer) if peer.address == gateway.settings.gateway.peers => {}
            Ok(peer) => gateway.peers.learn(peer.address, &peer.data_centre),
            Err(error) => log::warn!(key = row.key, error:%; "a gateway's row can't be read"),
        }
    }
    gateway.peers.registered.store(true, Ordering::Relaxed);
    true
}
