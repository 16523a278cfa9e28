//! When an answer will begin and end: whether it is served in time, late or not at all.

use std::time::Duration;

use clock::Instant;
use policy::place::{self, Choice, Placement, Weights};

use super::snapshot::{Snapshot, placement_request};
use crate::request::{
    attempts::Attempts,
    job::Job,
    refusal::{DEFAULT_RETRY_AFTER, Reason},
    timeout::{EarlyTimeout, Suspicion, Timeout},
};

/// The part of the time left in which the prompt of a late answer must be read: the rest is for
/// writing, and for what was expected wrongly.
const DEFERRED_PREFILL_RATIO: f64 = 0.5;
/// The part of the time until its caller leaves in which a late prompt must be read: then it is still fetched by
/// an engine that writes.
const FIRST_EVENT_RATIO: f64 = 0.9;
/// The part of the time left after which a caller that is refused is not asked to come back.
const RETRY_AFTER_DIVISOR: u32 = 2;
/// How many times as long as expected an engine may get on with nothing before it is taken to be lost. A
/// prompt that is read alone gives no sign of life for as long as it takes, and expectations are wrong by
/// less than this.
const SILENCE_FACTOR: u32 = 3;
/// The part of the time left for which an engine is always waited for. What is sent again is read twice
/// and counts as a repeat, so an engine is not given up on while there is ample time for another one.
const MIN_WAIT_DIVISOR: u32 = 4;

/// Whether an answer will begin in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Timing {
    /// It will.
    OnTime,
    /// It won't, but there is time for a late one; its prompt is read there when no other one waits.
    Deferred(place::Deferred),
}

/// Decides whether a request is served in time, late or not at all, which is said at once.
pub fn decide(job: &Job, snapshot: &Snapshot, choice: &Choice) -> Result<Timing, Reason> {
    let left = policy::micros(job.objective.saturating_duration_since(Instant::now()));
    let margin = job.gateway.margin(&job.service.name);
    let expected = policy::to_u64(choice.first_event_us + margin);
    if expected <= left {
        snapshot.log_placement(job, choice, "placed");
        return Ok(Timing::OnTime);
    }
    if snapshot.has_negligible_prefill(job, choice) {
        snapshot.log_placement(job, choice, "placed late");
        return Ok(Timing::OnTime);
    }
    let request = placement_request(job);
    if let Some(late) = place::choose_deferred(
        &snapshot.engines,
        &request,
        &Weights::default(),
        max_deferred_prefill_us(job),
    ) {
        snapshot.log_placement(job, choice, "placed late");
        return Ok(Timing::Deferred(late));
    }
    let over = Duration::from_micros(expected - left);
    Err(Reason::Overloaded(
        over.max(DEFAULT_RETRY_AFTER)
            .min(job.time_left() / RETRY_AFTER_DIVISOR),
    ))
}

/// The time that the prompt of a late answer may be expected to take, in microseconds: its caller must not have
/// left by then, and there must be time to write.
fn max_deferred_prefill_us(job: &Job) -> f64 {
    let begin = policy::to_f64(policy::micros(job.first_event_timeout()));
    let whole = policy::to_f64(policy::micros(job.time_left())) * DEFERRED_PREFILL_RATIO;
    let stretch = job.gateway.stretch(&job.service.name).factor();
    (begin * FIRST_EVENT_RATIO / stretch).min(whole)
}

/// How long an answer is waited for that is expected to begin after so long: where another attempt may
/// follow, only as long as its engine shows that it lives.
pub fn timeout<'a>(job: &'a Job, attempts: &'a Attempts, expected: f64) -> Timeout<'a> {
    let may = attempts.may_retry_after_next(job);
    Timeout::with_early(
        job.deadline,
        may.then(|| early_timeout(job, attempts, expected)),
    )
}

/// When an engine is suspected to be lost whose answer is expected to begin after so long.
pub fn early_timeout<'a>(job: &'a Job, attempts: &'a Attempts, expected: f64) -> EarlyTimeout<'a> {
    EarlyTimeout {
        suspicion: Suspicion::Silence(max_silence(job, expected)),
        has_alternative: Box::new(|target| {
            let snapshot = Snapshot::new(job, &attempts.tried_with(target));
            snapshot.choose(job).is_some()
        }),
    }
}

/// The longest that an engine which works gets on with nothing.
fn max_silence(job: &Job, expected: f64) -> Duration {
    let expected = expected + job.gateway.margin(&job.service.name);
    let longest = Duration::from_micros(policy::to_u64(expected)) * SILENCE_FACTOR;
    longest.max(job.time_left() / MIN_WAIT_DIVISOR)
}

/// How much longer than expected an answer may take where it must not be cut.
const STOP_MARGIN_FACTOR: f64 = 1.3;

/// Whether an answer ends before this process does, if it stops.
pub fn ends_before_stop(job: &Job, snapshot: &Snapshot, choice: &Choice) -> bool {
    let writer = match choice.placement {
        Placement::Single { engine } => engine,
        Placement::Split { decode, .. } => decode,
    };
    let step = snapshot.engines[writer].latency.decode_token_us;
    let us = choice.first_event_us
        + policy::to_f64(placement_request(job).expected_output_tokens) * step;
    job.ends_before_stop(Duration::from_micros(policy::to_u64(
        us * STOP_MARGIN_FACTOR,
    )))
}
