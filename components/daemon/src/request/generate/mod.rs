//! One answer of engines: attempts, retries, resumption, and a truthful end.
//!
//! See `docs/DESIGN.md#whole-answers`.

mod attempt;
mod outcome;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use derive_more::{Display, Error};
use endpoint::{
    Failure,
    engine::{Done, FinishReason as End, Frame, Generate, KvSource},
};
use protocol::stream::{Assembler, Verdict};
use settings::tree::resolve::RetryPolicy;
use telemetry::timeline::Kind;

use attempt::{Cancel, Live};

use super::{
    Context,
    refusal::{Reason, Refusal},
};
use crate::process::{
    gates::Id,
    pool::{Grant, Pool, Requirements},
};

/// An answer that can't be finished.
#[derive(Clone, Debug, Display, Error)]
#[display("request {request}: {reason}")]
pub struct Broken {
    /// The request's number.
    pub request: String,
    /// Why.
    pub reason: Reason,
}

impl Broken {
    /// What the caller is told.
    pub fn refusal(&self) -> Refusal {
        self.reason.into()
    }
}

/// A part of an answer.
#[derive(Clone, Debug)]
pub struct Piece {
    /// Its text.
    pub text: String,
    /// Set on the last part.
    pub done: Option<Done>,
}

/// What is to be answered.
pub struct Job {
    /// The request.
    pub context: Context,
    /// The endpoints.
    pub pool: Arc<Pool>,
    /// What it needs of an engine.
    pub need: Requirements,
    /// Its prompt.
    pub prompt: String,
    /// Whether it may run twice.
    pub repeat: RetryPolicy,
}

/// An answer as it comes.
pub struct Stream {
    job: Job,
    assembler: Assembler,
    live: Option<Live>,
    attempts: u32,
    /// What was delivered; kept only while another engine might have to go on from it.
    text: String,
    began: Instant,
    /// Whether an attempt may have run that gave no answer.
    may_have_run: bool,
    whole: bool,
}

impl Stream {
    /// An answer of which nothing has been asked yet.
    pub fn new(job: Job) -> Self {
        Self {
            job,
            assembler: Assembler::new(0),
            live: None,
            attempts: 0,
            text: String::new(),
            began: Instant::now(),
            may_have_run: false,
            whole: false,
        }
    }

    /// Tokens delivered so far.
    pub fn written(&self) -> u64 {
        self.assembler.offset()
    }

    /// Whether the next part has come already.
    pub fn is_ready(&self) -> bool {
        let live = self.live.as_ref();
        live.is_some_and(|live| live.frames.is_ready())
    }

    /// The next part. After the last part, the one with `done`, it isn't called again.
    pub async fn next(&mut self) -> Result<Piece, Broken> {
        loop {
            let Some(live) = self.live.as_mut() else {
                self.start().await?;
                continue;
            };
            let deadline = self.job.need.deadline;
            let frame = tokio::time::timeout_at(deadline.into(), live.frames.next()).await;
            match frame {
                Ok(Ok(Some(frame))) => {
                    if let Some(piece) = self.take(frame).await? {
                        return Ok(piece);
                    }
                }
                // an orderly close before the final frame is a loss all the same
                Ok(Ok(None)) => self.fail(Failure::Lost)?,
                Ok(Err(failure)) => self.fail(failure)?,
                Err(_) => {
                    self.live = None;
                    self.may_have_run = true;
                    return Err(self.broken(Reason::DeadlinePassed));
                }
            }
        }
    }

    /// Finds engines and sends the attempt.
    async fn start(&mut self) -> Result<(), Broken> {
        self.attempts += 1;
        let waiting = Instant::now();
        let placed = self.job.pool.place(self.job.need.clone()).await;
        let metrics = &self.job.context.process.metrics;
        metrics
            .queue_time
            .with_label_values(&self.labels())
            .observe(waiting.elapsed().as_secs_f64());
        let grant = placed.map_err(|unplaced| {
            // what has run in part and can't go on isn't "not run"
            let reason = if self.may_have_run {
                Reason::AnswerLost
            } else {
                unplaced.into()
            };
            self.broken(reason)
        })?;
        let export = grant.second().is_some();
        let first = grant.first();
        match first {
            Some(at) => self.send(grant, at, None, export).await,
            None => Err(self.broken(Reason::NotTaken)),
        }
    }

    async fn send(
        &mut self,
        grant: Grant,
        at: (Id, SocketAddr),
        import: Option<KvSource>,
        export: bool,
    ) -> Result<(), Broken> {
        let attempt: u64 = rand::random();
        let need = &self.job.need;
        let (model, adapter, version) = need.model.clone();
        let generate = Generate {
            attempt,
            model,
            adapter,
            version,
            prompt: self.job.prompt.clone(),
            max_tokens: need.max_output_tokens,
            priority: need.priority,
            resume_from: self.assembler.offset(),
            resume_text: self.text.clone(),
            import,
            export,
        };
        let engine = self.job.context.process.engine.clone();
        self.assembler.resume(attempt);
        self.job.context.note(
            Kind::Dispatched,
            format!("attempt {attempt:016x} to {}", at.0),
        );
        let sent = Instant::now();
        let deadline = self.job.need.deadline;
        let answer = engine.generate(at.1, &generate);
        match tokio::time::timeout_at(deadline.into(), answer).await {
            Ok(Ok(frames)) => {
                self.live = Some(Live {
                    grant,
                    frames,
                    sent,
                    last: sent,
                    cancel: Cancel {
                        engine,
                        address: at.1,
                        attempt,
                        ended: false,
                    },
                    at,
                });
                Ok(())
            }
            Ok(Err(failure)) => {
                drop(grant);
                self.again(&at.0, failure)
            }
            Err(_) => Err(self.broken(Reason::DeadlinePassed)),
        }
    }

    /// Takes a frame; none when it brings nothing for the caller.
    async fn take(&mut self, frame: Frame) -> Result<Option<Piece>, Broken> {
        let exported = frame.done.is_some_and(|done| done.reason == End::Exported);
        let enough = self.assembler.offset() + frame.tokens >= self.job.need.max_output_tokens;
        let last = frame.done.is_some() && (!exported || enough);
        let verdict = self
            .assembler
            .take(frame.attempt, frame.offset, frame.tokens, last);
        match verdict {
            Ok(Verdict::Deliver) => {}
            Ok(verdict) => {
                self.drop_frame(verdict);
                return Ok(None);
            }
            Err(broken) => {
                log::warn!("request {}: {broken}", self.job.context.id);
                self.fail(Failure::Lost)?;
                return Ok(None);
            }
        }
        self.learn(&frame);
        self.may_have_run = true;
        if self.job.repeat == RetryPolicy::Allowed {
            self.text.push_str(&frame.text);
        }
        let done = frame.done.filter(|_| last);
        match () {
            () if last => self.finish(),
            () if exported => self.hand_over().await?,
            () => {}
        }
        Ok(Some(Piece {
            text: frame.text,
            done,
        }))
    }

    /// Service and group, the labels of this answer's metrics.
    fn labels(&self) -> [&str; 2] {
        [&self.job.pool.service, &self.job.need.group.1]
    }

    fn drop_frame(&self, verdict: Verdict) {
        let label = match verdict {
            Verdict::Foreign => "foreign",
            Verdict::Duplicate | Verdict::Deliver => "duplicate",
        };
        let metrics = &self.job.context.process.metrics;
        metrics.dropped_frames.with_label_values(&[label]).inc();
    }

    /// Goes on at the engine that writes, after another one has read.
    async fn hand_over(&mut self) -> Result<(), Broken> {
        let Some(mut live) = self.live.take() else {
            return Ok(());
        };
        live.cancel.ended = true;
        let kv = KvSource {
            address: live.at.1,
            attempt: live.cancel.attempt,
            tokens: self.job.need.prompt_tokens,
        };
        let Some(second) = live.grant.second() else {
            return Ok(());
        };
        self.send(live.grant, second, Some(kv), false).await?;
        if let Some(live) = self.live.as_mut() {
            live.grant.release_prefill_engine();
        }
        Ok(())
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        if !self.whole && self.live.is_some() {
            self.job.context.note(Kind::Cancelled, "the caller hung up");
        }
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
