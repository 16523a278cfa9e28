//! Generations, which are placed on engines that prefill prompts and engines that decode answers.

pub mod migrate;
mod prefill;
mod queue;
mod queues;
mod run;
mod snapshot;
mod timing;

use std::{sync::Arc, time::Duration};

use clock::Instant;
use hyper::Response;
use policy::place::{self, Choice, Placement};

use super::{
    attempt::{Answer, Cause},
    attempts::{Attempts, FailedAttempt, Purpose},
    job::Job,
    refusal::{DEFAULT_RETRY_AFTER, Reason},
    relay::{self, Body},
    unserved::{Denial, Unserved},
};
use crate::{
    endpoint::{DecodeGuard, Target},
    forwarding,
};
use snapshot::{Snapshot, placement_request, reserved_builds};
use timing::Timing;

pub use queue::{Queue, Rank, max_wait};
pub use queues::{Claim, Queues};
pub use snapshot::is_long_answer;

/// Delay before an engine that refused a stream is tried again, as there is no other: its slots have been taken a moment ago.
const READMISSION_DELAY: Duration = Duration::from_millis(50);

/// Whether a request may be tried again at the engines that refused it: if it continues a stream, which others can't, and no
/// peer reaches more of them.
fn may_readmit(job: &Job) -> bool {
    job.build().is_some()
        && job.time_left() > READMISSION_DELAY
        && !forwarding::send::is_possible(job)
}

/// Serves a generation.
pub async fn serve(job: Job, mut attempts: Attempts) -> Result<Response<Body>, Unserved> {
    let mut may_split = true;
    // the time that a resumption is held says nothing of the engines
    let is_new = job.build().is_none();
    loop {
        let (snapshot, choice, timing) = match place(&job, &attempts, may_split).await {
            Ok(placed) => placed,
            Err(Denial::NoRoom(_)) if may_readmit(&job) && attempts.readmit_refused() => {
                clock::sleep(READMISSION_DELAY).await;
                continue;
            }
            Err(denial) => return Err(denial.unserved(job, attempts)),
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
                if is_new && attempts.none_failed() && timing == Timing::Normal {
                    let took = policy::micros(job.received.elapsed());
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
                may_split = !matches!(failed.cause, Cause::KvFetchFailed(_));
                if let Err(reason) = attempts.record_failure(&job, failed) {
                    return Err(Unserved::Final(reason));
                }
            }
        }
    }
}

/// Places a request and decides whether it is served in time.
async fn place(
    job: &Job,
    attempts: &Attempts,
    may_split: bool,
) -> Result<(Snapshot, Choice, Timing), Denial> {
    let (snapshot, choice) = find_room(job, attempts, may_split).await?;
    if !timing::ends_before_shutdown(job, &snapshot, &choice) {
        return Err(Denial::Final(attempts.shutdown_refusal()));
    }
    // a stream that has begun is continued, however late its next event
    if !attempts.none_failed() || job.build().is_some() {
        snapshot.log_placement(job, &choice, "placed for a retry");
        return Ok((snapshot, choice, Timing::Normal));
    }
    let timing = timing::decide(job, &snapshot, &choice).map_err(Denial::NoRoom)?;
    match timing {
        Timing::Deferred(_)
            if forwarding::send::is_possible(job) && timing::peers_have_room(job) =>
        {
            Err(Denial::NoRoom(Reason::Overloaded(DEFAULT_RETRY_AFTER)))
        }
        Timing::Normal | Timing::Deferred(_) => Ok((snapshot, choice, timing)),
    }
}

/// Chooses engines for a request, and waits in the queue if none has a free slot.
async fn find_room(
    job: &Job,
    attempts: &Attempts,
    may_split: bool,
) -> Result<(Snapshot, Choice), Denial> {
    let try_place = || {
        let mut snapshot = Snapshot::new(job, attempts.tried());
        if !may_split {
            snapshot.retain_decode_engines();
        }
        let choice = snapshot.choose(job);
        (snapshot, choice)
    };
    let claim = Claim::of(job, attempts.tried());
    let queue = job.gateway.queue(&job.service.name, claim);
    let (snapshot, choice) = try_place();
    if job.begin_demand_count() {
        snapshot::count_demand(job, &snapshot);
    }
    let goes_elsewhere = || {
        !snapshot.may_get_slot(job, attempts.tried(), queue.len())
            || forwarding::send::is_possible(job)
    };
    // a request that still waits when the process exits would get no answer
    let ends_in_time = || job.ends_before_shutdown(queue::max_wait(job));
    let is_outranked = || {
        let rank = Rank {
            priority: job.priority,
            joined: None,
        };
        let service = &job.service.name;
        let reserved = reserved_builds(job);
        job.gateway
            .is_outranked(service, claim, &reserved, rank, Instant::now())
    };
    // requests that already wait go first
    let may_go = queue.len() == 0 && !(is_outranked() && !goes_elsewhere() && ends_in_time());
    if let Some(choice) = choice.filter(|_| may_go) {
        return Ok((snapshot, choice));
    }
    snapshot.log_obstacles(job, claim, "no engine has room, or others wait for it");
    job.record_no_room();
    if goes_elsewhere() {
        return Err(Denial::NoRoom(attempts.exhausted_refusal()));
    }
    if !ends_in_time() {
        return Err(Denial::Final(attempts.shutdown_refusal()));
    }
    let found = wait_for_room(job, claim, try_place).await;
    found.ok_or_else(|| match job.withheld() {
        Some(withheld) => Denial::Final(Reason::Withheld(withheld.remaining)),
        None => Denial::NoRoom(attempts.exhausted_refusal()),
    })
}

/// Waits in the queue until an engine has room; `None` if none has in time, or if the request is withheld meanwhile.
async fn wait_for_room(
    job: &Job,
    claim: Claim<'_>,
    try_place: impl Fn() -> (Snapshot, Option<Choice>),
) -> Option<(Snapshot, Choice)> {
    let look = || match try_place() {
        (snapshot, Some(choice)) => Ok((snapshot, choice)),
        (snapshot, None) => Err(snapshot),
    };
    queues::wait(job, claim, look).await
}

/// Waits in the queue until `look` finds an endpoint, as long as those on which the request has not failed yet only get none
/// for a moment; `None` if it finds none in time.
pub async fn wait_for_recovery<T>(
    job: &Job,
    tried: &[Arc<Target>],
    look: impl Fn() -> Option<T>,
) -> Option<T> {
    let waiting = job.gateway.queue(&job.service.name, Claim::New).len();
    let has_slot = u64::try_from(waiting)
        .is_ok_and(|waiting| waiting < snapshot::recovering_slots(job, tried));
    if !has_slot || !job.ends_before_shutdown(queue::max_wait(job)) {
        return None;
    }
    let look = || look().ok_or_else(|| Snapshot::new(job, tried));
    queues::wait(job, Claim::New, look).await
}

/// A stream that broke, and what was tried to resume it.
pub struct Broken<'a> {
    /// The last complete event.
    pub after: Option<u64>,
    /// When the last event arrived, or the request if there was none.
    pub last_event: Instant,
    /// The endpoints that broke it off or failed to resume it.
    pub tried: &'a [Arc<Target>],
    /// Whether it may be resumed once more if the next attempt is lost.
    pub may_retry: bool,
}

impl Broken<'_> {
    /// Returns the endpoints that must not be tried again, and one more.
    fn tried_with(&self, target: &Arc<Target>) -> Vec<Arc<Target>> {
        let more = std::iter::once(target);
        self.tried.iter().chain(more).map(Arc::clone).collect()
    }
}

/// Whether another engine than those that were tried has room for a stream.
pub fn has_room(job: &Job, tried: &[Arc<Target>]) -> bool {
    Snapshot::new(job, tried).choose(job).is_some()
}

/// Resumes a broken stream on another engine than those that were tried. `Ok(None)` if none has room.
pub async fn resume(
    job: &Job,
    broken: &Broken<'_>,
) -> Result<Option<(Answer, DecodeGuard)>, FailedAttempt> {
    let claim = Claim::of(job, broken.tried);
    let try_place = || {
        let snapshot = Snapshot::new(job, broken.tried);
        let choice = snapshot.choose(job);
        (snapshot, choice)
    };
    let placed = match try_place() {
        (snapshot, Some(choice)) => Some((snapshot, choice)),
        (snapshot, None)
            if !snapshot.has_decode_engine()
                && snapshot::recovering_slots(job, broken.tried) == 0 =>
        {
            None
        }
        (snapshot, None) => {
            snapshot.log_obstacles(
                job,
                claim,
                "no engine has room to resume a broken stream as yet",
            );
            if job.ends_before_shutdown(queue::max_wait(job)) {
                wait_for_room(job, claim, try_place).await
            } else {
                None
            }
        }
    };
    let Some((snapshot, choice)) = placed else {
        return Ok(None);
    };
    let engine = match choice.placement {
        Placement::Single { engine } => engine,
        Placement::Split { decode, .. } => decode,
    };
    let expected_us = place::first_event_us(&snapshot.engines[engine], &placement_request(job));
    let timeout = timing::resumption_timeout(job, broken, expected_us);
    let sent = run::single_engine(job, &snapshot, engine, timeout, broken.after);
    let (answer, decode_guard) = sent.await?;
    let target = Arc::clone(&answer.target);
    let answer = answer.into_continuation();
    let answer = answer.map_err(|cause| run::failed(&target, cause, Purpose::Run))?;
    Ok(Some((answer, decode_guard)))
}
