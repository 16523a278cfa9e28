//! Generations: placed on engines that read prompts and engines that write answers.

mod line;
mod read;
pub mod relocate;
mod run;
mod timing;
mod view;

use std::sync::Arc;

use hyper::Response;
use policy::place::{Choice, Placement};

use super::{
    attempt::{Answer, Cause},
    attempts::Attempts,
    job::Job,
    pass::{self, Body},
    refusal::Reason,
    timeout::Timeout,
};
use crate::endpoint::{Target, Writing};
use timing::Timing;
use view::View;

pub use line::Line;
pub use view::is_long;

/// Serves a generation.
pub async fn serve(job: Job) -> Result<Response<Body>, Reason> {
    let mut attempts = Attempts::default();
    let mut may_split = true;
    loop {
        let (view, choice) = place(&job, &attempts, may_split).await?;
        if !timing::ends_before_stop(&job, &view, &choice) {
            return Err(attempts.stop());
        }
        let timing = if attempts.is_fresh() {
            timing::decide(&job, &view, &choice)?
        } else {
            view.log_placement(&job, &choice, "placed again");
            Timing::InTime
        };
        let outcome = match (timing, choice.placement) {
            (Timing::Late(late), _) => {
                let wanted = read::Wanted::Late(late.prefill_us);
                run::split(&job, &view, late.engine, &attempts, wanted).await
            }
            (Timing::InTime, Placement::Single { engine }) => {
                let timeout = timing::timeout(&job, &attempts, choice.first_event_us);
                run::whole(&job, &view, engine, timeout, None).await
            }
            (Timing::InTime, Placement::Split { prefill, .. }) => {
                let wanted = read::Wanted::InTime(choice.first_event_us);
                run::split(&job, &view, prefill, &attempts, wanted).await
            }
        };
        match outcome {
            Ok((answer, writing)) => {
                if attempts.is_fresh() && timing == Timing::InTime {
                    let took = policy::micros(job.arrived.elapsed());
                    job.gateway
                        .learn_margin(&job.service.name, choice.first_event_us, took);
                }
                return Ok(pass::hand_on(job, answer, writing, attempts.runs() + 1));
            }
            Err(failed) => {
                // a second read and a second fetch would be two more arrivals
                may_split = failed.cause != Cause::NoHandle;
                attempts.fail(&job, failed)?;
            }
        }
    }
}

/// Places a request, and waits for room if no engine has any just now.
async fn place(job: &Job, attempts: &Attempts, may_split: bool) -> Result<(View, Choice), Reason> {
    let look = || {
        let mut view = View::new(job, attempts.tried());
        if !may_split {
            view.only_writers();
        }
        let choice = view.choose(job);
        (view, choice)
    };
    let line = job.gateway.line(&job.service.name);
    let (view, choice) = look();
    if attempts.is_fresh() {
        view::count(job, &view);
    }
    // others who wait go first
    if let Some(choice) = choice.filter(|_| line.len() == 0) {
        return Ok((view, choice));
    }
    if !view.may_get_room(line.len()) {
        return Err(attempts.give_up());
    }
    // what waits when the process ends gets no answer at all
    if !job.ends_before_stop(line::longest_wait(job)) {
        return Err(attempts.stop());
    }
    let ticket = line.join(job);
    while ticket.turn().await {
        if let (view, Some(choice)) = look() {
            return Ok((view, choice));
        }
    }
    Err(attempts.give_up())
}

/// Goes on with a stream that broke, on another engine.
pub async fn resume(
    job: &Job,
    after: Option<u64>,
    from: &Arc<Target>,
) -> Result<(Answer, Writing), Cause> {
    let view = View::new(job, std::slice::from_ref(from));
    let choice = view.choose(job).ok_or(Cause::TimeOver)?;
    let engine = match choice.placement {
        Placement::Single { engine } => engine,
        Placement::Split { decode, .. } => decode,
    };
    let resumed = run::whole(job, &view, engine, Timeout::until(job.deadline), after).await;
    let resumed = resumed
        .map_err(|failed| failed.cause)
        .and_then(|(answer, writing)| Ok((answer.continuing()?, writing)));
    if let Err(Some(verdict)) = resumed.as_ref().map_err(|cause| cause.verdict()) {
        view.targets[engine].note(verdict, &job.ask.id);
    }
    resumed
}
