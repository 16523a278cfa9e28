//! Nothing is sent for callers that have disconnected. See `docs/DESIGN.md#callers-that-half-close`.

use caller::Presence;
use clock::Instant;

use super::job::Job;

/// Whether a request may be sent to `receiver`, an endpoint or a peer, as its caller still waits for the response. A caller
/// whose side has ended is asked first. If it can't be, the request is sent once.
pub async fn may_send(job: &Job, receiver: &str) -> bool {
    let exchange = job.exchange_guard.exchange();
    let begun = Instant::now();
    let presence = exchange.presence().await;
    let sends = job.sends.count();
    let may_send = match presence {
        Presence::Open => return true,
        Presence::HalfClosed => true,
        Presence::Unconfirmed => sends == 0,
        Presence::Gone => false,
    };
    let counter = &job.gateway.metrics.disconnects.sends;
    let (caller, outcome) = (
        presence.to_string(),
        if may_send { "sent" } else { "withheld" },
    );
    counter.with_label_values(&[&*caller, outcome]).inc();
    log::info!(
        request = job.metadata.id, receiver, caller, outcome, sends,
        stage:? = exchange.stage().map(|stage| stage.to_string()),
        since_end_us = exchange.ended_at().map(|at| policy::micros(at.elapsed())),
        asked_us = policy::micros(begun.elapsed()), took_us = policy::micros(job.arrived.elapsed());
        "a request was about to be sent though its caller's side has ended"
    );
    may_send
}
