//! Keeps what is withheld in the store, see [`crate::crashes`].

use std::time::Duration;

use clock::Instant;
use cloud::table::{self, Read, Transaction};

use super::{Gateway, builds, streams};
use crate::{
    crashes::{ROW_PREFIX, Row, Suspect},
    streams::store,
};

/// How often to check whether the store is available; short, as the process is not ready until the rows have
/// been read.
const STORE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Delay before a failed read or write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Maximum number of rows; further suspects are known only to the gateways.
const MAX_ROWS: usize = 200;
/// How often rows that are no longer needed are removed.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(60);
/// Number of gateways, lowest addresses first, that write what became withheld by a peer's report, as no single gateway
/// may have observed all its crashes. More than one, since one of them may have just failed.
const WRITERS: usize = 2;

/// Reads the rows, then writes and removes them for the lifetime of the process.
pub async fn run(gateway: &Gateway) {
    let mut rows = loop {
        match read_rows(gateway).await {
            Some(rows) => break rows,
            None => clock::sleep(STORE_POLL_INTERVAL).await,
        }
    };
    gateway.crashes.rows().set_loaded();
    loop {
        let next_cleanup = Instant::now() + CLEANUP_INTERVAL;
        while let Ok((suspect, observed)) =
            clock::timeout_at(next_cleanup, gateway.crashes.rows().next()).await
        {
            if gateway.crashes.row(suspect).is_none() {
                // cleared: its row is removed at once
                break;
            }
            if !observed && gateway.peers.address_rank(gateway.settings.gateway.peers) >= WRITERS {
                continue;
            }
            if rows.contains(&suspect) || rows.len() < MAX_ROWS {
                write_row(gateway, suspect).await;
                rows.push(suspect);
                rows.sort_unstable();
                rows.dedup();
            } else {
                log::warn!(suspect:%; "a withheld suspect was not written to the store: the maximum number of rows is reached");
            }
        }
        gateway.crashes.evict_expired();
        let (kept, expired) = rows
            .into_iter()
            .partition(|suspect| gateway.crashes.row(*suspect).is_some());
        rows = kept;
        remove_rows(gateway, &expired).await;
    }
}

/// Reads all rows and merges their records. Returns the suspects, or `None` if the store did not answer. The
/// store is not called while other calls to it fail, so that not all gateways retry at once during an outage.
async fn read_rows(gateway: &Gateway) -> Option<Vec<Suspect>> {
    // a build that leaves the list between the two reads would be missed if the rows were read first
    if !*gateway.endpoints_read.borrow() || !gateway.store_available() {
        return None;
    }
    let read = Read {
        keys: Vec::new(),
        prefixes: [ROW_PREFIX, builds::ROW_PREFIX, store::ROW_PREFIX]
            .map(str::to_owned)
            .into(),
    };
    let began = Instant::now();
    let read = gateway.adapters.table.read(read).await;
    gateway.count_store_call("withheld", read.is_ok());
    let rows = match read {
        Ok(rows) => rows,
        Err(error) => {
            log::warn!(error:%; "failed to read the rows of earlier processes from the store");
            gateway.record_rows_unavailable();
            clock::sleep(RETRY_DELAY).await;
            return None;
        }
    };
    let split = |rows: Vec<table::Row>, prefix: &str| -> (Vec<table::Row>, Vec<table::Row>) {
        rows.into_iter()
            .partition(|row| row.key.starts_with(prefix))
    };
    let (streams, rows) = split(rows, store::ROW_PREFIX);
    let (builds, rows) = split(rows, builds::ROW_PREFIX);
    streams::restore(gateway, &streams);
    builds::restore(gateway, &builds, began);
    let mut suspects = Vec::new();
    for row in rows {
        match (
            Suspect::from_row_key(&row.key),
            serde_json::from_str::<Row>(&row.value),
        ) {
            (Some(suspect), Ok(row)) => {
                gateway.crashes.restore(suspect, &row);
                suspects.push(suspect);
            }
            (_, Err(error)) => {
                log::warn!(key = row.key, error:%; "could not parse the row of a withheld suspect");
            }
            (None, Ok(_)) => {
                log::warn!(key = row.key; "the row of a withheld suspect has no valid key");
            }
        }
    }
    suspects.sort_unstable();
    Some(suspects)
}

/// Writes the row of a suspect, retrying until the store accepts it or it is no longer suspected.
async fn write_row(gateway: &Gateway, suspect: Suspect) {
    while let Some(row) = gateway.crashes.row(suspect) {
        if !gateway.store_available() {
            clock::sleep(STORE_POLL_INTERVAL).await;
            continue;
        }
        // a row of plain fields always has a JSON form
        let value = serde_json::to_string(&row).unwrap_or_default();
        let transaction = Transaction::default().write(&suspect.row_key(), value);
        let outcome = gateway.adapters.table.commit(transaction).await;
        gateway.count_store_call("withhold", outcome.is_ok());
        match outcome {
            Ok(_) => return,
            Err(error) => {
                log::warn!(suspect:%, error:%; "failed to write a withheld suspect to the store; retrying");
                clock::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Removes rows. A row whose removal fails is removed by a process that starts later.
async fn remove_rows(gateway: &Gateway, suspects: &[Suspect]) {
    for suspect in suspects {
        let transaction = Transaction::default().remove(&suspect.row_key());
        let outcome = gateway.adapters.table.commit(transaction).await;
        gateway.count_store_call("withhold", outcome.is_ok());
        if let Err(error) = outcome {
            log::warn!(suspect:%, error:%; "failed to remove the row of a withheld suspect");
        }
    }
}
