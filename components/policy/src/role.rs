//! Decides how many engines prefill and how many decode, and whether a change of role is worth its cost.
//! See `docs/DESIGN.md#roles`.

use crate::{Micros, to_f64};

/// Demand for both phases, as a fast and a slow moving average.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    fast: Load,
    slow: Load,
    updated_at: Micros,
}

/// Load of both phases, as the number of engines that it would keep busy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Engines that prefill would keep busy.
    pub prefill: f64,
    /// Engines that decode would keep busy.
    pub decode: f64,
}

/// Time constants of the averages, in microseconds.
const FAST_AVERAGE_US: f64 = 10e6;
const SLOW_AVERAGE_US: f64 = 120e6;

impl Demand {
    /// Adds the work that has arrived since the last call.
    pub fn observe(&mut self, now: Micros, prefill_work: Micros, decode_work: Micros) {
        let elapsed = to_f64(now.saturating_sub(self.updated_at)).max(1.0);
        self.updated_at = now;
        let load = Load {
            prefill: to_f64(prefill_work) / elapsed,
            decode: to_f64(decode_work) / elapsed,
        };
        self.fast = interpolate(self.fast, load, elapsed / FAST_AVERAGE_US);
        self.slow = interpolate(self.slow, load, elapsed / SLOW_AVERAGE_US);
    }

    /// Returns the load to plan for: the slow average, moved towards the fast one.
    #[must_use]
    pub fn forecast(&self) -> Load {
        interpolate(self.slow, self.fast, FAST_AVERAGE_WEIGHT)
    }
}

/// Weight of the fast average in the forecast.
const FAST_AVERAGE_WEIGHT: f64 = 0.6;

fn interpolate(from: Load, to: Load, fraction: f64) -> Load {
    let fraction = fraction.clamp(0.0, 1.0);
    Load {
        prefill: from.prefill + fraction * (to.prefill - from.prefill),
        decode: from.decode + fraction * (to.decode - from.decode),
    }
}

/// Number of engines per role.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoleCounts {
    /// Engines that only prefill.
    pub prefill: u32,
    /// Engines that only decode.
    pub decode: u32,
    /// Engines that do both.
    pub mixed: u32,
}

/// A change of one engine's role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A decode engine becomes a prefill engine.
    ToPrefill,
    /// A prefill engine becomes a decode engine.
    ToDecode,
}

/// Parameters of the decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Minimum number of engines that each of the two roles keeps.
    pub min_engines_per_role: u32,
    /// Time over which the gain of a change is counted.
    pub horizon: Micros,
    /// Time for which an engine is unavailable during a change, its drain included.
    pub change_duration: Micros,
    /// Shortest time between two changes, from the configured changes per hour.
    pub min_change_interval: Micros,
}

/// Chooses a change of role; `None` if no change is worth its cost.
///
/// The gain of a change is the work that would remain unserved without it over the horizon. Its cost is
/// the time for which the engine is unavailable. Both are in engine-microseconds.
#[must_use]
pub fn choose_change(
    counts: RoleCounts,
    load: Load,
    bounds: &Bounds,
    now: Micros,
    last_change: Option<Micros>,
) -> Option<Change> {
    if last_change.is_some_and(|last| now.saturating_sub(last) < bounds.min_change_interval) {
        return None;
    }
    let unserved = unserved_load(counts, load);
    let candidates = [Change::ToPrefill, Change::ToDecode];
    candidates
        .into_iter()
        .filter_map(|change| {
            let after = apply_change(counts, change, bounds.min_engines_per_role)?;
            let gain = (unserved - unserved_load(after, load)) * to_f64(bounds.horizon);
            let cost = to_f64(bounds.change_duration) * (1.0 + GAIN_MARGIN_RATIO);
            (gain > cost).then_some((gain, change))
        })
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, change)| change)
}

/// Ratio by which the gain of a change must exceed its cost: hysteresis against noise in the forecast.
const GAIN_MARGIN_RATIO: f64 = 1.0;
/// Utilisation of an engine above which waiting times grow out of proportion to the load.
const MAX_UTILISATION: f64 = 0.8;

fn apply_change(
    counts: RoleCounts,
    change: Change,
    min_engines_per_role: u32,
) -> Option<RoleCounts> {
    match change {
        Change::ToPrefill if counts.decode > min_engines_per_role => Some(RoleCounts {
            prefill: counts.prefill + 1,
            decode: counts.decode - 1,
            ..counts
        }),
        Change::ToDecode if counts.prefill > min_engines_per_role => Some(RoleCounts {
            prefill: counts.prefill - 1,
            decode: counts.decode + 1,
            ..counts
        }),
        _ => None,
    }
}

/// Returns the load that is not served, as a number of engines: each phase first fills the engines of its
/// own role, and the rest goes to the mixed ones.
fn unserved_load(counts: RoleCounts, load: Load) -> f64 {
    let excess = |load: f64, engines: u32| (load - f64::from(engines) * MAX_UTILISATION).max(0.0);
    let rest = excess(load.prefill, counts.prefill) + excess(load.decode, counts.decode);
    (rest - f64::from(counts.mixed) * MAX_UTILISATION).max(0.0)
}
