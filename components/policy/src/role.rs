//! How many engines read and how many write, and whether a change pays. See
//! `docs/DESIGN.md#roles`.

use crate::{Micros, real};

/// Demand of the two phases, in engines' worth of work, with a fast and a slow average.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    fast: Load,
    slow: Load,
    seen: Micros,
}

/// Engines' worth of work of each phase.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Reading prompts.
    pub read: f64,
    /// Writing answers.
    pub write: f64,
}

/// Time constants of the averages, in microseconds.
const FAST: f64 = 10e6;
const SLOW: f64 = 120e6;

impl Demand {
    /// Takes the work that arrived since the last call.
    pub fn observe(&mut self, now: Micros, read_work: Micros, write_work: Micros) {
        let span = real(now.saturating_sub(self.seen)).max(1.0);
        self.seen = now;
        let load = Load {
            read: real(read_work) / span,
            write: real(write_work) / span,
        };
        self.fast = toward(self.fast, load, span / FAST);
        self.slow = toward(self.slow, load, span / SLOW);
    }

    /// What to plan for: the slow average, moved towards the fast one.
    #[must_use]
    pub fn forecast(&self) -> Load {
        toward(self.slow, self.fast, TRUST)
    }
}

/// How far the forecast follows the fast average.
const TRUST: f64 = 0.6;

fn toward(from: Load, to: Load, part: f64) -> Load {
    let part = part.clamp(0.0, 1.0);
    Load {
        read: from.read + part * (to.read - from.read),
        write: from.write + part * (to.write - from.write),
    }
}

/// Engines by role.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Split {
    /// Engines that read only.
    pub prefill: u32,
    /// Engines that write only.
    pub decode: u32,
    /// Engines that do both.
    pub mixed: u32,
}

/// A change of one engine's role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A writer becomes a reader.
    ToPrefill,
    /// A reader becomes a writer.
    ToDecode,
}

/// Settings of the decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Engines of each phase that stay.
    pub reserve: u32,
    /// How far ahead the gain is counted.
    pub horizon: Micros,
    /// How long an engine is away for a change, its drain included.
    pub away: Micros,
    /// Least time between two changes, from the most changes an hour.
    pub spacing: Micros,
}

/// Decides on a change; none when no change pays.
///
/// The gain of a change is the work that is not served without it over the horizon. Its cost is
/// the engine's time away. Both are in engine-microseconds.
#[must_use]
pub fn decide(
    split: Split,
    load: Load,
    bounds: &Bounds,
    now: Micros,
    last: Option<Micros>,
) -> Option<Change> {
    if last.is_some_and(|last| now.saturating_sub(last) < bounds.spacing) {
        return None;
    }
    let now_lost = lost(split, load);
    let candidates = [Change::ToPrefill, Change::ToDecode];
    candidates
        .into_iter()
        .filter_map(|change| {
            let after = apply(split, change, bounds.reserve)?;
            let gain = (now_lost - lost(after, load)) * real(bounds.horizon);
            let cost = real(bounds.away) * (1.0 + MARGIN);
            (gain > cost).then_some((gain, change))
        })
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, change)| change)
}

/// What a change must gain beyond its cost: hysteresis against noise in the forecast.
const MARGIN: f64 = 1.0;
/// Above this use, queues grow faster than the work they hold.
const COMFORT: f64 = 0.8;

fn apply(split: Split, change: Change, reserve: u32) -> Option<Split> {
    match change {
        Change::ToPrefill if split.decode > reserve => Some(Split {
            prefill: split.prefill + 1,
            decode: split.decode - 1,
            ..split
        }),
        Change::ToDecode if split.prefill > reserve => Some(Split {
            prefill: split.prefill - 1,
            decode: split.decode + 1,
            ..split
        }),
        _ => None,
    }
}

/// Engines' worth of work that is not served: each phase first fills its own engines, and what is
/// left over goes to the mixed ones.
fn lost(split: Split, load: Load) -> f64 {
    let over = |load: f64, engines: u32| (load - f64::from(engines) * COMFORT).max(0.0);
    let left = over(load.read, split.prefill) + over(load.write, split.decode);
    (left - f64::from(split.mixed) * COMFORT).max(0.0)
}
