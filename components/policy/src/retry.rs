//! Whether a failed attempt may be followed by another.

use std::collections::VecDeque;

use crate::{Micros, to_f64};

/// What is known of a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureClass {
    /// It certainly did not run.
    NotExecuted,
    /// It may have run.
    MaybeExecuted,
    /// Another attempt would end the same way.
    Permanent,
}

/// A budget of attempts after the first, a fraction of recent successes, so that a fleet in
/// trouble is not flooded by its own retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    credit: u32,
}

/// What a retry takes; each success adds one.
const CREDIT_PER_RETRY: u32 = 10;
/// The most that is saved up, and what a new daemon starts with: twenty retries.
const MAX_CREDIT: u32 = 20 * CREDIT_PER_RETRY;

impl Default for Budget {
    fn default() -> Self {
        Self { credit: MAX_CREDIT }
    }
}

impl Budget {
    /// Notes a success.
    pub fn record_success(&mut self) {
        self.credit = (self.credit + 1).min(MAX_CREDIT);
    }

    /// Takes one retry out of the budget, if there is one.
    pub fn try_spend(&mut self) -> bool {
        let enough = self.credit >= CREDIT_PER_RETRY;
        if enough {
            self.credit -= CREDIT_PER_RETRY;
        }
        enough
    }
}

/// The most attempts for one request, resumed ones included.
pub const MAX_ATTEMPTS: u32 = 6;

/// Whether another attempt may be made.
#[must_use]
pub fn allow_retry(
    class: FailureClass,
    repeatable: bool,
    attempts: u32,
    left: Micros,
    needed: Micros,
    budget: &mut Budget,
) -> bool {
    let allowed = match class {
        FailureClass::NotExecuted => true,
        FailureClass::MaybeExecuted => repeatable,
        FailureClass::Permanent => false,
    };
    allowed && attempts < MAX_ATTEMPTS && left > needed && budget.try_spend()
}

/// What a window counts, and the repeats that it allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Requests in the window.
    pub requests: u64,
    /// Repeats in the window.
    pub retries: u64,
    /// The most repeats that it may hold.
    pub allowed_retries: f64,
}

impl Usage {
    /// Whether one more repeat is allowed.
    #[must_use]
    pub fn allows_retry(&self) -> bool {
        to_f64(self.retries) + 1.0 <= self.allowed_retries
    }
}

/// Repeats that several deciders share without asking each other: each keeps to its own requests'
/// part and to its share of the slack, over a window that slides.
#[derive(Clone, Debug)]
pub struct Window {
    span: Micros,
    /// Times of requests in the window, the oldest first.
    requests: VecDeque<Micros>,
    /// Times of repeats in the window, the oldest first.
    retries: VecDeque<Micros>,
    /// Until then repeats of a process before this one may still be in the window.
    inherited_until: Micros,
}

/// The part of what is allowed that is used: the deciders' windows don't slide together, and a
/// repeat arrives later than it was counted.
const USED_RATIO: f64 = 0.8;
/// The part of the ratio that a restarted process uses while repeats of the one before it may be in the window, and
/// nothing of the slack. That one may have used all of its part, so both together must stay within the whole:
/// `USED * (1 + RESTARTED) < 1`.
const RESTARTED_RATIO: f64 = 0.2;

impl Window {
    /// An empty window of a span.
    #[must_use]
    pub fn new(span: Micros) -> Self {
        Self {
            span,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
            inherited_until: 0,
        }
    }

    /// The window of a process that starts where another one ran until now.
    #[must_use]
    pub fn restarted(span: Micros, now: Micros) -> Self {
        Self {
            inherited_until: now + span,
            ..Self::new(span)
        }
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Micros) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// What the window counts, and what is allowed in it.
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

    /// Takes one repeat, if there is one left. Says what the window held before it.
    pub fn try_spend(&mut self, now: Micros, ratio: f64, slack: f64) -> Usage {
        let usage = self.usage(now, ratio, slack);
        if usage.allows_retry() {
            self.retries.push_back(now);
        }
        usage
    }

    /// Gives a repeat back that was taken at this time and did not become one.
    pub fn refund(&mut self, taken: Micros) {
        if let Ok(at) = self.retries.binary_search(&taken) {
            self.retries.remove(at);
        }
    }

    fn expire(&mut self, now: Micros) {
        let from = now.saturating_sub(self.span);
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|time| *time < from) {
                times.pop_front();
            }
        }
    }
}
