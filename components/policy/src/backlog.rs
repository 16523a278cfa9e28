//! What an engine still has to read, between the words of those who sent it there.
//!
//! Who sends a prompt knows when it begins and when it has ended, and nothing between. Counting all of it
//! until its end shows an engine that has nearly read a long prompt as full as one that has just begun,
//! and an engine with a long queue as a fast one, since little of what was counted was left.

use crate::{Micros, to_f64};

/// The work that is left at an engine, as of one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Backlog {
    work: f64,
    updated_at: Micros,
}

/// The part of what is under way that is left when it should have ended and nobody has said so.
const OVERDUE_RATIO: f64 = 0.3;

impl Backlog {
    /// The work that is left now: what was left before, less what the engine has read since at its pace.
    /// Never more than what is under way there by all that is known, and never less than a part of it: what
    /// should have ended and hasn't is behind.
    #[must_use]
    pub fn remaining(&self, now: Micros, read_us: f64, under_way: u64) -> f64 {
        let read = to_f64(now.saturating_sub(self.updated_at)) / read_us.max(f64::MIN_POSITIVE);
        let under_way = to_f64(under_way);
        (self.work - read).clamp(under_way * OVERDUE_RATIO, under_way)
    }

    /// Adds work that is sent there now, besides what was under way before.
    pub fn add(&mut self, now: Micros, read_us: f64, under_way: u64, work: u64) {
        self.work = self.remaining(now, read_us, under_way) + to_f64(work);
        self.updated_at = now;
    }
}
