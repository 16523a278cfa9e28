//! Start-up errors of the daemon.

use derive_more::{Display, Error};

/// A start-up error.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// A configured address could not be bound.
    #[display("cannot listen on {address}: {source}")]
    Bind {
        /// Configured address.
        address: std::net::SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A metric could not be registered, as when two have the same name.
    #[display("metrics: {_0}")]
    Metrics(prometheus::Error),
}
