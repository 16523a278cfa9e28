//! A stand-in for a language-model engine.
//!
//! Its answers can be checked: the text of each token identifies the prompt and contains the
//! token's offset, see [`expected_text`].

mod state;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use endpoint::engine::{Generate, Order, Report};
use futures::channel::mpsc;
use hyper::{Request, Response, StatusCode, body::Incoming};
use protocol::order::Wanted;
use tokio::{sync::Notify, task::JoinHandle};

use state::State;
pub use state::{Counts, Fault};

use crate::{
    batch::Speed,
    server::{self, Body, Server},
};

/// The text that an engine generates for a prompt, from offset `from` up to but not including
/// `until`.
#[must_use]
pub fn expected_text(prompt: &str, from: u64, until: u64) -> String {
    (from..until).map(|at| token_text(prompt, at)).collect()
}

fn token_text(prompt: &str, offset: u64) -> String {
    let sum = prompt.bytes().fold(0_u16, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(byte.into())
    });
    format!("{sum:04x}.{offset} ")
}

/// Configuration of an engine.
#[derive(Clone, Debug, Default)]
pub struct Setup {
    /// Timing and capacities of the engine.
    pub speed: Speed,
    /// Whether it refuses orders with a stale fencing number.
    pub fences: bool,
    /// Role, model, adapter and version that it holds at start.
    pub holds: Wanted,
}

/// A running engine. Dropping it acts as a crash.
#[derive(Debug)]
pub struct Engine {
    server: Server,
    shared: Arc<Shared>,
    driver: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    work_available: Notify,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Engine {
    /// Starts an engine on an address; port 0 binds any free port.
    ///
    /// # Errors
    ///
    /// The system's error when the address can't be bound.
    pub async fn start(address: SocketAddr, setup: Setup) -> std::io::Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::new(State::new(setup)),
            work_available: Notify::new(),
        });
        let handler_shared = Arc::clone(&shared);
        let server = Server::start(address, move |request| {
            handle(Arc::clone(&handler_shared), request)
        })
        .await?;
        let driver_shared = Arc::clone(&shared);
        let driver = tokio::spawn(async move { run_batch(&driver_shared).await });
        Ok(Self {
            server,
            shared,
            driver,
        })
    }

    /// The address on which it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the injected fault.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.lock().fault = fault;
    }

    /// The counters.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.shared.lock().counts
    }

    /// Role, model, adapter and version that it holds now.
    #[must_use]
    pub fn holds(&self) -> Wanted {
        self.shared.lock().holds.clone()
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

async fn run_batch(shared: &Shared) {
    loop {
        let step = shared.lock().step();
        match step {
            Some(step) => {
                tokio::time::sleep(Duration::from_micros(step.duration_us)).await;
                shared.lock().deliver(&step.tokens);
            }
            None => shared.work_available.notified().await,
        }
    }
}

async fn handle(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> std::io::Result<Response<Body>> {
    match request.uri().path() {
        "/generate" => {
            let generate: Generate = server::read_json(request).await?;
            Ok(start_generation(&shared, generate))
        }
        "/cancel" => {
            let attempt: u64 = server::read_json(request).await?;
            shared.lock().cancel(attempt);
            server::json_response(&())
        }
        "/order" => apply_order(&shared, server::read_json(request).await?).await,
        "/report" => {
            let report: Report = shared.lock().report();
            server::json_response(&report)
        }
        "/cache" => {
            let after: u64 = server::read_json(request).await?;
            let events = shared.lock().events_after(after);
            server::json_response(&events)
        }
        _ => Ok(server::full_response(StatusCode::NOT_FOUND, Bytes::new())),
    }
}

fn start_generation(shared: &Shared, generate: Generate) -> Response<Body> {
    let (sender, receiver) = mpsc::unbounded();
    let accepted = shared.lock().start(generate, sender);
    shared.work_available.notify_one();
    if accepted {
        server::streaming_response(receiver)
    } else {
        server::full_response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new())
    }
}

async fn apply_order(shared: &Shared, order: Order) -> std::io::Result<Response<Body>> {
    let started = shared.lock().begin_order(&order);
    match started {
        state::OrderStart::Stale => Ok(server::full_response(StatusCode::CONFLICT, Bytes::new())),
        state::OrderStart::Reached => server::json_response(&()),
        state::OrderStart::Changing(duration) => {
            tokio::time::sleep(duration).await;
            shared.lock().finish_order(&order);
            shared.work_available.notify_one();
            server::json_response(&())
        }
    }
}
