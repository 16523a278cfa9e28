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
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(2_200);

/// How a list is read next.
pub fn next_read(revision: u64, answered: bool) -> Cursor {
    // a store that failed is asked for a plain answer until it gives one
    let wait = if answered {
        LONG_POLL_TIMEOUT
    } else {
        Duration::ZERO
    };
    Cursor::After { revision, wait }
}

/// A pause between two tries of a call that failed; each is twice the one before it.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    next_delay: Duration,
}

/// The first pause: a lost answer alone is no reason to wait.
const INITIAL_DELAY: Duration = Duration::from_millis(50);
/// The longest pause: a store that is back must be found well within the time that a configuration
/// has to be in force.
const MAX_DELAY: Duration = Duration::from_millis(500);
/// The longest pause while others look as often, and tell. Should none of them find the store, it is found
/// within the three seconds after its return that operators grant (`stable_window_ms` of the first
/// deployments).
const MAX_DELAY_WITH_PEERS: Duration = Duration::from_millis(1_500);
/// Between two looks at whether peers found the store: their heartbeat.
const PEER_POLL_INTERVAL: Duration = Duration::from_millis(100);

impl Default for Backoff {
    fn default() -> Self {
        Self {
            next_delay: INITIAL_DELAY,
        }
    }
}

impl Backoff {
    /// The pause before the next try.
    pub fn pause(&mut self, gateway: &Gateway) -> Pause {
        let own = &gateway.settings.gateway;
        let max_delay = if gateway
            .peers
            .has_preceding_store_probers(own.peers, &own.data_centre)
        {
            MAX_DELAY_WITH_PEERS
        } else {
            MAX_DELAY
        };
        // processes that failed together do not come back together
        let jitter: f64 = rand::random_range(0.5..1.0);
        let delay = self.next_delay.min(max_delay).mul_f64(jitter);
        self.next_delay = (self.next_delay * 2).min(MAX_DELAY_WITH_PEERS);
        Pause {
            until: Instant::now() + delay,
            store_was_available: gateway.peers.is_store_available(),
        }
    }
}

/// A pause that ends sooner if the store answers a peer again.
#[derive(Clone, Copy, Debug)]
pub struct Pause {
    until: Instant,
    /// Whether the store answered a peer when it began: that it does so still is no news.
    store_was_available: bool,
}

impl Pause {
    /// The time until the next look at whether it is over; none if it is.
    pub fn remaining(&self, gateway: &Gateway) -> Option<Duration> {
        let left = self.until.saturating_duration_since(Instant::now());
        let recovered = !self.store_was_available && gateway.peers.is_store_available();
        (!left.is_zero() && !recovered).then(|| left.min(PEER_POLL_INTERVAL))
    }
}
