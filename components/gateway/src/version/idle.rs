//! The idle timeout of callers' connections across changes of the configuration.

use std::time::Duration;

use clock::Instant;
use parking_lot::Mutex;

/// Maximum number of changes that are kept. At one change a second they cover more than the longest
/// idle timeout.
const MAX_CHANGES: usize = 256;

/// The idle timeouts of the configurations so far, each with the time at which it came into force.
#[derive(Debug, Default)]
pub struct History(Mutex<Vec<(Instant, Duration)>>);

impl History {
    /// Records the idle timeout of a configuration that comes into force.
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

    /// Returns the longest timeout that was in force at any time since `since`; `None` before the
    /// first configuration.
    #[must_use]
    pub fn longest_since(&self, since: Instant) -> Option<Duration> {
        let limits = self.0.lock();
        let next = limits.partition_point(|(from, _)| *from <= since);
        let first = next.saturating_sub(1);
        limits[first..].iter().map(|(_, limit)| *limit).max()
    }
}
