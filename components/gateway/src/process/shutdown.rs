//! Graceful shutdown: report not ready at once, serve while the load balancer still sends connections, then
//! exit.

use std::{sync::Arc, time::Duration};

use clock::Instant;

use super::{Gateway, Phase};

/// The load balancer removes a process after two failed readiness probes, one per second. Connections already
/// on their way take a moment longer.
const BALANCER_LAG: Duration = Duration::from_millis(2_500);
/// The process interrupts requests in flight this long before it would be killed. This leaves time for final
/// responses and for flushing the log, each doubled to allow for a busy VM.
const KILL_MARGIN: Duration = Duration::from_millis(500);
/// How long the final responses may take to be written.
const FINAL_RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);

/// The deadlines of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// When the process interrupts the requests in flight, and answers those without a response yet.
    pub deadline: Instant,
    /// When the load balancer no longer sends connections. A request accepted later and then interrupted
    /// counts as a fault.
    pub balancer_removed: Instant,
}

/// Begins a graceful shutdown; further calls have no effect.
pub fn begin(gateway: &Gateway) {
    let now = Instant::now();
    let grace = gateway.bounds.read().grace_s.saturating_sub(KILL_MARGIN);
    gateway.shutdown.write().get_or_insert(Shutdown {
        deadline: now + grace,
        balancer_removed: now + BALANCER_LAG,
    });
    gateway.phase.send_if_modified(|phase| {
        let begins = *phase == Phase::Serving;
        if begins {
            *phase = Phase::Draining;
        }
        begins
    });
}

/// Waits for a graceful shutdown to begin and carries it out.
pub async fn run(gateway: Arc<Gateway>) {
    let mut phase = gateway.phase.subscribe();
    // the sender lives as long as the process
    let _ = phase.wait_for(|phase| *phase != Phase::Serving).await;
    let shutdown = gateway.shutdown().unwrap_or_else(|| Shutdown {
        deadline: Instant::now(),
        balancer_removed: Instant::now(),
    });
    let in_flight = *gateway.in_flight.borrow();
    log::info!(under_way = in_flight; "planned stop begins");
    clock::sleep_until(shutdown.balancer_removed).await;
    let _ = clock::timeout_at(shutdown.deadline, wait_until_idle(&gateway)).await;
    // requests read from now on are refused, so that a process about to exit forwards none
    gateway.phase.send_replace(Phase::Closing);
    let interrupted = match clock::timeout(FINAL_RESPONSE_TIMEOUT, wait_until_idle(&gateway)).await
    {
        Ok(()) => 0,
        Err(_) => *gateway.in_flight.borrow(),
    };
    log::info!(cut = interrupted; "planned stop ends");
    gateway.phase.send_replace(Phase::Stopped);
}

/// Waits until no request is in flight and no caller connection that has carried a request is open.
async fn wait_until_idle(gateway: &Gateway) {
    let mut in_flight = gateway.in_flight.subscribe();
    let mut connections = gateway.connections.subscribe();
    // the senders live as long as the process
    let _ = in_flight.wait_for(|count| *count == 0).await;
    // a connection ends only after its last response is written
    let _ = connections.wait_for(|count| *count == 0).await;
}

impl Gateway {
    /// Waits until only the time for final responses is left in a graceful shutdown.
    pub async fn shutdown_deadline_reached(&self) {
        let mut phase = self.phase.subscribe();
        // the sender lives as long as the process
        let _ = phase.wait_for(|phase| *phase != Phase::Serving).await;
        if let Some(shutdown) = self.shutdown() {
            clock::sleep_until(shutdown.deadline).await;
        }
    }
}
