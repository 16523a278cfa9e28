//! Long answers that go on at another engine, because theirs leaves or will change its stage.
//!
//! The answer stops, its memory is copied, and the same request is sent where the copy is. That counts
//! as the same run, so requests that may run only once can move as well.

use std::{sync::Arc, time::Duration};

use clock::Instant;
use policy::place::{self, Weights};

use super::view::{View, ask, is_long};
use crate::{
    edge::{Directive, Handle},
    endpoint::{Target, Writing},
    request::{
        attempt::{self, Answer, Cause},
        job::Job,
        timeout::Timeout,
    },
};

/// How long after an answer was asked to leave its engine it may go back there: an engine that leaves takes
/// nothing new two seconds after it has said so (`drain_ms` of the first deployments), and it takes some
/// time until that is known here.
const BACK: Duration = Duration::from_secs(1);

/// An answer that has stopped, and where it goes on.
pub struct Stopped {
    /// The engine at which it goes on.
    target: Arc<Target>,
    /// Its memory.
    handle: Handle,
    /// The engine at which it stopped, which keeps its memory until it is fetched.
    from: Arc<Target>,
    /// When it was asked to leave.
    since: Instant,
}

impl Stopped {
    /// The same, going on where it stopped: for when the other engine turns it away. None if it was that
    /// engine which did, or if it is too late.
    #[must_use]
    pub fn back(self) -> Option<Self> {
        let may = self.target.id != self.from.id && self.since.elapsed() < BACK;
        may.then(|| Self {
            target: Arc::clone(&self.from),
            ..self
        })
    }
}

/// Has an answer stopped where it is written, and its memory copied to another engine. None if it goes on
/// where it is.
pub async fn stop(job: &Job, from: &Arc<Target>) -> Option<Stopped> {
    let since = Instant::now();
    let view = View::new(job, std::slice::from_ref(from));
    let weights = Weights::default();
    let at = place::choose_decode_engine(&view.engines, &ask(job), &weights)?;
    let to = &view.targets[at];
    let address = |target: &Target| target.with(|state| state.profile.address);
    let dialect = &job.gateway.edges.dialect;
    let call = dialect.relocation(&job.ask.id, address(to));
    // the answer stops when the call comes, and how long its memory takes to copy depends on its size and the links: who
    // gives up on the call loses the answer
    let answer = attempt::call_within(job.time_left(), from, call).await;
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
    Some(Stopped {
        target: Arc::clone(target),
        handle: moved.handle,
        from: Arc::clone(from),
        since,
    })
}

/// Sends a stopped answer's request where it goes on, after the last event that was handed over.
pub async fn go_on(
    job: &Job,
    stopped: &Stopped,
    after: Option<u64>,
) -> Result<(Answer, Writing), Cause> {
    let target = &stopped.target;
    let writing = Writing::new(target, is_long(job));
    let directive = Directive {
        time_left: job.time_left(),
        expect: Some(target.id.clone()),
        handle: Some(stopped.handle.clone()),
        resume_after: after,
        ..Directive::default()
    };
    let answer = attempt::send(job, target, &directive, Timeout::until(job.deadline)).await?;
    Ok((answer.continuing()?, writing))
}
