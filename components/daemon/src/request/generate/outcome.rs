//! What is learnt from an answer, and what its end or its failure leads to.

use std::time::Instant;

use endpoint::{Failure, engine::Frame};
use policy::retry::{self, FailureClass};
use settings::tree::resolve::RetryPolicy;
use telemetry::timeline::Kind;

use super::{Broken, Reason, Stream, micros};
use crate::process::{gates::Id, lock, pool};

/// One in so many gaps between tokens is learnt from, so that a token costs no lock.
const SAMPLE: u64 = 8;

impl Stream {
    pub(super) fn learn(&mut self, frame: &Frame) {
        let Some(live) = self.live.as_mut() else {
            return;
        };
        let now = Instant::now();
        let first = live.last == live.sent;
        let gap = micros(now - live.last);
        let since = micros(now - live.sent);
        live.last = now;
        if first {
            live.grant.finish_prefill();
            let prompt = self.job.need.prompt_tokens;
            let blocks = &self.job.need.blocks;
            self.job.pool.with_entry(&live.at.0, |entry| {
                // with others in between the time is not this prompt's alone
                if entry.prefill_tokens.iter().all(|tokens| *tokens == 0) {
                    let cached = frame.done.map_or(0, |done| done.cached_tokens);
                    entry
                        .latency
                        .observe_first_token(prompt - cached.min(prompt), since);
                }
                entry.record_prefill(blocks);
            });
            if frame.offset == 0 {
                let metrics = &self.job.context.process.metrics;
                metrics
                    .time_to_first_token
                    .with_label_values(&self.labels())
                    .observe(self.began.elapsed().as_secs_f64());
            }
        } else if frame.offset.is_multiple_of(SAMPLE) {
            self.job.pool.with_entry(&live.at.0, |entry| {
                entry.decoded_tokens += SAMPLE;
                let seen = entry.to_engine(0);
                if seen.prefill_tokens == 0 {
                    entry.latency.observe_step(seen.decode_requests, gap);
                }
            });
        }
    }

    pub(super) fn finish(&mut self) {
        if let Some(live) = self.live.as_mut() {
            live.cancel.ended = true;
        }
        self.live = None;
        self.whole = true;
        let context = &self.job.context;
        let written = self.assembler.offset();
        let service = &self.job.pool.service;
        let group = &self.job.need.group.1;
        context.note(Kind::Finished, format!("{written} tokens"));
        self.job.pool.record_output(group, written);
        let process = &context.process;
        process.record_usage(
            group,
            pool::estimate_work(self.job.need.prompt_tokens, written),
        );
        lock(&process.retry_budget).record_success();
        let metrics = &process.metrics;
        let labels = [service.as_str(), group.as_str()];
        metrics
            .requests
            .with_label_values(&[service, group, "whole"])
            .inc();
        metrics.goodput.with_label_values(&labels).inc_by(written);
        metrics
            .request_duration
            .with_label_values(&labels)
            .observe(self.began.elapsed().as_secs_f64());
    }

    /// Ends the running attempt after a failure; another one follows if it may.
    pub(super) fn fail(&mut self, failure: Failure) -> Result<(), Broken> {
        let Some(live) = self.live.take() else {
            return Ok(());
        };
        let id = live.at.0.clone();
        drop(live);
        self.may_have_run = true;
        self.again(&id, failure)
    }

    pub(super) fn again(&mut self, failed: &Id, failure: Failure) -> Result<(), Broken> {
        let class = if failure.not_executed() {
            FailureClass::NotExecuted
        } else {
            self.may_have_run = true;
            FailureClass::MaybeExecuted
        };
        self.job.pool.with_entry(failed, pool::Entry::quarantine);
        self.job.need.avoid.push(failed.clone());
        // what has begun has until its deadline to go on
        self.job.need.start_by = self.job.need.deadline;
        let left = self
            .job
            .need
            .deadline
            .saturating_duration_since(Instant::now());
        let process = &self.job.context.process;
        // an attempt that may have run is the only one of a request that may not be repeated
        let repeatable = self.job.repeat == RetryPolicy::Allowed;
        let class = if self.may_have_run && !repeatable {
            FailureClass::MaybeExecuted
        } else {
            class
        };
        let more = retry::allow_retry(
            class,
            repeatable,
            self.attempts,
            micros(left),
            0,
            &mut lock(&process.retry_budget),
        );
        if !more {
            let reason = if self.may_have_run {
                Reason::AnswerLost
            } else {
                Reason::NotTaken
            };
            return Err(self.broken(reason));
        }
        let kind = if self.assembler.offset() > 0 {
            Kind::Resumed
        } else {
            Kind::Retried
        };
        self.job.context.note(kind, format!("{failed}: {failure}"));
        let reason = if failure.not_executed() {
            "not-run"
        } else {
            "unknown"
        };
        process.metrics.retries.with_label_values(&[reason]).inc();
        Ok(())
    }

    pub(super) fn broken(&self, reason: Reason) -> Broken {
        let context = &self.job.context;
        context.note(Kind::Broken, reason.to_string());
        let labels = [
            self.job.pool.service.as_str(),
            self.job.need.group.1.as_str(),
            "broken",
        ];
        let metrics = &context.process.metrics;
        metrics.requests.with_label_values(&labels).inc();
        Broken {
            request: context.id.clone(),
            reason,
        }
    }
}
