//! Whether a failed attempt may be retried.

use std::collections::VecDeque;

use crate::{Micros, to_f64};

/// What is known of a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureClass {
    /// The request certainly was not executed.
    NotExecuted,
    /// The request may have been executed.
    MaybeExecuted,
    /// Another attempt would fail the same way.
    Permanent,
}

/// A retry budget: a fraction of recent successes, so that retries do not flood a fleet that is already
/// failing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    credit: u32,
}

/// Credit that a retry spends; each success adds one.
const CREDIT_PER_RETRY: u32 = 10;
/// Maximum credit, with which a process also starts: twenty retries.
const MAX_CREDIT: u32 = 20 * CREDIT_PER_RETRY;

impl Default for Budget {
    fn default() -> Self {
        Self { credit: MAX_CREDIT }
    }
}

impl Budget {
    /// Records a success.
    pub fn record_success(&mut self) {
        self.credit = (self.credit + 1).min(MAX_CREDIT);
    }

    /// Spends one retry of the budget. Returns whether there was one.
    pub fn try_spend(&mut self) -> bool {
        let suffices = self.credit >= CREDIT_PER_RETRY;
        if suffices {
            self.credit -= CREDIT_PER_RETRY;
        }
        suffices
    }
}

/// Maximum number of attempts for one request, resumed ones included.
pub const MAX_ATTEMPTS: u32 = 6;

/// Whether another attempt may be made; if so, spends it from the budget.
#[must_use]
pub fn allow_retry(
    class: FailureClass,
    idempotent: bool,
    attempts: u32,
    time_left: Micros,
    time_needed: Micros,
    budget: &mut Budget,
) -> bool {
    let is_safe = match class {
        FailureClass::NotExecuted => true,
        FailureClass::MaybeExecuted => idempotent,
        FailureClass::Permanent => false,
    };
    is_safe && attempts < MAX_ATTEMPTS && time_left > time_needed && budget.try_spend()
}

/// What a window holds, and how many retries it allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Requests in the window.
    pub requests: u64,
    /// Retries in the window.
    pub retries: u64,
    /// Maximum number of retries in the window.
    pub allowed_retries: f64,
}

impl Usage {
    /// Whether one more retry is allowed.
    #[must_use]
    pub fn allows_retry(&self) -> bool {
        to_f64(self.retries) + 1.0 <= self.allowed_retries
    }
}

/// One process's part of a retry budget that several processes share without coordination: a ratio of
/// its own requests plus its share of the slack, over a sliding window.
#[derive(Clone, Debug)]
pub struct Window {
    span: Micros,
    /// Times of the requests in the window, the oldest first.
    requests: VecDeque<Micros>,
    /// Times of the retries in the window, the oldest first.
    retries: VecDeque<Micros>,
    /// Time until which retries of the process that this one replaced may still be in the window.
    inherited_until: Micros,
}

/// Safety factor on the allowed retries: the processes' windows are not aligned and a retry arrives
/// later than it was counted.
const USED_RATIO: f64 = 0.8;
/// Fraction of the ratio that a restarted process uses, with no slack, while retries of the previous
/// process may be in the window. That process may have used its whole part, so both together must stay
/// within the limit: `USED_RATIO * (1 + RESTARTED_RATIO) < 1`.
const RESTARTED_RATIO: f64 = 0.2;

impl Window {
    /// Creates an empty window of this length.
    #[must_use]
    pub fn new(span: Micros) -> Self {
        Self {
            span,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
            inherited_until: 0,
        }
    }

    /// Creates the window of a process that replaces another one at `now`.
    #[must_use]
    pub fn restarted(span: Micros, now: Micros) -> Self {
        Self {
            inherited_until: now + span,
            ..Self::new(span)
        }
    }

    /// Records a request.
    pub fn record_request(&mut self, now: Micros) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Returns what the window holds, and what it allows.
    pub fn usage(&mut self, now: Micros, ratio: f64, slack: f64) -> Usage {
        self.expire(now);
        let count = |times: &VecDeque<Micros>| u64::try_from(times.len()).unwrap_or(u64::MAX);
        let requests = count(&self.requests);
        let (ratio, slack) = if now < self.inherited_until {
            (ratio * RESTARTED_RATIO, 0.0)
        } else {
            (ratio, slack)
        };
        Usage {
            requests,
            retries: count(&self.retries),
            allowed_retries: (to_f64(requests) * ratio + slack) * USED_RATIO,
        }
    }

    /// Spends one retry if one is left. Returns the usage before it.
    pub fn try_spend(&mut self, now: Micros, ratio: f64, slack: f64) -> Usage {
        let usage = self.usage(now, ratio, slack);
        if usage.allows_retry() {
            self.retries.push_back(now);
        }
        usage
    }

    /// Refunds a retry that was spent at this time but not sent.
    pub fn refund(&mut self, spent_at: Micros) {
        if let Ok(index) = self.retries.binary_search(&spent_at) {
            self.retries.remove(index);
        }
    }

    fn expire(&mut self, now: Micros) {
        let start = now.saturating_sub(self.span);
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|time| *time < start) {
                times.pop_front();
            }
        }
    }
}
