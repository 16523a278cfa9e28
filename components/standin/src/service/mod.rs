//! A stand-in for a plain service that records the requests it executes.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Request, Response, StatusCode, body::Incoming};

use crate::server::{self, Body, Server};

/// Faults of a service that can be injected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Refuses requests without executing them.
    Refuse,
    /// Resets the connection without executing the request.
    ResetBefore,
    /// Executes the request and resets the connection.
    ResetAfter,
    /// Executes the request after a delay.
    Slow(Duration),
}

#[derive(Debug, Default)]
struct State {
    fault: Fault,
    /// Path and body of each executed request, in order.
    executed: Vec<(String, Bytes)>,
}

/// A running service. Dropping it acts as a crash.
#[derive(Debug)]
pub struct Service {
    server: Server,
    state: Arc<Mutex<State>>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Service {
    /// Starts a service on an address; port 0 binds any free port.
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

    /// Sets the injected fault.
    pub fn set_fault(&self, fault: Fault) {
        lock(&self.state).fault = fault;
    }

    /// Number of times that a request with this body was executed.
    #[must_use]
    pub fn execution_count(&self, body: &str) -> usize {
        let state = lock(&self.state);
        state
            .executed
            .iter()
            .filter(|(_, executed)| executed == body)
            .count()
    }

    /// Number of requests executed.
    #[must_use]
    pub fn total_executions(&self) -> usize {
        lock(&self.state).executed.len()
    }
}

async fn handle(
    state: Arc<Mutex<State>>,
    request: Request<Incoming>,
) -> std::io::Result<Response<Body>> {
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    let body = request
        .into_body()
        .collect()
        .await
        .map_err(std::io::Error::other)?
        .to_bytes();
    let fault = lock(&state).fault;
    match fault {
        Fault::Refuse => {
            return Ok(server::full_response(
                StatusCode::SERVICE_UNAVAILABLE,
                Bytes::new(),
            ));
        }
        Fault::ResetBefore => return Err(std::io::ErrorKind::ConnectionReset.into()),
        Fault::Slow(delay) => tokio::time::sleep(delay).await,
        Fault::None | Fault::ResetAfter => {}
    }
    let text = format!("{method} {path}: {} bytes taken\n", body.len());
    lock(&state).executed.push((path, body));
    match fault {
        Fault::ResetAfter => Err(std::io::ErrorKind::ConnectionReset.into()),
        _ => Ok(server::full_response(StatusCode::OK, text.into())),
    }
}
