//! Streams a response to the caller as it arrives. If it fails midway, the transfer to the caller
//! is aborted too, so that an incomplete response never looks complete.

mod end;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use clock::Instant;
use derive_more::{Display, Error};
use futures::{StreamExt, TryStreamExt, stream};
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{
    Response, StatusCode,
    body::{Body as _, Frame, Incoming},
    header,
    http::response,
};

use end::EarlyEnd;

use super::{
    attempt::{self, Answer, Cause},
    events::EventBuffer,
    framing::Framing,
    generate::{
        self, Broken, is_long_answer,
        migrate::{self, Outcome, StoppedAnswer},
    },
    job::Job,
    silence::{Remedy, Silence},
};
use crate::{
    crashes::TIME_TO_CRASH,
    endpoint::{Build, Connection, DecodeGuard, Id, RequestGuard, Target, Verdict},
    process::Liveness,
    version::Kind,
};

/// The body of a response to a caller.
pub type Body = UnsyncBoxBody<Bytes, RelayError>;

/// Why a response could not be relayed completely.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum RelayError {
    /// The endpoint aborted its response.
    #[display("the endpoint broke its answer off")]
    Endpoint,
    /// The deadline of the request passed.
    #[display("the time of the request is over")]
    TimedOut,
    /// The path to the endpoint, or to the peer, is lost, and the caller would have given up soon.
    #[display("the path to the endpoint is lost")]
    PathLost,
}

/// An endpoint stops by itself at the deadline; its last bytes may arrive this much later.
pub const DEADLINE_GRACE: Duration = Duration::from_millis(200);

/// How many times an answer may migrate because its engine leaves or will change its stage. Each
/// migration sends the request to an endpoint once more.
const MAX_MIGRATIONS: u32 = 2;
/// Retries that a migration may use: one to resume on the new engine, and one to resume on the
/// previous engine if the new one refuses. They are reserved in advance, as a stopped answer must
/// not find the retry budget exhausted.
const MIGRATION_RETRIES: usize = 2;

/// How many engines may refuse to resume a broken stream before it is broken off; each refusal spends a retry.
const MAX_REFUSED_RESUMPTIONS: u32 = 3;

/// Media type of a stream of events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Creates a body from bytes that are all available.
pub fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A response on its way to the caller.
struct Relay {
    job: Job,
    status: StatusCode,
    upstream: Option<Upstream>,
    /// The endpoint that sends the response, or sent the last part of it.
    endpoint: Id,
    /// The build of that endpoint.
    build: Build,
    /// How that endpoint marks the end of the response.
    framing: Framing,
    /// Set for streams of events, which can be resumed on another endpoint.
    event_buffer: Option<EventBuffer>,
    attempts: u32,
    /// Number of migrations so far.
    migrations: u32,
    /// Where the answer is resumed once its current engine has stopped it.
    migration: Option<StoppedAnswer>,
    /// Whether the current engine was asked to stop the answer, and has not said that it did not.
    may_be_stopped: bool,
    /// What is known of the endpoint after a body that ended with its connection. Unless it listens, a crash that could not
    /// be confirmed may have cut the response, so that it does not clear its request.
    liveness: Liveness,
    events: u64,
    first_event: Option<Instant>,
    last_event: Option<Instant>,
    /// The longest time between two events so far.
    longest_gap: Duration,
    /// Whether the build that began the stream has been recorded.
    recorded: bool,
    logged: bool,
}

/// The endpoint's response that is currently relayed.
struct Upstream {
    body: Incoming,
    connection: Connection,
    target: Arc<Target>,
    last_event: Option<Instant>,
    first_event: Option<Instant>,
    /// Since when nothing has come: the last event, or the headers.
    silent_since: Instant,
    /// Whether the answer has been written for longer than it takes to crash an engine.
    outlasted_crash: bool,
    /// Time that the prompts in flight on the engine still needed when the last event arrived, in
    /// microseconds.
    remaining_prefill: Option<policy::Micros>,
    _decode_guard: DecodeGuard,
    /// The request in flight on the endpoint; `None` once its connection broke.
    guard: Option<RequestGuard>,
}

impl Upstream {
    fn new(answer: Answer, decode_guard: DecodeGuard) -> Self {
        Self {
            body: answer.body,
            connection: answer.connection,
            target: answer.target,
            last_event: None,
            first_event: None,
            silent_since: Instant::now(),
            outlasted_crash: false,
            remaining_prefill: None,
            _decode_guard: decode_guard,
            guard: Some(answer.guard),
        }
    }
}

/// Starts to relay a response. `attempts` counts the attempts in which the request ran or may have
/// run, this one included.
pub fn forward(
    job: Job,
    answer: Answer,
    decode_guard: DecodeGuard,
    attempts: u32,
) -> Response<Body> {
    let mut response = Response::new(());
    *response.status_mut() = answer.head.status;
    *response.headers_mut() = call::headers::end_to_end(&answer.head.headers);
    let streams = job.route.kind.is_stream() && is_event_stream(&answer.head);
    let mut event_buffer = streams.then(EventBuffer::default);
    if let (Some(event_buffer), Some(after)) = (&mut event_buffer, job.metadata.resume_after) {
        event_buffer.start_after(after);
    }
    let mut relay = Relay {
        status: answer.head.status,
        endpoint: answer.target.id.clone(),
        build: answer.build.clone(),
        framing: answer.framing(),
        upstream: Some(Upstream::new(answer, decode_guard)),
        job,
        event_buffer,
        attempts,
        migrations: 0,
        migration: None,
        may_be_stopped: false,
        liveness: Liveness::Listens,
        events: 0,
        first_event: None,
        last_event: None,
        longest_gap: Duration::ZERO,
        recorded: false,
        logged: false,
    };
    if relay
        .upstream
        .as_ref()
        .is_some_and(|upstream| upstream.body.is_end_stream())
    {
        // the body of a response without one is never polled
        relay.finish();
    }
    let chunks = stream::try_unfold(relay, |mut relay| async move {
        let chunk = relay.next_chunk().await?;
        Ok::<_, RelayError>(chunk.map(|chunk| (chunk, relay)))
    });
    response.map(|()| StreamBody::new(chunks.map_ok(Frame::data).boxed()).boxed_unsync())
}

/// Whether a response is a stream of events, if its route says so and nothing contradicts it.
fn is_event_stream(head: &response::Parts) -> bool {
    let content_type = head.headers.get(header::CONTENT_TYPE);
    let other_type = content_type.is_some_and(|content_type| {
        let media_type = content_type.as_bytes().get(..EVENT_STREAM.len());
        !media_type.is_some_and(|media_type| media_type.eq_ignore_ascii_case(EVENT_STREAM))
    });
    head.status.is_success() && !other_type
}

impl Relay {
    /// Returns the next bytes for the caller; `None` at the end of a complete response.
    async fn next_chunk(&mut self) -> Result<Option<Bytes>, RelayError> {
        loop {
            let is_overlong = self
                .event_buffer
                .as_ref()
                .is_some_and(EventBuffer::is_overlong);
            if is_overlong {
                self.record_end(Some(EarlyEnd::OverlongEvent));
                if self.resume().await {
                    continue;
                }
                return Err(self.fail(RelayError::Endpoint));
            }
            let may_migrate = self.may_migrate();
            let is_stream = self.event_buffer.is_some();
            let may_resume = self.may_resume();
            let last_event = self.last_event.unwrap_or(self.job.arrived);
            let longest_pause = (self.events > 1).then_some(self.longest_gap);
            let Some(upstream) = &mut self.upstream else {
                return Ok(None);
            };
            let silence = Silence {
                since: upstream.silent_since,
                last_event,
                longest_pause,
            };
            let (job, target) = (&self.job, &upstream.target);
            let goes_elsewhere = || {
                may_resume
                    && generate::has_room(job, &[Arc::clone(target)])
                    && job.sends.reserve_one(job)
            };
            let cutoff = self.job.deadline + DEADLINE_GRACE;
            let frame = tokio::select! {
                biased;
                frame = clock::timeout_at(cutoff, upstream.body.frame()) => frame,
                () = attempt::wait_for_termination(&upstream.target) => {
                    if self.resume().await {
                        continue;
                    }
                    return Err(self.fail(RelayError::Endpoint));
                }
                () = upstream.target.migration_needed(), if may_migrate => {
                    self.migrate().await;
                    continue;
                }
                // nobody leaves a plain response before its deadline
                remedy = silence.until_path_lost(job, target, goes_elsewhere), if is_stream => {
                    if self.leave_lost_path(remedy).await {
                        continue;
                    }
                    return Err(self.fail(RelayError::PathLost));
                }
            };
            match frame {
                Ok(Some(Ok(frame))) => {
                    let Ok(bytes) = frame.into_data() else {
                        continue;
                    };
                    // the body isn't polled again once its announced length has been passed on
                    let is_last = upstream.body.is_end_stream();
                    self.record_event();
                    let complete_events = match &mut self.event_buffer {
                        None => Some(bytes),
                        Some(event_buffer) => event_buffer.push(&bytes),
                    };
                    self.record_progress();
                    let ends = is_last && self.early_end().is_none();
                    let remainder = ends.then(|| self.finish()).flatten();
                    match (complete_events, remainder) {
                        (Some(complete_events), Some(remainder)) => {
                            return Ok(Some([complete_events, remainder].concat().into()));
                        }
                        (Some(chunk), None) | (None, Some(chunk)) => return Ok(Some(chunk)),
                        (None, None) => {}
                    }
                }
                Ok(None) if self.ends_complete().await => return Ok(self.finish()),
                Ok(None | Some(Err(_))) => {
                    let resumed = match self.migration.take() {
                        Some(next) => self.resume_migrated(next).await,
                        None => self.resume().await,
                    };
                    if !resumed {
                        return Err(self.fail(RelayError::Endpoint));
                    }
                }
                Err(_) => return Err(self.fail(RelayError::TimedOut)),
            }
        }
    }

    /// Records that the endpoint aborted its response, and checks whether it has crashed.
    async fn record_broken_connection(&mut self) {
        if let Some(upstream) = &mut self.upstream {
            if let Some(guard) = upstream.guard.take() {
                guard.connection_broke();
            }
            let gateway = &self.job.gateway;
            gateway
                .check_for_crash(&upstream.target, &self.job.metadata.id)
                .await;
        }
    }

    /// Records an event, and updates the engine's learnt latencies with the time since the previous
    /// one. Each data frame counts as one event.
    fn record_event(&mut self) {
        let now = Instant::now();
        self.events += 1;
        self.last_event = Some(now);
        if self.first_event.is_none() {
            self.first_event = Some(now);
            self.job.record_start(now);
        }
        let Some(upstream) = &mut self.upstream else {
            return;
        };
        let gap = upstream.last_event.replace(now).map(|last| now - last);
        if let (None, Some(guard)) = (gap, &upstream.guard) {
            guard.record_first_event();
        }
        let first_event = *upstream.first_event.get_or_insert(now);
        if !upstream.outlasted_crash && now - first_event > TIME_TO_CRASH {
            upstream.outlasted_crash = true;
            let crashes = &self.job.gateway.crashes;
            crashes.record_parts_served(&self.job.parts);
        }
        let gateway = &self.job.gateway;
        let defaults = gateway.service_defaults(&self.job.service.name);
        let remaining = upstream
            .target
            .with(|state| state.remaining_prefill_time(now, &defaults));
        let previous_remaining = std::mem::replace(&mut upstream.remaining_prefill, remaining);
        upstream.target.record_answer();
        upstream.silent_since = now;
        self.longest_gap = self.longest_gap.max(gap.unwrap_or_default());
        let engines = self.job.service.engines.as_ref();
        if let (Some(gap), Some(engines)) = (gap, engines) {
            let gap = policy::micros(gap);
            gateway.learn_latency(&upstream.target, |latency| {
                latency.observe_event(engines.tokens_per_event, gap, previous_remaining, remaining);
            });
        }
    }

    /// Records which event the caller has, and binds the stream to its build once there is one after which it could be
    /// continued, so that its caller can resume it at any gateway.
    fn record_progress(&mut self) {
        let last_id = self.event_buffer.as_ref().and_then(EventBuffer::last_id);
        let Some(last_id) = last_id else {
            return;
        };
        self.job.record_received(last_id);
        if self.recorded {
            return;
        }
        self.recorded = true;
        let job = &self.job;
        job.bind(&self.build);
        if job.route.kind == Kind::ResumableStream && !job.metadata.id.is_empty() {
            job.gateway
                .record_stream(job.stream_key(), &self.build, job.caller_deadline);
        }
    }

    /// Ends a complete response.
    fn finish(&mut self) -> Option<Bytes> {
        self.record_end(None);
        if self.migration.take().is_some() {
            // the answer ended before its engine stopped it
            self.job.sends.refund_reserved(&self.job);
        }
        self.log_outcome("answered");
        let remainder = self.event_buffer.as_mut().and_then(EventBuffer::finish);
        if let Some(upstream) = self.upstream.take() {
            if let Some(guard) = upstream.guard {
                guard.finish();
            }
            if self.status.is_success() && self.liveness == Liveness::Listens {
                let crashes = &self.job.gateway.crashes;
                crashes.record_served(self.job.fingerprint, &self.job.parts);
            }
            upstream
                .target
                .record_verdict(Verdict::Fine, &self.job.metadata.id);
            upstream.target.put_back_connection(upstream.connection);
        }
        remainder
    }

    fn fail(&mut self, error: RelayError) -> RelayError {
        let (outcome, verdict) = match error {
            RelayError::Endpoint => ("broken off by the endpoint", Some(Verdict::Failed)),
            RelayError::TimedOut => ("cut when its time was over", Some(self.verdict_at_cutoff())),
            // says nothing about the endpoint
            RelayError::PathLost => ("broken off as its path was lost", None),
        };
        self.log_outcome(outcome);
        if let (Some(upstream), Some(verdict)) = (self.upstream.take(), verdict) {
            upstream
                .target
                .record_verdict(verdict, &self.job.metadata.id);
        }
        error
    }

    /// Returns what it says about the endpoint that its response was cut: endpoints stop at the deadline by themselves,
    /// so one that still sent when the time for the last bytes was nearly over sends without end.
    fn verdict_at_cutoff(&self) -> Verdict {
        let last = self
            .upstream
            .as_ref()
            .and_then(|upstream| upstream.last_event);
        let goes_on = last.is_some_and(|last| last > self.job.deadline + DEADLINE_GRACE / 2);
        if goes_on {
            Verdict::Failed
        } else {
            Verdict::Fine
        }
    }

    /// Continues with the response of another endpoint.
    fn set_upstream(&mut self, answer: Answer, decode_guard: DecodeGuard) {
        let after = self.event_buffer.as_ref().and_then(EventBuffer::last_id);
        let continuations = &self.job.gateway.metrics.streams.continued;
        let label = match self.job.build() {
            None => "not-begun",
            Some(begun) if *begun == answer.build => "same",
            Some(_) => "other",
        };
        let labels = [&*self.job.service.name, label];
        continuations.with_label_values(&labels).inc();
        log::info!(
            request = self.job.metadata.id, from = &*self.endpoint.0, from_build:% = self.build,
            to = &*answer.target.id.0, to_build:% = answer.build, after, events = self.events;
            "a stream continues at another endpoint"
        );
        self.build = answer.build.clone();
        self.endpoint = answer.target.id.clone();
        self.framing = answer.framing();
        self.may_be_stopped = false;
        self.upstream = Some(Upstream::new(answer, decode_guard));
    }

    /// Whether the answer may be stopped to migrate. Only after an event with an id can another engine
    /// continue it; before that, it would be run again.
    fn may_migrate(&self) -> bool {
        let continues = |events: &EventBuffer| events.can_resume() && events.last_id().is_some();
        !self.may_be_stopped
            && self.migrations < MAX_MIGRATIONS
            && self.event_buffer.as_ref().is_some_and(continues)
            && is_long_answer(&self.job)
    }

    /// Makes the engine stop the answer so that it can be resumed on another one.
    async fn migrate(&mut self) {
        self.migrations += 1;
        let Some(upstream) = &self.upstream else {
            return;
        };
        if self.job.withheld().is_some() || !self.job.sends.reserve(&self.job, MIGRATION_RETRIES) {
            return;
        }
        let outcome = migrate::stop_and_copy(&self.job, &upstream.target).await;
        self.may_be_stopped = !matches!(outcome, Outcome::Stays);
        match outcome {
            Outcome::Stopped(stopped) => self.migration = Some(stopped),
            Outcome::Stays | Outcome::Unknown => self.job.sends.refund_reserved(&self.job),
        }
    }

    /// Resumes a stopped answer on the engine that it migrated to, or else on its previous engine.
    /// Returns whether that worked.
    async fn resume_migrated(&mut self, stopped: StoppedAnswer) -> bool {
        let resumed = self.try_resume_migrated(stopped).await;
        self.job.sends.refund_reserved(&self.job);
        resumed
    }

    async fn try_resume_migrated(&mut self, stopped: StoppedAnswer) -> bool {
        let Some(event_buffer) = self
            .event_buffer
            .as_mut()
            .filter(|events| events.can_resume())
        else {
            return false;
        };
        event_buffer.discard_partial();
        let after = event_buffer.last_id();
        self.upstream = None;
        let mut next = Some(stopped);
        while let Some(stopped) = next {
            match migrate::resume(&self.job, &stopped, after).await {
                Ok((answer, decode_guard)) => {
                    self.set_upstream(answer, decode_guard);
                    return true;
                }
                Err(cause) => {
                    log::warn!(request = self.job.metadata.id, cause:%; "a migrated stream could not be resumed");
                    let may_return =
                        cause.not_run() && !matches!(cause, Cause::Expired | Cause::CallerGone);
                    next = stopped.back_to_source().filter(|_| may_return);
                    // no further migration, as other engines are likely to refuse it too
                    self.migrations = MAX_MIGRATIONS;
                }
            }
        }
        false
    }

    /// Whether another endpoint may continue the stream.
    fn may_resume(&self) -> bool {
        let can_resume = self
            .event_buffer
            .as_ref()
            .is_some_and(EventBuffer::can_resume);
        self.job.route.kind == Kind::ResumableStream && can_resume
    }

    /// Resumes the stream on another endpoint after the last complete event. Returns whether that
    /// worked.
    async fn resume(&mut self) -> bool {
        self.record_broken_connection().await;
        if !self.may_resume() {
            return false;
        }
        if let Some(broken) = &self.upstream {
            broken
                .target
                .record_verdict(Verdict::Failed, &self.job.metadata.id);
        }
        self.resume_elsewhere().await
    }

    /// Leaves an endpoint whose path is lost. Returns whether another one continues the stream.
    async fn leave_lost_path(&mut self, remedy: Remedy) -> bool {
        let Some(upstream) = &self.upstream else {
            return false;
        };
        log::info!(
            request = self.job.metadata.id, endpoint = &*self.endpoint.0, remedy:?, events = self.events,
            silent_us = policy::micros(upstream.silent_since.elapsed()),
            path_lost_us = upstream.target.path_lost_for().map(policy::micros);
            "a stream leaves an endpoint whose path is lost"
        );
        match remedy {
            Remedy::Elsewhere => self.resume_elsewhere().await,
            Remedy::GiveUp => false,
        }
    }

    /// Resumes the stream on another endpoint than the current one, which is left. Returns whether that worked.
    async fn resume_elsewhere(&mut self) -> bool {
        let Some(event_buffer) = &mut self.event_buffer else {
            return false;
        };
        event_buffer.discard_partial();
        let after = event_buffer.last_id();
        let Some(broken) = self.upstream.take() else {
            return false;
        };
        let from = Arc::clone(&broken.target);
        drop(broken);
        self.try_resume(after, vec![from]).await
    }

    /// Tries one engine after the other, as long as attempts are left. Returns whether one continues the stream.
    async fn try_resume(&mut self, after: Option<u64>, mut tried: Vec<Arc<Target>>) -> bool {
        let mut refusals = 0;
        while self.attempts < self.job.route.max_attempts && refusals < MAX_REFUSED_RESUMPTIONS {
            let broken = Broken {
                after,
                last_event: self.last_event.unwrap_or(self.job.arrived),
                tried: &tried,
                may_retry: self.attempts + 1 < self.job.route.max_attempts,
            };
            let failed = match generate::resume(&self.job, &broken).await {
                Ok(Some((answer, decode_guard))) => {
                    self.attempts += 1;
                    self.set_upstream(answer, decode_guard);
                    return true;
                }
                Ok(None) => {
                    log::info!(
                        request = self.job.metadata.id, build:? = self.job.build().map(ToString::to_string),
                        tried = tried.len();
                        "no engine has room to resume a broken stream"
                    );
                    return false;
                }
                Err(failed) => failed,
            };
            let (cause, not_run) = (failed.cause, failed.not_run());
            log::info!(
                request = self.job.metadata.id, endpoint = &*failed.target.id.0, cause:%, not_run;
                "a broken stream could not be resumed"
            );
            if let Some(verdict) = cause.verdict() {
                failed.target.record_verdict(verdict, &self.job.metadata.id);
            }
            if matches!(
                cause,
                Cause::RetryBudgetExhausted
                    | Cause::Withheld
                    | Cause::Expired
                    | Cause::CallerGone
                    | Cause::ShuttingDown
            ) {
                return false;
            }
            refusals += u32::from(not_run);
            self.attempts += u32::from(!not_run);
            tried.push(failed.target);
        }
        false
    }

    /// Logs and counts how the request ended.
    fn log_outcome(&mut self, outcome: &str) {
        self.logged = true;
        let metrics = &self.job.gateway.metrics;
        let service = &*self.job.service.name;
        let duration = self.job.arrived.elapsed().as_secs_f64();
        metrics.answers.with_label_values(&[service, outcome]).inc();
        metrics
            .request_duration
            .with_label_values(&[service])
            .observe(duration);
        if let Some(first) = self.first_event {
            let first = (first - self.job.arrived).as_secs_f64();
            metrics
                .time_to_first_byte
                .with_label_values(&[service])
                .observe(first);
        }
        let first_us = self
            .first_event
            .map(|first| policy::micros(first - self.job.arrived));
        let upstream = self.upstream.as_ref();
        let silent_us = upstream.map(|upstream| policy::micros(upstream.silent_since.elapsed()));
        let path_lost_us = upstream
            .and_then(|upstream| upstream.target.path_lost_for())
            .map(policy::micros);
        let partial_bytes = self
            .event_buffer
            .as_ref()
            .map_or(0, EventBuffer::partial_len);
        log::info!(
            request = self.job.metadata.id, route = &*self.job.route.name, status = self.status.as_u16(),
            framing:% = self.framing, partial_bytes, attempts = self.attempts, moves = self.migrations, events = self.events, first_us,
            endpoint = &*self.endpoint.0, build:% = self.build, content:% = self.job.fingerprint,
            longest_gap_us = policy::micros(self.longest_gap), silent_us, path_lost_us,
            took_us = policy::micros(self.job.arrived.elapsed());
            "{outcome}"
        );
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.logged {
            self.log_outcome("left by the caller");
        }
    }
}
