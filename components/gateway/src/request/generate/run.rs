//! Runs a generation on the engines that were chosen for it.

use std::sync::Arc;

use clock::Instant;
use policy::place::{self, Weights};

use super::{
    prefill,
    snapshot::{Snapshot, is_long_answer, placement_request},
    timing,
};
use crate::{
    edge::Directive,
    endpoint::{DecodeGuard, Target, Verdict},
    request::{
        attempt::{self, Answer, Cause},
        attempts::{Attempts, FailedAttempt, Phase},
        job::Job,
        timeout::Timeout,
    },
};

/// An answer that has begun, and the slot that it takes; or the attempt that failed.
pub type AttemptResult = Result<(Answer, DecodeGuard), FailedAttempt>;

/// An attempt that failed at an endpoint.
pub fn failed(target: &Arc<Target>, cause: Cause, phase: Phase) -> FailedAttempt {
    FailedAttempt {
        target: Arc::clone(target),
        cause,
        phase,
    }
}

/// One engine reads and writes.
pub async fn single_engine(
    job: &Job,
    snapshot: &Snapshot,
    at: usize,
    timeout: Timeout<'_>,
    resume_after: Option<u64>,
) -> AttemptResult {
    let target = &snapshot.targets[at];
    let in_flight = prefill::start(job, snapshot, at, false);
    let (ahead, begun) = (in_flight.ahead, Instant::now());
    let directive = Directive {
        timeout: job.time_left(),
        expected_endpoint: Some(target.id.clone()),
        resume_after,
        fetch_from: snapshot.fetch_from(at),
        ..Directive::default()
    };
    let writing = DecodeGuard::new(target, is_long_answer(job));
    let sent = attempt::send(job, target, &directive, timeout).await;
    let answer = sent.map_err(|cause| failed(target, cause, Phase::Run))?;
    prefill::learn_pace(job, target, ahead + in_flight.guard.work(), begun);
    Ok((answer, writing))
}

/// The engine that writes the answer to a prompt that has been read; waits for one with room.
async fn wait_for_decode_engine(job: &Job, attempts: &Attempts) -> Option<(Snapshot, usize)> {
    let try_choose = || {
        let snapshot = Snapshot::new(job, attempts.tried());
        let at = place::choose_decode_engine(
            &snapshot.engines,
            &placement_request(job),
            &Weights::default(),
        )?;
        Some((snapshot, at))
    };
    if let Some(found) = try_choose() {
        return Some(found);
    }
    let queue = job.gateway.queue(&job.service.name);
    let ticket = queue.join(job);
    while ticket.wait_turn().await {
        if let Some(found) = try_choose() {
            return Some(found);
        }
    }
    None
}

/// One engine reads, another one writes. Which one writes is decided when the prompt has been read,
/// as much has changed until then.
pub async fn split(
    job: &Job,
    snapshot: &Snapshot,
    prefill: usize,
    attempts: &Attempts,
    mode: prefill::Mode,
) -> AttemptResult {
    let handle = prefill::run(job, snapshot, prefill, attempts, mode).await?;
    let prefill = &snapshot.targets[prefill];
    let Some((snapshot, at)) = wait_for_decode_engine(job, attempts).await else {
        return Err(failed(prefill, Cause::NoDecodeCapacity, Phase::Read));
    };
    let decode = &snapshot.targets[at];
    let writing = DecodeGuard::new(decode, is_long_answer(job));
    let directive = Directive {
        timeout: job.time_left(),
        expected_endpoint: Some(decode.id.clone()),
        handle: Some(handle.handle.clone()),
        ..Directive::default()
    };
    prefill::note_parts(job, decode, true);
    let begun = Instant::now();
    let timeout = timing::timeout(job, attempts, snapshot.engines[at].latency.overhead_us);
    match attempt::send(job, decode, &directive, timeout).await {
        Ok(answer) => {
            let took = policy::micros(begun.elapsed());
            job.gateway
                .learn_pace(decode, |pace| pace.observe_first_token(took));
            prefill.record_verdict(Verdict::Fine, &job.metadata.id);
            handle.mark_fetched();
            Ok((answer, writing))
        }
        // the writer can't tell why, but most often it is the reader that has lost the handle
        Err(Cause::NotRun(_)) => {
            prefill.record_verdict(Verdict::Failed, &job.metadata.id);
            Err(failed(decode, Cause::KvFetchFailed, Phase::Run))
        }
        Err(cause) => Err(failed(decode, cause, Phase::Run)),
    }
}
