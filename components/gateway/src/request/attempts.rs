//! The attempts of one request so far: endpoints tried, runs, and what counts against the retry
//! budget. Decides whether another attempt may follow, and otherwise determines the refusal.

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
pub enum Purpose {
    /// Prefill only, which doesn't count as a run.
    Read,
    /// Running the request.
    Run,
}

/// An attempt that failed.
#[derive(Debug)]
pub struct FailedAttempt {
    /// The endpoint on which it failed.
    pub target: Arc<Target>,
    /// Why it failed.
    pub cause: Cause,
    /// What it was for.
    pub purpose: Purpose,
}

impl FailedAttempt {
    /// Whether the request certainly did not run in this attempt.
    pub fn not_run(&self) -> bool {
        self.purpose == Purpose::Read || self.cause.not_run()
    }
}

/// The attempts of one request.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Endpoints on which it failed, without those that could not fetch a KV cache.
    tried: Vec<Arc<Target>>,
    /// Those of them that refused it, and may be tried again if there is no other.
    refused: Vec<Arc<Target>>,
    /// Those that may be or have been tried again after that.
    readmitted: Vec<Arc<Target>>,
    /// Attempts in which it ran or may have run.
    runs: u32,
    /// Those of them that the sender of a forwarded request has made, or has kept for another peer. The
    /// sender reports their outcome.
    sender_runs: u32,
    /// Attempts that failed.
    failures: u32,
}

impl Attempts {
    /// Continues after `runs` attempts that a peer has made or has kept for another one.
    pub fn continuing(runs: u32) -> Self {
        Self {
            runs,
            sender_runs: runs,
            ..Self::default()
        }
    }

    /// Returns the endpoints that must not be tried again: those on which the request failed,
    /// without those that could not fetch a KV cache.
    pub fn tried(&self) -> &[Arc<Target>] {
        &self.tried
    }

    /// Returns the endpoints that must not be tried again, and one more.
    pub fn tried_with(&self, target: &Arc<Target>) -> Vec<Arc<Target>> {
        let more = std::iter::once(target);
        self.tried.iter().chain(more).map(Arc::clone).collect()
    }

    /// Lets the endpoints be tried again that refused the request, once. Returns whether there are any.
    pub fn readmit_refused(&mut self) -> bool {
        if !self.readmitted.is_empty() || self.refused.is_empty() {
            return false;
        }
        self.readmitted = std::mem::take(&mut self.refused);
        let is_readmitted = |target: &Arc<Target>| contains(&self.readmitted, target);
        self.tried.retain(|target| !is_readmitted(target));
        true
    }

    /// Whether no attempt has failed yet.
    pub fn none_failed(&self) -> bool {
        self.failures == 0
    }

    /// Returns the number of attempts in which the request ran or may have run.
    pub fn runs(&self) -> u32 {
        self.runs
    }

    /// Whether the request can have run in an attempt of this process.
    fn may_have_run(&self) -> bool {
        self.runs > self.sender_runs
    }

    /// Whether the request may run once more if the next attempt is lost.
    pub fn may_retry_after_next(&self, job: &Job) -> bool {
        job.route.kind.is_retryable() && self.runs + 1 < job.route.max_attempts
    }

    /// Records that an endpoint failed the request itself, and that another endpoint is tried
    /// instead.
    pub fn record_endpoint_failure(&mut self, target: Arc<Target>) {
        self.runs += 1;
        self.failures += 1;
        self.tried.push(target);
    }

    /// Records that a peer may have run the request this often.
    pub fn record_lost_runs(&mut self, runs: u32) {
        self.runs += runs;
        self.failures += 1;
    }

    /// Whether the request may run again now.
    pub fn may_repeat(&self, job: &Job) -> bool {
        job.route.kind.is_retryable()
            && self.runs < job.route.max_attempts
            && !job.time_left().is_zero()
    }

    /// Returns the refusal of a request that may have run.
    pub fn lost_refusal(&self, job: &Job) -> Reason {
        self.refusal(!job.time_left().is_zero())
    }

    /// Records a failed attempt. Returns the refusal for the caller if no other attempt may follow.
    pub fn record_failure(&mut self, job: &Job, failed: FailedAttempt) -> Result<(), Reason> {
        let was_refused = matches!(failed.cause, Cause::NotRun(_));
        // a second refusal of the same request says no more of the endpoint than the first one
        let is_repeated = was_refused && contains(&self.readmitted, &failed.target);
        if let Some(verdict) = failed.cause.verdict().filter(|_| !is_repeated) {
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
        let is_retryable = not_run || job.route.kind.is_retryable();
        let has_time_left = !job.time_left().is_zero();
        let has_attempts_left = self.runs < job.route.max_attempts;
        let may_follow = !matches!(
            failed.cause,
            Cause::RetryBudgetExhausted | Cause::CallerGone | Cause::ShuttingDown
        );
        let withheld = job.withheld();
        log::info!(
            request = job.metadata.id, endpoint = &*failed.target.id.0, cause:% = failed.cause,
            phase:? = failed.purpose, runs = self.runs, not_run, repeats = is_retryable, left = has_time_left;
            "an attempt failed"
        );
        if was_refused {
            self.refused.push(Arc::clone(&failed.target));
        }
        if failed.cause == Cause::ShuttingDown {
            return Err(self.shutdown_refusal());
        }
        // an engine that could not fetch the KV cache can still prefill the prompt itself
        if !matches!(failed.cause, Cause::KvFetchFailed(_)) {
            self.tried.push(failed.target);
        }
        match withheld {
            None if is_retryable && has_time_left && has_attempts_left && may_follow => Ok(()),
            Some(withheld) if !self.may_have_run() => Err(Reason::Withheld(withheld.remaining)),
            None | Some(_) => Err(self.refusal(has_time_left)),
        }
    }

    /// Returns the refusal when no endpoint is left to try.
    pub fn exhausted_refusal(&self) -> Reason {
        if self.none_failed() {
            Reason::NoEndpoint(DEFAULT_RETRY_AFTER)
        } else {
            self.refusal(true)
        }
    }

    /// Returns the refusal when the process would shut down before another attempt ends. It says
    /// that nothing has run only if nothing can have run.
    pub fn shutdown_refusal(&self) -> Reason {
        if self.may_have_run() {
            self.refusal(true)
        } else {
            Reason::ShuttingDown
        }
    }

    fn refusal(&self, has_time_left: bool) -> Reason {
        match (self.may_have_run(), has_time_left) {
            (false, true) => Reason::AllRefused(DEFAULT_RETRY_AFTER),
            (false, false) => Reason::Expired,
            (true, true) => Reason::AnswerLost,
            (true, false) => Reason::DeadlineExceeded,
        }
    }
}

/// Counts how often one request is sent to endpoints, as the operators' retry budget counts it.
///
/// The first prefill that an engine accepts is free. One that an engine rejects or fails counts
/// like a run, and so does each further prefill. The first send that counts is the request itself,
/// and each further one is a retry. Whether a prefill is free is known only once it has been
/// accepted, so if it may become a retry, one is spent before it is sent and refunded once it is
/// accepted.
#[derive(Debug, Default)]
pub struct SendCounter(Mutex<Counters>);

#[derive(Debug, Default)]
struct Counters {
    /// Sends that count, the request itself included.
    counted: u32,
    /// Whether an engine has accepted the free prefill.
    free_prefill_used: bool,
    /// A prefill in flight that is free if the engine accepts it.
    pending: Option<PendingPrefill>,
    /// Retries spent in advance for the next attempts.
    reserved: Vec<RetryPermit>,
}

#[derive(Debug)]
struct PendingPrefill {
    /// The retry spent in case the prefill isn't accepted.
    retry: Option<RetryPermit>,
}

impl SendCounter {
    /// Continues the count of a peer.
    pub fn continuing(sends: u32) -> Self {
        Self(Mutex::new(Counters {
            counted: sends,
            ..Counters::default()
        }))
    }

    /// Returns how often the request was sent, as the retry budget counts it.
    pub fn count(&self) -> u32 {
        self.0.lock().counted
    }

    /// Records that a peer may have sent the request this often.
    pub fn record_lost_runs(&self, runs: u32) {
        self.0.lock().counted += runs;
    }

    /// Waits until it is known whether the retry budget allows the next send, if that is a retry.
    pub async fn wait_for_budget(&self, job: &Job) {
        let needs_retry = {
            let counters = self.0.lock();
            counters.counted > 0 && counters.reserved.is_empty()
        };
        if needs_retry {
            let gateway = &job.gateway;
            gateway
                .wait_for_retry_share(&job.service.name, job.deadline)
                .await;
        }
    }

    /// Counts a request that is about to be sent. Returns whether the budget allows it.
    pub fn record(&self, job: &Job, purpose: Purpose) -> bool {
        let mut counters = self.0.lock();
        let retry = match counters.counted {
            0 => None,
            _ => match counters.reserved.pop().or_else(|| spend_retry(job)) {
                None => return false,
                retry => retry,
            },
        };
        if purpose == Purpose::Read && !counters.free_prefill_used {
            counters.pending = Some(PendingPrefill { retry });
        } else {
            counters.counted += 1;
        }
        true
    }

    /// Reserves `count` retries of the budget for the next attempts. Returns whether there were as
    /// many; otherwise it reserves none.
    pub fn reserve(&self, job: &Job, count: usize) -> bool {
        let taken: Vec<RetryPermit> = (0..count).map_while(|_| spend_retry(job)).collect();
        let enough = taken.len() == count;
        self.0.lock().reserved.extend(taken);
        if !enough {
            self.refund_reserved(job);
        }
        enough
    }

    /// Reserves one retry for the next attempt if the budget has one.
    pub fn reserve_one(&self, job: &Job) -> bool {
        // checked first because every retry that is requested writes a log line
        job.gateway.has_retry_budget(&job.service.name) && self.reserve(job, 1)
    }

    /// Refunds the retries that were reserved and not used.
    pub fn refund_reserved(&self, job: &Job) {
        for retry in self.0.lock().reserved.drain(..) {
            refund_retry(job, &retry);
        }
    }

    /// Records that an engine accepted a prefill.
    pub fn record_prefill_accepted(&self, job: &Job) {
        let mut counters = self.0.lock();
        let Some(pending) = counters.pending.take() else {
            return;
        };
        counters.free_prefill_used = true;
        if let Some(retry) = pending.retry {
            refund_retry(job, &retry);
        }
    }

    /// Records that a prefill failed or was never sent.
    pub fn record_prefill_failed(&self) {
        let mut counters = self.0.lock();
        let pending = counters.pending.take();
        counters.counted += u32::from(pending.is_some());
    }
}

fn contains(targets: &[Arc<Target>], target: &Arc<Target>) -> bool {
    targets.iter().any(|other| Arc::ptr_eq(other, target))
}

fn spend_retry(job: &Job) -> Option<RetryPermit> {
    job.gateway.spend_retry(&job.service.name, &job.metadata.id)
}

fn refund_retry(job: &Job, retry: &RetryPermit) {
    let gateway = &job.gateway;
    gateway.refund_retry(&job.service.name, &job.metadata.id, retry);
}
