//! Migration of long answers to another engine, because theirs is leaving or will change its stage.
//!
//! The engine stops the answer and copies its KV cache, and the same request is sent to the engine
//! that has the copy. That counts as the same run, so requests that may run only once can migrate
//! too.

use std::sync::Arc;

use clock::Instant;
use policy::place::{self, Weights};

use super::snapshot::{Snapshot, is_long_answer, placement_request};
use crate::{
    adapters::{Directive, KvHandle, MigrationReply},
    endpoint::{CONTINUATION_WINDOW, DecodeGuard, Target},
    request::{
        attempt::{self, Answer, Cause},
        job::Job,
        timeout::Timeout,
    },
};

/// A stopped answer, and where it is resumed.
pub struct StoppedAnswer {
    /// The engine on which it is resumed.
    target: Arc<Target>,
    /// Its KV cache.
    handle: KvHandle,
    /// The engine on which it stopped, which holds the KV cache until it is fetched.
    source: Arc<Target>,
    /// When the engine was asked to migrate the answer.
    asked_at: Instant,
}

impl StoppedAnswer {
    /// Returns the same answer with its previous engine as the target, for when the new engine
    /// refuses it. `None` if the previous engine itself refused it, or if too much time has passed.
    #[must_use]
    pub fn back_to_source(self) -> Option<Self> {
        let can_return =
            self.target.id != self.source.id && self.asked_at.elapsed() < CONTINUATION_WINDOW;
        can_return.then(|| Self {
            target: Arc::clone(&self.source),
            ..self
        })
    }
}

/// What became of an answer that was to migrate.
pub enum Outcome {
    /// It continues where it is.
    Stays,
    /// It has stopped and can be resumed.
    Stopped(StoppedAnswer),
    /// It may have stopped, but it is not known where it can be resumed.
    Unknown,
}

impl Outcome {
    /// Returns the value of the metric label.
    fn label(&self) -> &'static str {
        match self {
            Self::Stays => "stayed",
            Self::Stopped(stopped) if stopped.target.id == stopped.source.id => "stopped",
            Self::Stopped(_) => "copied",
            Self::Unknown => "unknown",
        }
    }
}

/// Makes an engine stop an answer and copy its KV cache to another engine.
pub async fn stop_and_copy(job: &Job, from: &Arc<Target>) -> Outcome {
    let asked_at = Instant::now();
    let snapshot = Snapshot::new(job, std::slice::from_ref(from));
    let weights = Weights::default();
    let request = placement_request(job);
    let Some(index) = place::choose_decode_engine(&snapshot.engines, &request, &weights) else {
        return Outcome::Stays;
    };
    let to = &snapshot.targets[index];
    let address = |target: &Target| target.with(|state| state.profile.address);
    let dialect = &job.gateway.adapters.dialect;
    let call = dialect.migration_call(&from.id, &job.metadata.id, address(to));
    // The engine stops the answer when it receives the call, and the time to copy the KV cache
    // depends on its size and the links. A shorter timeout would lose the answer.
    let answer = attempt::call_with_timeout(job.time_left(), from, call).await;
    let status = answer.as_ref().map(|(status, _)| status.as_u16());
    // a call that was lost may have taken effect
    let reply = answer.map_or(MigrationReply::Unclear, |(status, body)| {
        dialect.parse_migration(address(from), status, &body)
    });
    let outcome = match reply {
        MigrationReply::NotStopped => Outcome::Stays,
        MigrationReply::Unclear => Outcome::Unknown,
        MigrationReply::Stopped(migration) => Outcome::Stopped(StoppedAnswer {
            target: Arc::clone(if migration.copied { to } else { from }),
            handle: migration.handle,
            source: Arc::clone(from),
            asked_at,
        }),
    };
    log::info!(
        request = job.metadata.id, from = &*from.id.0, to = &*to.id.0, status,
        outcome = outcome.label();
        "asked an engine to migrate an answer"
    );
    let metrics = &job.gateway.metrics;
    metrics
        .migrations
        .with_label_values(&[outcome.label()])
        .inc();
    outcome
}

/// Sends the request of a stopped answer to the engine on which it is resumed, after the last event
/// that was delivered.
pub async fn resume(
    job: &Job,
    stopped: &StoppedAnswer,
    after: Option<u64>,
) -> Result<(Answer, DecodeGuard), Cause> {
    let target = &stopped.target;
    let decode_guard = DecodeGuard::new(target, is_long_answer(job));
    let directive = Directive {
        timeout: job.time_left(),
        expected_endpoint: Some(target.id.clone()),
        handle: Some(stopped.handle.clone()),
        resume_after: after,
        ..Directive::default()
    };
    let answer = attempt::send(job, target, &directive, Timeout::at(job.deadline)).await?;
    Ok((answer.into_continuation()?, decode_guard))
}
