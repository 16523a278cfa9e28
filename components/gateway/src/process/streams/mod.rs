//! Keeps the streams of this process in the store while several builds serve, one row for each gateway. See
//! `docs/DESIGN.md#streams-and-builds`.

mod lost;
#[cfg(test)]
mod tests;
mod unparsed;

use std::time::Duration;

use clock::Instant;
use cloud::table::{Read, Row, Transaction};
use parking_lot::Mutex;

use super::Gateway;
use crate::streams::store::{self, Entry, ROW_PREFIX};
use unparsed::Unparsed;

/// How often the row is compared with the streams. Those of this time are lost when all that know them are killed.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);
/// The longest interval: no stream in an older row can still be resumed.
const MAX_WRITE_INTERVAL: Duration = Duration::from_secs(300);
/// The fraction (1/n) of the store's writes that the rows of all gateways may use.
const WRITES_DIVISOR: f64 = 8.0;
/// Maximum size of a row: the store's rows hold 64 KiB.
const MAX_ROW_BYTES: usize = 48 << 10;
/// Maximum size of all rows together: a starting process reads them at once, in base64.
const MAX_BYTES: usize = 6 << 20;
/// Time from the start of the process after which it knows who the first reader of the lists is.
const FIRST_CLEANUP_DELAY: Duration = Duration::from_secs(5);
/// How often the rows of gateways that have not come back are removed.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(60);

/// The entries of this process's row, sorted by key; `None` until the rows have been read.
#[derive(Debug, Default)]
pub struct StoredStreams(Mutex<Option<Vec<Entry>>>);

/// Takes in the rows that were read at the start of the process.
pub(super) fn restore(gateway: &Gateway, rows: &[Row]) {
    let own_key = own_key(gateway);
    let mut own = Vec::new();
    let mut restored = 0;
    for row in rows {
        let Some(entries) = store::decode(&row.value) else {
            log::warn!(key = row.key; "could not parse the row of a gateway's streams");
            continue;
        };
        gateway.restore_streams(&entries, row.key == own_key);
        restored += entries.len();
        if row.key == own_key {
            own = entries;
        }
    }
    if restored > 0 {
        log::info!(rows = rows.len(), streams = restored, own = own.len(); "streams were read from the store");
    }
    *gateway.stored_streams.0.lock() = Some(own);
}

/// Keeps this process's row up to date, reads those of gateways that are gone, and at the first reader of the lists removes
/// those of gateways that have not come back, for the lifetime of the process.
pub async fn run(gateway: &Gateway) {
    tokio::join!(
        write_own_row(gateway),
        lost::run(gateway),
        clean_up(gateway)
    );
}

async fn write_own_row(gateway: &Gateway) {
    // gateways that start together do not write together
    clock::sleep(interval(gateway).mul_f64(rand::random_range(0.0..1.0))).await;
    loop {
        let stored = gateway.stored_streams.0.lock().clone();
        if let Some(stored) = stored.filter(|_| gateway.store_available()) {
            update(gateway, &stored).await;
        }
        clock::sleep(interval(gateway)).await;
    }
}

/// Returns how often this process may write.
pub(super) fn interval(gateway: &Gateway) -> Duration {
    let gateways = u32::try_from(gateway.peers.count_alive() + 1).unwrap_or(u32::MAX);
    shared_interval(gateways, gateway.settings.store.writes_per_second)
}

/// Returns how often each of several gateways may write that share a store.
fn shared_interval(gateways: u32, writes_per_second: f64) -> Duration {
    let seconds = f64::from(gateways) * WRITES_DIVISOR / writes_per_second;
    let interval = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_WRITE_INTERVAL);
    interval.clamp(WRITE_INTERVAL, MAX_WRITE_INTERVAL)
}

async fn update(gateway: &Gateway, stored: &[Entry]) {
    let wanted = wanted_entries(gateway);
    let is_stored = |entry: &Entry| {
        let index = stored.binary_search_by_key(&entry.key, |stored| stored.key);
        index.is_ok_and(|index| entry.is_stored_as(&stored[index]))
    };
    let key = own_key(gateway);
    let transaction = if !wanted.iter().all(is_stored) {
        Transaction::default().write(&key, store::encode(&wanted))
    } else if !stored.is_empty() && stored.iter().all(Entry::is_expired) {
        Transaction::default().remove(&key)
    } else {
        return;
    };
    let outcome = gateway.adapters.table.commit(transaction).await;
    gateway.count_store_call("streams", outcome.is_ok());
    match outcome {
        Ok(_) => *gateway.stored_streams.0.lock() = Some(wanted),
        Err(error) => {
            log::warn!(error:%, streams = wanted.len(); "failed to write the row of streams; retrying");
        }
    }
}

/// Returns the streams that belong into the row: none while one build serves each service.
fn wanted_entries(gateway: &Gateway) -> Vec<Entry> {
    if !gateway.registry.builds().is_mixed() {
        return Vec::new();
    }
    let gateways = usize::try_from(gateway.peers.count_alive() + 1).unwrap_or(usize::MAX);
    let own = gateway.own_streams();
    let known = own.len();
    let wanted = store::select(own, MAX_ROW_BYTES.min(MAX_BYTES / gateways));
    let unsaved = known - wanted.len();
    let metric = &gateway.metrics.streams.unsaved;
    if unsaved > 0 && metric.get() == 0 {
        log::warn!(unsaved, saved = wanted.len(); "not all streams fit into the row in the store");
    }
    metric.set(i64::try_from(unsaved).unwrap_or(i64::MAX));
    wanted
}

async fn clean_up(gateway: &Gateway) {
    clock::sleep(FIRST_CLEANUP_DELAY).await;
    let mut unparsed = Unparsed::default();
    loop {
        let own = gateway.settings.gateway.peers;
        let is_remover = gateway.reads_lists() && !gateway.peers.has_preceding_reader(own);
        if is_remover && gateway.store_available() {
            remove_expired(gateway, &mut unparsed).await;
        }
        clock::sleep(CLEANUP_INTERVAL).await;
    }
}

/// Removes the rows in which all streams have expired. One whose removal fails is removed the next time.
async fn remove_expired(gateway: &Gateway, unparsed: &mut Unparsed) {
    let read = Read {
        keys: Vec::new(),
        prefixes: vec![ROW_PREFIX.to_owned()],
    };
    let read = gateway.adapters.table.read(read).await;
    gateway.count_store_call("streams", read.is_ok());
    let rows = match read {
        Ok(rows) => rows,
        Err(error) => {
            log::warn!(error:%; "failed to read the rows of streams from the store");
            return;
        }
    };
    let own_key = own_key(gateway);
    let others: Vec<(&Row, Option<Vec<Entry>>)> = rows
        .iter()
        .filter(|row| row.key != own_key)
        .map(|row| (row, store::decode(&row.value)))
        .collect();
    let now = Instant::now();
    let without_entries = others.iter().filter(|(_, entries)| entries.is_none());
    unparsed.update(without_entries.map(|(row, _)| *row), now);
    let is_expired = |(row, entries): &&(&Row, Option<Vec<Entry>>)| match entries {
        Some(entries) => entries.iter().all(Entry::is_expired),
        None => unparsed.is_expired(&row.key, now),
    };
    for (row, _) in others.iter().filter(is_expired) {
        // its gateway may have come back and written it meanwhile
        let removal = Transaction::default()
            .check(&row.key, row.version)
            .remove(&row.key);
        let outcome = gateway.adapters.table.commit(removal).await;
        gateway.count_store_call("streams", outcome.is_ok());
        if let Err(error) = outcome {
            log::warn!(key = row.key, error:%; "failed to remove the row of a gateway's streams");
        }
    }
}

fn own_key(gateway: &Gateway) -> String {
    format!("{ROW_PREFIX}{}", gateway.settings.gateway.name)
}
