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
    events::Splitter,
    generate::{
        self, is_long,
        relocate::{self, Stopped},
    },
    job::Job,
};
use crate::{
    endpoint::{Id, Link, Run, Target, Verdict, Writing},
    version::Kind,
};

/// A body towards a caller.
pub type Body = UnsyncBoxBody<Bytes, Broken>;

/// An answer could not be handed on whole.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Broken {
    /// The endpoint broke off.
    #[display("the endpoint broke its answer off")]
    Endpoint,
    /// The time of the request is over.
    #[display("the time of the request is over")]
    TimeOver,
}

/// An endpoint stops by itself when its time is over; its last bytes may take this much longer.
const LAST_BYTES: Duration = Duration::from_millis(200);

/// How often an answer goes on elsewhere because its engine is left: each time is an arrival more.
const MOVES: u32 = 2;
/// Arrivals beyond the first that a move may take: where the answer goes on, and where it stopped if that engine
/// turns it away. An answer that has stopped must not find the budget used up.
const ARRIVALS: usize = 2;

/// A body that is whole.
pub fn whole(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// An answer on its way to the caller.
struct Passing {
    job: Job,
    status: StatusCode,
    source: Option<Source>,
    /// Who answers, or did last.
    endpoint: Id,
    /// Set for streams of events, which may go on at another endpoint.
    splitter: Option<Splitter>,
    attempts: u32,
    /// Times that it went on elsewhere because its engine was left.
    moves: u32,
    /// The engine to which it goes next, once it has stopped where it is.
    next: Option<Stopped>,
    events: u64,
    first: Option<Instant>,
    /// The longest time between two events.
    longest: Duration,
    ended: bool,
}

/// Where the answer comes from just now.
struct Source {
    body: Incoming,
    link: Link,
    target: Arc<Target>,
    last: Option<Instant>,
    /// The time that the prompts under way there would still take when the last event came, in microseconds.
    left: Option<policy::Micros>,
    _writing: Writing,
    /// The request under way there; none once its connection broke.
    run: Option<Run>,
}

impl Source {
    fn new(answer: Answer, writing: Writing) -> Self {
        Self {
            body: answer.body,
            link: answer.link,
            target: answer.target,
            last: None,
            left: None,
            _writing: writing,
            run: Some(answer.run),
        }
    }
}

/// Hands an answer on, after so many attempts.
pub fn hand_on(job: Job, answer: Answer, writing: Writing, attempts: u32) -> Response<Body> {
    let mut response = Response::new(());
    *response.status_mut() = answer.head.status;
    *response.headers_mut() = call::headers::end_to_end(&answer.head.headers);
    let streams = job.route.kind.streams() && answer.head.status.is_success();
    let mut splitter = streams.then(Splitter::default);
    if let (Some(splitter), Some(after)) = (&mut splitter, job.ask.resume_after) {
        splitter.start_after(after);
    }
    let mut passing = Passing {
        status: answer.head.status,
        endpoint: answer.target.id.clone(),
        source: Some(Source::new(answer, writing)),
        job,
        splitter,
        attempts,
        moves: 0,
        next: None,
        events: 0,
        first: None,
        longest: Duration::ZERO,
        ended: false,
    };
    if passing
        .source
        .as_ref()
        .is_some_and(|source| source.body.is_end_stream())
    {
        // nobody asks for the body of an answer that has none
        passing.finish();
    }
    let parts = stream::try_unfold(passing, |mut passing| async move {
        let part = passing.next().await?;
        Ok::<_, Broken>(part.map(|part| (part, passing)))
    });
    response.map(|()| StreamBody::new(parts.map_ok(Frame::data).boxed()).boxed_unsync())
}

impl Passing {
    /// The next bytes for the caller; none at the end of a whole answer.
    async fn next(&mut self) -> Result<Option<Bytes>, Broken> {
        loop {
            let Some(source) = &mut self.source else {
                return Ok(None);
            };
            let until = self.job.deadline + LAST_BYTES;
            let moves = self.next.is_none() && self.moves < MOVES && is_long(&self.job);
            let frame = tokio::select! {
                biased;
                frame = clock::timeout_at(until, source.body.frame()) => frame,
                () = attempt::ended(&source.target) => {
                    if self.resume().await {
                        continue;
                    }
                    return Err(self.fail(Broken::Endpoint));
                }
                () = source.target.left(), if moves => {
                    self.leave().await;
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
                    self.learn();
                    let whole = match &mut self.splitter {
                        None => Some(bytes),
                        Some(splitter) => splitter.push(&bytes),
                    };
                    let rest = last.then(|| self.finish()).flatten();
                    match (whole, rest) {
                        (Some(whole), Some(rest)) => {
                            return Ok(Some([whole, rest].concat().into()));
                        }
                        (Some(part), None) | (None, Some(part)) => return Ok(Some(part)),
                        (None, None) => {}
                    }
                }
                Ok(None) => return Ok(self.finish()),
                Ok(Some(Err(_))) => {
                    let goes_on = match self.next.take() {
                        Some(next) => self.go_on(next).await,
                        None => self.resume().await,
                    };
                    if !goes_on {
                        return Err(self.fail(Broken::Endpoint));
                    }
                }
                Err(_) => return Err(self.fail(Broken::TimeOver)),
            }
        }
    }

    /// Notes that the endpoint broke off, and finds out whether it has ended.
    async fn broke(&mut self) {
        if let Some(source) = &mut self.source {
            if let Some(run) = source.run.take() {
                run.broke();
            }
            let gateway = &self.job.gateway;
            gateway.look_for_end(&source.target, &self.job.ask.id).await;
        }
    }

    /// Learns the engine's pace from the time between two events.
    fn learn(&mut self) {
        let now = Instant::now();
        self.events += 1;
        self.first.get_or_insert(now);
        let Some(source) = &mut self.source else {
            return;
        };
        let gap = source.last.replace(now).map(|last| now - last);
        let gateway = &self.job.gateway;
        let common = gateway.common(&self.job.service.name);
        let left = source.target.with(|state| state.time_to_read(now, &common));
        let before = std::mem::replace(&mut source.left, left);
        source.target.progressed();
        self.longest = self.longest.max(gap.unwrap_or_default());
        let engines = self.job.service.engines.as_ref();
        if let (Some(gap), Some(engines)) = (gap, engines) {
            let gap = policy::micros(gap);
            gateway.learn_pace(&source.target, |pace| {
                pace.observe_event(engines.event_tokens, gap, before, left);
            });
        }
    }

    /// The end of an answer that is whole.
    fn finish(&mut self) -> Option<Bytes> {
        let rest = self.splitter.as_mut().and_then(Splitter::finish);
        self.log_end("answered");
        if let Some(source) = self.source.take() {
            if let Some(run) = source.run {
                run.answered();
            }
            if self.status.is_success() {
                self.job.gateway.note_served(self.job.content);
            }
            source.target.note(Verdict::Fine, &self.job.ask.id);
            source.target.give_back(source.link);
        }
        rest
    }

    fn fail(&mut self, broken: Broken) -> Broken {
        let (outcome, verdict) = match broken {
            Broken::Endpoint => ("broken off by the endpoint", Verdict::Failed),
            Broken::TimeOver => ("cut when its time was over", Verdict::Fine),
        };
        self.log_end(outcome);
        if let Some(source) = self.source.take() {
            source.target.note(verdict, &self.job.ask.id);
        }
        broken
    }

    /// Has the answer stopped where it is, to go on at another engine.
    async fn leave(&mut self) {
        self.moves += 1;
        let Some(source) = &self.source else {
            return;
        };
        let withheld = self.job.gateway.withheld(self.job.content).is_some();
        if withheld || !self.job.arrivals.reserve(&self.job, ARRIVALS) {
            return;
        }
        self.next = relocate::stop(&self.job, &source.target).await;
        if self.next.is_none() {
            self.job.arrivals.release(&self.job);
        }
    }

    /// Goes on where a stopped answer was moved to, or else where it stopped. Says whether that worked.
    async fn go_on(&mut self, stopped: Stopped) -> bool {
        let goes_on = self.go_on_at(stopped).await;
        self.job.arrivals.release(&self.job);
        goes_on
    }

    async fn go_on_at(&mut self, stopped: Stopped) -> bool {
        let Some(splitter) = &mut self.splitter else {
            return false;
        };
        splitter.forget();
        let after = splitter.last();
        self.source = None;
        let mut next = Some(stopped);
        while let Some(stopped) = next {
            match relocate::go_on(&self.job, &stopped, after).await {
                Ok((answer, writing)) => {
                    self.endpoint = answer.target.id.clone();
                    self.source = Some(Source::new(answer, writing));
                    return true;
                }
                Err(cause) => {
                    log::warn!(request = self.job.ask.id, cause:%; "a moved stream did not go on");
                    next = stopped.back().filter(|_| cause.not_run());
                    // it stays there, as the others are likely to turn it away too
                    self.moves = MOVES;
                }
            }
        }
        false
    }

    /// Goes on at another endpoint after the last whole event. Says whether that worked.
    async fn resume(&mut self) -> bool {
        self.broke().await;
        if self.job.route.kind != Kind::ResumableStream {
            return false;
        }
        let Some(splitter) = &mut self.splitter else {
            return false;
        };
        splitter.forget();
        let after = splitter.last();
        let Some(broken) = self.source.take() else {
            return false;
        };
        broken.target.note(Verdict::Failed, &self.job.ask.id);
        let from = Arc::clone(&broken.target);
        drop(broken);
        if self.attempts >= self.job.route.attempts {
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
                log::info!(request = self.job.ask.id, cause:%; "a broken stream was not resumed");
                false
            }
        }
    }

    /// Says how the request ended.
    fn log_end(&mut self, outcome: &str) {
        self.ended = true;
        let metrics = &self.job.gateway.metrics;
        let service = &*self.job.service.name;
        let whole = self.job.arrived.elapsed().as_secs_f64();
        metrics.answers.with_label_values(&[service, outcome]).inc();
        metrics.whole.with_label_values(&[service]).observe(whole);
        if let Some(first) = self.first {
            let first = (first - self.job.arrived).as_secs_f64();
            metrics.first.with_label_values(&[service]).observe(first);
        }
        let first_us = self
            .first
            .map(|first| policy::micros(first - self.job.arrived));
        log::info!(
            request = self.job.ask.id, route = &*self.job.route.name, status = self.status.as_u16(),
            attempts = self.attempts, moves = self.moves, events = self.events, first_us,
            endpoint = &*self.endpoint.0, content:% = self.job.content,
            longest_gap_us = policy::micros(self.longest),
            took_us = policy::micros(self.job.arrived.elapsed());
            "{outcome}"
        );
    }
}

impl Drop for Passing {
    fn drop(&mut self) {
        if !self.ended {
            self.log_end("left by the caller");
        }
    }
}
