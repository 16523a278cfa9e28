//! Whether a failed attempt may be followed by another.

use crate::Micros;

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
