//! A planned stop: not ready at once, served while the balancer still sends, then ended.

use std::{sync::Arc, time::Duration};

use clock::Instant;

use super::{Gateway, Phase};

/// The balancer takes a process out after two questions without a yes, one a second; connections that
/// were on their way take a moment more.
const BALANCER_LAG: Duration = Duration::from_millis(2_500);
/// The process gives up what is under way this long before it would be killed: there is time for last answers and for
/// the last lines of its log, each with as much again to spare on a busy VM.
const KILL_MARGIN: Duration = Duration::from_millis(500);
/// How long last answers may take to be written.
const FINAL_RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);

/// A planned stop that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// When the process gives up what is under way, and answers what has no answer yet.
    pub deadline: Instant,
    /// When the balancer sends nothing any more. What is accepted later and then cut is a fault.
    pub balancer_removed: Instant,
}

/// Begins a planned stop; a second call changes nothing.
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

/// Waits for a planned stop to begin and carries it out.
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
    // a request that is read from now on is refused, so that none is sent on by a process that is about to end
    gateway.phase.send_replace(Phase::Closing);
    let cut = match clock::timeout(FINAL_RESPONSE_TIMEOUT, wait_until_idle(&gateway)).await {
        Ok(()) => 0,
        Err(_) => *gateway.in_flight.borrow(),
    };
    log::info!(cut; "planned stop ends");
    gateway.phase.send_replace(Phase::Stopped);
}

/// Waits until no request is under way and no connection of a caller is in use.
async fn wait_until_idle(gateway: &Gateway) {
    let mut in_flight = gateway.in_flight.subscribe();
    let mut connections = gateway.connections.subscribe();
    // the senders live as long as the process
    let _ = in_flight.wait_for(|count| *count == 0).await;
    // a connection ends only after its last answer is written out
    let _ = connections.wait_for(|count| *count == 0).await;
}

impl Gateway {
    /// Waits until a planned stop leaves time for nothing but last answers.
    pub async fn shutdown_deadline_reached(&self) {
        let mut phase = self.phase.subscribe();
        // the sender lives as long as the process
        let _ = phase.wait_for(|phase| *phase != Phase::Serving).await;
        if let Some(shutdown) = self.shutdown() {
            clock::sleep_until(shutdown.deadline).await;
        }
    }
}
