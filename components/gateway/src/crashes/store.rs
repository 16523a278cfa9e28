//! What is withheld, as the store keeps it: gateways know it in memory only, which is lost when all of them are killed
//! at once. Without these rows each suspect would crash several more endpoints.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::{SystemTime, UNIX_EPOCH},
};

use parking_lot::Mutex;
use policy::suspect::{Crash, Record, SignedMicros};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use super::{Crashes, Source, Suspect};
use crate::request::Fingerprint;

/// The prefix of the keys of rows.
pub const ROW_PREFIX: &str = "withheld/";
/// What follows the prefix in the key of the row of a prompt part.
const PART_PREFIX: &str = "part-";
const MICROS_PER_MILLI: SignedMicros = 1_000;
/// The greatest age of a crash that is calculated with, in milliseconds: a week, longer than any crash counts.
const MAX_AGE_MS: i64 = 7 * 24 * 3600 * 1_000;

/// The rows that this process has yet to write, and whether it has read those of earlier processes.
#[derive(Debug, Default)]
pub struct Rows {
    /// What became withheld, and whether this process observed the last crash itself; also what was cleared.
    unwritten: Mutex<Vec<(Suspect, bool)>>,
    /// Notified when `unwritten` grows.
    added: Notify,
    loaded: AtomicBool,
}

impl Rows {
    /// Records that the rows of earlier processes have been read.
    pub fn set_loaded(&self) {
        self.loaded.store(true, Ordering::Relaxed);
    }

    /// Whether the rows of earlier processes have been read.
    pub fn is_loaded(&self) -> bool {
        self.loaded.load(Ordering::Relaxed)
    }

    /// Adds what has just become withheld.
    pub(super) fn add(&self, suspect: Suspect, source: Source) {
        let observed = match source {
            Source::Own => true,
            Source::Peer(_) | Source::List => false,
            Source::Store => return,
        };
        self.unwritten.lock().push((suspect, observed));
        self.added.notify_one();
    }

    /// Adds what has just been cleared: a process that starts later would withhold it again for its row.
    pub(super) fn add_cleared(&self, suspect: Suspect) {
        self.unwritten.lock().push((suspect, false));
        self.added.notify_one();
    }

    /// Waits for the next suspect that has become withheld or was cleared. Returns it and whether this process observed the
    /// last crash itself.
    pub async fn next(&self) -> (Suspect, bool) {
        loop {
            let added = self.added.notified();
            if let Some(next) = self.unwritten.lock().pop() {
                return next;
            }
            added.await;
        }
    }
}

/// The row of a suspect.
#[derive(Debug, Serialize, Deserialize)]
pub struct Row {
    ends: Vec<StoredCrash>,
}

/// An endpoint crash.
#[derive(Debug, Serialize, Deserialize)]
struct StoredCrash {
    endpoint: u32,
    /// Wall-clock time in Unix milliseconds: no monotonic clock survives a restart of all processes, and a
    /// clock step of a few seconds is negligible compared with the minutes for which a suspect is withheld.
    at_ms: i64,
}

impl Crashes {
    /// Returns the row of a suspect; `None` if it has been cleared or is no longer suspected.
    pub fn row(&self, suspect: Suspect) -> Option<Row> {
        let record = self.record(suspect).filter(Record::is_convicted)?;
        let (now, unix_now) = (self.moment(), unix_millis());
        let crashes = record.crashes.iter().map(|crash| StoredCrash {
            endpoint: crash.endpoint,
            at_ms: unix_now - (now - crash.at) / MICROS_PER_MILLI,
        });
        Some(Row {
            ends: crashes.collect(),
        })
    }

    /// Merges the row of a suspect.
    pub fn restore(&self, suspect: Suspect, row: &Row) {
        let (now, unix_now) = (self.moment(), unix_millis());
        let mut crashes: Vec<Crash> = row
            .ends
            .iter()
            .map(|crash| Crash {
                endpoint: crash.endpoint,
                // a crash that clock skew puts into the future counts as happening now
                at: now
                    - unix_now.saturating_sub(crash.at_ms).clamp(0, MAX_AGE_MS) * MICROS_PER_MILLI,
            })
            .collect();
        crashes.sort_unstable_by_key(|crash| crash.at);
        let record = Record {
            crashes,
            ..Record::default()
        };
        self.merge(suspect, &record, Source::Store);
    }
}

impl Suspect {
    /// Returns the key of its row.
    pub fn row_key(self) -> String {
        match self {
            Self::Request(fingerprint) => format!("{ROW_PREFIX}{fingerprint}"),
            Self::Part(part) => format!("{ROW_PREFIX}{PART_PREFIX}{part:016x}"),
        }
    }

    /// Returns the suspect that a row with this key is about; `None` if it is none.
    pub fn from_row_key(key: &str) -> Option<Self> {
        let name = key.strip_prefix(ROW_PREFIX)?;
        let parse = |number| u64::from_str_radix(number, 16).ok();
        match name.strip_prefix(PART_PREFIX) {
            Some(part) => parse(part).map(Self::Part),
            None => parse(name).map(|number| Self::Request(Fingerprint::from(number))),
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
