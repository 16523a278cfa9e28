//! A stand-in of a plain service that remembers what it ran.

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
pub enum Faults {
    /// It doesn't.
    #[default]
    None,
    /// It refuses without running.
    Refuse,
    /// It cuts the connection without running.
    CutBefore,
    /// It runs and cuts the connection.
    CutAfter,
    /// It runs after a delay.
    Slow(Duration),
}

#[derive(Debug, Default)]
struct State {
    faults: Faults,
    /// Path and body of each request that ran, in order.
    ran: Vec<(String, Bytes)>,
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

    /// Changes the ways in which it fails.
    pub fn fail(&self, faults: Faults) {
        lock(&self.state).faults = faults;
    }

    /// How often a request with this body ran.
    #[must_use]
    pub fn runs(&self, body: &str) -> usize {
        let state = lock(&self.state);
        state.ran.iter().filter(|(_, ran)| ran == body).count()
    }

    /// How many requests ran.
    #[must_use]
    pub fn total(&self) -> usize {
        lock(&self.state).ran.len()
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
    let faults = lock(&state).faults;
    match faults {
        Faults::Refuse => return Ok(server::whole(StatusCode::SERVICE_UNAVAILABLE, Bytes::new())),
        Faults::CutBefore => return Err(std::io::ErrorKind::ConnectionReset.into()),
        Faults::Slow(time) => tokio::time::sleep(time).await,
        Faults::None | Faults::CutAfter => {}
    }
    let answer = format!("{method} {path}: {} bytes taken\n", body.len());
    lock(&state).ran.push((path, body));
    match faults {
        Faults::CutAfter => Err(std::io::ErrorKind::ConnectionReset.into()),
        _ => Ok(server::whole(StatusCode::OK, answer.into())),
    }
}
