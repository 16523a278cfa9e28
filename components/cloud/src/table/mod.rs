//! The transactional table service.

mod adapter;

use derive_more::{Display, Error};
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};

pub use adapter::HttpTable;

/// One row. The service increases its version with each write; an absent row has version 0.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Row key.
    pub key: String,
    /// Row version.
    pub version: u64,
    /// Row value, as text.
    pub value: String,
}

/// Rows to read: single rows and all rows with given key prefixes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Read {
    /// Keys of single rows.
    pub keys: Vec<String>,
    /// Key prefixes.
    pub prefixes: Vec<String>,
}

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// Row key.
    pub key: String,
    /// The version that the row must have; 0 if it must be absent.
    pub version: u64,
}

/// A write in a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Row key.
    pub key: String,
    /// The new value; `None` deletes the row.
    pub value: Option<String>,
}

/// A transaction: all writes are applied if all checks hold, otherwise none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions that must hold.
    pub checks: Vec<Check>,
    /// Writes to apply.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds a check of a row's version.
    #[must_use]
    pub fn check(mut self, key: &str, version: u64) -> Self {
        self.checks.push(Check {
            key: key.to_owned(),
            version,
        });
        self
    }

    /// Adds a write of a row.
    #[must_use]
    pub fn write(mut self, key: &str, value: String) -> Self {
        self.writes.push(Write {
            key: key.to_owned(),
            value: Some(value),
        });
        self
    }

    /// Adds the deletion of a row.
    #[must_use]
    pub fn remove(mut self, key: &str) -> Self {
        self.writes.push(Write {
            key: key.to_owned(),
            value: None,
        });
        self
    }
}

/// Result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// All writes were applied; each written row has this version.
    Committed(u64),
    /// The checks of these rows failed; nothing was applied.
    Conflict(Vec<Row>),
}

/// Why a call to the table service failed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// The service could not be reached or refused the call; the transaction was not applied.
    #[display("the table service refused or was not reached; nothing took effect")]
    NotApplied,
    /// No valid answer arrived; the transaction may have been applied, or may be applied later.
    #[display("the table service did not answer; the write may have taken effect")]
    OutcomeUnknown,
}

/// The operations that daemons and gateways need of a table service.
pub trait Table: Send + Sync {
    /// Reads rows, sorted by key; absent rows are omitted.
    fn read(&self, read: Read) -> BoxFuture<'_, Result<Vec<Row>, Error>>;

    /// Commits a transaction.
    fn commit(&self, transaction: Transaction) -> BoxFuture<'_, Result<Outcome, Error>>;
}
