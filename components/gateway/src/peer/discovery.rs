//! How gateways find each other: each writes a row of its own and reads the others'. Of two that
//! start together at least one sees the other's row, and says so in its digests.

use std::{net::SocketAddr, sync::atomic::Ordering, time::Duration};

use cloud::table::{Error, Read, Transaction};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use super::cache_listing;
use crate::process::Gateway;

/// Rows of gateways begin so.
const PREFIX: &str = "gateway/";
/// Between the first two tries to register; each further one comes after twice the time, up to [`MOST_AGAIN`]. Gateways that
/// start together would else keep the store so busy that each answer comes later than it is waited for.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(400);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);
/// The part of a pause by which it may be shorter or longer, so that gateways spread.
const JITTER_RATIO: f64 = 0.5;
/// Between two reads of all rows, for peers that were cut off when both started.
const REFRESH_INTERVAL: Duration = Duration::from_secs(20);

/// A gateway's row.
#[derive(Debug, Serialize, Deserialize)]
struct Row {
    address: SocketAddr,
    data_centre: String,
}

/// Registers this process and reads the others' rows from time to time.
pub async fn run(gateway: &Gateway) {
    gateway.peers.add_seeds(&gateway.settings);
    let (known, discovered) = oneshot::channel();
    let query = async {
        // the others are known then, and so is which engines fall to this process
        if discovered.await.is_ok() {
            cache_listing::query_engines(gateway).await;
        }
    };
    tokio::join!(refresh(gateway, known), query);
}

/// Writes the own row, and reads all rows as long as the process lives; says when they are `known` first.
async fn refresh(gateway: &Gateway, known: oneshot::Sender<()>) {
    let mut known = Some(known);
    let mut retry_delay = MIN_RETRY_DELAY;
    let mut written = false;
    loop {
        written = written || write_own_row(gateway).await;
        let registered = written && read_rows(gateway, &mut written).await;
        if registered {
            if let Some(known) = known.take() {
                // nobody waits any more if the process ends
                let _ = known.send(());
            }
            retry_delay = MIN_RETRY_DELAY;
            clock::sleep(REFRESH_INTERVAL).await;
        } else {
            let jitter = rand::random_range(1.0 - JITTER_RATIO..1.0 + JITTER_RATIO);
            clock::sleep(retry_delay.mul_f64(jitter)).await;
            retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
        }
    }
}

/// Writes the own row. Says whether it may be there: an answer that was lost is no reason to write again.
async fn write_own_row(gateway: &Gateway) -> bool {
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
async fn read_rows(gateway: &Gateway, written: &mut bool) -> bool {
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
            Ok(peer) => gateway.peers.add(peer.address, &peer.data_centre),
            Err(error) => log::warn!(key = row.key, error:%; "a gateway's row can't be read"),
        }
    }
    if *written {
        gateway
            .peers
            .membership_known
            .store(true, Ordering::Relaxed);
    }
    *written
}
