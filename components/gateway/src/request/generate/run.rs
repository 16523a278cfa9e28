//! Runs a generation on the engines that were chosen for it.

use std::sync::Arc;

use clock::Instant;
use policy::place::{self, Weights};

use super::{
    read, timing,
    view::{View, ask, is_long},
};
use crate::{
    edge::Directive,
    endpoint::{Target, Verdict, Writing},
    request::{
        attempt::{self, Answer, Cause},
        attempts::{Attempts, Failed, Phase},
        job::Job,
        timeout::Timeout,
    },
};

/// An answer that has begun, and the slot that it takes; or the attempt that failed.
pub type Attempted = Result<(Answer, Writing), Failed>;

/// An attempt that failed at an endpoint.
pub fn failed(target: &Arc<Target>, cause: Cause, phase: Phase) -> Failed {
    Failed {
        target: Arc::clone(target),
        cause,
        phase,
    }
}

/// One engine reads and writes.
pub async fn whole(
    job: &Job,
    view: &View,
    at: usize,
    timeout: Timeout<'_>,
    resume_after: Option<u64>,
) -> Attempted {
    let target = &view.targets[at];
    let reading = read::begin(job, view, at, false);
    let (ahead, begun) = (reading.ahead, Instant::now());
    let directive = Directive {
        time_left: job.time_left(),
        expect: Some(target.id.clone()),
        resume_after,
        fetch_from: view.fetch_from(at),
        ..Directive::default()
    };
    let writing = Writing::new(target, is_long(job));
    let sent = attempt::send(job, target, &directive, timeout).await;
    let answer = sent.map_err(|cause| failed(target, cause, Phase::Run))?;
    read::learn(job, target, ahead + reading.guard.work(), begun);
    Ok((answer, writing))
}

/// The engine that writes the answer to a prompt that has been read; waits for one with room.
async fn writer(job: &Job, attempts: &Attempts) -> Option<(View, usize)> {
    let look = || {
        let view = View::new(job, attempts.tried());
        let at = place::choose_decode_engine(&view.engines, &ask(job), &Weights::default())?;
        Some((view, at))
    };
    if let Some(found) = look() {
        return Some(found);
    }
    let line = job.gateway.line(&job.service.name);
    let ticket = line.join(job);
    while ticket.turn().await {
        if let Some(found) = look() {
            return Some(found);
        }
    }
    None
}

/// One engine reads, another one writes. Which one writes is decided when the prompt has been read,
/// as much has changed until then.
pub async fn split(
    job: &Job,
    view: &View,
    prefill: usize,
    attempts: &Attempts,
    wanted: read::Wanted,
) -> Attempted {
    let handle = read::keep(job, view, prefill, attempts, wanted).await?;
    let prefill = &view.targets[prefill];
    let Some((view, at)) = writer(job, attempts).await else {
        return Err(failed(prefill, Cause::NoWriter, Phase::Read));
    };
    let decode = &view.targets[at];
    let writing = Writing::new(decode, is_long(job));
    let directive = Directive {
        time_left: job.time_left(),
        expect: Some(decode.id.clone()),
        handle: Some(handle.handle.clone()),
        ..Directive::default()
    };
    read::use_parts(job, decode, true);
    let begun = Instant::now();
    let timeout = timing::timeout(job, attempts, view.engines[at].latency.overhead_us);
    match attempt::send(job, decode, &directive, timeout).await {
        Ok(answer) => {
            let took = policy::micros(begun.elapsed());
            job.gateway
                .learn_pace(decode, |pace| pace.observe_first_token(took));
            prefill.note(Verdict::Fine, &job.ask.id);
            handle.taken();
            Ok((answer, writing))
        }
        // the writer can't tell why, but most often it is the reader that has lost the handle
        Err(Cause::NotRun(_)) => {
            prefill.note(Verdict::Failed, &job.ask.id);
            Err(failed(decode, Cause::NoHandle, Phase::Run))
        }
        Err(cause) => Err(failed(decode, cause, Phase::Run)),
    }
}
