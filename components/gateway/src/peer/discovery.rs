//! Peer discovery: each gateway writes a registration row to the store and reads those of the
//! others.
//!
//! Of two gateways that start at the same time at least one sees the other's row and sends it
//! digests, by which the other learns of it.

use std::{net::SocketAddr, time::Duration};

use cloud::table::{Error, Read, Transaction};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use super::cache_listing;
use crate::{endpoint::is_reachable, process::Gateway};

/// Key prefix of registration rows.
const ROW_PREFIX: &str = "gateway/";
/// Delay before the first retry of a registration; doubled for each further retry, up to
/// [`MAX_RETRY_DELAY`]. Without this, gateways that start together would keep the store so busy
/// that each answer comes after its timeout.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(400);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);
/// Fraction by which a retry delay is randomly shortened or lengthened, so that the gateways'
/// retries spread.
const JITTER_RATIO: f64 = 0.5;
/// Minimum interval between reads of all rows, which finds peers that were unreachable when both
/// started.
const REFRESH_INTERVAL: Duration = Duration::from_secs(20);
/// Factor by which that interval is randomly lengthened at most, so that gateways that started
/// together do not keep reading together.
const MAX_REFRESH_STRETCH: f64 = 1.5;

/// Registration row of a gateway.
#[derive(Debug, Serialize, Deserialize)]
struct Row {
    address: SocketAddr,
    data_centre: String,
}

/// Registers this process, keeps reading the others' rows, and queries engines for their caches
/// once the peers are known.
pub async fn run(gateway: &Gateway) {
    gateway.peers.add_seeds(&gateway.settings);
    let (membership_known, discovered) = oneshot::channel();
    let query = async {
        // the assignment of engines to processes depends on the known peers
        if discovered.await.is_ok() {
            cache_listing::query_engines(gateway).await;
        }
    };
    tokio::join!(refresh(gateway, membership_known), query);
}

/// Writes this process's row and reads all rows at intervals. Signals `membership_known` after the
/// first successful read.
async fn refresh(gateway: &Gateway, membership_known: oneshot::Sender<()>) {
    let mut membership_known = Some(membership_known);
    let mut retry_delay = MIN_RETRY_DELAY;
    let mut written = false;
    loop {
        written = written || write_own_row(gateway).await;
        let registered = written && read_rows(gateway, &mut written).await;
        if registered {
            if let Some(membership_known) = membership_known.take() {
                // the receiver is gone if the process is shutting down
                let _ = membership_known.send(());
            }
            retry_delay = MIN_RETRY_DELAY;
            let stretch = rand::random_range(1.0..MAX_REFRESH_STRETCH);
            clock::sleep(REFRESH_INTERVAL.mul_f64(stretch)).await;
        } else {
            let jitter = rand::random_range(1.0 - JITTER_RATIO..1.0 + JITTER_RATIO);
            clock::sleep(retry_delay.mul_f64(jitter)).await;
            retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
        }
    }
}

/// Writes this process's row. Returns whether it may be in the store: if the answer was lost, the
/// row need not be written again until a read shows that it is missing.
async fn write_own_row(gateway: &Gateway) -> bool {
    let row = Row {
        address: gateway.settings.gateway.peers,
        data_centre: gateway.settings.gateway.data_centre.clone(),
    };
    let key = format!("{ROW_PREFIX}{}", gateway.settings.gateway.name);
    // a row of plain fields always serializes
    let value = serde_json::to_string(&row).unwrap_or_default();
    let transaction = Transaction::default().write(&key, value);
    match gateway.adapters.table.commit(transaction).await {
        Ok(_) => {
            gateway.count_store_call("register", true);
            true
        }
        Err(error) => {
            gateway.count_store_call("register", false);
            log::warn!(error:%; "failed to register this gateway; retrying");
            gateway.record_rows_unavailable();
            error == Error::OutcomeUnknown
        }
    }
}

/// Reads all rows and adds the gateways in them. Sets `written` to whether this process's row is
/// among them, and returns the same; returns `false` if the read failed.
async fn read_rows(gateway: &Gateway, written: &mut bool) -> bool {
    let read = Read {
        keys: Vec::new(),
        prefixes: vec![ROW_PREFIX.to_owned()],
    };
    let rows = match gateway.adapters.table.read(read).await {
        Ok(rows) => {
            gateway.count_store_call("peers", true);
            gateway.record_store_availability(true);
            rows
        }
        Err(error) => {
            gateway.count_store_call("peers", false);
            log::warn!(error:%; "failed to read the gateways' registration rows; retrying");
            gateway.record_rows_unavailable();
            return false;
        }
    };
    *written = false;
    for row in rows {
        match serde_json::from_str::<Row>(&row.value) {
            Ok(peer) if peer.address == gateway.settings.gateway.peers => *written = true,
            Ok(peer) if !is_reachable(peer.address) => {
                log::warn!(key = row.key, address:% = peer.address; "no gateway can have the address of a registration row");
            }
            Ok(peer) => gateway.peers.add(peer.address, &peer.data_centre),
            Err(error) => log::warn!(key = row.key, error:%; "could not parse a registration row"),
        }
    }
    if *written {
        gateway.peers.record_membership_known();
    }
    *written
}
