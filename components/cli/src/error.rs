//! What can go wrong, told in the operator's terms.

use derive_more::{Display, Error};

/// Why a command failed.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The runtime did not start.
    #[display("cannot start: {_0}")]
    Runtime(std::io::Error),
    /// No token was given.
    #[display("an operator's token is needed: set WRENRAMP_TOKEN or give --token-file")]
    NoToken,
    /// A file can't be read.
    #[display("cannot read {path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// A file is no valid tree.
    #[display("{path}: {source}")]
    Parse {
        /// The file.
        path: String,
        /// What is wrong, with its line.
        source: Box<toml::de::Error>,
    },
    /// A value of a tree file is a list or a date, which no key takes.
    #[display("{path}: {key} must be a text, a number or true or false")]
    UnsupportedValue {
        /// The file.
        path: String,
        /// The key.
        key: String,
    },
    /// The daemon can't be reached.
    #[display("no daemon answers at {address}: {source}")]
    Unreachable {
        /// Where it was looked for.
        address: std::net::SocketAddr,
        /// What the transport said.
        source: tonic::transport::Error,
    },
    /// The daemon refused.
    #[display("the daemon refused: {}", _0.message())]
    Refused(Box<tonic::Status>),
    /// There is no such node or value.
    #[display("{_0} is not set")]
    NotSet(#[error(not(source))] String),
    /// An endpoint is not written as `DATA-CENTRE/NUMBER`.
    #[display("{_0} is not an endpoint; write it as DATA-CENTRE/NUMBER")]
    InvalidEndpoint(#[error(not(source))] String),
}

impl From<tonic::Status> for Error {
    fn from(status: tonic::Status) -> Self {
        Self::Refused(Box::new(status))
    }
}
