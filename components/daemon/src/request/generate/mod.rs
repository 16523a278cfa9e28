//! Generates one answer on engines: attempts, retries, resumption, and an error to the caller
//! unless the answer is complete.
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
    engine::{Done, FinishReason, Frame, Generate, KvSource},
};
use protocol::stream::{Assembler, Verdict};
use settings::tree::resolve::RetryPolicy;
use telemetry::timeline::Kind;

use attempt::{Attempt, CancelGuard};

use super::{
    Context,
    refusal::{Reason, Refusal},
};
use crate::process::{
    gates::Id,
    pool::{Grant, Pool, Requirements},
};

/// An answer that was aborted.
#[derive(Clone, Debug, Display, Error)]
#[display("request {request}: {reason}")]
pub struct Aborted {
    /// Request ID.
    pub request: String,
    /// Reason that the caller is given.
    pub reason: Reason,
}

impl Aborted {
    /// Builds the error response for the caller.
    pub fn refusal(&self) -> Refusal {
        self.reason.into()
    }
}

/// A chunk of an answer.
#[derive(Clone, Debug)]
pub struct Chunk {
    /// Generated text.
    pub text: String,
    /// Set on the last chunk.
    pub done: Option<Done>,
}

/// An answer to generate.
pub struct Job {
    /// State of the request.
    pub context: Context,
    /// Endpoints of the service.
    pub pool: Arc<Pool>,
    /// Requirements for placement.
    pub requirements: Requirements,
    /// Prompt as text.
    pub prompt: String,
    /// Whether a failed attempt may be retried.
    pub retry_policy: RetryPolicy,
}

/// An answer that is being generated.
pub struct Stream {
    job: Job,
    assembler: Assembler,
    current: Option<Attempt>,
    attempts: u32,
    /// Text delivered so far, from which another engine can resume. Empty if the request must not
    /// be retried.
    text: String,
    started: Instant,
    /// Whether any attempt may have been executed, at least in part.
    may_have_executed: bool,
    complete: bool,
}

impl Stream {
    /// Creates an answer; nothing is sent before the first call of `next`.
    pub fn new(job: Job) -> Self {
        Self {
            job,
            assembler: Assembler::new(0),
            current: None,
            attempts: 0,
            text: String::new(),
            started: Instant::now(),
            may_have_executed: false,
            complete: false,
        }
    }

    /// Returns the number of tokens delivered so far.
    pub fn tokens_delivered(&self) -> u64 {
        self.assembler.offset()
    }

    /// Whether a further frame has been received already.
    pub fn is_ready(&self) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|current| current.frames.is_ready())
    }

    /// Returns the next chunk. Must not be called again after the last one, which has `done` set.
    pub async fn next(&mut self) -> Result<Chunk, Aborted> {
        loop {
            let Some(current) = self.current.as_mut() else {
                self.start_attempt().await?;
                continue;
            };
            let deadline = self.job.requirements.deadline;
            let frame = tokio::time::timeout_at(deadline.into(), current.frames.next()).await;
            match frame {
                Ok(Ok(Some(frame))) => {
                    if let Some(chunk) = self.accept_frame(frame).await? {
                        return Ok(chunk);
                    }
                }
                // a clean close before the final frame is a lost answer, too
                Ok(Ok(None)) => self.fail_attempt(Failure::Lost)?,
                Ok(Err(failure)) => self.fail_attempt(failure)?,
                Err(_) => {
                    self.current = None;
                    self.may_have_executed = true;
                    return Err(self.abort(Reason::DeadlinePassed));
                }
            }
        }
    }

    /// Waits for a placement and sends the next attempt.
    async fn start_attempt(&mut self) -> Result<(), Aborted> {
        self.attempts += 1;
        let queued_at = Instant::now();
        let requirements = Requirements {
            received_tokens: self.assembler.offset(),
            ..self.job.requirements.clone()
        };
        let placed = self.job.pool.place(requirements).await;
        let metrics = &self.job.context.process.metrics;
        metrics
            .queue_time
            .with_label_values(&self.metric_labels())
            .observe(queued_at.elapsed().as_secs_f64());
        let grant = placed.map_err(|unplaced| {
            // if an earlier attempt was executed in part, the caller must not be told "not run"
            let reason = if self.may_have_executed {
                Reason::AnswerLost
            } else {
                unplaced.into()
            };
            self.abort(reason)
        })?;
        let export = grant.second().is_some();
        let first = grant.first();
        match first {
            Some(endpoint) => self.send(grant, endpoint, None, export).await,
            None => Err(self.abort(Reason::NotTaken)),
        }
    }

    async fn send(
        &mut self,
        grant: Grant,
        endpoint: (Id, SocketAddr),
        import: Option<KvSource>,
        export: bool,
    ) -> Result<(), Aborted> {
        let attempt: u64 = rand::random();
        let requirements = &self.job.requirements;
        let (model, adapter, version) = requirements.model.clone();
        let generate = Generate {
            attempt,
            model,
            adapter,
            version,
            prompt: self.job.prompt.clone(),
            max_tokens: requirements.max_output_tokens,
            priority: requirements.priority,
            resume_from: self.assembler.offset(),
            resume_text: self.text.clone(),
            import,
            export,
        };
        if self.job.context.is_caller_gone().await {
            return Err(self.abort(Reason::NotTaken));
        }
        let engine = self.job.context.process.engine.clone();
        self.assembler.resume(attempt);
        self.job.context.record(
            Kind::Dispatched,
            format!("attempt {attempt:016x} to {}", endpoint.0),
        );
        let sent_at = Instant::now();
        let deadline = self.job.requirements.deadline;
        let answer = engine.generate(endpoint.1, &generate);
        match tokio::time::timeout_at(deadline.into(), answer).await {
            Ok(Ok(frames)) => {
                self.current = Some(Attempt {
                    grant,
                    frames,
                    sent_at,
                    last_frame_at: sent_at,
                    cancel: CancelGuard {
                        engine,
                        address: endpoint.1,
                        attempt,
                        finished: false,
                    },
                    endpoint,
                });
                Ok(())
            }
            Ok(Err(failure)) => {
                drop(grant);
                self.retry_or_abort(&endpoint.0, failure)
            }
            Err(_) => Err(self.abort(Reason::DeadlinePassed)),
        }
    }

    /// Accepts a frame. Returns `None` if it was dropped or ended the attempt.
    async fn accept_frame(&mut self, frame: Frame) -> Result<Option<Chunk>, Aborted> {
        let exported = frame
            .done
            .is_some_and(|done| done.reason == FinishReason::Exported);
        let at_limit =
            self.assembler.offset() + frame.tokens >= self.job.requirements.max_output_tokens;
        let last = frame.done.is_some() && (!exported || at_limit);
        let verdict = self
            .assembler
            .accept(frame.attempt, frame.offset, frame.tokens, last);
        match verdict {
            Ok(Verdict::Deliver) => {}
            Ok(verdict) => {
                self.count_dropped_frame(verdict);
                return Ok(None);
            }
            Err(error) => {
                log::warn!(
                    "request {}: invalid frame from the engine: {error}",
                    self.job.context.id
                );
                self.fail_attempt(Failure::Lost)?;
                return Ok(None);
            }
        }
        self.record_latency(&frame);
        self.may_have_executed = true;
        if self.job.retry_policy == RetryPolicy::Allowed {
            self.text.push_str(&frame.text);
        }
        let done = frame.done.filter(|_| last);
        match () {
            () if last => self.finish(),
            () if exported => self.start_decode().await?,
            () => {}
        }
        Ok(Some(Chunk {
            text: frame.text,
            done,
        }))
    }

    /// Labels of this answer's metrics: service and group.
    fn metric_labels(&self) -> [&str; 2] {
        [&self.job.pool.service, &self.job.requirements.group.1]
    }

    fn count_dropped_frame(&self, verdict: Verdict) {
        let label = match verdict {
            Verdict::Foreign => "foreign",
            Verdict::Duplicate | Verdict::Deliver => "duplicate",
        };
        let metrics = &self.job.context.process.metrics;
        metrics.dropped_frames.with_label_values(&[label]).inc();
    }

    /// Starts decode on the second engine of a split placement, after prefill on the first.
    async fn start_decode(&mut self) -> Result<(), Aborted> {
        let Some(mut current) = self.current.take() else {
            return Ok(());
        };
        current.cancel.finished = true;
        let kv = KvSource {
            address: current.endpoint.1,
            attempt: current.cancel.attempt,
            tokens: self.job.requirements.prompt_tokens,
        };
        let Some(second) = current.grant.second() else {
            return Ok(());
        };
        self.send(current.grant, second, Some(kv), false).await?;
        if let Some(current) = self.current.as_mut() {
            current.grant.release_prefill_engine();
        }
        Ok(())
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        if !self.complete && self.current.is_some() {
            self.job
                .context
                .record(Kind::Cancelled, "the caller hung up");
        }
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
