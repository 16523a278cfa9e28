//! Generations, which are placed on engines that prefill prompts and engines that decode answers.

pub mod migrate;
mod prefill;
mod queue;
mod run;
mod snapshot;
mod timing;

use std::sync::Arc;

use hyper::Response;
use policy::place::{Choice, Placement};

use super::{
    attempt::{Answer, Cause},
    attempts::Attempts,
    job::Job,
    refusal::Reason,
    relay::{self, Body},
    timeout::Timeout,
};
use crate::endpoint::{DecodeGuard, Target};
use snapshot::Snapshot;
use timing::Timing;

pub use queue::Queue;
pub use snapshot::is_long_answer;

/// Serves a generation.
pub async fn serve(job: Job) -> Result<Response<Body>, Reason> {
    let mut attempts = Attempts::default();
    let mut may_split = true;
    loop {
        let (snapshot, choice) = place(&job, &attempts, may_split).await?;
        if !timing::ends_before_shutdown(&job, &snapshot, &choice) {
            return Err(attempts.shutdown_refusal());
        }
        let timing = if attempts.none_failed() {
            timing::decide(&job, &snapshot, &choice)?
        } else {
            snapshot.log_placement(&job, &choice, "placed for a retry");
            Timing::Normal
        };
        let outcome = match (timing, choice.placement) {
            (Timing::Deferred(deferred), _) => {
                let urgency = prefill::Urgency::Deferred(deferred.prefill_us);
                run::split(&job, &snapshot, deferred.engine, &attempts, urgency).await
            }
            (Timing::Normal, Placement::Single { engine }) => {
                let timeout = timing::timeout(&job, &attempts, choice.first_event_us);
                run::single_engine(&job, &snapshot, engine, timeout, None).await
            }
            (Timing::Normal, Placement::Split { prefill, .. }) => {
                let urgency = prefill::Urgency::Normal(choice.first_event_us);
                run::split(&job, &snapshot, prefill, &attempts, urgency).await
            }
        };
        match outcome {
            Ok((answer, decode_guard)) => {
                if attempts.none_failed() && timing == Timing::Normal {
                    let took = policy::micros(job.arrived.elapsed());
                    job.gateway
                        .learn_margin(&job.service.name, choice.first_event_us, took);
                }
                return Ok(relay::forward(
                    job,
                    answer,
                    decode_guard,
                    attempts.runs() + 1,
                ));
            }
            Err(failed) => {
                // another prefill and another fetch would count as two more sends
                may_split = failed.cause != Cause::KvFetchFailed;
                attempts.record_failure(&job, failed)?;
            }
        }
    }
}

/// Places a request, and waits in the queue if no engine has a free slot.
async fn place(
    job: &Job,
    attempts: &Attempts,
    may_split: bool,
) -> Result<(Snapshot, Choice), Reason> {
    let try_place = || {
        let mut snapshot = Snapshot::new(job, attempts.tried());
        if !may_split {
            snapshot.retain_decode_engines();
        }
        let choice = snapshot.choose(job);
        (snapshot, choice)
    };
    let queue = job.gateway.queue(&job.service.name);
    let (snapshot, choice) = try_place();
    if attempts.none_failed() {
        snapshot::count_demand(job, &snapshot);
    }
    // requests that already wait go first
    if let Some(choice) = choice.filter(|_| queue.len() == 0) {
        return Ok((snapshot, choice));
    }
    if !snapshot.may_get_slot(queue.len()) {
        return Err(attempts.exhausted_refusal());
    }
    // a request that still waits when the process exits would get no answer
    if !job.ends_before_shutdown(queue::max_wait(job)) {
        return Err(attempts.shutdown_refusal());
    }
    let ticket = queue.join(job);
    while ticket.wait_turn().await {
        if let (snapshot, Some(choice)) = try_place() {
            return Ok((snapshot, choice));
        }
    }
    Err(attempts.exhausted_refusal())
}

/// Resumes a broken stream on another engine.
pub async fn resume(
    job: &Job,
    after: Option<u64>,
    from: &Arc<Target>,
) -> Result<(Answer, DecodeGuard), Cause> {
    let snapshot = Snapshot::new(job, std::slice::from_ref(from));
    let choice = snapshot.choose(job).ok_or(Cause::TimedOut)?;
    let engine = match choice.placement {
        Placement::Single { engine } => engine,
        Placement::Split { decode, .. } => decode,
    };
    let resumed =
        run::single_engine(job, &snapshot, engine, Timeout::at(job.deadline), after).await;
    let resumed = resumed
        .map_err(|failed| failed.cause)
        .and_then(|(answer, decode_guard)| Ok((answer.into_continuation()?, decode_guard)));
    if let Err(Some(verdict)) = resumed.as_ref().map_err(|cause| cause.verdict()) {
        snapshot.targets[engine].record_verdict(verdict, &job.metadata.id);
    }
    resumed
}
