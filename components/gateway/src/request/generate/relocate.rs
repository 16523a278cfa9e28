//! Long answers that go on at another engine, because theirs leaves or will change its stage.
//!
//! The answer stops, its memory is copied, and the same request is sent where the copy is. That counts
//! as the same run, so requests that may run only once can move as well.

use std::sync::Arc;

use policy::place::{self, Weights};

use super::view::{View, ask, is_long};
use crate::{
    edge::{Directive, Handle},
    endpoint::{Target, Writing},
    request::{
        attempt::{self, Answer, Cause},
        job::Job,
    },
};

/// Has an answer stopped where it is written, and its memory copied to another engine. Gives the engine
/// at which it goes on; none if it goes on where it is.
pub async fn stop(job: &Job, from: &Arc<Target>) -> Option<(Arc<Target>, Handle)> {
    let view = View::new(job, std::slice::from_ref(from));
    let weights = Weights::default();
    let at = place::choose_writer(&view.engines, &ask(job), &weights, rand::random())?;
    let to = &view.targets[at];
    let address = |target: &Target| target.with(|state| state.profile.address);
    let dialect = &job.gateway.edges.dialect;
    let call = dialect.relocation(&job.ask.id, address(to));
    let answer = attempt::call(from, call).await;
    let moved = answer
        .as_ref()
        .and_then(|(status, body)| dialect.relocated(address(from), *status, body));
    log::info!(
        request = job.ask.id, from = &*from.id.0, to = &*to.id.0,
        status = answer.map(|(status, _)| status.as_u16()), stopped = moved.is_some(),
        copied = moved.as_ref().is_some_and(|moved| moved.copied);
        "an answer leaves its engine"
    );
    let outcome = match &moved {
        None => "stayed",
        Some(moved) if moved.copied => "copied",
        Some(_) => "stopped",
    };
    let metrics = &job.gateway.metrics;
    metrics.moves.with_label_values(&[outcome]).inc();
    let moved = moved?;
    let target = if moved.copied { to } else { from };
    Some((Arc::clone(target), moved.handle))
}

/// Sends a stopped answer's request where it goes on, after the last event that was handed over.
pub async fn go_on(
    job: &Job,
    target: &Arc<Target>,
    handle: Handle,
    after: Option<u64>,
) -> Result<(Answer, Writing), Cause> {
    let writing = Writing::new(target, is_long(job));
    let directive = Directive {
        time_left: job.time_left(),
        expect: Some(target.id.clone()),
        handle: Some(handle),
        resume_after: after,
        ..Directive::default()
    };
    let answer = attempt::send(job, target, &directive, job.deadline).await?;
    Ok((answer, writing))
}
