//! Estimates the prefill work that an engine has left between the start and end of each prompt.
//!
//! The sender of a prompt knows when its prefill starts and ends, and nothing in between. Counting the
//! whole prompt until its end would rate an engine that has almost finished a long prompt as loaded as
//! one that has just begun it. It would also make the learnt prefill time per token too short for an
//! engine with a long queue: the time of a prompt would be divided by work that was in part done before
//! the prompt arrived.

use crate::{Micros, to_f64};

/// The remaining prefill work of an engine at one point in time, in units of
/// [`crate::prompt::prefill_work`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Backlog {
    work: f64,
    updated_at: Micros,
}

/// Fraction of the work in flight that counts as remaining once it is overdue but not reported as done.
const OVERDUE_RATIO: f64 = 0.3;

impl Backlog {
    /// Returns the remaining work at `now`: the last value less what the engine has prefilled since.
    /// It is at most the work in flight, and at least `OVERDUE_RATIO` of it: an engine with overdue
    /// work is behind its estimate.
    #[must_use]
    pub fn remaining(&self, now: Micros, prefill_token_us: f64, in_flight: u64) -> f64 {
        let prefilled =
            to_f64(now.saturating_sub(self.updated_at)) / prefill_token_us.max(f64::MIN_POSITIVE);
        let in_flight = to_f64(in_flight);
        (self.work - prefilled).clamp(in_flight * OVERDUE_RATIO, in_flight)
    }

    /// Adds work that is sent to the engine at `now`; `in_flight` is the work in flight before it.
    pub fn add(&mut self, now: Micros, prefill_token_us: f64, in_flight: u64, work: u64) {
        self.work = self.remaining(now, prefill_token_us, in_flight) + to_f64(work);
        self.updated_at = now;
    }
}
