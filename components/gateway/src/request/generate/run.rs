//! Runs a generation on the engines that were chosen for it.

use std::sync::Arc;

use clock::Instant;
use policy::place::{self, Weights};

use super::{
    prefill,
    queues::{self, Claim},
    snapshot::{Snapshot, is_long_answer, placement_request},
    timing,
};
use crate::{
    adapters::Directive,
    endpoint::{Build, DecodeGuard, Target, Verdict},
    request::{
        attempt::{self, Answer, Cause},
        attempts::{Attempts, FailedAttempt, Purpose},
        job::Job,
        timeout::Timeout,
    },
};

/// A response whose headers have arrived, with the slot that it takes; or the failed attempt.
pub type AttemptResult = Result<(Answer, DecodeGuard), FailedAttempt>;

/// Creates the record of an attempt that failed on an endpoint.
pub fn failed(target: &Arc<Target>, cause: Cause, purpose: Purpose) -> FailedAttempt {
    FailedAttempt {
        target: Arc::clone(target),
        cause,
        purpose,
    }
}

/// Runs prefill and decode on one engine.
pub async fn single_engine(
    job: &Job,
    snapshot: &Snapshot,
    index: usize,
    timeout: Timeout<'_>,
    resume_after: Option<u64>,
) -> AttemptResult {
    let target = &snapshot.targets[index];
    let in_flight = prefill::start(job, snapshot, index, false);
    let (ahead, begun) = (in_flight.ahead, Instant::now());
    let directive = Directive {
        timeout: job.time_left(),
        expected_endpoint: Some(target.id.clone()),
        resume_after,
        fetch_from: snapshot.fetch_from(index),
        ..Directive::default()
    };
    let decode_guard = DecodeGuard::new(target, is_long_answer(job));
    let sent = attempt::send(job, target, &directive, timeout).await;
    let answer = sent.map_err(|cause| failed(target, cause, Purpose::Run))?;
    prefill::learn_prefill_latency(job, target, ahead + in_flight.guard.work(), begun);
    Ok((answer, decode_guard))
}

/// Chooses the engine that decodes the answer to a prompt that an engine of `build` has prefilled; waits in the queue if
/// none has a free slot.
async fn wait_for_decode_engine(
    job: &Job,
    attempts: &Attempts,
    build: &Build,
) -> Option<(Snapshot, usize)> {
    let try_choose = || {
        let mut snapshot = Snapshot::new(job, attempts.tried());
        snapshot.retain_build(build);
        let request = placement_request(job);
        let weights = Weights::default();
        match place::choose_decode_engine(&snapshot.engines, &request, &weights) {
            Some(index) => Ok((snapshot, index)),
            None => Err(snapshot),
        }
    };
    if let Ok(found) = try_choose() {
        return Some(found);
    }
    queues::wait(job, Claim::of_prefilled(job, build), try_choose).await
}

/// Runs prefill on one engine and decode on another. The decode engine is chosen after the prefill,
/// as the load has changed a lot by then.
pub async fn split(
    job: &Job,
    snapshot: &Snapshot,
    prefill: usize,
    attempts: &Attempts,
    urgency: prefill::Urgency,
) -> AttemptResult {
    let handle = prefill::run(job, snapshot, prefill, attempts, urgency).await?;
    let prefill = &snapshot.targets[prefill];
    let build = prefill.build();
    let Some((snapshot, index)) = wait_for_decode_engine(job, attempts, &build).await else {
        return Err(failed(prefill, Cause::NoDecodeCapacity, Purpose::Read));
    };
    let decode = &snapshot.targets[index];
    let decode_guard = DecodeGuard::new(decode, is_long_answer(job));
    let directive = Directive {
        timeout: job.time_left(),
        expected_endpoint: Some(decode.id.clone()),
        handle: Some(handle.handle.clone()),
        ..Directive::default()
    };
    prefill::record_parts(job, decode, true);
    let begun = Instant::now();
    let timeout = timing::timeout(job, attempts, snapshot.engines[index].latency.overhead_us);
    match attempt::send(job, decode, &directive, timeout).await {
        Ok(answer) => {
            let took = policy::micros(begun.elapsed());
            job.gateway
                .learn_latency(decode, |latency| latency.observe_first_token(took));
            prefill.record_verdict(Verdict::Fine, &job.metadata.id);
            handle.mark_fetched();
            Ok((answer, decode_guard))
        }
        // the decode engine can't report why, but in most cases the prefill engine has lost the KV
        // cache
        Err(Cause::NotRun(not_run)) => {
            record_failed_fetch(prefill, decode, &job.metadata.id);
            Err(failed(decode, Cause::KvFetchFailed(not_run), Purpose::Run))
        }
        Err(cause) => Err(failed(decode, cause, Purpose::Run)),
    }
}

/// Records that an engine did not give up the KV cache that it held, unless the one that should fetch it turns out to
/// carry out an order and refuses all requests.
fn record_failed_fetch(prefill: &Arc<Target>, decode: &Arc<Target>, request: &str) {
    let (prefill, decode) = (Arc::clone(prefill), Arc::clone(decode));
    let request = request.to_owned();
    tokio::spawn(async move {
        decode.refusal_check_ended().await;
        if !decode.is_changing() {
            prefill.record_verdict(Verdict::Failed, &request);
        }
    });
}
