//! How long callers may leave their connections idle, while configurations change it.

use std::time::Duration;

use clock::Instant;
use parking_lot::Mutex;

/// Changes of the limit that are kept: at one a second, more than the longest that connections are left idle.
const MAX_CHANGES: usize = 256;

/// The limits of the configurations so far, each with the time at which it came into force.
#[derive(Debug, Default)]
pub struct History(Mutex<Vec<(Instant, Duration)>>);

impl History {
    /// Notes the limit of a configuration that comes into force.
    pub fn record(&self, now: Instant, limit: Duration) {
        let mut limits = self.0.lock();
        if limits.last().is_some_and(|(_, last)| *last == limit) {
            return;
        }
        if limits.len() == MAX_CHANGES {
            limits.remove(0);
        }
        limits.push((now, limit));
    }

    /// The longest limit that was in force at some time since then; none before the first configuration.
    #[must_use]
    pub fn longest_since(&self, since: Instant) -> Option<Duration> {
        let limits = self.0.lock();
        let next = limits.partition_point(|(from, _)| *from <= since);
        let first = next.saturating_sub(1);
        limits[first..].iter().map(|(_, limit)| *limit).max()
    }
}
