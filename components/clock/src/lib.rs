//! A clock and timers that count the time for which the machine was suspended.
//!
//! The steady clock of the system, which [`tokio::time`] and [`std::time::Instant`] read, stands still while the machine
//! is suspended; callers, peers and the store go on. A lease or a deadline that is counted on it lasts too long by the
//! time that was missed. See `docs/DESIGN.md#clocks`.

mod suspension;
mod timer;

use std::time::Duration;

pub use suspension::{simulate_suspension, watch_suspensions};
pub use timer::{Elapsed, sleep, sleep_until, timeout, timeout_at};

/// A moment of this clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(tokio::time::Instant);

impl Instant {
    /// Now. It never goes back.
    #[must_use]
    pub fn now() -> Self {
        Self(tokio::time::Instant::now() + suspension::suspended_time())
    }

    /// The time since then, zero for a moment to come.
    #[must_use]
    pub fn elapsed(self) -> Duration {
        Self::now().duration_since(self)
    }

    /// The time since an earlier moment, zero if it is a later one.
    #[must_use]
    pub fn duration_since(self, earlier: Self) -> Duration {
        self.0.saturating_duration_since(earlier.0)
    }

    /// The same, by the name that says so.
    #[must_use]
    pub fn saturating_duration_since(self, earlier: Self) -> Duration {
        self.duration_since(earlier)
    }

    /// A moment before this one; none if the clock can't represent it.
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
