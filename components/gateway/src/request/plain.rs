//! Requests to plain services. Any endpoint can serve them; the least loaded one is used, and those
//! in the local data centre are preferred.

use std::{sync::Arc, time::Duration};

use clock::Instant;
use hyper::Response;

use super::{
    attempt::{self, Answer, Cause},
    attempts::{Attempts, FailedAttempt, Purpose},
    generate,
    job::Job,
    relay::{self, Body},
    timeout::{EarlyTimeout, PresumedLost, Timeout},
    unserved::{Denial, Unserved},
};
use crate::{
    adapters::Directive,
    endpoint::{DecodeGuard, Reach, ServiceDefaults, Target, Verdict},
    forwarding,
};

/// Cost of an endpoint in a remote data centre, in units of load: requests in flight per slot.
const REMOTE_PENALTY: f64 = 0.34;
/// Cost of an endpoint on which every attempt fails, in units of load.
const FAILURE_PENALTY: f64 = 4.0;

/// Cost, for a suspect request, of each other suspect on an endpoint, in units of load. An idle
/// endpoint in a remote data centre is better than one that may crash because of the other suspect.
const SUSPECT_PENALTY: f64 = 2.0;

/// A silent endpoint is presumed lost after this fraction (1/n) of the objective if the request may
/// run again. A healthy endpoint answers sooner, and the rest of the time is enough for another
/// endpoint.
const PRESUMED_LOST_DIVISOR: u32 = 2;
/// The shortest time after which a silent endpoint is presumed lost.
const MIN_PRESUMED_LOST_DELAY: Duration = Duration::from_millis(30);

/// Serves a request to a plain service.
pub async fn serve(job: Job, mut attempts: Attempts) -> Result<Response<Body>, Unserved> {
    if !job.ends_before_shutdown(job.route.objective) {
        return Err(Unserved::Final(attempts.shutdown_refusal()));
    }
    // an endpoint's own error response, which is returned unless another endpoint does better
    let mut failure: Option<(Answer, u32)> = None;
    let denial = loop {
        let mut chosen = choose(&job, attempts.tried());
        if chosen.is_none() && failure.is_none() && !forwarding::send::is_possible(&job) {
            let look = || choose(&job, attempts.tried());
            chosen = generate::wait_for_recovery(&job, attempts.tried(), look).await;
        }
        let Some(target) = chosen else {
            break Denial::NoRoom(attempts.exhausted_refusal());
        };
        let decode_guard = DecodeGuard::new(&target, false);
        let sent = Instant::now();
        let outcome = attempt(&job, &target, &attempts).await;
        // an endpoint begins to work soon after it gets the request, and usually has if its answer is lost
        let began = outcome.as_ref().err().is_none_or(|cause| !cause.not_run());
        if began {
            job.record_start(sent);
        }
        match outcome {
            Ok(answer) if reserve_retry_after_error(&job, &answer, &attempts).await => {
                attempts.record_endpoint_failure(target);
                failure.get_or_insert((answer, attempts.runs()));
            }
            Ok(answer) => {
                if let Some((failure, _)) = failure {
                    failure.guard.finish();
                }
                return Ok(relay::forward(
                    job,
                    answer,
                    decode_guard,
                    attempts.runs() + 1,
                ));
            }
            Err(cause) => {
                drop(decode_guard);
                let purpose = Purpose::Run;
                let failed = FailedAttempt {
                    target,
                    cause,
                    purpose,
                };
                if let Err(reason) = attempts.record_failure(&job, failed) {
                    break Denial::Final(reason);
                }
            }
        }
    };
    let Some((answer, attempts)) = failure else {
        return Err(denial.unserved(job, attempts));
    };
    let decode_guard = DecodeGuard::new(&answer.target, false);
    Ok(relay::forward(job, answer, decode_guard, attempts))
}

/// Chooses the endpoint with the least load relative to its slots, with a penalty for remote data
/// centres.
fn choose(job: &Job, tried: &[Arc<Target>]) -> Option<Arc<Target>> {
    let now = Instant::now();
    let fleet = job.gateway.registry.fleet(&job.service.name);
    let local = &job.gateway.settings.gateway.data_centre;
    let unreachable = job.gateway.peers.unreachable_data_centres();
    let suspect = job.gateway.crashes.is_suspect(job.fingerprint);
    let mut best: Option<(f64, &Arc<Target>)> = None;
    for target in fleet.subset() {
        if tried.iter().any(|other| other.id == target.id) {
            continue;
        }
        let Some(seen) = target.snapshot(now, &[], &ServiceDefaults::default(), Reach::Own) else {
            continue;
        };
        if unreachable.contains(&seen.profile.data_centre) || !job.accepts(&seen.profile.build) {
            continue;
        }
        let load = policy::to_f64(seen.load.decoding) / policy::to_f64(seen.profile.slots.max(1));
        let remote = if *seen.profile.data_centre == **local {
            0.0
        } else {
            REMOTE_PENALTY
        };
        let suspects = policy::to_f64(if suspect { seen.load.suspects } else { 0 });
        let cost =
            load + remote + seen.failure_ratio * FAILURE_PENALTY + suspects * SUSPECT_PENALTY;
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, target));
        }
    }
    best.map(|(_, target)| Arc::clone(target))
}

async fn attempt(job: &Job, target: &Arc<Target>, attempts: &Attempts) -> Result<Answer, Cause> {
    let directive = Directive {
        timeout: job.time_left(),
        expected_endpoint: Some(target.id.clone()),
        ..Directive::default()
    };
    let early = attempts.may_retry_after_next(job).then(|| {
        // early enough for another endpoint to answer within the objective
        let lost_at = job.arrived + job.route.objective / PRESUMED_LOST_DIVISOR;
        EarlyTimeout {
            presumed_lost: PresumedLost::At(lost_at.max(Instant::now() + MIN_PRESUMED_LOST_DELAY)),
            has_alternative: Box::new(|target| has_alternative(job, attempts, target)),
        }
    });
    let timeout = Timeout::with_early(job.deadline, early);
    attempt::send(job, target, &directive, timeout).await
}

/// Whether there is another endpoint for the request, apart from those tried and this one.
fn has_alternative(job: &Job, attempts: &Attempts, target: &Arc<Target>) -> bool {
    choose(job, &attempts.tried_with(target)).is_some() || forwarding::send::is_possible(job)
}

/// Whether to try another endpoint instead of returning this error response: the request may run
/// again, there is time, another endpoint is available, and the retry budget has a retry, which is
/// then reserved.
async fn reserve_retry_after_error(job: &Job, answer: &Answer, attempts: &Attempts) -> bool {
    let status = answer.head.status;
    if !status.is_server_error() {
        return false;
    }
    answer
        .target
        .record_verdict(Verdict::Failed, &job.metadata.id);
    let may_help = attempts.may_retry_after_next(job)
        && Instant::now() < job.objective
        && has_alternative(job, attempts, &answer.target);
    if may_help {
        let service = &job.service.name;
        job.gateway
            .wait_for_retry_share(service, job.objective)
            .await;
    }
    let may_retry = may_help && job.sends.reserve_one(job);
    log::info!(
        request = job.metadata.id, endpoint = &*answer.target.id.0, status = status.as_u16(), may = may_retry;
        "an endpoint failed a request"
    );
    may_retry
}
