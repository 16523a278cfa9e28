//! Access to the table, with its availability recorded and its rows typed.

use std::sync::atomic::{AtomicBool, Ordering};

use cloud::table::{self, Outcome, Read, Row, Table, Transaction};
use serde::{Serialize, de::DeserializeOwned};
use telemetry::{
    metrics::Metrics,
    timeline::{Kind, Timeline},
};

/// The table, as used by the other modules.
pub struct Store {
    table: Box<dyn Table>,
    available: AtomicBool,
    timeline: Timeline,
    metrics: Metrics,
}

impl Store {
    pub fn new(table: Box<dyn Table>, timeline: Timeline, metrics: Metrics) -> Self {
        Self {
            table,
            available: AtomicBool::new(true),
            timeline,
            metrics,
        }
    }

    /// Whether the last call was answered.
    pub fn is_available(&self) -> bool {
        self.available.load(Ordering::Relaxed)
    }

    /// Reads rows, sorted by key.
    pub async fn read(&self, read: Read) -> Result<Vec<Row>, table::Error> {
        let result = self.table.read(read).await;
        self.record_call(result.is_ok());
        result
    }

    /// Commits a transaction.
    pub async fn commit(&self, transaction: Transaction) -> Result<Outcome, table::Error> {
        let result = self.table.commit(transaction).await;
        self.record_call(result.is_ok());
        result
    }

    /// Commits a transaction. If the response is lost, reads `key` back and compares it with `value`, which
    /// must be a value that no other write could have produced.
    pub async fn commit_confirmed(
        &self,
        transaction: Transaction,
        key: &str,
        value: &str,
    ) -> Result<Outcome, table::Error> {
        match self.commit(transaction).await {
            Err(table::Error::OutcomeUnknown) => {
                let rows = self.read(by_keys(&[key])).await;
                match rows.as_deref() {
                    Ok([row]) if row.value == value => Ok(Outcome::Committed(row.version)),
                    // if the row is absent or older, the commit may still take effect later
                    _ => Err(table::Error::OutcomeUnknown),
                }
            }
            other => other,
        }
    }

    fn record_call(&self, available: bool) {
        let outcome = if available { "answered" } else { "failed" };
        self.metrics.table_calls.with_label_values(&[outcome]).inc();
        if self.available.swap(available, Ordering::Relaxed) != available {
            let kind = if available {
                Kind::StoreUp
            } else {
                Kind::StoreDown
            };
            log::warn!("availability of the table service changed; the last call {outcome}");
            self.timeline.record(kind, "store", "");
        }
    }
}

/// Builds a read of the rows with the given keys.
pub fn by_keys(keys: &[&str]) -> Read {
    Read {
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        prefixes: Vec::new(),
    }
}

/// Builds a read of all rows whose key has a prefix.
pub fn by_prefix(prefix: &str) -> Read {
    Read {
        keys: Vec::new(),
        prefixes: vec![prefix.to_owned()],
    }
}

pub fn find<'a>(rows: &'a [Row], key: &str) -> Option<&'a Row> {
    rows.iter().find(|row| row.key == key)
}

/// Returns the version of a row; 0 if it is absent.
pub fn version_of(row: Option<&Row>) -> u64 {
    row.map_or(0, |row| row.version)
}

/// Parses the value of a row; `None` if the row is absent or its value cannot be parsed.
pub fn parse<T: DeserializeOwned>(row: Option<&Row>) -> Option<T> {
    serde_json::from_str(&row?.value).ok()
}

pub fn to_json<T: Serialize>(value: &T) -> String {
    // rows are plain structs, which can always be serialized to JSON
    serde_json::to_string(value).unwrap_or_default()
}
