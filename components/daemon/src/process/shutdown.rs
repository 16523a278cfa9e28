//! A graceful shutdown: the daemon first becomes not ready while it still serves for the load balancer's
//! lag, then it drains, then it stops.

use std::{sync::Arc, time::Duration};

use telemetry::timeline::Kind;

use super::{Phase, Process, registration, steward};

/// Begins a graceful shutdown. Does nothing if one has begun already.
pub fn begin(process: &Process) {
    process.phase.send_if_modified(|phase| {
        let begins = *phase == Phase::Serving;
        if begins {
            *phase = Phase::NotReady;
        }
        begins
    });
}

/// Waits for a graceful shutdown to begin and performs it.
pub async fn run(process: Arc<Process>) {
    let mut phase = process.phase.subscribe();
    // the sender lives as long as the process
    let _ = phase.wait_for(|phase| *phase != Phase::Serving).await;
    process
        .timeline
        .record(Kind::Stopping, "process", "planned stop");
    log::info!("planned stop begins");
    steward::release_all(&process).await;
    tokio::time::sleep(process.settings.control.stop_lag.into()).await;
    process.phase.send_replace(Phase::Draining);
    let grace: Duration = process.settings.control.stop_grace.into();
    let mut in_flight = process.in_flight.subscribe();
    let mut connections = process.connections.subscribe();
    let drained = async {
        // a connection closes only after its last response has been written
        let _ = in_flight.wait_for(|count| *count == 0).await;
        let _ = connections.wait_for(|count| *count == 0).await;
    };
    if tokio::time::timeout(grace, drained).await.is_err() {
        let aborted = *process.in_flight.borrow();
        process
            .metrics
            .aborted_streams
            .inc_by(u64::try_from(aborted).unwrap_or(0));
        log::warn!("grace period of the planned stop is over; aborting {aborted} requests");
    }
    registration::deregister(&process).await;
    process.phase.send_replace(Phase::Stopped);
    log::info!("planned stop ends");
}
