//! Streams that their callers resume, after the connection or the gateway that brought the first part was lost.

use std::time::Duration;

use clock::Instant;

use super::{
    job::Job,
    refusal::{DEFAULT_RETRY_AFTER, Reason},
};
use crate::{
    endpoint::{Build, State},
    streams::{Search, Source},
    version::Kind,
};

/// A resumption is held for this fraction (1/n) of its remaining time at most, as are requests that wait for room.
const WAIT_DIVISOR: u32 = 4;
/// The longest time for which a resumption is held, as a multiple of the latency objective.
const MAX_WAIT_OBJECTIVES: u32 = 4;

/// How often a resumption looks whether the list of endpoints has arrived that holds those of its build.
const LIST_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Binds a request that resumes a stream to the build that began the stream.
///
/// # Errors
///
/// [`Reason::StreamUnknown`] or [`Reason::BuildGone`] if the stream can't be resumed, [`Reason::NoEndpoint`] if no
/// endpoint is listed, or the list is out of date; the request did not run.
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
    let until = Instant::now() + max_wait(job);
    let found = find_build(job, until).await;
    let outcome = match &found {
        Some((build, _)) => wait_until_served(job, build, until)
            .await
            .map(|()| job.bind(build)),
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

/// Returns the build that began the stream, or `None` if that is not certain. Waits for what may still become known.
async fn find_build(job: &Job, until: Instant) -> Option<(Build, Source)> {
    let is_named = job.metadata.resumes.is_some();
    let search = Search {
        gateway: &job.gateway,
        arrived: job.received,
        service: &job.service.name,
        key: is_named.then(|| job.stream_key()),
    };
    search.run(&job.metadata.id, until).await
}

/// Returns how long a resumption may be held until the build that began its stream is known.
fn max_wait(job: &Job) -> Duration {
    (job.time_left() / WAIT_DIVISOR)
        .min(job.route.objective * MAX_WAIT_OBJECTIVES)
        .min(job.first_event_timeout())
}

/// Waits until an endpoint of a build may take the stream, as long as peers know a later list that may hold one.
///
/// # Errors
///
/// [`Reason::BuildGone`] if none does, [`Reason::NoEndpoint`] if the later list has not arrived by `until`.
async fn wait_until_served(job: &Job, build: &Build, until: Instant) -> Result<(), Reason> {
    loop {
        // read before the endpoints, so that they are those of a list as late as the peers'
        let is_old = job.gateway.has_old_endpoints();
        match is_served(job, build) {
            true => return Ok(()),
            false if !is_old => return Err(Reason::BuildGone),
            false if Instant::now() >= until => {
                return Err(Reason::NoEndpoint(DEFAULT_RETRY_AFTER));
            }
            false => clock::sleep(LIST_CHECK_INTERVAL).await,
        }
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
