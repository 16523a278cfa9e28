//! The cloud's VM list, which lags behind the actual state.

use std::{net::SocketAddr, time::Duration};

use derive_more::{Display, Error};
use futures::{FutureExt, future::BoxFuture};
use serde::{Deserialize, Serialize};

use call::Client;

/// State of a VM as the cloud reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM will be removed.
    Leaving,
}

/// The kind of process that runs on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmKind {
    /// A daemon.
    Entry,
    /// An engine or a plain service.
    Endpoint,
}

/// A VM in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Address of its process: the peer address of a daemon, or the address of an endpoint.
    pub address: SocketAddr,
    /// Data centre of the VM.
    pub data_centre: String,
    /// The kind of process that it runs.
    pub kind: VmKind,
    /// Its state as the cloud reports it.
    pub state: VmState,
}

/// The list could not be read.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the VM list was not read")]
pub struct ReadError;

/// The operations that the daemon needs of a VM list.
pub trait VmList: Send + Sync {
    /// Reads the complete list.
    fn read(&self) -> BoxFuture<'_, Result<Vec<Vm>, ReadError>>;
}

/// A VM list reached over HTTP.
#[derive(Clone, Debug)]
pub struct HttpVmList {
    client: Client,
    address: SocketAddr,
    idle_timeout: Duration,
}

impl HttpVmList {
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

impl VmList for HttpVmList {
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
