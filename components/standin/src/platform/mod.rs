//! A stand-in of the platform: the transactional table service and the VM list.

mod store;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use cloud::{
    table::{Read, Transaction},
    vms::{Vm, VmState},
};
use hyper::{Request, Response, StatusCode, body::Incoming};

use crate::server::{self, Body, Server};
use store::Store;

/// Faults of the table service that can be injected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Reads and writes are refused.
    Unavailable,
    /// Writes take effect and their responses are lost.
    LostResponses,
    /// Writes are lost before they take effect, without a response.
    LostWrites,
    /// Each call takes this long and takes effect at the end.
    Slow(Duration),
    /// Responses are not valid JSON.
    MalformedResponse,
}

/// Counters of the table service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Read calls received.
    pub reads: u64,
    /// Transactions received.
    pub writes: u64,
}

#[derive(Debug, Default)]
struct State {
    store: Store,
    vms: Vec<Vm>,
    fault: Fault,
    counts: Counts,
}

/// A running platform. Dropping it discards its state.
#[derive(Debug)]
pub struct Platform {
    server: Server,
    state: Arc<Mutex<State>>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Platform {
    /// Starts a platform on an address; port 0 binds any free port.
    ///
    /// # Errors
    ///
    /// The system's error when the address can't be bound.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let handler_state = Arc::clone(&state);
        let server = Server::start(address, move |request| {
            handle(Arc::clone(&handler_state), request)
        })
        .await?;
        Ok(Self { server, state })
    }

    /// The address on which it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the fault of the table service.
    pub fn set_fault(&self, fault: Fault) {
        lock(&self.state).fault = fault;
    }

    /// The counters of the table service.
    #[must_use]
    pub fn counts(&self) -> Counts {
        lock(&self.state).counts
    }

    /// Adds a VM to the list, or replaces its entry.
    pub fn add_vm(&self, vm: Vm) {
        let mut state = lock(&self.state);
        state.vms.retain(|other| other.address != vm.address);
        state.vms.push(vm);
    }

    /// Removes a VM from the list.
    pub fn remove_vm(&self, address: SocketAddr) {
        lock(&self.state).vms.retain(|vm| vm.address != address);
    }

    /// Marks a VM as leaving.
    pub fn mark_leaving(&self, address: SocketAddr) {
        let mut state = lock(&self.state);
        for vm in state.vms.iter_mut().filter(|vm| vm.address == address) {
            vm.state = VmState::Leaving;
        }
    }

    /// Commits a transaction directly, without the injected fault.
    #[must_use]
    pub fn commit(&self, transaction: &Transaction) -> cloud::table::Outcome {
        lock(&self.state).store.commit(transaction)
    }

    /// Reads rows directly, without the injected fault.
    #[must_use]
    pub fn read(&self, read: &Read) -> Vec<cloud::table::Row> {
        lock(&self.state).store.read(read)
    }
}

async fn handle(
    state: Arc<Mutex<State>>,
    request: Request<Incoming>,
) -> std::io::Result<Response<Body>> {
    let path = request.uri().path().to_owned();
    match path.as_str() {
        "/vms" => {
            let vms = lock(&state).vms.clone();
            server::json_response(&vms)
        }
        "/table/read" => {
            let read: Read = server::read_json(request).await?;
            let fault = record_call(&state, |counts| &mut counts.reads);
            if let Some(response) = fault_response(fault).await? {
                return Ok(response);
            }
            let rows = lock(&state).store.read(&read);
            server::json_response(&rows)
        }
        "/table/commit" => {
            let transaction: Transaction = server::read_json(request).await?;
            let fault = record_call(&state, |counts| &mut counts.writes);
            // in a separate task: a client that times out does not cancel a commit in progress
            let commit = tokio::spawn(commit(state, transaction, fault));
            commit.await.map_err(std::io::Error::other)?
        }
        _ => Ok(server::full_response(StatusCode::NOT_FOUND, Bytes::new())),
    }
}

async fn commit(
    state: Arc<Mutex<State>>,
    transaction: Transaction,
    fault: Fault,
) -> std::io::Result<Response<Body>> {
    if fault == Fault::LostWrites {
        return Err(std::io::ErrorKind::ConnectionReset.into());
    }
    if let Some(response) = fault_response(fault).await? {
        return Ok(response);
    }
    let outcome = lock(&state).store.commit(&transaction);
    match fault {
        Fault::LostResponses => Err(std::io::ErrorKind::ConnectionReset.into()),
        _ => server::json_response(&outcome),
    }
}

fn record_call(state: &Mutex<State>, counter: impl Fn(&mut Counts) -> &mut u64) -> Fault {
    let mut state = lock(state);
    *counter(&mut state.counts) += 1;
    state.fault
}

async fn fault_response(fault: Fault) -> std::io::Result<Option<Response<Body>>> {
    match fault {
        Fault::Unavailable => Ok(Some(server::full_response(
            StatusCode::SERVICE_UNAVAILABLE,
            Bytes::new(),
        ))),
        Fault::MalformedResponse => Ok(Some(server::full_response(
            StatusCode::OK,
            Bytes::from_static(b"\xff{"),
        ))),
        Fault::Slow(delay) => {
            tokio::time::sleep(delay).await;
            Ok(None)
        }
        Fault::None | Fault::LostResponses | Fault::LostWrites => Ok(None),
    }
}
