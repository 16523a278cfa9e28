//! Requests to plain services: any endpoint serves them, the least loaded near one first.

use std::sync::Arc;

use hyper::Response;
use tokio::time::Instant;

use super::{
    attempt::{self, Answer, Cause},
    job::Job,
    pass::{self, Body},
    refusal::{Reason, SOON},
};
use crate::{
    edge::Directive,
    endpoint::{Target, Verdict, Writing},
};

/// What an endpoint in another data centre counts against a near one, in slots' worth of load.
const REMOTE: f64 = 0.34;
/// What an endpoint counts that fails every attempt, in slots' worth of load.
const FAILURES: f64 = 4.0;

/// Serves a request.
pub async fn serve(job: Job) -> Result<Response<Body>, Reason> {
    if !job.ends_before_stop(job.route.objective, job.time_left()) {
        return Err(Reason::Stopping);
    }
    let mut tried: Vec<Arc<Target>> = Vec::new();
    let mut sent = 0;
    loop {
        let Some(target) = choose(&job, &tried) else {
            return Err(give_up(&tried));
        };
        let writing = Writing::new(&target, false);
        let outcome = attempt(&job, &target).await;
        match outcome {
            Ok(answer) if another_may_do_better(&job, &answer, sent + 1) => {
                sent += 1;
                tried.push(target);
            }
            Ok(answer) => return Ok(pass::hand_on(job, answer, writing, sent + 1)),
            Err(cause) => {
                drop(writing);
                target.note(cause.verdict(), &job.ask.id);
                tried.push(target);
                sent += u32::from(cause.arrived());
                may_go_on(&job, cause, sent)?;
            }
        }
    }
}

fn give_up(tried: &[Arc<Target>]) -> Reason {
    if tried.is_empty() {
        Reason::NoEndpoint(SOON)
    } else {
        Reason::NotTaken(SOON)
    }
}

/// The endpoint with the least load in proportion to its slots; near ones first.
fn choose(job: &Job, tried: &[Arc<Target>]) -> Option<Arc<Target>> {
    let now = Instant::now();
    let fleet = job.gateway.registry.fleet(&job.service.name);
    let near = &job.gateway.settings.gateway.data_centre;
    let mut best: Option<(f64, &Arc<Target>)> = None;
    for target in fleet.targets() {
        if tried.iter().any(|other| other.id == target.id) {
            continue;
        }
        let Some(seen) = target.seen(now, &[]) else {
            continue;
        };
        let load = policy::real(seen.load.writing) / policy::real(seen.profile.slots.max(1));
        let remote = if *seen.profile.data_centre == **near {
            0.0
        } else {
            REMOTE
        };
        let cost = load + remote + seen.failures * FAILURES;
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, target));
        }
    }
    best.map(|(_, target)| Arc::clone(target))
}

async fn attempt(job: &Job, target: &Arc<Target>) -> Result<Answer, Cause> {
    let directive = Directive {
        time_left: job.time_left(),
        expect: Some(target.id.clone()),
        ..Directive::default()
    };
    attempt::send(job, target, &directive, job.deadline).await
}

/// Whether an endpoint's own failure is not the caller's answer yet: the request may run again, there
/// is time, and the budget has room.
fn another_may_do_better(job: &Job, answer: &Answer, sent: u32) -> bool {
    let status = answer.head.status;
    if !status.is_server_error() {
        return false;
    }
    answer.target.note(Verdict::Failed, &job.ask.id);
    let may = job.route.kind.repeats()
        && sent < job.route.attempts
        && Instant::now() < job.objective
        && job.gateway.spend_repeat(&job.service.name);
    log::info!(
        request = job.ask.id, endpoint = &*answer.target.id.0, status = status.as_u16(), sent, may;
        "an endpoint failed a request"
    );
    may
}

/// Whether another endpoint may be tried; otherwise what the caller is told.
pub fn may_go_on(job: &Job, cause: Cause, sent: u32) -> Result<(), Reason> {
    let repeats = cause.not_run() || job.route.kind.repeats();
    let time_left = !job.time_left().is_zero();
    let attempts_left = sent < job.route.attempts || cause.not_run();
    let may = repeats && time_left && attempts_left;
    // what was never sent is no repeat
    let paid = !cause.arrived() || (may && job.gateway.spend_repeat(&job.service.name));
    log::info!(
        request = job.ask.id, cause:%, sent, repeats, time_left, paid;
        "an attempt failed"
    );
    match () {
        () if may && paid => Ok(()),
        () if cause.not_run() && !time_left => Err(Reason::TooLate),
        () if cause.not_run() => Err(Reason::NotTaken(SOON)),
        () if !time_left => Err(Reason::DeadlinePassed),
        () => Err(Reason::AnswerLost),
    }
}
