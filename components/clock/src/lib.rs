//! A clock and timers that include the time for which the machine was suspended.
//!
//! The monotonic clock that [`tokio::time`] and [`std::time::Instant`] read does not advance while the machine is
//! suspended, but the clocks of callers, peers and the store do. A lease or a deadline measured with it would be
//! extended by the duration of the suspension. See `docs/DESIGN.md#clocks`.

mod suspension;
mod timer;

use std::time::Duration;

pub use suspension::{simulate_suspension, watch_suspensions};
pub use timer::{Elapsed, sleep, sleep_until, timeout, timeout_at};

/// A point in time on this clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(tokio::time::Instant);

impl Instant {
    /// Returns the current time. It never goes backwards.
    #[must_use]
    pub fn now() -> Self {
        Self(tokio::time::Instant::now() + suspension::suspended_time())
    }

    /// Returns the time since this instant, or zero if it lies in the future.
    #[must_use]
    pub fn elapsed(self) -> Duration {
        Self::now().duration_since(self)
    }

    /// Returns the time since `earlier`, or zero if that instant is later than this one.
    #[must_use]
    pub fn duration_since(self, earlier: Self) -> Duration {
        self.0.saturating_duration_since(earlier.0)
    }

    /// Same as [`Self::duration_since`], which saturates too.
    #[must_use]
    pub fn saturating_duration_since(self, earlier: Self) -> Duration {
        self.duration_since(earlier)
    }

    /// Returns the instant `span` before this one, or `None` if the clock cannot represent it.
    #[must_use]
    pub fn checked_sub(self, span: Duration) -> Option<Self> {
        self.0.checked_sub(span).map(Self)
    }
}

impl std::ops::Add<Duration> for Instant {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0 + span)
    }
}

impl std::ops::AddAssign<Duration> for Instant {
    fn add_assign(&mut self, span: Duration) {
        self.0 += span;
    }
}

impl std::ops::Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        Self(self.0 - span)
    }
}

impl std::ops::Sub for Instant {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        self.duration_since(earlier)
    }
}
