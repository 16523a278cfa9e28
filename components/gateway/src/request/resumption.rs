//! Streams that their callers resume, after the connection or the gateway that brought the first part was lost.

use derive_more::Display;

use super::{
    job::Job,
    refusal::{DEFAULT_RETRY_AFTER, Reason},
};
use crate::{
    endpoint::{Build, State},
    version::Kind,
};

/// How it is known which build began a stream.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "kebab-case")]
enum Source {
    /// A record of this process or of a peer says so.
    Record,
    /// No other build has served the service lately.
    OnlyBuild,
}

/// Binds a request that resumes a stream to the build that began the stream.
///
/// # Errors
///
/// [`Reason::StreamUnknown`] or [`Reason::BuildGone`] if the stream can't be resumed, [`Reason::NoEndpoint`] if no
/// endpoint is listed; the request did not run.
pub async fn bind(job: &Job) -> Result<(), Reason> {
    let Some(after) = resumed_after(job) else {
        return Ok(());
    };
    if job
        .gateway
        .registry
        .builds()
        .of(&job.service.name)
        .is_empty()
    {
        return Err(Reason::NoEndpoint(DEFAULT_RETRY_AFTER));
    }
    let found = find_build(job).await;
    let outcome = match &found {
        Some((build, _)) if !is_served(job, build) => Err(Reason::BuildGone),
        Some((build, _)) => {
            job.bind(build);
            Ok(())
        }
        None => Err(Reason::StreamUnknown),
    };
    let source = found.as_ref().map(|(_, source)| source.to_string());
    log::info!(
        request = job.metadata.id, resumes = job.metadata.resumes, after, service = &*job.service.name,
        build:? = found.map(|(build, _)| build.to_string()), source,
        knows_earlier_builds = job.gateway.knows_earlier_builds(), up_ms = job.gateway.micros() / 1_000,
        left_ms = policy::micros(job.time_left()) / 1_000,
        refused:? = outcome.err().map(|reason| reason.to_string());
        "a caller resumes a stream"
    );
    let label = outcome.err().map_or("bound", Reason::label);
    let labels = [&*job.service.name, label];
    let metrics = &job.gateway.metrics;
    metrics.streams.resumed.with_label_values(&labels).inc();
    outcome
}

/// Returns the last event that the caller has of the stream that it resumes, zero if it does not say; `None` if the
/// request resumes none.
fn resumed_after(job: &Job) -> Option<u64> {
    let metadata = &job.metadata;
    let resumes = metadata.resume_after.is_some() || metadata.resumes.is_some();
    (job.route.kind == Kind::ResumableStream && resumes)
        .then(|| metadata.resume_after.unwrap_or_default())
}

/// Returns the build that began the stream, or `None` if that is not certain.
async fn find_build(job: &Job) -> Option<(Build, Source)> {
    let gateway = &job.gateway;
    let key = job.stream_key();
    let is_named = job.metadata.resumes.is_some();
    let known = gateway.known_stream(key).filter(|_| is_named);
    let builds = gateway.registry.builds().of(&job.service.name);
    match (known, builds.as_slice()) {
        (Some(begun), _) => begun.build().map(|build| (build, Source::Record)),
        (None, [only]) if gateway.knows_earlier_builds() => Some((only.clone(), Source::OnlyBuild)),
        (None, _) if is_named => {
            let begun = gateway.find_stream(key, &job.metadata.id).await?;
            begun.build().map(|build| (build, Source::Record))
        }
        (None, _) => None,
    }
}

/// Whether an endpoint of a build may take the stream, at once or later.
fn is_served(job: &Job, build: &Build) -> bool {
    let fleet = job.gateway.registry.fleet(&job.service.name);
    fleet.targets().iter().any(|target| {
        target.with(|state| {
            let takes_streams = state.profile.state == State::Ready || state.may_continue_streams();
            state.profile.build == *build && takes_streams
        })
    })
}
