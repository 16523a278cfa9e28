//! A stand-in of a plain service that remembers what it executed.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Request, Response, StatusCode, body::Incoming};

use crate::server::{self, Body, Server};

/// The ways in which a service can be told to fail.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// It doesn't.
    #[default]
    None,
    /// It refuses without running.
    Refuse,
    /// It cuts the connection without running.
    ResetBefore,
    /// It runs and cuts the connection.
    ResetAfter,
    /// It runs after a delay.
    Slow(Duration),
}

#[derive(Debug, Default)]
struct State {
    fault: Fault,
    /// Path and body of each request that executed, in order.
    executed: Vec<(String, Bytes)>,
}

/// A running service; dropping it is a crash.
#[derive(Debug)]
pub struct Service {
    server: Server,
    state: Arc<Mutex<State>>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Service {
    /// Starts a service on an address (port 0 takes any).
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

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes the ways in which it fails.
    pub fn set_fault(&self, fault: Fault) {
        lock(&self.state).fault = fault;
    }

    /// How often a request with this body executed.
    #[must_use]
    pub fn runs(&self, body: &str) -> usize {
        let state = lock(&self.state);
        state
            .executed
            .iter()
            .filter(|(_, executed)| executed == body)
            .count()
    }

    /// How many requests executed.
    #[must_use]
    pub fn total_runs(&self) -> usize {
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
