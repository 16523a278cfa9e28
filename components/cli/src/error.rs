//! Errors of the client, with messages for operators.

use derive_more::{Display, Error};

/// Why a command failed.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The async runtime could not be started.
    #[display("cannot start the async runtime: {_0}")]
    Runtime(std::io::Error),
    /// No operator token was given.
    #[display("no operator token given: set WRENRAMP_TOKEN or use --token-file")]
    NoToken,
    /// A file could not be read.
    #[display("cannot read {path}: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// A tree file is not valid TOML.
    #[display("{path}: {source}")]
    Parse {
        /// Path of the file.
        path: String,
        /// The parser's error, with the line.
        source: Box<toml::de::Error>,
    },
    /// A value of a tree file has a TOML type that no key accepts, such as a float, an array or a date.
    #[display("{path}: {key} must be a string, an integer or a boolean")]
    UnsupportedValue {
        /// Path of the file.
        path: String,
        /// The key.
        key: String,
    },
    /// The daemon is unreachable.
    #[display("cannot connect to a daemon at {address}: {source}")]
    Unreachable {
        /// Address of the daemon.
        address: std::net::SocketAddr,
        /// Error of the transport.
        source: tonic::transport::Error,
    },
    /// The daemon refused the request, or the call to it failed.
    #[display("the daemon refused: {}", _0.message())]
    Refused(Box<tonic::Status>),
    /// The node or value does not exist.
    #[display("{_0} is not set")]
    NotFound(#[error(not(source))] String),
    /// An endpoint is not written as `DATA-CENTRE/NUMBER`.
    #[display("{_0} is not an endpoint; write it as DATA-CENTRE/NUMBER")]
    InvalidEndpoint(#[error(not(source))] String),
}

impl From<tonic::Status> for Error {
    fn from(status: tonic::Status) -> Self {
        Self::Refused(Box::new(status))
    }
}
