//! Plans how many engines of a fleet should prefill, and whether to change one engine's stage now.
//!
//! A change makes an engine unavailable for seconds. So the plan follows the mix of requests over several
//! seconds and leaves shorter swings to placement, which can use decode engines for prefill. See
//! `docs/DESIGN.md#stages`.

use crate::{Micros, to_f64, to_u64};

/// Demand on a fleet, as moving averages.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Prefill engines needed: those that are busy or, if that is more in a saturated fleet, the prefill
    /// time in seconds that arrives per second.
    pub prefill_engines: f64,
    /// The same over a shorter time.
    pub recent_prefill_engines: f64,
    /// Slots of decode engines that answers occupy at the same time; at least those occupied at the last
    /// observation.
    pub decode_slots: f64,
    updated_at: Option<Micros>,
}

/// Time constant of the averages, in microseconds: long enough to ignore swings of a few seconds, which
/// end before a change of stage is complete, and short enough to follow longer ones, for which a change
/// is worth its cost.
const AVERAGE_US: f64 = 4_000_000.0;
/// Time constant of the shorter average: a few intervals between the steward's observations.
const RECENT_AVERAGE_US: f64 = 1_000_000.0;

/// What was observed of a service since the previous observation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sample {
    /// Time that prefill engines need for the requests that arrived, in microseconds.
    pub prefill_us: f64,
    /// Time for which those requests occupy slots of decode engines, in microseconds.
    pub decode_slot_us: f64,
    /// Slots that are occupied now, or will be once the prompts in flight are prefilled.
    pub occupied_slots: f64,
    /// Prefill engines that have something to prefill now.
    pub busy_prefill_engines: f64,
    /// All prefill engines.
    pub prefill_engines: f64,
}

/// If this fraction of the prefill engines is busy at one moment, the demand may exceed what they can do
/// in time. Below it, prompts find an idle engine, and the number of busy engines shows the demand.
/// Equal to the default of [`Weights::prefill_utilisation`].
const SATURATED_RATIO: f64 = 0.7;

impl Sample {
    /// Returns the number of prefill engines needed. The expected prefill time counts only when the
    /// number of busy engines can't show the demand: it grows with each delay in a saturated fleet, and
    /// would then ask for ever more prefill engines.
    fn prefill_engines_needed(&self, elapsed_us: f64) -> f64 {
        if self.busy_prefill_engines < self.prefill_engines * SATURATED_RATIO {
            self.busy_prefill_engines
        } else {
            (self.prefill_us / elapsed_us).max(self.busy_prefill_engines)
        }
    }
}

impl Demand {
    /// Adds a sample of the time since the last call.
    ///
    /// Slots count for at least those occupied now: an answer that finds no slot is lost, and so is the
    /// prefill that was done for it.
    pub fn observe(&mut self, now: Micros, sample: &Sample) {
        let Some(updated_at) = self.updated_at.replace(now) else {
            self.decode_slots = sample.occupied_slots;
            return;
        };
        let elapsed_us = to_f64(now.saturating_sub(updated_at)).max(1.0);
        let weight = (elapsed_us / AVERAGE_US).min(1.0);
        let recent_weight = (elapsed_us / RECENT_AVERAGE_US).min(1.0);
        let needed = sample.prefill_engines_needed(elapsed_us);
        self.prefill_engines += weight * (needed - self.prefill_engines);
        self.recent_prefill_engines += recent_weight * (needed - self.recent_prefill_engines);
        self.decode_slots += weight * (sample.decode_slot_us / elapsed_us - self.decode_slots);
        self.decode_slots = self.decode_slots.max(sample.occupied_slots);
    }
}

/// The engines of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// All engines.
    pub engines: u64,
    /// Engines that prefill, or soon will.
    pub prefill_engines: u64,
    /// Answers that one engine can decode at the same time.
    pub slots_per_engine: u64,
}

/// Parameters of the plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Fraction of its time for which a prefill engine should be busy: prompts that wait for a busier
    /// one miss their time to first token.
    pub prefill_utilisation: f64,
    /// Fraction of its slots that a decode engine should fill.
    pub slot_utilisation: f64,
    /// Minimum number of engines that decode, so that one can fail.
    pub min_decode_engines: u64,
    /// Minimum number of engines that a stage must lack for a change. A change makes an engine
    /// unavailable for seconds, which a lack of less than this does not justify.
    pub change_margin_engines: f64,
    /// The same as a fraction of the fleet: the effect of one engine among many is soon lost in the
    /// swings of demand.
    pub change_margin_ratio: f64,
    /// Fraction of its target utilisation that the load of a stage must exceed for it to get another
    /// engine. Below it, prompts hardly wait for each other, and a change would have a cost and no
    /// benefit.
    pub min_load_ratio: f64,
    /// If the plan for the shorter average differs from the current number of prefill engines by at
    /// least this many, it is followed at once. Swings of a few seconds stay below it.
    pub min_recent_deviation_engines: f64,
    /// Demand below which a fleet is idle and nothing is planned, in engines and in slots.
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
            min_load_ratio: 0.7,
            min_recent_deviation_engines: 2.5,
            idle_demand: 0.2,
        }
    }
}

/// Plans how many engines of a fleet should prefill, as a fractional number. Follows the longer average,
/// or the shorter one if its plan differs from the current number by at least
/// [`Weights::min_recent_deviation_engines`].
///
/// Spare engines are divided equally. If there are too few, prefill gets them in proportion to the
/// needs, but leaves decode what it needs, up to half of the fleet. At least one engine prefills, and at
/// least [`Weights::min_decode_engines`] decode as far as the fleet is large enough.
#[must_use]
pub fn plan_prefill_engines(demand: &Demand, fleet: &Fleet, weights: &Weights) -> f64 {
    let plan = |prefill: f64| divide_engines(prefill, demand.decode_slots, fleet, weights);
    let recent = plan(demand.recent_prefill_engines);
    if (recent - to_f64(fleet.prefill_engines)).abs() >= weights.min_recent_deviation_engines {
        recent
    } else {
        plan(demand.prefill_engines)
    }
}

/// Returns how many engines should prefill for a demand in busy prefill engines and occupied slots.
fn divide_engines(prefill: f64, slots: f64, fleet: &Fleet, weights: &Weights) -> f64 {
    let engines = to_f64(fleet.engines);
    let min_decode = to_f64(weights.min_decode_engines.min(fleet.engines));
    let prefill = prefill / weights.prefill_utilisation;
    let decode = slots / (to_f64(fleet.slots_per_engine.max(1)) * weights.slot_utilisation);
    let decode = decode.max(min_decode);
    let spare = engines - prefill - decode;
    let wanted = if spare > 0.0 {
        prefill + spare / 2.0
    } else {
        engines * prefill / (prefill + decode)
    };
    let max_prefill = engines - decode.clamp(min_decode, (engines / 2.0).max(min_decode));
    wanted
        .min(max_prefill)
        .clamp(1.0, (engines - min_decode).max(1.0))
}

/// A change of one engine's stage that the plan asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// One more engine should prefill.
    MorePrefill,
    /// One more engine should decode.
    MoreDecode,
}

/// Chooses whether to change one engine now, to approach `wanted` prefill engines, see
/// [`plan_prefill_engines`].
#[must_use]
pub fn choose_change(
    demand: &Demand,
    wanted: f64,
    fleet: &Fleet,
    weights: &Weights,
) -> Option<Change> {
    let lacking = wanted - to_f64(fleet.prefill_engines);
    let margin = weights
        .change_margin_engines
        .max(to_f64(fleet.engines) * weights.change_margin_ratio);
    match () {
        () if is_idle(demand, weights) => None,
        () if lacking > margin && is_prefill_loaded(demand, fleet, weights) => {
            Some(Change::MorePrefill)
        }
        () if -lacking > margin && is_decode_loaded(demand, fleet, weights) => {
            Some(Change::MoreDecode)
        }
        () => None,
    }
}

/// Whether there is next to no demand, so that nothing is planned: an idle fleet stays as its operators
/// started it.
#[must_use]
pub fn is_idle(demand: &Demand, weights: &Weights) -> bool {
    demand.prefill_engines < weights.idle_demand && demand.decode_slots < weights.idle_demand
}

/// An engine in the plan for a data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member<'a> {
    /// Its data centre.
    pub data_centre: &'a str,
    /// Its build; only engines of one build can use each other's KV caches.
    pub build: &'a str,
    /// Whether it decodes, or soon will.
    pub decodes: bool,
}

/// Whether the engines around one can serve alone: one engine of its data centre decodes, and one of its build.
#[must_use]
pub fn is_covered(members: &[Member], index: usize) -> bool {
    let own = &members[index];
    can_serve_alone(members, own.data_centre) && can_decode_own_prompts(members, own.build)
}

/// Whether some engine can decode the prompts that engines of a build prefill. A build with a single engine is left to
/// the plan for the whole fleet.
fn can_decode_own_prompts(members: &[Member], build: &str) -> bool {
    let of_build = || members.iter().filter(|member| member.build == build);
    of_build().count() < 2 || of_build().any(|member| member.decodes)
}

/// Whether a data centre can serve its callers alone while it is partitioned from the others: one of its
/// engines decodes. A decode engine can prefill too, so prefill engines are not needed. A data centre
/// with a single engine is exempt and left to the plan for the whole fleet.
///
/// Without a decode engine, a partitioned data centre refuses every request: a data centre of four
/// prefill engines refused 250 of the 742 requests that came to the whole fleet during a partition of
/// six seconds.
#[must_use]
pub fn can_serve_alone(members: &[Member], data_centre: &str) -> bool {
    let local = || {
        let members = members.iter();
        members.filter(|member| member.data_centre == data_centre)
    };
    local().count() < 2 || local().any(|member| member.decodes)
}

/// Whether an engine may stop decoding because its data centre and its build can still serve alone.
#[must_use]
pub fn may_switch_to_prefill(members: &[Member], index: usize) -> bool {
    let mut after = members.to_vec();
    after[index].decodes = false;
    is_covered(&after, index)
}

/// Whether the prefill engines have about as much load as they should carry, or more.
fn is_prefill_loaded(demand: &Demand, fleet: &Fleet, weights: &Weights) -> bool {
    let target = to_f64(fleet.prefill_engines) * weights.prefill_utilisation;
    demand.prefill_engines.max(demand.recent_prefill_engines) > target * weights.min_load_ratio
}

/// The same for the decode engines; fewer than [`Weights::min_decode_engines`] always count as loaded.
fn is_decode_loaded(demand: &Demand, fleet: &Fleet, weights: &Weights) -> bool {
    let decode_engines = fleet.engines.saturating_sub(fleet.prefill_engines);
    let target = to_f64(decode_engines * fleet.slots_per_engine) * weights.slot_utilisation;
    decode_engines < weights.min_decode_engines
        || demand.decode_slots > target * weights.min_load_ratio
}

/// Fraction of a fleet that may change its stage at the same time. A change makes an engine unavailable
/// for about four seconds, and its effect shows only afterwards. With a quarter of 18 engines, the plan
/// goes from 6 to 15 prefill engines within one burst and leaves too few for decode.
const MAX_CHANGING_RATIO: f64 = 0.12;

/// Returns how many engines may change their stage at the same time: about an eighth of the fleet, and
/// at least one.
#[must_use]
pub fn max_concurrent_changes(engines: u64) -> u64 {
    to_u64(to_f64(engines) * MAX_CHANGING_RATIO).max(1)
}
