//! Why a gateway can't start.

use std::{io, net::SocketAddr};

use derive_more::{Display, Error};

/// Why a gateway can't start.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// An address can't be bound.
    #[display("cannot listen on {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// Two metrics share a name.
    #[display("cannot register metrics: {_0}")]
    Metrics(prometheus::Error),
}
