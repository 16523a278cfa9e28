//! Long answers that go on at another engine, because theirs leaves or will change its stage.
//!
//! The answer stops, its memory is copied, and the same request is sent where the copy is. That counts
//! as the same run, so requests that may run only once can move as well.

use std::{sync::Arc, time::Duration};

use clock::Instant;
use policy::place::{self, Weights};

use super::snapshot::{Snapshot, is_long_answer, placement_request};
use crate::{
    edge::{Directive, KvHandle},
    endpoint::{DecodeGuard, Target},
    request::{
        attempt::{self, Answer, Cause},
        job::Job,
        timeout::Timeout,
    },
};

/// How long after an answer was asked to leave its engine it may go back there: an engine that leaves takes
/// nothing new two seconds after it has said so (`drain_ms` of the first deployments), and it takes some
/// time until that is known here.
const RETURN_WINDOW: Duration = Duration::from_secs(1);

/// An answer that has stopped, and where it goes on.
pub struct StoppedAnswer {
    /// The engine at which it goes on.
    target: Arc<Target>,
    /// Its memory.
    handle: KvHandle,
    /// The engine at which it stopped, which keeps its memory until it is fetched.
    source: Arc<Target>,
    /// When it was asked to leave.
    asked_at: Instant,
}

impl StoppedAnswer {
    /// The same, going on where it stopped: for when the other engine turns it away. None if it was that
    /// engine which did, or if it is too late.
    #[must_use]
    pub fn back_to_source(self) -> Option<Self> {
        let may = self.target.id != self.source.id && self.asked_at.elapsed() < RETURN_WINDOW;
        may.then(|| Self {
            target: Arc::clone(&self.source),
            ..self
        })
    }
}

/// Has an answer stopped where it is written, and its memory copied to another engine. None if it goes on
/// where it is.
pub async fn stop_and_copy(job: &Job, from: &Arc<Target>) -> Option<StoppedAnswer> {
    let asked_at = Instant::now();
    let snapshot = Snapshot::new(job, std::slice::from_ref(from));
    let weights = Weights::default();
    let at = place::choose_decode_engine(&snapshot.engines, &placement_request(job), &weights)?;
    let to = &snapshot.targets[at];
    let address = |target: &Target| target.with(|state| state.profile.address);
    let dialect = &job.gateway.adapters.dialect;
    let call = dialect.migration_call(&job.metadata.id, address(to));
    // the answer stops when the call comes, and how long its memory takes to copy depends on its size and the links: who
    // gives up on the call loses the answer
    let answer = attempt::call_with_timeout(job.time_left(), from, call).await;
    let migration = answer
        .as_ref()
        .and_then(|(status, body)| dialect.parse_migration(address(from), *status, body));
    log::info!(
        request = job.metadata.id, from = &*from.id.0, to = &*to.id.0,
        status = answer.map(|(status, _)| status.as_u16()), stopped = migration.is_some(),
        copied = migration.as_ref().is_some_and(|migration| migration.copied);
        "an answer leaves its engine"
    );
    let outcome = match &migration {
        None => "stayed",
        Some(migration) if migration.copied => "copied",
        Some(_) => "stopped",
    };
    let metrics = &job.gateway.metrics;
    metrics.moves.with_label_values(&[outcome]).inc();
    let migration = migration?;
    let target = if migration.copied { to } else { from };
    Some(StoppedAnswer {
        target: Arc::clone(target),
        handle: migration.handle,
        source: Arc::clone(from),
        asked_at,
    })
}

/// Sends a stopped answer's request where it goes on, after the last event that was handed over.
pub async fn resume(
    job: &Job,
    stopped: &StoppedAnswer,
    after: Option<u64>,
) -> Result<(Answer, DecodeGuard), Cause> {
    let target = &stopped.target;
    let writing = DecodeGuard::new(target, is_long_answer(job));
    let directive = Directive {
        timeout: job.time_left(),
        expected_endpoint: Some(target.id.clone()),
        handle: Some(stopped.handle.clone()),
        resume_after: after,
        ..Directive::default()
    };
    let answer = attempt::send(job, target, &directive, Timeout::at(job.deadline)).await?;
    Ok((answer.into_continuation()?, writing))
}
