//! How many engines read and how many write, and whether a change pays. See
//! `docs/DESIGN.md#roles`.

use crate::{Micros, to_f64};

/// Demand of the two phases, in engines' worth of work, with a fast and a slow average.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    fast: Load,
    slow: Load,
    updated_at: Micros,
}

/// Engines' worth of work of each phase.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Reading prompts.
    pub prefill: f64,
    /// Writing answers.
    pub decode: f64,
}

/// Time constants of the averages, in microseconds.
const FAST_AVERAGE_US: f64 = 10e6;
const SLOW_AVERAGE_US: f64 = 120e6;

impl Demand {
    /// Takes the work that arrived since the last call.
    pub fn observe(&mut self, now: Micros, read_work: Micros, write_work: Micros) {
        let span = to_f64(now.saturating_sub(self.updated_at)).max(1.0);
        self.updated_at = now;
        let load = Load {
            prefill: to_f64(read_work) / span,
            decode: to_f64(write_work) / span,
        };
        self.fast = interpolate(self.fast, load, span / FAST_AVERAGE_US);
        self.slow = interpolate(self.slow, load, span / SLOW_AVERAGE_US);
    }

    /// What to plan for: the slow average, moved towards the fast one.
    #[must_use]
    pub fn forecast(&self) -> Load {
        interpolate(self.slow, self.fast, FAST_AVERAGE_WEIGHT)
    }
}

/// How far the forecast follows the fast average.
const FAST_AVERAGE_WEIGHT: f64 = 0.6;

fn interpolate(from: Load, to: Load, part: f64) -> Load {
    let part = part.clamp(0.0, 1.0);
    Load {
        prefill: from.prefill + part * (to.prefill - from.prefill),
        decode: from.decode + part * (to.decode - from.decode),
    }
}

/// Engines by role.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoleCounts {
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
    pub min_engines_per_role: u32,
    /// How far ahead the gain is counted.
    pub horizon: Micros,
    /// How long an engine is away for a change, its drain included.
    pub change_duration: Micros,
    /// Least time between two changes, from the most changes an hour.
    pub min_change_interval: Micros,
}

/// Decides on a change; none when no change pays.
///
/// The gain of a change is the work that is not served without it over the horizon. Its cost is
/// the engine's time away. Both are in engine-microseconds.
#[must_use]
pub fn choose_change(
    split: RoleCounts,
    load: Load,
    bounds: &Bounds,
    now: Micros,
    last: Option<Micros>,
) -> Option<Change> {
    if last.is_some_and(|last| now.saturating_sub(last) < bounds.min_change_interval) {
        return None;
    }
    let now_lost = unserved_load(split, load);
    let candidates = [Change::ToPrefill, Change::ToDecode];
    candidates
        .into_iter()
        .filter_map(|change| {
            let after = apply_change(split, change, bounds.min_engines_per_role)?;
            let gain = (now_lost - unserved_load(after, load)) * to_f64(bounds.horizon);
            let cost = to_f64(bounds.change_duration) * (1.0 + GAIN_MARGIN_RATIO);
            (gain > cost).then_some((gain, change))
        })
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, change)| change)
}

/// What a change must gain beyond its cost: hysteresis against noise in the forecast.
const GAIN_MARGIN_RATIO: f64 = 1.0;
/// Above this use, queues grow faster than the work they hold.
const MAX_UTILISATION: f64 = 0.8;

fn apply_change(split: RoleCounts, change: Change, reserve: u32) -> Option<RoleCounts> {
    match change {
        Change::ToPrefill if split.decode > reserve => Some(RoleCounts {
            prefill: split.prefill + 1,
            decode: split.decode - 1,
            ..split
        }),
        Change::ToDecode if split.prefill > reserve => Some(RoleCounts {
            prefill: split.prefill - 1,
            decode: split.decode + 1,
            ..split
        }),
        _ => None,
    }
}

/// Engines' worth of work that is not served: each phase first fills its own engines, and what is
/// left over goes to the mixed ones.
fn unserved_load(split: RoleCounts, load: Load) -> f64 {
    let over = |load: f64, engines: u32| (load - f64::from(engines) * MAX_UTILISATION).max(0.0);
    let left = over(load.prefill, split.prefill) + over(load.decode, split.decode);
    (left - f64::from(split.mixed) * MAX_UTILISATION).max(0.0)
}
