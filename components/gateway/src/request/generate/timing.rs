//! Estimates when an answer will begin and end: whether a request is served in time, deferred or
//! refused.

use std::time::Duration;

use clock::Instant;
use policy::place::{self, Choice, Placement, Weights};

use super::{
    Broken,
    snapshot::{Snapshot, placement_request},
};
use crate::{
    forwarding,
    request::{
        attempts::Attempts,
        job::Job,
        refusal::{DEFAULT_RETRY_AFTER, Reason},
        timeout::{EarlyTimeout, PresumedLost, Timeout},
    },
};

/// Fraction of the remaining time within which the prompt of a late answer must be prefilled. The
/// rest is for decode and for errors of the estimate.
const DEFERRED_PREFILL_RATIO: f64 = 0.5;
/// Fraction of the time until its caller gives up within which a deferred prompt must be prefilled.
/// The rest is for a decode engine to fetch the KV cache.
const FIRST_EVENT_RATIO: f64 = 0.9;
/// A refused caller is not asked to retry later than after this fraction (1/n) of its remaining
/// time.
const RETRY_AFTER_DIVISOR: u32 = 2;
/// How many times the expected time an engine may make no progress before it is presumed lost. An
/// engine shows no progress while it prefills a single prompt, and estimates are wrong by less than
/// this factor.
const SILENCE_FACTOR: u32 = 3;
/// An attempt is not abandoned before this fraction (1/n) of the remaining time has passed. A
/// retried request is prefilled twice and counts against the retry budget, and until then there is
/// ample time left for another engine.
const MIN_WAIT_DIVISOR: u32 = 4;

/// With which priority the prompt of a request is prefilled.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Timing {
    /// Normal priority: the answer is expected to begin in time, its prompt is short enough to
    /// delay hardly any other, or the request is a retry.
    Normal,
    /// The answer won't begin in time, but there is enough time for a late one; its prompt is
    /// prefilled on this engine when no other prompt waits there.
    Deferred(place::Deferred),
}

/// Decides whether a request is served in time, deferred or refused; a refusal is sent immediately.
pub fn decide(job: &Job, snapshot: &Snapshot, choice: &Choice) -> Result<Timing, Reason> {
    let time_to_objective_us =
        policy::micros(job.objective.saturating_duration_since(Instant::now()));
    let margin = job.gateway.margin_us(&job.service.name);
    let expected_us = policy::to_u64(choice.first_event_us + margin);
    if expected_us <= time_to_objective_us {
        snapshot.log_placement(job, choice, "placed");
        return Ok(Timing::Normal);
    }
    if snapshot.has_negligible_prefill(job, choice) {
        snapshot.log_placement(job, choice, "placed late");
        return Ok(Timing::Normal);
    }
    let request = placement_request(job);
    if let Some(deferred) = place::choose_deferred(
        &snapshot.engines,
        &request,
        &Weights::default(),
        max_deferred_prefill_us(job),
    ) {
        snapshot.log_placement(job, choice, "placed late");
        return Ok(Timing::Deferred(deferred));
    }
    let excess = Duration::from_micros(expected_us - time_to_objective_us);
    Err(Reason::Overloaded(
        excess
            .max(DEFAULT_RETRY_AFTER)
            .min(job.time_left() / RETRY_AFTER_DIVISOR),
    ))
}

/// Whether an answer would begin in time if this process reached all endpoints of the service, as its
/// peers may.
pub fn peers_have_room(job: &Job) -> bool {
    let snapshot = Snapshot::of_listed(job);
    snapshot.choose(job).is_some_and(|choice| {
        let left = job.objective.saturating_duration_since(Instant::now());
        let margin = job.gateway.margin_us(&job.service.name);
        policy::to_u64(choice.first_event_us + margin) <= policy::micros(left)
    })
}

/// Returns the longest expected prefill time of a deferred prompt, in microseconds: the caller must
/// not have given up by then, and there must be time left to decode.
fn max_deferred_prefill_us(job: &Job) -> f64 {
    let max_begin_us = policy::to_f64(policy::micros(job.first_event_timeout()));
    let max_total_us = policy::to_f64(policy::micros(job.time_left())) * DEFERRED_PREFILL_RATIO;
    let wait_factor = job.gateway.wait_factor(&job.service.name).factor();
    (max_begin_us * FIRST_EVENT_RATIO / wait_factor).min(max_total_us)
}

/// Returns how long to wait for an answer that is expected to begin after `expected_us`
/// microseconds. If another attempt may follow, the wait ends early when the engine stops making
/// progress.
pub fn timeout<'a>(job: &'a Job, attempts: &'a Attempts, expected_us: f64) -> Timeout<'a> {
    let may_retry = attempts.may_retry_after_next(job);
    Timeout::with_early(
        job.deadline,
        may_retry.then(|| early_timeout(job, attempts, expected_us)),
    )
}

/// Returns when an engine is presumed lost whose answer is expected to begin after `expected_us`
/// microseconds.
pub fn early_timeout<'a>(
    job: &'a Job,
    attempts: &'a Attempts,
    expected_us: f64,
) -> EarlyTimeout<'a> {
    EarlyTimeout {
        presumed_lost: PresumedLost::Silence(max_silence(job, job.time_left(), expected_us)),
        has_alternative: Box::new(|target| {
            let snapshot = Snapshot::new(job, &attempts.tried_with(target));
            snapshot.choose(job).is_some() || forwarding::send::is_possible(job)
        }),
    }
}

/// Returns how long to wait for the next event of a broken stream from an engine that is expected to send it after
/// `expected_us` microseconds. If another attempt may follow, the wait ends early when the engine stops making progress,
/// since the caller leaves long before its deadline.
pub fn resumption_timeout<'a>(
    job: &'a Job,
    broken: &'a Broken<'a>,
    expected_us: f64,
) -> Timeout<'a> {
    let early = broken.may_retry.then(|| {
        let left = job.next_event_timeout(broken.last_event);
        EarlyTimeout {
            presumed_lost: PresumedLost::Silence(max_silence(job, left, expected_us)),
            has_alternative: Box::new(|target| {
                let snapshot = Snapshot::new(job, &broken.tried_with(target));
                snapshot.choose(job).is_some()
            }),
        }
    });
    Timeout::with_early(job.deadline, early).after_event(broken.last_event)
}

/// Returns the longest time for which a healthy engine makes no progress, if a request has this much time left.
fn max_silence(job: &Job, left: Duration, expected_us: f64) -> Duration {
    let expected_us = expected_us + job.gateway.margin_us(&job.service.name);
    let limit = Duration::from_micros(policy::to_u64(expected_us)) * SILENCE_FACTOR;
    limit.max(left / MIN_WAIT_DIVISOR)
}

/// Safety factor on the expected time of an answer during a shutdown, which must not interrupt it.
const SHUTDOWN_MARGIN_FACTOR: f64 = 1.3;

/// Whether an answer ends before this process shuts down, if a shutdown is in progress.
pub fn ends_before_shutdown(job: &Job, snapshot: &Snapshot, choice: &Choice) -> bool {
    let decode_engine = match choice.placement {
        Placement::Single { engine } => engine,
        Placement::Split { decode, .. } => decode,
    };
    let step = snapshot.engines[decode_engine].latency.decode_token_us;
    let us = choice.first_event_us
        + policy::to_f64(placement_request(job).expected_output_tokens) * step;
    job.ends_before_shutdown(Duration::from_micros(policy::to_u64(
        us * SHUTDOWN_MARGIN_FACTOR,
    )))
}
