//! The transactional table service.

mod adapter;

use derive_more::{Display, Error};
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};

pub use adapter::Http;

/// One row with its version, which the service raises with each write. An absent row has version 0.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Its version.
    pub version: u64,
    /// Its value, as text.
    pub value: String,
}

/// What to read: single rows and all rows under prefixes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Read {
    /// Keys of single rows.
    pub keys: Vec<String>,
    /// Prefixes of keys.
    pub prefixes: Vec<String>,
}

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// Key of the row.
    pub key: String,
    /// The version that it must have; 0 when it must be absent.
    pub version: u64,
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// The new value; none takes the row away.
    pub value: Option<String>,
}

/// A transaction: all writes happen if all checks hold, otherwise none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// What must hold.
    pub checks: Vec<Check>,
    /// What is written.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds a condition.
    #[must_use]
    pub fn check(mut self, key: &str, version: u64) -> Self {
        self.checks.push(Check {
            key: key.to_owned(),
            version,
        });
        self
    }

    /// Adds a write.
    #[must_use]
    pub fn write(mut self, key: &str, value: String) -> Self {
        self.writes.push(Write {
            key: key.to_owned(),
            value: Some(value),
        });
        self
    }

    /// Adds a removal.
    #[must_use]
    pub fn remove(mut self, key: &str) -> Self {
        self.writes.push(Write {
            key: key.to_owned(),
            value: None,
        });
        self
    }
}

/// The service's answer to a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// All writes took effect, with this version for each written row.
    Committed(u64),
    /// These checks failed; nothing took effect.
    Conflict(Vec<Row>),
}

/// Why there is no answer.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// The service was not reached or refused: the transaction has no effect.
    #[display("the table service refused or was not reached; nothing took effect")]
    NotApplied,
    /// The answer did not come: the transaction may have taken effect, or may yet.
    #[display("the table service did not answer; the write may have taken effect")]
    OutcomeUnknown,
}

/// The table service as the daemon needs it.
pub trait Table: Send + Sync {
    /// Reads rows, sorted by key; absent rows are left out.
    fn read(&self, read: Read) -> BoxFuture<'_, Result<Vec<Row>, Error>>;

    /// Commits a transaction.
    fn commit(&self, transaction: Transaction) -> BoxFuture<'_, Result<Outcome, Error>>;
}
