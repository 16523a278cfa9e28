//! Whether a process has more work than it can do, from how late its timers fire.
//!
//! Ready tasks and timers share a queue, so a timer fires late by the time that the ready tasks take. One late timer may
//! come from a pause of the process; only a standing queue makes all timers of an interval late (the criterion of
//! `CoDel`). See `docs/DESIGN.md#overload`.

use crate::Micros;

/// Time over which the least lag counts, in microseconds.
pub const INTERVAL: Micros = 100_000;
/// Minimum number of timers in an interval: the first one after a pause is late, whatever the load.
const MIN_SAMPLES: u32 = 2;

/// The lag of timers in the current interval, and what came of the last one.
#[derive(Clone, Copy, Debug)]
pub struct Overload {
    /// The lag that the process bears.
    max_lag: Micros,
    began: Micros,
    least_lag: Option<Micros>,
    samples: u32,
    overloaded: bool,
}

impl Overload {
    /// Starts without any timer observed, for a process that bears a lag of `max_lag` microseconds.
    #[must_use]
    pub fn new(max_lag: Micros) -> Self {
        Self {
            max_lag,
            began: 0,
            least_lag: None,
            samples: 0,
            overloaded: false,
        }
    }

    /// Takes into account a timer that fired `lag` microseconds late. Returns whether the process is overloaded.
    pub fn observe(&mut self, now: Micros, lag: Micros) -> bool {
        let least_lag = self.least_lag.map_or(lag, |least| least.min(lag));
        self.least_lag = Some(least_lag);
        self.samples += 1;
        if now.saturating_sub(self.began) >= INTERVAL && self.samples >= MIN_SAMPLES {
            *self = Self {
                began: now,
                overloaded: least_lag > self.max_lag,
                ..Self::new(self.max_lag)
            };
        }
        self.overloaded
    }
}
