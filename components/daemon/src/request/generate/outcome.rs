//! Measures the latency of answers, and handles the completion and failure of attempts.

use std::time::Instant;

use endpoint::{Failure, engine::Frame};
use policy::retry::{self, FailureClass};
use settings::tree::resolve::RetryPolicy;
use telemetry::timeline::Kind;

use super::{Aborted, Reason, Stream, micros};
use crate::process::{gates::Id, lock, pool};

/// One in this many inter-token latencies is sampled, so that most tokens take no lock.
const SAMPLE_INTERVAL_TOKENS: u64 = 8;

impl Stream {
    pub(super) fn record_latency(&mut self, frame: &Frame) {
        let Some(current) = self.current.as_mut() else {
            return;
        };
        let now = Instant::now();
        let is_first = current.last_frame_at == current.sent_at;
        let gap_us = micros(now - current.last_frame_at);
        let since_sent_us = micros(now - current.sent_at);
        current.last_frame_at = now;
        if is_first {
            current.grant.finish_prefill();
            let prompt = self.job.requirements.prompt_tokens;
            let blocks = &self.job.requirements.blocks;
            self.job.pool.with_entry(&current.endpoint.0, |entry| {
                // with other prompts in prefill the time isn't due to this one alone
                if entry.prefill_tokens.iter().all(|tokens| *tokens == 0) {
                    let cached = frame.done.map_or(0, |done| done.cached_tokens);
                    entry
                        .latency
                        .observe_first_token(prompt - cached.min(prompt), since_sent_us);
                }
                entry.record_prefill(blocks);
            });
            if frame.offset == 0 {
                let metrics = &self.job.context.process.metrics;
                metrics
                    .time_to_first_token
                    .with_label_values(&self.metric_labels())
                    .observe(self.started.elapsed().as_secs_f64());
            }
        } else if frame.offset.is_multiple_of(SAMPLE_INTERVAL_TOKENS) {
            self.job.pool.with_entry(&current.endpoint.0, |entry| {
                entry.decoded_tokens += SAMPLE_INTERVAL_TOKENS;
                let load = entry.to_engine(0);
                if load.prefill_tokens == 0 {
                    entry.latency.observe_step(load.decode_requests, gap_us);
                }
            });
        }
    }

    pub(super) fn finish(&mut self) {
        if let Some(current) = self.current.as_mut() {
            current.cancel.finished = true;
        }
        self.current = None;
        self.complete = true;
        let context = &self.job.context;
        let tokens = self.assembler.offset();
        let service = &self.job.pool.service;
        let group = &self.job.requirements.group.1;
        context.record(Kind::Finished, format!("{tokens} tokens"));
        self.job.pool.record_output_length(group, tokens);
        let process = &context.process;
        process.record_usage(
            group,
            pool::estimate_work(self.job.requirements.prompt_tokens, tokens),
        );
        lock(&process.retry_budget).record_success();
        let metrics = &process.metrics;
        let labels = [service.as_str(), group.as_str()];
        metrics
            .requests
            .with_label_values(&[service, group, "whole"])
            .inc();
        metrics.goodput.with_label_values(&labels).inc_by(tokens);
        metrics
            .request_duration
            .with_label_values(&labels)
            .observe(self.started.elapsed().as_secs_f64());
    }

    /// Ends the current attempt after a failure. Returns an error unless it may be retried.
    pub(super) fn fail_attempt(&mut self, failure: Failure) -> Result<(), Aborted> {
        let Some(current) = self.current.take() else {
            return Ok(());
        };
        let id = current.endpoint.0.clone();
        drop(current);
        self.may_have_executed = true;
        self.retry_or_abort(&id, failure)
    }

    pub(super) fn retry_or_abort(&mut self, failed: &Id, failure: Failure) -> Result<(), Aborted> {
        let class = if failure.not_executed() {
            FailureClass::NotExecuted
        } else {
            self.may_have_executed = true;
            FailureClass::MaybeExecuted
        };
        self.job.pool.with_entry(failed, pool::Entry::quarantine);
        self.job.requirements.avoid.push(failed.clone());
        // only the first attempt is bound by `start_by`; a retry has until the deadline
        self.job.requirements.start_by = self.job.requirements.deadline;
        let time_left = self
            .job
            .requirements
            .deadline
            .saturating_duration_since(Instant::now());
        let process = &self.job.context.process;
        // a request that must not be retried gets no second attempt once one may have been executed
        let idempotent = self.job.retry_policy == RetryPolicy::Allowed;
        let class = if self.may_have_executed && !idempotent {
            FailureClass::MaybeExecuted
        } else {
            class
        };
        let may_retry = retry::allow_retry(
            class,
            idempotent,
            self.attempts,
            micros(time_left),
            0,
            &mut lock(&process.retry_budget),
        );
        if !may_retry {
            let reason = if self.may_have_executed {
                Reason::AnswerLost
            } else {
                Reason::NotTaken
            };
            return Err(self.abort(reason));
        }
        let kind = if self.assembler.offset() > 0 {
            Kind::Resumed
        } else {
            Kind::Retried
        };
        self.job
            .context
            .record(kind, format!("{failed}: {failure}"));
        let reason = if failure.not_executed() {
            "not-run"
        } else {
            "unknown"
        };
        process.metrics.retries.with_label_values(&[reason]).inc();
        Ok(())
    }

    pub(super) fn abort(&self, reason: Reason) -> Aborted {
        let context = &self.job.context;
        context.record(Kind::Broken, reason.to_string());
        let labels = [
            self.job.pool.service.as_str(),
            self.job.requirements.group.1.as_str(),
            "broken",
        ];
        let metrics = &context.process.metrics;
        metrics.requests.with_label_values(&labels).inc();
        Aborted {
            request: context.id.clone(),
            reason,
        }
    }
}
