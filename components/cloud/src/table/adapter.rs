//! HTTP adapter with JSON bodies.

use std::{net::SocketAddr, time::Duration};

use futures::{FutureExt, future::BoxFuture};

use super::{Error, Outcome, Read, Row, Table, Transaction};
use call::Client;

/// A table service reached over HTTP.
#[derive(Clone, Debug)]
pub struct HttpTable {
    client: Client,
    address: SocketAddr,
    idle_timeout: Duration,
}

impl HttpTable {
    /// Creates an adapter. A call times out when no data arrives for `idle_timeout`.
    #[must_use]
    pub fn new(address: SocketAddr, idle_timeout: Duration) -> Self {
        Self {
            client: Client::default(),
            address,
            idle_timeout,
        }
    }
}

impl From<call::Error> for Error {
    fn from(error: call::Error) -> Self {
        match error {
            call::Error::NotSent | call::Error::Status(_) => Self::NotApplied,
            call::Error::Lost | call::Error::Malformed => Self::OutcomeUnknown,
        }
    }
}

impl Table for HttpTable {
    fn read(&self, read: Read) -> BoxFuture<'_, Result<Vec<Row>, Error>> {
        async move {
            let call = self
                .client
                .post(self.address, "/table/read", &read, self.idle_timeout);
            Ok(call.await?)
        }
        .boxed()
    }

    fn commit(&self, transaction: Transaction) -> BoxFuture<'_, Result<Outcome, Error>> {
        async move {
            let call = self.client.post(
                self.address,
                "/table/commit",
                &transaction,
                self.idle_timeout,
            );
            Ok(call.await?)
        }
        .boxed()
    }
}
