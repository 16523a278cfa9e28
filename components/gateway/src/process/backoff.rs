//! How the operators' lists are asked for: how long the store may wait, and pauses after failures.

use std::time::Duration;

use crate::edge::From;

/// How long the store may wait for a change before it answers that there is none.
///
/// A call that was on its way when the store went silent is lost without a word. It must be noticed,
/// and the list read again, within the three seconds after the store's return that operators grant
/// (`stable_window_ms` of the first deployments); each call is paid for, so not much sooner.
const WAIT: Duration = Duration::from_millis(2_200);

/// How a list is read next.
pub fn next(revision: u64, answered: bool) -> From {
    // a store that failed is asked for a plain answer until it gives one
    let wait = if answered { WAIT } else { Duration::ZERO };
    From::After { revision, wait }
}

/// A pause between two tries of a call that failed; each is twice the one before it.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    next: Duration,
}

/// The first pause: a lost answer alone is no reason to wait.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// The longest pause: a store that is back must be found well within the time that a configuration
/// has to be in force.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

impl Default for Backoff {
    fn default() -> Self {
        Self { next: FIRST_PAUSE }
    }
}

impl Backoff {
    /// The pause before the next try; each is twice the one before it.
    pub fn pause(&mut self) -> Duration {
        // processes that failed together do not come back together
        let part: f64 = rand::random_range(0.5..1.0);
        let pause = self.next.mul_f64(part);
        self.next = (self.next * 2).min(LONGEST_PAUSE);
        pause
    }
}
