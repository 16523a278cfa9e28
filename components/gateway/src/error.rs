//! Errors that prevent a gateway from starting.

use std::{io, net::SocketAddr};

use derive_more::{Display, Error};

/// Why a gateway can't start.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// An address can't be bound.
    #[display("cannot listen on {address}: {source}")]
    Bind {
        /// The address that can't be bound.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Two metrics have the same name.
    #[display("cannot register metrics: {_0}")]
    Metrics(prometheus::Error),
}
