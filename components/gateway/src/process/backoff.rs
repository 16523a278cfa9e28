//! How the operators' lists are requested: long-poll timeout and backoff after failures.

use std::time::Duration;

use clock::Instant;

use super::{Gateway, List};
use crate::adapters::Cursor;

/// How long the store may hold a request before it answers that nothing changed.
///
/// A call in flight when the store becomes unreachable is lost without an error. The loss must be noticed,
/// and the list read again, within the operators' `stable_window_ms` after the store's recovery, three
/// seconds in the first deployments. Each call is billed, so the timeout is not much shorter.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(2_200);

/// Responses that the first reader asks for within the time that operators allow for a change to take effect. Each one
/// confirms the list, so that followers notice early when no reader gets any.
const CONFIRMATIONS_PER_MAX_DELAY: u32 = 5;

/// Returns how long the store may hold a request for changes of a list. It is shorter at the first reader, whose responses
/// confirm the list to all others, and at all readers where keys must not count without a recent confirmation.
pub fn long_poll_timeout(gateway: &Gateway, list: List) -> Duration {
    let own = gateway.settings.gateway.peers;
    let bounds = gateway.bounds.read();
    let max_delay = match list {
        _ if !gateway.peers.has_preceding_reader(own) => Some(list.max_delay(&bounds)),
        List::Configuration => bounds.revocation_ms,
        List::Endpoints => None,
    };
    max_delay.map_or(LONG_POLL_TIMEOUT, |max_delay| {
        LONG_POLL_TIMEOUT.min(max_delay / CONFIRMATIONS_PER_MAX_DELAY)
    })
}

/// Returns the next read after one that ended at `revision`. The store may hold it for `wait`; after a failure that
/// should be zero until the store answers.
pub fn next_read(revision: u64, wait: Duration) -> Cursor {
    Cursor::After { revision, wait }
}

/// Exponential backoff: each delay is twice the previous one, up to a maximum.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    next_delay: Duration,
}

/// First delay: short, since most failures are a single lost answer.
const INITIAL_DELAY: Duration = Duration::from_millis(50);
/// Maximum delay: a recovered store must be found well within the time allowed for a configuration to take
/// effect.
const MAX_DELAY: Duration = Duration::from_millis(500);
/// Maximum delay while enough peers of the data centre precede this process by address: these retry with a
/// delay of at most [`MAX_DELAY`] and report a recovery. If none of them reaches the store, this process
/// finds it within the operators' `stable_window_ms` after its recovery, three seconds in the first
/// deployments.
const MAX_DELAY_WITH_PEERS: Duration = Duration::from_millis(1_500);
/// How often a pause checks whether the store answered a peer: the peers' heartbeat interval.
const PEER_POLL_INTERVAL: Duration = Duration::from_millis(100);

impl Default for Backoff {
    fn default() -> Self {
        Self {
            next_delay: INITIAL_DELAY,
        }
    }
}

impl Backoff {
    /// Returns the pause before the next retry.
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
        // jitter keeps processes that failed together from retrying together
        let jitter: f64 = rand::random_range(0.5..1.0);
        let delay = self.next_delay.min(max_delay).mul_f64(jitter);
        self.next_delay = (self.next_delay * 2).min(MAX_DELAY_WITH_PEERS);
        Pause {
            until: Instant::now() + delay,
            store_was_available: gateway.peers.is_store_available(),
        }
    }
}

/// A pause that ends early if the store begins to answer a peer.
#[derive(Clone, Copy, Debug)]
pub struct Pause {
    until: Instant,
    /// Whether the store already answered a peer when the pause began; only a change ends the pause early.
    store_was_available: bool,
}

impl Pause {
    /// Returns the time until the next check of the pause; `None` once it is over.
    pub fn remaining(&self, gateway: &Gateway) -> Option<Duration> {
        let left = self.until.saturating_duration_since(Instant::now());
        let recovered = !self.store_was_available && gateway.peers.is_store_available();
        (!left.is_zero() && !recovered).then(|| left.min(PEER_POLL_INTERVAL))
    }
}
