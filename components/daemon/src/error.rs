//! Why a daemon does not start.

use derive_more::{Display, Error};

/// Why a daemon does not start.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// An address of the settings can't be bound.
    #[display("cannot listen on {address}: {source}")]
    Bind {
        /// The address.
        address: std::net::SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// Two metrics share a name.
    #[display("metrics: {_0}")]
    Metrics(prometheus::Error),
}
