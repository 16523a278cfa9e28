//! Reads the rows of builds again while a listed build has none, and for searches that need to know at which builds streams
//! may have begun until now.

use std::{sync::Arc, time::Duration};

use clock::Instant;
use cloud::table::{Read, Row};

use super::{Gateway, ROW_PREFIX, Rows, StoredBuild, Unparsed, admission};
use crate::endpoint::Build;

/// The fraction (1/n) of the store's reads that all gateways may use.
const READS_DIVISOR: f64 = 8.0;
/// The shortest time between two reads for searches.
const MIN_INTERVAL: Duration = Duration::from_millis(10);
/// The shortest time between two reads while a build waits; peers usually report its row before.
const MIN_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// The longest time between two reads.
pub(super) const MAX_INTERVAL: Duration = Duration::from_secs(60);

/// Reads the rows when that is needed, for the lifetime of the process.
pub(super) async fn run(gateway: &Gateway) {
    loop {
        tokio::select! {
            () = gateway.stored_builds.read_wanted.notified() => {}
            () = until_poll(gateway) => {}
        }
        read(gateway).await;
        clock::sleep(interval(gateway)).await;
    }
}

/// Waits until a build without a row has waited for it since the last poll.
async fn until_poll(gateway: &Gateway) {
    loop {
        clock::sleep(poll_interval(gateway)).await;
        if has_read(gateway) && admission::is_any_waiting(gateway) {
            return;
        }
    }
}

/// Whether the rows of earlier processes have been read, which is repeated until it succeeds.
fn has_read(gateway: &Gateway) -> bool {
    *gateway.earlier_rows().borrow() == Rows::Read
}

/// Returns how often this process may read the rows.
pub(super) fn interval(gateway: &Gateway) -> Duration {
    let gateways = u32::try_from(gateway.peers.count_alive() + 1).unwrap_or(u32::MAX);
    shared_interval(gateways, gateway.settings.store.reads_per_second)
}

/// Returns how often this process reads the rows while a build waits.
fn poll_interval(gateway: &Gateway) -> Duration {
    interval(gateway).max(MIN_POLL_INTERVAL)
}

/// Returns how often each of several gateways may read that share a store.
pub(super) fn shared_interval(gateways: u32, reads_per_second: f64) -> Duration {
    let seconds = f64::from(gateways) * READS_DIVISOR / reads_per_second;
    let interval = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_INTERVAL);
    interval.clamp(MIN_INTERVAL, MAX_INTERVAL)
}

async fn read(gateway: &Gateway) {
    let began = Instant::now();
    let read = Read {
        keys: Vec::new(),
        prefixes: vec![ROW_PREFIX.to_owned()],
    };
    let rows = if has_read(gateway) && gateway.store_available() {
        let rows = gateway.adapters.table.read(read).await;
        gateway.count_store_call("builds", rows.is_ok());
        rows.inspect_err(|error| log::warn!(error:%; "failed to read the rows of builds"))
            .ok()
    } else {
        None
    };
    match rows {
        Some(rows) => {
            take_in(gateway, &rows, began);
        }
        None => gateway.stored_builds.reads.lock().failed = Some(began),
    }
    // searches look again
    gateway.stored_builds.reading.send_modify(|_| {});
}

/// Takes in the rows that a read which began at this time has returned. Returns those that could be parsed.
pub(super) fn take_in(gateway: &Gateway, rows: &[Row], began: Instant) -> Vec<StoredBuild> {
    let mut stored = Vec::new();
    let mut unparsed = Vec::new();
    for row in rows {
        match serde_json::from_str::<StoredBuild>(&row.value) {
            Ok(row) => stored.push(row),
            Err(error) => unparsed.push((row, error)),
        }
    }
    record_unparsed(gateway, &unparsed);
    let builds = gateway.registry.builds();
    for row in &stored {
        let build = Build(Arc::from(row.build.as_str()));
        builds.record_earlier(&row.service, build.clone());
        if builds.record_row(&row.service, build) {
            log::info!(
                service = row.service, build = row.build;
                "a row says that streams may begin at a build"
            );
            gateway
                .metrics
                .streams
                .admitted
                .with_label_values(&["read"])
                .inc();
        }
    }
    let mut known: Vec<(String, Build)> = stored
        .iter()
        .map(|row| (row.service.clone(), Build(Arc::from(row.build.as_str()))))
        .collect();
    known.sort_unstable();
    *gateway.stored_builds.rows.lock() = known;
    gateway.stored_builds.soles.record(&stored, began);
    gateway.stored_builds.reads.lock().succeeded = Some(began);
    gateway.stored_builds.admissions.send_replace(());
    stored
}

/// Records the rows that can't be parsed. Their time counts anew when there are further ones.
fn record_unparsed(gateway: &Gateway, rows: &[(&Row, serde_json::Error)]) {
    let mut unparsed = gateway.stored_builds.unparsed.lock();
    let versions = rows.iter().map(|(row, _)| (row.key.clone(), row.version));
    let versions: Vec<(String, u64)> = versions.collect();
    let known = unparsed.as_ref().map_or(&[][..], |known| &known.rows);
    if versions.iter().all(|row| known.contains(row)) {
        return;
    }
    for (row, error) in rows {
        log::warn!(key = row.key, error:%; "could not parse the row of a build");
    }
    *unparsed = Some(Unparsed {
        rows: versions,
        read: Instant::now(),
    });
}
