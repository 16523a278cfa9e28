//! The platform's VM list, which lags behind what happens.

use std::{net::SocketAddr, time::Duration};

use derive_more::{Display, Error};
use futures::{FutureExt, future::BoxFuture};
use serde::{Deserialize, Serialize};

use call::Client;

/// What the platform says of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It runs.
    Live,
    /// It will be taken away.
    Leaving,
}

/// What runs on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A daemon of the system.
    Entry,
    /// An engine or a plain service.
    Endpoint,
}

/// One VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Where its process listens: peers' address of a daemon, address of an endpoint.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// What runs there.
    pub kind: Kind,
    /// Whether it stays.
    pub state: State,
}

/// The list could not be read.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the VM list was not read")]
pub struct ReadError;

/// The VM list as the daemon needs it.
pub trait List: Send + Sync {
    /// Reads the whole list.
    fn read(&self) -> BoxFuture<'_, Result<Vec<Vm>, ReadError>>;
}

/// A VM list reached over HTTP.
#[derive(Clone, Debug)]
pub struct Http {
    client: Client,
    address: SocketAddr,
    idle_timeout: Duration,
}

impl Http {
    /// An adapter to a list; a call ends when nothing comes for `idle_timeout`.
    #[must_use]
    pub fn new(address: SocketAddr, idle_timeout: Duration) -> Self {
        Self {
            client: Client::default(),
            address,
            idle_timeout,
        }
    }
}

impl List for Http {
    fn read(&self) -> BoxFuture<'_, Result<Vec<Vm>, ReadError>> {
        async move {
            let call = self
                .client
                .post(self.address, "/vms", &(), self.idle_timeout);
            call.await.map_err(|_| ReadError)
        }
        .boxed()
    }
}
