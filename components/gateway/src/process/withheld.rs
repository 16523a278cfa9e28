//! Withheld requests in the store. What gateways know of them lives in their memory and is lost when all are killed at
//! once; without these rows each request would end three endpoints more.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clock::Instant;
use cloud::table::{Read, Transaction};
use policy::suspect::{Crash, Moment, Record};
use serde::{Deserialize, Serialize};

use super::{Gateway, Source};
use crate::request::Fingerprint;

/// Rows of withheld requests begin so.
const ROW_PREFIX: &str = "withheld/";
/// Between two looks whether the store answers: the process is not ready before it has.
const STORE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Between two tries of a write that the store refused or did not answer.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// The most rows; requests beyond them are known to the gateways alone.
const MAX_ROWS: usize = 200;
/// Between two looks for rows that are no longer needed.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(60);
/// Microseconds in a millisecond.
const MICROS_PER_MILLI: Moment = 1_000;

/// A withheld request's row.
#[derive(Debug, Serialize, Deserialize)]
struct Row {
    ends: Vec<StoredCrash>,
}

/// An endpoint that ended.
#[derive(Debug, Serialize, Deserialize)]
struct StoredCrash {
    endpoint: u32,
    /// The time of day, in Unix milliseconds: no steady clock goes on when all processes start anew, and a step of some
    /// seconds matters little beside the minutes for which a request is withheld.
    at_ms: i64,
}

/// Keeps the rows as long as the process lives.
pub async fn run(gateway: &Gateway) {
    let mut rows = loop {
        match read(gateway).await {
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
                write(gateway, fingerprint).await;
                rows.push(fingerprint);
                rows.sort_unstable();
                rows.dedup();
            } else {
                log::warn!(content:% = fingerprint; "a withheld request is not kept in the store, which has as many as may be");
            }
        }
        gateway.forget_old_suspects();
        let (kept, expired) = rows
            .into_iter()
            .partition(|fingerprint| gateway.suspect(*fingerprint).is_some());
        rows = kept;
        remove(gateway, &expired).await;
    }
}

/// Reads all rows, and takes what they say. Gives their requests; none if the store did not answer. A store that fails
/// other calls is not asked: in an outage all gateways would.
async fn read(gateway: &Gateway) -> Option<Vec<Fingerprint>> {
    if !gateway.peers.is_membership_known() || !gateway.store_available() {
        return None;
    }
    let read = Read {
        keys: Vec::new(),
        prefixes: vec![ROW_PREFIX.to_owned()],
    };
    let read = gateway.adapters.table.read(read).await;
    gateway.count_store_call("withheld", read.is_ok());
    let rows = match read {
        Ok(rows) => rows,
        Err(error) => {
            log::warn!(error:%; "the withheld requests were not read");
            clock::sleep(RETRY_DELAY).await;
            return None;
        }
    };
    let mut fingerprints = Vec::new();
    for row in rows {
        match (parse_key(&row.key), serde_json::from_str::<Row>(&row.value)) {
            (Some(fingerprint), Ok(row)) => {
                gateway.merge_suspect(fingerprint, &row.record(gateway.moment()), Source::Store);
                fingerprints.push(fingerprint);
            }
            (_, Err(error)) => {
                log::warn!(key = row.key, error:%; "a withheld request's row can't be read");
            }
            (None, Ok(_)) => log::warn!(key = row.key; "a withheld request's row has no valid key"),
        }
    }
    fingerprints.sort_unstable();
    Some(fingerprints)
}

/// Writes a request's row, as soon as the store answers.
async fn write(gateway: &Gateway, fingerprint: Fingerprint) {
    while let Some(record) = gateway.suspect(fingerprint) {
        if !gateway.store_available() {
            clock::sleep(STORE_POLL_INTERVAL).await;
            continue;
        }
        // a row of plain fields always has a JSON form
        let value = serde_json::to_string(&Row::new(&record, gateway.moment())).unwrap_or_default();
        let transaction = Transaction::default().write(&key(fingerprint), value);
        let outcome = gateway.adapters.table.commit(transaction).await;
        gateway.count_store_call("withhold", outcome.is_ok());
        match outcome {
            Ok(_) => return,
            Err(error) => {
                log::warn!(content:% = fingerprint, error:%; "a withheld request is not in the store yet");
                clock::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Removes rows; those that stay are removed by a process that starts later.
async fn remove(gateway: &Gateway, fingerprints: &[Fingerprint]) {
    for fingerprint in fingerprints {
        let transaction = Transaction::default().remove(&key(*fingerprint));
        let outcome = gateway.adapters.table.commit(transaction).await;
        gateway.count_store_call("withhold", outcome.is_ok());
        if let Err(error) = outcome {
            log::warn!(content:% = fingerprint, error:%; "a withheld request's row was not removed");
        }
    }
}

impl Row {
    fn new(record: &Record, now: Moment) -> Self {
        let unix_now = unix_millis();
        let ends = record.crashes.iter().map(|end| StoredCrash {
            endpoint: end.endpoint,
            at_ms: unix_now - (now - end.at) / MICROS_PER_MILLI,
        });
        Self {
            ends: ends.collect(),
        }
    }

    fn record(&self, now: Moment) -> Record {
        let unix_now = unix_millis();
        let mut ends: Vec<Crash> = self
            .ends
            .iter()
            .map(|end| Crash {
                endpoint: end.endpoint,
                // one that a clock puts into the future has just ended
                at: now - (unix_now - end.at_ms).max(0) * MICROS_PER_MILLI,
            })
            .collect();
        ends.sort_unstable_by_key(|end| end.at);
        Record {
            crashes: ends,
            last_served: None,
        }
    }
}

/// The time of day in Unix milliseconds.
fn unix_millis() -> i64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        i64::try_from(since.as_millis()).unwrap_or(i64::MAX)
    })
}

fn key(fingerprint: Fingerprint) -> String {
    format!("{ROW_PREFIX}{fingerprint}")
}

fn parse_key(key: &str) -> Option<Fingerprint> {
    let number = key.strip_prefix(ROW_PREFIX)?;
    u64::from_str_radix(number, 16).ok().map(Fingerprint::from)
}
