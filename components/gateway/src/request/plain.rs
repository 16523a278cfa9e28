//! Requests to plain services: any endpoint serves them, the least loaded near one first.

use std::{sync::Arc, time::Duration};

use clock::Instant;
use hyper::Response;

use super::{
    attempt::{self, Answer, Cause},
    attempts::{Attempts, FailedAttempt, Phase},
    job::Job,
    refusal::Reason,
    relay::{self, Body},
    timeout::{EarlyTimeout, Suspicion, Timeout},
};
use crate::{
    edge::Directive,
    endpoint::{DecodeGuard, ServiceDefaults, Target, Verdict},
};

/// What an endpoint in another data centre counts against a near one, in slots' worth of load.
const REMOTE_PENALTY: f64 = 0.34;
/// What an endpoint counts that fails every attempt, in slots' worth of load.
const FAILURE_PENALTY: f64 = 4.0;

/// What another suspect at an endpoint counts for a request that endpoints have ended under, in slots' worth of load:
/// an idle endpoint elsewhere is better than one that may end under the other.
const SUSPECT_PENALTY: f64 = 2.0;

/// The part of the objective after which a silent endpoint is suspected, if the request may run again: an endpoint that
/// works answers sooner, and the rest is enough for another one.
const OBJECTIVES_PER_SUSPICION: u32 = 2;
/// A silent endpoint is given this much time at least.
const MIN_TIMEOUT: Duration = Duration::from_millis(30);

/// Serves a request.
pub async fn serve(job: Job) -> Result<Response<Body>, Reason> {
    if !job.ends_before_stop(job.route.objective) {
        return Err(Reason::Stopping);
    }
    let mut attempts = Attempts::default();
    // an endpoint's own failure, which is the answer unless another endpoint does better
    let mut failure: Option<(Answer, u32)> = None;
    let reason = loop {
        let Some(target) = choose(&job, attempts.tried()) else {
            break attempts.exhausted_refusal();
        };
        let writing = DecodeGuard::new(&target, false);
        let outcome = attempt(&job, &target, &attempts).await;
        match outcome {
            Ok(answer) if should_retry_failure(&job, &answer, &attempts) => {
                attempts.record_endpoint_failure(target);
                failure.get_or_insert((answer, attempts.runs()));
            }
            Ok(answer) => {
                if let Some((failure, _)) = failure {
                    failure.run.finish();
                }
                return Ok(relay::forward(job, answer, writing, attempts.runs() + 1));
            }
            Err(cause) => {
                drop(writing);
                let phase = Phase::Run;
                let failed = FailedAttempt {
                    target,
                    cause,
                    phase,
                };
                if let Err(reason) = attempts.record_failure(&job, failed) {
                    break reason;
                }
            }
        }
    };
    let (answer, attempts) = failure.ok_or(reason)?;
    let writing = DecodeGuard::new(&answer.target, false);
    Ok(relay::forward(job, answer, writing, attempts))
}

/// The endpoint with the least load in proportion to its slots; near ones first.
fn choose(job: &Job, tried: &[Arc<Target>]) -> Option<Arc<Target>> {
    let now = Instant::now();
    let fleet = job.gateway.registry.fleet(&job.service.name);
    let near = &job.gateway.settings.gateway.data_centre;
    let cut_off = job.gateway.peers.unreachable_data_centres();
    let suspect = job.gateway.is_suspect(job.fingerprint);
    let mut best: Option<(f64, &Arc<Target>)> = None;
    for target in fleet.subset() {
        if tried.iter().any(|other| other.id == target.id) {
            continue;
        }
        let Some(seen) = target.snapshot(now, &[], &ServiceDefaults::default()) else {
            continue;
        };
        if cut_off.contains(&seen.profile.data_centre) {
            continue;
        }
        let load = policy::to_f64(seen.load.decoding) / policy::to_f64(seen.profile.slots.max(1));
        let remote = if *seen.profile.data_centre == **near {
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
        // in time for another endpoint to answer within the objective
        let suspected = job.arrived + job.route.objective / OBJECTIVES_PER_SUSPICION;
        EarlyTimeout {
            suspicion: Suspicion::At(suspected.max(Instant::now() + MIN_TIMEOUT)),
            has_alternative: Box::new(|target| has_alternative(job, attempts, target)),
        }
    });
    let timeout = Timeout::with_early(job.deadline, early);
    attempt::send(job, target, &directive, timeout).await
}

/// Whether another endpoint would take the request than those that have had it and this one.
fn has_alternative(job: &Job, attempts: &Attempts, target: &Arc<Target>) -> bool {
    choose(job, &attempts.tried_with(target)).is_some()
}

/// Whether an endpoint's own failure is not the caller's answer yet: the request may run again, there
/// is time, another endpoint is there, and a repeat, which is reserved.
fn should_retry_failure(job: &Job, answer: &Answer, attempts: &Attempts) -> bool {
    let status = answer.head.status;
    if !status.is_server_error() {
        return false;
    }
    answer
        .target
        .record_verdict(Verdict::Failed, &job.metadata.id);
    let may = attempts.may_retry_after_next(job)
        && Instant::now() < job.objective
        && has_alternative(job, attempts, &answer.target)
        && job.arrivals.reserve_one(job);
    log::info!(
        request = job.metadata.id, endpoint = &*answer.target.id.0, status = status.as_u16(), may;
        "an endpoint failed a request"
    );
    may
}
