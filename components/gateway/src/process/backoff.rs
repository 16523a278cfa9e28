//! How the operators' lists are asked for: how long the store may wait, and pauses after failures.

use std::time::Duration;

use clock::Instant;

use super::Gateway;
use crate::edge::Cursor;

/// How long the store may wait for a change before it answers that there is none.
///
/// A call that was on its way when the store went silent is lost without a word. It must be noticed,
/// and the list read again, within the three seconds after the store's return that operators grant
/// (`stable_window_ms` of the first deployments); each call is paid for, so not much sooner.
const WAIT: Duration = Duration::from_millis(2_200);

/// How a list is read next.
pub fn next(revision: u64, answered: bool) -> Cursor {
    // a store that failed is asked for a plain answer until it gives one
    let wait = if answered { WAIT } else { Duration::ZERO };
    Cursor::After { revision, wait }
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
/// The longest pause while others look as often, and tell. Should none of them find the store, it is found
/// within the three seconds after its return that operators grant (`stable_window_ms` of the first
/// deployments).
const LONGEST_BESIDE_OTHERS: Duration = Duration::from_millis(1_500);
/// Between two looks at whether peers found the store: their heartbeat.
const LOOK: Duration = Duration::from_millis(100);

impl Default for Backoff {
    fn default() -> Self {
        Self { next: FIRST_PAUSE }
    }
}

impl Backoff {
    /// The pause before the next try.
    pub fn pause(&mut self, gateway: &Gateway) -> Pause {
        let own = &gateway.settings.gateway;
        let longest = if gateway
            .peers
            .has_preceding_store_probers(own.peers, &own.data_centre)
        {
            LONGEST_BESIDE_OTHERS
        } else {
            LONGEST_PAUSE
        };
        // processes that failed together do not come back together
        let part: f64 = rand::random_range(0.5..1.0);
        let pause = self.next.min(longest).mul_f64(part);
        self.next = (self.next * 2).min(LONGEST_BESIDE_OTHERS);
        Pause {
            until: Instant::now() + pause,
            answered: gateway.peers.is_store_available(),
        }
    }
}

/// A pause that ends sooner if the store answers a peer again.
#[derive(Clone, Copy, Debug)]
pub struct Pause {
    until: Instant,
    /// Whether the store answered a peer when it began: that it does so still is no news.
    answered: bool,
}

impl Pause {
    /// The time until the next look at whether it is over; none if it is.
    pub fn rest(&self, gateway: &Gateway) -> Option<Duration> {
        let left = self.until.saturating_duration_since(Instant::now());
        let found = !self.answered && gateway.peers.is_store_available();
        (!left.is_zero() && !found).then(|| left.min(LOOK))
    }
}
