//! A stand-in of the platform: the transactional table and the VM list.

mod store;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use cloud::{
    table::{Read, Transaction},
    vms::{State as Life, Vm},
};
use hyper::{Request, Response, StatusCode, body::Incoming};

use crate::server::{self, Body, Server};
use store::Store;

/// The ways in which the table can be told to fail.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Faults {
    /// It doesn't.
    #[default]
    None,
    /// It refuses reads and writes.
    Down,
    /// Writes take effect and their answers are lost.
    LostAnswers,
    /// Writes are lost before they take effect, and so are their answers.
    LostWrites,
    /// Everything takes this long, and takes effect at the end.
    Slow(Duration),
    /// It answers with what is not JSON.
    Garbage,
}

/// What the table has counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Reads asked for.
    pub reads: u64,
    /// Transactions asked for.
    pub writes: u64,
}

#[derive(Debug, Default)]
struct State {
    store: Store,
    vms: Vec<Vm>,
    faults: Faults,
    counts: Counts,
}

/// A running platform; dropping it takes its state along.
#[derive(Debug)]
pub struct Platform {
    server: Server,
    state: Arc<Mutex<State>>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Platform {
    /// Starts a platform on an address (port 0 takes any).
    ///
    /// # Errors
    ///
    /// The system's error when the address can't be bound.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let serving = Arc::clone(&state);
        let server = Server::start(address, move |request| {
            handle(Arc::clone(&serving), request)
        })
        .await?;
        Ok(Self { server, state })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes the ways in which the table fails.
    pub fn fail(&self, faults: Faults) {
        lock(&self.state).faults = faults;
    }

    /// What the table has counted.
    #[must_use]
    pub fn counts(&self) -> Counts {
        lock(&self.state).counts
    }

    /// Puts a VM on the list, or changes what the list says of it.
    pub fn list(&self, vm: Vm) {
        let mut state = lock(&self.state);
        state.vms.retain(|other| other.address != vm.address);
        state.vms.push(vm);
    }

    /// Takes a VM off the list.
    pub fn unlist(&self, address: SocketAddr) {
        lock(&self.state).vms.retain(|vm| vm.address != address);
    }

    /// Marks a VM as leaving.
    pub fn leave(&self, address: SocketAddr) {
        let mut state = lock(&self.state);
        for vm in state.vms.iter_mut().filter(|vm| vm.address == address) {
            vm.state = Life::Leaving;
        }
    }

    /// Commits a transaction as another client would, past the faults.
    #[must_use]
    pub fn commit(&self, transaction: &Transaction) -> cloud::table::Outcome {
        lock(&self.state).store.commit(transaction)
    }

    /// Reads as another client would, past the faults.
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
            server::answer(&vms)
        }
        "/table/read" => {
            let read: Read = server::json(request).await?;
            let faults = count(&state, |counts| &mut counts.reads);
            if let Some(answer) = failed(faults).await? {
                return Ok(answer);
            }
            let rows = lock(&state).store.read(&read);
            server::answer(&rows)
        }
        "/table/commit" => {
            let transaction: Transaction = server::json(request).await?;
            let faults = count(&state, |counts| &mut counts.writes);
            // a task of its own: a caller that gives up does not stop what has begun
            let commit = tokio::spawn(commit(state, transaction, faults));
            commit.await.map_err(std::io::Error::other)?
        }
        _ => Ok(server::whole(StatusCode::NOT_FOUND, Bytes::new())),
    }
}

async fn commit(
    state: Arc<Mutex<State>>,
    transaction: Transaction,
    faults: Faults,
) -> std::io::Result<Response<Body>> {
    if faults == Faults::LostWrites {
        return Err(std::io::ErrorKind::ConnectionReset.into());
    }
    if let Some(answer) = failed(faults).await? {
        return Ok(answer);
    }
    let outcome = lock(&state).store.commit(&transaction);
    match faults {
        Faults::LostAnswers => Err(std::io::ErrorKind::ConnectionReset.into()),
        _ => server::answer(&outcome),
    }
}

fn count(state: &Mutex<State>, which: impl Fn(&mut Counts) -> &mut u64) -> Faults {
    let mut state = lock(state);
    *which(&mut state.counts) += 1;
    state.faults
}

async fn failed(faults: Faults) -> std::io::Result<Option<Response<Body>>> {
    match faults {
        Faults::Down => Ok(Some(server::whole(
            StatusCode::SERVICE_UNAVAILABLE,
            Bytes::new(),
        ))),
        Faults::Garbage => Ok(Some(server::whole(
            StatusCode::OK,
            Bytes::from_static(b"\xff{"),
        ))),
        Faults::Slow(time) => {
            tokio::time::sleep(time).await;
            Ok(None)
        }
        Faults::None | Faults::LostAnswers | Faults::LostWrites => Ok(None),
    }
}
