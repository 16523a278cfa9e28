//! Hands an answer on as it comes. What breaks on the way stays visibly broken: the transfer to the
//! caller breaks off, so that a part never looks whole.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use clock::Instant;
use derive_more::{Display, Error};
use futures::{StreamExt, TryStreamExt, stream};
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{
    Response, StatusCode,
    body::{Body as _, Frame, Incoming},
};

use super::{
    attempt::{self, Answer},
    events::EventSplitter,
    generate::{
        self, is_long_answer,
        migrate::{self, StoppedAnswer},
    },
    job::Job,
};
use crate::{
    endpoint::{Connection, DecodeGuard, Id, RequestGuard, Target, Verdict},
    version::Kind,
};

/// A body towards a caller.
pub type Body = UnsyncBoxBody<Bytes, RelayError>;

/// An answer could not be handed on whole.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum RelayError {
    /// The endpoint broke off.
    #[display("the endpoint broke its answer off")]
    Endpoint,
    /// The time of the request is over.
    #[display("the time of the request is over")]
    TimedOut,
}

/// An endpoint stops by itself when its time is over; its last bytes may take this much longer.
const DEADLINE_GRACE: Duration = Duration::from_millis(200);

/// How often an answer goes on elsewhere because its engine is left: each time is an arrival more.
const MAX_MIGRATIONS: u32 = 2;
/// Arrivals beyond the first that a move may take: where the answer goes on, and where it stopped if that engine
/// turns it away. An answer that has stopped must not find the budget used up.
const MIGRATION_ARRIVALS: usize = 2;

/// A body that is whole.
pub fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// An answer on its way to the caller.
struct Relay {
    job: Job,
    status: StatusCode,
    source: Option<Source>,
    /// Who answers, or did last.
    endpoint: Id,
    /// Set for streams of events, which may go on at another endpoint.
    splitter: Option<EventSplitter>,
    attempts: u32,
    /// Times that it went on elsewhere because its engine was left.
    migrations: u32,
    /// The engine to which it goes next, once it has stopped where it is.
    migration: Option<StoppedAnswer>,
    events: u64,
    first_event: Option<Instant>,
    /// The longest time between two events.
    longest_gap: Duration,
    logged: bool,
}

/// Where the answer comes from just now.
struct Source {
    body: Incoming,
    link: Connection,
    target: Arc<Target>,
    last_event: Option<Instant>,
    /// The time that the prompts under way there would still take when the last event came, in microseconds.
    prefill_left: Option<policy::Micros>,
    _writing: DecodeGuard,
    /// The request under way there; none once its connection broke.
    run: Option<RequestGuard>,
}

impl Source {
    fn new(answer: Answer, writing: DecodeGuard) -> Self {
        Self {
            body: answer.body,
            link: answer.link,
            target: answer.target,
            last_event: None,
            prefill_left: None,
            _writing: writing,
            run: Some(answer.run),
        }
    }
}

/// Hands an answer on, after so many attempts.
pub fn forward(job: Job, answer: Answer, writing: DecodeGuard, attempts: u32) -> Response<Body> {
    let mut response = Response::new(());
    *response.status_mut() = answer.head.status;
    *response.headers_mut() = call::headers::end_to_end(&answer.head.headers);
    let streams = job.route.kind.is_stream() && answer.head.status.is_success();
    let mut splitter = streams.then(EventSplitter::default);
    if let (Some(splitter), Some(after)) = (&mut splitter, job.metadata.resume_after) {
        splitter.start_after(after);
    }
    let mut relay = Relay {
        status: answer.head.status,
        endpoint: answer.target.id.clone(),
        source: Some(Source::new(answer, writing)),
        job,
        splitter,
        attempts,
        migrations: 0,
        migration: None,
        events: 0,
        first_event: None,
        longest_gap: Duration::ZERO,
        logged: false,
    };
    if relay
        .source
        .as_ref()
        .is_some_and(|source| source.body.is_end_stream())
    {
        // nobody asks for the body of an answer that has none
        relay.finish();
    }
    let chunks = stream::try_unfold(relay, |mut relay| async move {
        let chunk = relay.next_chunk().await?;
        Ok::<_, RelayError>(chunk.map(|chunk| (chunk, relay)))
    });
    response.map(|()| StreamBody::new(chunks.map_ok(Frame::data).boxed()).boxed_unsync())
}

impl Relay {
    /// The next bytes for the caller; none at the end of a whole answer.
    async fn next_chunk(&mut self) -> Result<Option<Bytes>, RelayError> {
        loop {
            let Some(source) = &mut self.source else {
                return Ok(None);
            };
            let cutoff = self.job.deadline + DEADLINE_GRACE;
            let may_migrate = self.migration.is_none()
                && self.migrations < MAX_MIGRATIONS
                && is_long_answer(&self.job);
            let frame = tokio::select! {
                biased;
                frame = clock::timeout_at(cutoff, source.body.frame()) => frame,
                () = attempt::wait_for_termination(&source.target) => {
                    if self.resume().await {
                        continue;
                    }
                    return Err(self.fail(RelayError::Endpoint));
                }
                () = source.target.migration_needed(), if may_migrate => {
                    self.migrate().await;
                    continue;
                }
            };
            match frame {
                Ok(Some(Ok(frame))) => {
                    let Ok(bytes) = frame.into_data() else {
                        continue;
                    };
                    // nobody asks for more once an announced length has come
                    let last = source.body.is_end_stream();
                    self.learn_pace();
                    let whole = match &mut self.splitter {
                        None => Some(bytes),
                        Some(splitter) => splitter.push(&bytes),
                    };
                    let rest = last.then(|| self.finish()).flatten();
                    match (whole, rest) {
                        (Some(whole), Some(rest)) => {
                            return Ok(Some([whole, rest].concat().into()));
                        }
                        (Some(chunk), None) | (None, Some(chunk)) => return Ok(Some(chunk)),
                        (None, None) => {}
                    }
                }
                Ok(None) => return Ok(self.finish()),
                Ok(Some(Err(_))) => {
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

    /// Notes that the endpoint broke off, and finds out whether it has ended.
    async fn note_break(&mut self) {
        if let Some(source) = &mut self.source {
            if let Some(run) = source.run.take() {
                run.connection_broke();
            }
            let gateway = &self.job.gateway;
            gateway
                .check_for_crash(&source.target, &self.job.metadata.id)
                .await;
        }
    }

    /// Learns the engine's pace from the time between two events.
    fn learn_pace(&mut self) {
        let now = Instant::now();
        self.events += 1;
        self.first_event.get_or_insert(now);
        let Some(source) = &mut self.source else {
            return;
        };
        let gap = source.last_event.replace(now).map(|last| now - last);
        let gateway = &self.job.gateway;
        let common = gateway.common(&self.job.service.name);
        let left = source
            .target
            .with(|state| state.remaining_prefill_time(now, &common));
        let before = std::mem::replace(&mut source.prefill_left, left);
        source.target.record_progress();
        self.longest_gap = self.longest_gap.max(gap.unwrap_or_default());
        let engines = self.job.service.engines.as_ref();
        if let (Some(gap), Some(engines)) = (gap, engines) {
            let gap = policy::micros(gap);
            gateway.learn_pace(&source.target, |pace| {
                pace.observe_event(engines.tokens_per_event, gap, before, left);
            });
        }
    }

    /// The end of an answer that is whole.
    fn finish(&mut self) -> Option<Bytes> {
        let rest = self.splitter.as_mut().and_then(EventSplitter::finish);
        self.log_outcome("answered");
        if let Some(source) = self.source.take() {
            if let Some(run) = source.run {
                run.finish();
            }
            if self.status.is_success() {
                self.job.gateway.record_served(self.job.fingerprint);
            }
            source
                .target
                .record_verdict(Verdict::Fine, &self.job.metadata.id);
            source.target.return_connection(source.link);
        }
        rest
    }

    fn fail(&mut self, error: RelayError) -> RelayError {
        let (outcome, verdict) = match error {
            RelayError::Endpoint => ("broken off by the endpoint", Verdict::Failed),
            RelayError::TimedOut => ("cut when its time was over", Verdict::Fine),
        };
        self.log_outcome(outcome);
        if let Some(source) = self.source.take() {
            source.target.record_verdict(verdict, &self.job.metadata.id);
        }
        error
    }

    /// Has the answer stopped where it is, to go on at another engine.
    async fn migrate(&mut self) {
        self.migrations += 1;
        let Some(source) = &self.source else {
            return;
        };
        let withheld = self
            .job
            .gateway
            .withheld_for(self.job.fingerprint)
            .is_some();
        if withheld || !self.job.arrivals.reserve(&self.job, MIGRATION_ARRIVALS) {
            return;
        }
        self.migration = migrate::stop_and_copy(&self.job, &source.target).await;
        if self.migration.is_none() {
            self.job.arrivals.release(&self.job);
        }
    }

    /// Goes on where a stopped answer was moved to, or else where it stopped. Says whether that worked.
    async fn resume_migrated(&mut self, stopped: StoppedAnswer) -> bool {
        let resumed = self.try_resume_migrated(stopped).await;
        self.job.arrivals.release(&self.job);
        resumed
    }

    async fn try_resume_migrated(&mut self, stopped: StoppedAnswer) -> bool {
        let Some(splitter) = &mut self.splitter else {
            return false;
        };
        splitter.discard_partial();
        let after = splitter.last_id();
        self.source = None;
        let mut next = Some(stopped);
        while let Some(stopped) = next {
            match migrate::resume(&self.job, &stopped, after).await {
                Ok((answer, writing)) => {
                    self.endpoint = answer.target.id.clone();
                    self.source = Some(Source::new(answer, writing));
                    return true;
                }
                Err(cause) => {
                    log::warn!(request = self.job.metadata.id, cause:%; "a moved stream did not go on");
                    next = stopped.back_to_source().filter(|_| cause.not_run());
                    // it stays there, as the others are likely to turn it away too
                    self.migrations = MAX_MIGRATIONS;
                }
            }
        }
        false
    }

    /// Goes on at another endpoint after the last whole event. Says whether that worked.
    async fn resume(&mut self) -> bool {
        self.note_break().await;
        if self.job.route.kind != Kind::ResumableStream {
            return false;
        }
        let Some(splitter) = &mut self.splitter else {
            return false;
        };
        splitter.discard_partial();
        let after = splitter.last_id();
        let Some(broken) = self.source.take() else {
            return false;
        };
        broken
            .target
            .record_verdict(Verdict::Failed, &self.job.metadata.id);
        let from = Arc::clone(&broken.target);
        drop(broken);
        if self.attempts >= self.job.route.max_attempts {
            return false;
        }
        self.attempts += 1;
        match generate::resume(&self.job, after, &from).await {
            Ok((answer, writing)) => {
                self.endpoint = answer.target.id.clone();
                self.source = Some(Source::new(answer, writing));
                true
            }
            Err(cause) => {
                log::info!(request = self.job.metadata.id, cause:%; "a broken stream was not resumed");
                false
            }
        }
    }

    /// Says how the request ended.
    fn log_outcome(&mut self, outcome: &str) {
        self.logged = true;
        let metrics = &self.job.gateway.metrics;
        let service = &*self.job.service.name;
        let whole = self.job.arrived.elapsed().as_secs_f64();
        metrics.answers.with_label_values(&[service, outcome]).inc();
        metrics.whole.with_label_values(&[service]).observe(whole);
        if let Some(first) = self.first_event {
            let first = (first - self.job.arrived).as_secs_f64();
            metrics.first.with_label_values(&[service]).observe(first);
        }
        let first_us = self
            .first_event
            .map(|first| policy::micros(first - self.job.arrived));
        log::info!(
            request = self.job.metadata.id, route = &*self.job.route.name, status = self.status.as_u16(),
            attempts = self.attempts, moves = self.migrations, events = self.events, first_us,
            endpoint = &*self.endpoint.0, content:% = self.job.fingerprint,
            longest_gap_us = policy::micros(self.longest_gap),
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
