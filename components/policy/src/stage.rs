//! How many engines of a fleet should read prompts, and whether to change one's stage now.
//!
//! A change takes an engine away for seconds, so the plan follows the mix over several seconds and
//! leaves shorter swings to placement, which can have prompts read by engines that write. See
//! `docs/DESIGN.md#stages`.

use crate::{Micros, to_f64, to_u64};

/// What is asked of a fleet, as moving averages.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Time of reading engines that arrives in a second, in seconds: so many engines would be busy.
    pub prefill_engines: f64,
    /// The same over a shorter time.
    pub recent_prefill_engines: f64,
    /// Slots of writing engines that answers take at once.
    pub decode_slots: f64,
    updated_at: Option<Micros>,
}

/// Time constant of the averages, in microseconds: above the swings of a few seconds that are over
/// before a change of stage is, below the longer ones that a change pays for.
const AVERAGE_US: f64 = 4_000_000.0;
/// Time constant of the shorter average: a few of the steward's looks.
const RECENT_AVERAGE_US: f64 = 1_000_000.0;

/// What was seen of a service since the last look.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sample {
    /// Time that reading engines need for what arrived, in microseconds.
    pub prefill_us: f64,
    /// Time that slots of writing engines need for it, in microseconds.
    pub decode_slot_us: f64,
    /// Slots that are taken now, or will be once prompts that are being read have been read.
    pub occupied_slots: f64,
    /// Reading engines that have something to read now.
    pub busy_prefill_engines: f64,
    /// All reading engines.
    pub prefill_engines: f64,
}

/// Part of the reading engines that are busy at one moment, from which on more may be asked of them than
/// they can do in time: with fewer, prompts find an engine that is idle, and the busy ones are all that is
/// needed. The same as [`Weights::busy`].
const SATURATED_RATIO: f64 = 0.7;

impl Sample {
    /// Reading engines that would be busy. The time that prompts are expected to take counts only while
    /// engines can't show it: it grows with each delay of a full fleet, and would then ask for ever more
    /// readers.
    fn prefill_engines_needed(&self, span: f64) -> f64 {
        if self.busy_prefill_engines < self.prefill_engines * SATURATED_RATIO {
            self.busy_prefill_engines
        } else {
            (self.prefill_us / span).max(self.busy_prefill_engines)
        }
    }
}

impl Demand {
    /// Takes what was seen since the last call.
    ///
    /// The slots never count for less than now: an answer that finds none is lost, and so is the
    /// prompt that was read for it.
    pub fn observe(&mut self, now: Micros, sample: &Sample) {
        let Some(seen) = self.updated_at.replace(now) else {
            self.decode_slots = sample.occupied_slots;
            return;
        };
        let span = to_f64(now.saturating_sub(seen)).max(1.0);
        let part = (span / AVERAGE_US).min(1.0);
        let lately = (span / RECENT_AVERAGE_US).min(1.0);
        let reading = sample.prefill_engines_needed(span);
        self.prefill_engines += part * (reading - self.prefill_engines);
        self.recent_prefill_engines += lately * (reading - self.recent_prefill_engines);
        self.decode_slots += part * (sample.decode_slot_us / span - self.decode_slots);
        self.decode_slots = self.decode_slots.max(sample.occupied_slots);
    }
}

/// A fleet as the plan sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// Its engines.
    pub engines: u64,
    /// Those of them that read prompts, or soon will.
    pub prefill_engines: u64,
    /// Answers that an engine can write at once.
    pub slots_per_engine: u64,
}

/// What the plan weighs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Part of its time that a reading engine should be busy: what waits behind a busier one is late.
    pub prefill_utilisation: f64,
    /// Part of its slots that a writing engine should fill.
    pub slot_utilisation: f64,
    /// Engines that always write, so that one can fail.
    pub min_decode_engines: u64,
    /// Engines that a stage must lack for a change, at least. A change takes one away for seconds, so a
    /// fraction of an engine is no reason.
    pub change_margin_engines: f64,
    /// The same as a part of the fleet: what one engine of many adds is soon lost in the swings of demand.
    pub change_margin_ratio: f64,
    /// Part of what the engines of a stage should carry, below which they are enough as they are. Prompts
    /// hardly wait for each other then, and a change would only be paid for.
    pub pressure_ratio: f64,
    /// Engines that reading must lack, or have over, by the shorter average for a change before the
    /// longer one asks for it. Swings of a few seconds stay below.
    pub surge_engines: f64,
    /// Below this, in engines and slots, nothing is planned.
    pub idle_demand: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            prefill_utilisation: 0.7,
            slot_utilisation: 0.7,
            min_decode_engines: 2,
            change_margin_engines: 1.0,
            change_margin_ratio: 0.04,
            pressure_ratio: 0.7,
            surge_engines: 2.5,
            idle_demand: 0.2,
        }
    }
}

/// How many engines of a fleet should read, with a fraction: by the longer average, or by the shorter
/// one where it is far off from those that read now.
///
/// What writing needs comes first, up to half of the fleet; then what reading needs. What is left
/// over is shared in proportion.
#[must_use]
pub fn plan_prefill_engines(demand: &Demand, fleet: &Fleet, weights: &Weights) -> f64 {
    let by = |reading: f64| divide_engines(reading, demand.decode_slots, fleet, weights);
    let lately = by(demand.recent_prefill_engines);
    if (lately - to_f64(fleet.prefill_engines)).abs() >= weights.surge_engines {
        lately
    } else {
        by(demand.prefill_engines)
    }
}

fn divide_engines(reading: f64, writing: f64, fleet: &Fleet, weights: &Weights) -> f64 {
    let all = to_f64(fleet.engines);
    let least = to_f64(weights.min_decode_engines.min(fleet.engines));
    let reading = reading / weights.prefill_utilisation;
    let writing = writing / (to_f64(fleet.slots_per_engine.max(1)) * weights.slot_utilisation);
    let writing = writing.max(least);
    let over = all - reading - writing;
    let wanted = if over > 0.0 {
        reading + over / 2.0
    } else {
        all * reading / (reading + writing)
    };
    let most = all - writing.clamp(least, (all / 2.0).max(least));
    wanted.min(most).clamp(1.0, (all - least).max(1.0))
}

/// A change that the plan asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// One more engine should read.
    MorePrefill,
    /// One more engine should write.
    MoreDecode,
}

/// Whether to change one engine now, so that as many read as are `wanted`, see [`readers`].
#[must_use]
pub fn choose_change(
    demand: &Demand,
    wanted: f64,
    fleet: &Fleet,
    weights: &Weights,
) -> Option<Change> {
    let lack = wanted - to_f64(fleet.prefill_engines);
    let margin = weights
        .change_margin_engines
        .max(to_f64(fleet.engines) * weights.change_margin_ratio);
    match () {
        () if is_idle(demand, weights) => None,
        () if lack > margin && is_prefill_under_pressure(demand, fleet, weights) => {
            Some(Change::MorePrefill)
        }
        () if -lack > margin && is_decode_under_pressure(demand, fleet, weights) => {
            Some(Change::MoreDecode)
        }
        () => None,
    }
}

/// Whether nothing is planned, as next to nothing is asked for: an idle fleet stays as its operators started it.
#[must_use]
pub fn is_idle(demand: &Demand, weights: &Weights) -> bool {
    demand.prefill_engines < weights.idle_demand && demand.decode_slots < weights.idle_demand
}

/// An engine as the plan for a data centre sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member<'a> {
    /// Its data centre.
    pub data_centre: &'a str,
    /// Whether it writes, or soon will.
    pub decodes: bool,
}

/// Whether a data centre can serve its callers alone if it is cut off: an engine there writes. One that writes can
/// read too, so readers are not needed. A single engine is left to the plan for the whole fleet.
///
/// Without this a data centre of four engines that all read refused each request while it was cut off: 250 of the 742 that
/// came to the whole fleet in those six seconds.
#[must_use]
pub fn can_serve_alone(members: &[Member], data_centre: &str) -> bool {
    let near = || {
        let members = members.iter();
        members.filter(|member| member.data_centre == data_centre)
    };
    near().count() < 2 || near().any(|member| member.decodes)
}

/// Whether an engine may stop writing: its data centre still serves alone.
#[must_use]
pub fn may_switch_to_prefill(members: &[Member], at: usize) -> bool {
    let mut without = members.to_vec();
    without[at].decodes = false;
    can_serve_alone(&without, members[at].data_centre)
}

/// Whether the engines that read have about as much to do as they should, or more.
fn is_prefill_under_pressure(demand: &Demand, fleet: &Fleet, weights: &Weights) -> bool {
    let carried = to_f64(fleet.prefill_engines) * weights.prefill_utilisation;
    demand.prefill_engines.max(demand.recent_prefill_engines) > carried * weights.pressure_ratio
}

/// The same for the engines that write; those that always do count as needed.
fn is_decode_under_pressure(demand: &Demand, fleet: &Fleet, weights: &Weights) -> bool {
    let writers = fleet.engines.saturating_sub(fleet.prefill_engines);
    let carried = to_f64(writers * fleet.slots_per_engine) * weights.slot_utilisation;
    writers < weights.min_decode_engines || demand.decode_slots > carried * weights.pressure_ratio
}

/// Part of a fleet that may be away at once for a change of stage. Each change takes an engine away for some four
/// seconds and shows only after them whether it was enough: with a quarter of 18 engines the plan went from 6 to 15
/// readers within one burst, and left too few to write. Not swept.
const MAX_CHANGING_RATIO: f64 = 0.12;

/// How many engines may be away at once for a change of stage: an eighth of the fleet, one at least.
#[must_use]
pub fn max_concurrent_changes(engines: u64) -> u64 {
    to_u64(to_f64(engines) * MAX_CHANGING_RATIO).max(1)
}
