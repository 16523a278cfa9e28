//! How gateways find each other: each writes a row of its own and reads the others'. Of two that
//! start together at least one sees the other's row, and says so in its digests.

use std::{net::SocketAddr, sync::atomic::Ordering, time::Duration};

use cloud::table::{Error, Read, Transaction};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use super::held;
use crate::process::Gateway;

/// Rows of gateways begin so.
const PREFIX: &str = "gateway/";
/// Between the first two tries to register; each further one comes after twice the time, up to [`MOST_AGAIN`]. Gateways that
/// start together would else keep the store so busy that each answer comes later than it is waited for.
const AGAIN: Duration = Duration::from_millis(400);
const MOST_AGAIN: Duration = Duration::from_secs(10);
/// The part of a pause by which it may be shorter or longer, so that gateways spread.
const SPREAD: f64 = 0.5;
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

/// Writes the own row, and reads all rows as long as the process lives; says when they are `known` first.
async fn refresh(gateway: &Gateway, known: oneshot::Sender<()>) {
    let mut known = Some(known);
    let mut again = AGAIN;
    let mut written = false;
    loop {
        written = written || write(gateway).await;
        let registered = written && read(gateway, &mut written).await;
        if registered {
            if let Some(known) = known.take() {
                // nobody waits any more if the process ends
                let _ = known.send(());
            }
            again = AGAIN;
            clock::sleep(REFRESH).await;
        } else {
            let spread = rand::random_range(1.0 - SPREAD..1.0 + SPREAD);
            clock::sleep(again.mul_f64(spread)).await;
            again = (again * 2).min(MOST_AGAIN);
        }
    }
}

/// Writes the own row. Says whether it may be there: an answer that was lost is no reason to write again.
async fn write(gateway: &Gateway) -> bool {
    let row = Row {
        address: gateway.settings.gateway.peers,
        data_centre: gateway.settings.gateway.data_centre.clone(),
    };
    let key = format!("{PREFIX}{}", gateway.settings.gateway.name);
    // a row of plain fields always has a JSON form
    let value = serde_json::to_string(&row).unwrap_or_default();
    let transaction = Transaction::default().write(&key, value);
    match gateway.adapters.table.commit(transaction).await {
        Ok(_) => {
            gateway.count_store_call("register", true);
            true
        }
        Err(error) => {
            gateway.count_store_call("register", false);
            log::warn!(error:%; "this gateway is not registered yet");
            error == Error::Unclear
        }
    }
}

/// Reads all rows. Says whether it is known who is registered, this process among them; notes whether the own row is there.
async fn read(gateway: &Gateway, written: &mut bool) -> bool {
    let read = Read {
        keys: Vec::new(),
        prefixes: vec![PREFIX.to_owned()],
    };
    let rows = match gateway.adapters.table.read(read).await {
        Ok(rows) => {
            gateway.count_store_call("peers", true);
            gateway.record_store_call(true);
            rows
        }
        Err(error) => {
            gateway.count_store_call("peers", false);
            log::warn!(error:%; "the other gateways' rows were not read");
            return false;
        }
    };
    *written = false;
    for row in rows {
        match serde_json::from_str::<Row>(&row.value) {
            Ok(peer) if peer.address == gateway.settings.gateway.peers => *written = true,
            Ok(peer) => gateway.peers.learn(peer.address, &peer.data_centre),
            Err(error) => log::warn!(key = row.key, error:%; "a gateway's row can't be read"),
        }
    }
    if *written {
        gateway.peers.registered.store(true, Ordering::Relaxed);
    }
    *written
}
