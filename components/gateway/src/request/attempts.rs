//! What a request has cost so far: endpoints tried, what may have run, and arrivals that count as
//! repeats. Decides whether another attempt may follow, and otherwise what is true to tell the caller.

use std::sync::Arc;

use parking_lot::Mutex;

use super::{
    attempt::Cause,
    job::Job,
    refusal::{DEFAULT_RETRY_AFTER, Reason},
};
use crate::{endpoint::Target, process::RetryPermit};

/// What an attempt is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Reading the prompt only, which is no run.
    Read,
    /// Running the request.
    Run,
}

/// An attempt that failed.
#[derive(Debug)]
pub struct FailedAttempt {
    /// Where.
    pub target: Arc<Target>,
    /// Why.
    pub cause: Cause,
    /// What for.
    pub phase: Phase,
}

impl FailedAttempt {
    /// Whether the request certainly did not run in it.
    pub fn not_run(&self) -> bool {
        self.phase == Phase::Read || self.cause.not_run()
    }
}

/// The attempts of one request.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Endpoints that failed it.
    tried: Vec<Arc<Target>>,
    /// Attempts in which it ran or may have run.
    runs: u32,
    /// Attempts that failed.
    failures: u32,
}

impl Attempts {
    /// Endpoints that failed the request.
    pub fn tried(&self) -> &[Arc<Target>] {
        &self.tried
    }

    /// The same and one more.
    pub fn tried_with(&self, target: &Arc<Target>) -> Vec<Arc<Target>> {
        let more = std::iter::once(target);
        self.tried.iter().chain(more).map(Arc::clone).collect()
    }

    /// Whether nothing has failed yet.
    pub fn none_failed(&self) -> bool {
        self.failures == 0
    }

    /// Attempts that may have run so far.
    pub fn runs(&self) -> u32 {
        self.runs
    }

    /// Whether one more attempt may run after the next one, if that is lost.
    pub fn may_retry_after_next(&self, job: &Job) -> bool {
        job.route.kind.is_retryable() && self.runs + 1 < job.route.max_attempts
    }

    /// Takes an endpoint's own failure of the request, for which another endpoint is tried.
    pub fn record_endpoint_failure(&mut self, target: Arc<Target>) {
        self.runs += 1;
        self.failures += 1;
        self.tried.push(target);
    }

    /// Takes a failed attempt. Says what the caller is told, if no other may follow.
    pub fn record_failure(&mut self, job: &Job, failed: FailedAttempt) -> Result<(), Reason> {
        if let Some(verdict) = failed.cause.verdict() {
            failed.target.record_verdict(verdict, &job.metadata.id);
        }
        let labels = [&*job.service.name, failed.cause.label()];
        job.gateway
            .metrics
            .failures
            .with_label_values(&labels)
            .inc();
        self.failures += 1;
        let not_run = failed.not_run();
        self.runs += u32::from(!not_run);
        let repeats = not_run || job.route.kind.is_retryable();
        let left = !job.time_left().is_zero();
        let attempts = self.runs < job.route.max_attempts;
        let budget = failed.cause != Cause::RetryBudgetExhausted;
        let withheld = job.gateway.withheld_for(job.fingerprint);
        log::info!(
            request = job.metadata.id, endpoint = &*failed.target.id.0, cause:% = failed.cause,
            phase:? = failed.phase, runs = self.runs, not_run, repeats, left;
            "an attempt failed"
        );
        // an engine that could not fetch a handle can still read the prompt itself
        if failed.cause != Cause::KvFetchFailed {
            self.tried.push(failed.target);
        }
        match withheld {
            None if repeats && left && attempts && budget => Ok(()),
            Some(lapses) if self.runs == 0 => Err(Reason::Withheld(lapses)),
            None | Some(_) => Err(self.refusal(left)),
        }
    }

    /// What is true when nothing more is tried.
    pub fn exhausted_refusal(&self) -> Reason {
        if self.none_failed() {
            Reason::NoEndpoint(DEFAULT_RETRY_AFTER)
        } else {
            self.refusal(true)
        }
    }

    /// What is true when the process stops before another attempt would end: that nothing has run only if nothing may
    /// have.
    pub fn stopping_refusal(&self) -> Reason {
        if self.runs == 0 {
            Reason::Stopping
        } else {
            self.refusal(true)
        }
    }

    fn refusal(&self, left: bool) -> Reason {
        match (self.runs, left) {
            (0, true) => Reason::AllRefused(DEFAULT_RETRY_AFTER),
            (0, false) => Reason::Expired,
            (_, true) => Reason::AnswerLost,
            (_, false) => Reason::DeadlineExceeded,
        }
    }
}

/// Arrivals of one request at endpoints, as the operators' budget of repeats counts them.
///
/// The first read of the prompt that an engine accepts is free; one that an engine rejects or fails counts
/// like a run, and so does each further one. Of all that count the first is the request itself, and the rest
/// are repeats. Whether a read is free is known only when it has been accepted, so one that may become a
/// repeat is taken from the budget first and given back then.
#[derive(Debug, Default)]
pub struct Arrivals(Mutex<Counters>);

#[derive(Debug, Default)]
struct Counters {
    /// Arrivals that count.
    counted: u32,
    /// Whether the free read has been accepted.
    free_prefill_used: bool,
    /// A read under way that is free if it is accepted.
    pending: Option<PendingPrefill>,
    /// Repeats taken from the budget for arrivals to come.
    reserved: Vec<RetryPermit>,
}

#[derive(Debug)]
struct PendingPrefill {
    /// What was taken from the budget in case it is not.
    repeat: Option<RetryPermit>,
}

impl Arrivals {
    /// Counts an arrival that is about to be. Says whether the budget allows it.
    pub fn record(&self, job: &Job, phase: Phase) -> bool {
        let mut counters = self.0.lock();
        let repeat = match counters.counted {
            0 => None,
            _ => match counters.reserved.pop().or_else(|| spend_retry(job)) {
                None => return false,
                repeat => repeat,
            },
        };
        if phase == Phase::Read && !counters.free_prefill_used {
            counters.pending = Some(PendingPrefill { repeat });
        } else {
            counters.counted += 1;
        }
        true
    }

    /// Takes so many repeats from the budget before they are needed. Says whether it has them all; it takes none
    /// otherwise.
    pub fn reserve(&self, job: &Job, count: usize) -> bool {
        let taken: Vec<RetryPermit> = (0..count).map_while(|_| spend_retry(job)).collect();
        let enough = taken.len() == count;
        self.0.lock().reserved.extend(taken);
        if !enough {
            self.release(job);
        }
        enough
    }

    /// Takes a repeat from the budget for the next attempt, if there is one.
    pub fn reserve_one(&self, job: &Job) -> bool {
        // asked first, as each repeat that is requested has a line of the log
        job.gateway.has_retry_budget(&job.service.name) && self.reserve(job, 1)
    }

    /// Gives back the repeats that were reserved and not needed.
    pub fn release(&self, job: &Job) {
        for repeat in self.0.lock().reserved.drain(..) {
            return_retry(job, &repeat);
        }
    }

    /// Takes that an engine accepted to read the prompt.
    pub fn prefill_accepted(&self, job: &Job) {
        let mut counters = self.0.lock();
        let Some(pending) = counters.pending.take() else {
            return;
        };
        counters.free_prefill_used = true;
        if let Some(repeat) = pending.repeat {
            return_retry(job, &repeat);
        }
    }

    /// Takes that a read failed, or was never sent.
    pub fn prefill_failed(&self) {
        let mut counters = self.0.lock();
        let pending = counters.pending.take();
        counters.counted += u32::from(pending.is_some());
    }
}

fn spend_retry(job: &Job) -> Option<RetryPermit> {
    job.gateway.take_retry(&job.service.name, &job.metadata.id)
}

fn return_retry(job: &Job, repeat: &RetryPermit) {
    let gateway = &job.gateway;
    gateway.return_retry(&job.service.name, &job.metadata.id, repeat);
}
