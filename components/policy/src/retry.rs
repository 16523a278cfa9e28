//! Whether a failed attempt may be followed by another.

use std::collections::VecDeque;

use crate::{Micros, real};

/// What is known of a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// It certainly did not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// Another attempt would end the same way.
    Final,
}

/// A budget of attempts after the first, a fraction of recent successes, so that a fleet in
/// trouble is not flooded by its own retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    credit: u32,
}

/// What a retry takes; each success adds one.
const COST: u32 = 10;
/// The most that is saved up, and what a new daemon starts with: twenty retries.
const MOST: u32 = 20 * COST;

impl Default for Budget {
    fn default() -> Self {
        Self { credit: MOST }
    }
}

impl Budget {
    /// Notes a success.
    pub fn succeed(&mut self) {
        self.credit = (self.credit + 1).min(MOST);
    }

    /// Takes one retry out of the budget, if there is one.
    pub fn spend(&mut self) -> bool {
        let enough = self.credit >= COST;
        if enough {
            self.credit -= COST;
        }
        enough
    }
}

/// The most attempts for one request, resumed ones included.
pub const ATTEMPTS: u32 = 6;

/// Whether another attempt may be made.
#[must_use]
pub fn again(
    class: Class,
    repeatable: bool,
    attempts: u32,
    left: Micros,
    needed: Micros,
    budget: &mut Budget,
) -> bool {
    let allowed = match class {
        Class::NotRun => true,
        Class::Unknown => repeatable,
        Class::Final => false,
    };
    allowed && attempts < ATTEMPTS && left > needed && budget.spend()
}

/// What a window counts, and the repeats that it allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Requests in the window.
    pub requests: u64,
    /// Repeats in the window.
    pub repeats: u64,
    /// The most repeats that it may hold.
    pub allowed: f64,
}

impl Usage {
    /// Whether one more repeat is allowed.
    #[must_use]
    pub fn has_room(&self) -> bool {
        real(self.repeats) + 1.0 <= self.allowed
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
    repeats: VecDeque<Micros>,
    /// Until then repeats of a process before this one may still be in the window.
    inherited: Micros,
}

/// The part of what is allowed that is used: the deciders' windows don't slide together, and a
/// repeat arrives later than it was counted.
const USED: f64 = 0.8;
/// The part of the ratio that a restarted process uses while repeats of the one before it may be in the window, and
/// nothing of the slack. That one may have used all of its part, so both together must stay within the whole:
/// `USED * (1 + RESTARTED) < 1`.
const RESTARTED: f64 = 0.2;

impl Window {
    /// An empty window of a span.
    #[must_use]
    pub fn new(span: Micros) -> Self {
        Self {
            span,
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
            inherited: 0,
        }
    }

    /// The window of a process that starts where another one ran until now.
    #[must_use]
    pub fn restarted(span: Micros, now: Micros) -> Self {
        Self {
            inherited: now + span,
            ..Self::new(span)
        }
    }

    /// Counts a request.
    pub fn request(&mut self, now: Micros) {
        self.slide(now);
        self.requests.push_back(now);
    }

    /// What the window counts, and what is allowed in it.
    pub fn usage(&mut self, now: Micros, ratio: f64, slack: f64) -> Usage {
        self.slide(now);
        let count = |times: &VecDeque<Micros>| u64::try_from(times.len()).unwrap_or(u64::MAX);
        let requests = count(&self.requests);
        let (ratio, slack) = if now < self.inherited {
            (ratio * RESTARTED, 0.0)
        } else {
            (ratio, slack)
        };
        Usage {
            requests,
            repeats: count(&self.repeats),
            allowed: (real(requests) * ratio + slack) * USED,
        }
    }

    /// Takes one repeat, if there is one left. Says what the window held before it.
    pub fn spend(&mut self, now: Micros, ratio: f64, slack: f64) -> Usage {
        let usage = self.usage(now, ratio, slack);
        if usage.has_room() {
            self.repeats.push_back(now);
        }
        usage
    }

    /// Gives a repeat back that was taken at this time and did not become one.
    pub fn give_back(&mut self, taken: Micros) {
        if let Ok(at) = self.repeats.binary_search(&taken) {
            self.repeats.remove(at);
        }
    }

    fn slide(&mut self, now: Micros) {
        let from = now.saturating_sub(self.span);
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|time| *time < from) {
                times.pop_front();
            }
        }
    }
}
