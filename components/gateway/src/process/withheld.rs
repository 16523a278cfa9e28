//! Withheld requests in the store. Gateways know them in memory only, which is lost when all gateways are
//! killed at once; without these rows each such request would crash three more endpoints.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clock::Instant;
use cloud::table::{self, Read, Transaction};
use policy::suspect::{Crash, Record, SignedMicros};
use serde::{Deserialize, Serialize};

use super::{Gateway, Source, builds};
use crate::request::Fingerprint;

/// The prefix of the keys of withheld requests.
const ROW_PREFIX: &str = "withheld/";
/// How often to check whether the store is available; short, as the process is not ready until the rows have
/// been read.
const STORE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Delay before a failed read or write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Maximum number of rows; further requests are known only to the gateways.
const MAX_ROWS: usize = 200;
/// How often rows that are no longer needed are removed.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(60);
const MICROS_PER_MILLI: SignedMicros = 1_000;

/// The row of a withheld request.
#[derive(Debug, Serialize, Deserialize)]
struct StoredRequest {
    ends: Vec<StoredCrash>,
}

/// An endpoint crash.
#[derive(Debug, Serialize, Deserialize)]
struct StoredCrash {
    endpoint: u32,
    /// Wall-clock time in Unix milliseconds: no monotonic clock survives a restart of all processes, and a
    /// clock step of a few seconds is negligible compared with the minutes for which a request is withheld.
    at_ms: i64,
}

/// Reads the rows, then writes and removes them for the lifetime of the process.
pub async fn run(gateway: &Gateway) {
    let mut rows = loop {
        match read_rows(gateway).await {
            Some(rows) => break rows,
            None => clock::sleep(STORE_POLL_INTERVAL).await,
        }
    };
    gateway.suspects.set_loaded();
    loop {
        let next_cleanup = Instant::now() + CLEANUP_INTERVAL;
        while let Ok(fingerprint) =
            clock::timeout_at(next_cleanup, gateway.suspects.next_to_store()).await
        {
            if rows.contains(&fingerprint) || rows.len() < MAX_ROWS {
                write_row(gateway, fingerprint).await;
                rows.push(fingerprint);
                rows.sort_unstable();
                rows.dedup();
            } else {
                log::warn!(content:% = fingerprint; "a withheld request was not written to the store: the maximum number of rows is reached");
            }
        }
        gateway.evict_expired_suspects();
        let (kept, expired) = rows
            .into_iter()
            .partition(|fingerprint| gateway.suspect(*fingerprint).is_some());
        rows = kept;
        remove_rows(gateway, &expired).await;
    }
}

/// Reads all rows and merges their records. Returns the requests, or `None` if the store did not answer. The
/// store is not called while other calls to it fail, so that not all gateways retry at once during an outage.
async fn read_rows(gateway: &Gateway) -> Option<Vec<Fingerprint>> {
    if !gateway.peers.is_membership_known() || !gateway.store_available() {
        return None;
    }
    let read = Read {
        keys: Vec::new(),
        prefixes: vec![ROW_PREFIX.to_owned(), builds::ROW_PREFIX.to_owned()],
    };
    let read = gateway.adapters.table.read(read).await;
    gateway.count_store_call("withheld", read.is_ok());
    let rows = match read {
        Ok(rows) => rows,
        Err(error) => {
            log::warn!(error:%; "failed to read the rows of earlier processes from the store");
            clock::sleep(RETRY_DELAY).await;
            return None;
        }
    };
    let (builds, rows): (Vec<table::Row>, Vec<table::Row>) = rows
        .into_iter()
        .partition(|row| row.key.starts_with(builds::ROW_PREFIX));
    builds::restore(gateway, &builds);
    let mut fingerprints = Vec::new();
    for row in rows {
        match (
            parse_row_key(&row.key),
            serde_json::from_str::<StoredRequest>(&row.value),
        ) {
            (Some(fingerprint), Ok(row)) => {
                gateway.merge_suspect(fingerprint, &row.record(gateway.moment()), Source::Store);
                fingerprints.push(fingerprint);
            }
            (_, Err(error)) => {
                log::warn!(key = row.key, error:%; "could not parse the row of a withheld request");
            }
            (None, Ok(_)) => {
                log::warn!(key = row.key; "the row of a withheld request has no valid key");
            }
        }
    }
    fingerprints.sort_unstable();
    Some(fingerprints)
}

/// Writes the row of a request, retrying until the store accepts it or the request is no longer suspected.
async fn write_row(gateway: &Gateway, fingerprint: Fingerprint) {
    while let Some(record) = gateway.suspect(fingerprint) {
        if !gateway.store_available() {
            clock::sleep(STORE_POLL_INTERVAL).await;
            continue;
        }
        // a row of plain fields always has a JSON form
        let value = serde_json::to_string(&StoredRequest::new(&record, gateway.moment()))
            .unwrap_or_default();
        let transaction = Transaction::default().write(&row_key(fingerprint), value);
        let outcome = gateway.adapters.table.commit(transaction).await;
        gateway.count_store_call("withhold", outcome.is_ok());
        match outcome {
            Ok(_) => return,
            Err(error) => {
                log::warn!(content:% = fingerprint, error:%; "failed to write a withheld request to the store; retrying");
                clock::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Removes rows. A row whose removal fails is removed by a process that starts later.
async fn remove_rows(gateway: &Gateway, fingerprints: &[Fingerprint]) {
    for fingerprint in fingerprints {
        let transaction = Transaction::default().remove(&row_key(*fingerprint));
        let outcome = gateway.adapters.table.commit(transaction).await;
        gateway.count_store_call("withhold", outcome.is_ok());
        if let Err(error) = outcome {
            log::warn!(content:% = fingerprint, error:%; "failed to remove the row of a withheld request");
        }
    }
}

impl StoredRequest {
    fn new(record: &Record, now: SignedMicros) -> Self {
        let unix_now = unix_millis();
        let crashes = record.crashes.iter().map(|crash| StoredCrash {
            endpoint: crash.endpoint,
            at_ms: unix_now - (now - crash.at) / MICROS_PER_MILLI,
        });
        Self {
            ends: crashes.collect(),
        }
    }

    fn record(&self, now: SignedMicros) -> Record {
        let unix_now = unix_millis();
        let mut crashes: Vec<Crash> = self
            .ends
            .iter()
            .map(|crash| Crash {
                endpoint: crash.endpoint,
                // a crash that clock skew puts into the future counts as happening now
                at: now - (unix_now - crash.at_ms).max(0) * MICROS_PER_MILLI,
            })
            .collect();
        crashes.sort_unstable_by_key(|crash| crash.at);
        Record {
            crashes,
            last_served: None,
        }
    }
}

/// Returns the current wall-clock time in Unix milliseconds.
fn unix_millis() -> i64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        i64::try_from(since.as_millis()).unwrap_or(i64::MAX)
    })
}

fn row_key(fingerprint: Fingerprint) -> String {
    format!("{ROW_PREFIX}{fingerprint}")
}

fn parse_row_key(key: &str) -> Option<Fingerprint> {
    let number = key.strip_prefix(ROW_PREFIX)?;
    u64::from_str_radix(number, 16).ok().map(Fingerprint::from)
}
