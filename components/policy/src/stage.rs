//! How many engines of a fleet should read prompts, and whether to change one's stage now.
//!
//! A change takes an engine away for seconds, so the plan follows the mix over several seconds and
//! leaves shorter swings to placement, which can have prompts read by engines that write. See
//! `docs/DESIGN.md#stages`.

use crate::{Micros, count, real};

/// What is asked of a fleet, as moving averages.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Time of reading engines that arrives in a second, in seconds: so many engines would be busy.
    pub reading: f64,
    /// The same over a shorter time.
    pub reading_lately: f64,
    /// Slots of writing engines that answers take at once.
    pub writing: f64,
    seen: Option<Micros>,
}

/// Time constant of the averages, in microseconds: above the swings of a few seconds that are over
/// before a change of stage is, below the longer ones that a change pays for.
const MEMORY: f64 = 4_000_000.0;
/// Time constant of the shorter average: a few of the steward's looks.
const LATELY: f64 = 1_000_000.0;

/// What was seen of a service since the last look.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sample {
    /// Time that reading engines need for what arrived, in microseconds.
    pub reading: f64,
    /// Time that slots of writing engines need for it, in microseconds.
    pub writing: f64,
    /// Slots that are taken now, or will be once prompts that are being read have been read.
    pub taken: f64,
    /// Reading engines that have something to read now.
    pub busy: f64,
    /// All reading engines.
    pub readers: f64,
}

/// Part of the reading engines that are busy at one moment, from which on more may be asked of them than
/// they can do in time: with fewer, prompts find an engine that is idle, and the busy ones are all that is
/// needed. The same as [`Weights::busy`].
const ALL_BUSY: f64 = 0.7;

impl Sample {
    /// Reading engines that would be busy. The time that prompts are expected to take counts only while
    /// engines can't show it: it grows with each delay of a full fleet, and would then ask for ever more
    /// readers.
    fn readers_needed(&self, span: f64) -> f64 {
        if self.busy < self.readers * ALL_BUSY {
            self.busy
        } else {
            (self.reading / span).max(self.busy)
        }
    }
}

impl Demand {
    /// Takes what was seen since the last call.
    ///
    /// The slots never count for less than now: an answer that finds none is lost, and so is the
    /// prompt that was read for it.
    pub fn observe(&mut self, now: Micros, sample: &Sample) {
        let Some(seen) = self.seen.replace(now) else {
            self.writing = sample.taken;
            return;
        };
        let span = real(now.saturating_sub(seen)).max(1.0);
        let part = (span / MEMORY).min(1.0);
        let lately = (span / LATELY).min(1.0);
        let reading = sample.readers_needed(span);
        self.reading += part * (reading - self.reading);
        self.reading_lately += lately * (reading - self.reading_lately);
        self.writing += part * (sample.writing / span - self.writing);
        self.writing = self.writing.max(sample.taken);
    }
}

/// A fleet as the plan sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// Its engines.
    pub engines: u64,
    /// Those of them that read prompts, or soon will.
    pub reading: u64,
    /// Answers that an engine can write at once.
    pub slots: u64,
}

/// What the plan weighs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Part of its time that a reading engine should be busy: what waits behind a busier one is late.
    pub busy: f64,
    /// Part of its slots that a writing engine should fill.
    pub full: f64,
    /// Engines that always write, so that one can fail.
    pub least_writing: u64,
    /// Engines that a stage must lack for a change, at least. A change takes one away for seconds, so a
    /// fraction of an engine is no reason.
    pub margin: f64,
    /// The same as a part of the fleet: what one engine of many adds is soon lost in the swings of demand.
    pub margin_part: f64,
    /// Part of what the engines of a stage should carry, below which they are enough as they are. Prompts
    /// hardly wait for each other then, and a change would only be paid for.
    pub ease: f64,
    /// Engines that reading must lack, or have over, by the shorter average for a change before the
    /// longer one asks for it. Swings of a few seconds stay below.
    pub leap: f64,
    /// Below this, in engines and slots, nothing is planned.
    pub idle: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            busy: 0.7,
            full: 0.7,
            least_writing: 2,
            margin: 1.0,
            margin_part: 0.04,
            ease: 0.7,
            leap: 2.5,
            idle: 0.2,
        }
    }
}

/// How many engines of a fleet should read, with a fraction: by the longer average, or by the shorter
/// one where it is far off from those that read now.
///
/// What writing needs comes first, up to half of the fleet; then what reading needs. What is left
/// over is shared in proportion.
#[must_use]
pub fn readers(demand: &Demand, fleet: &Fleet, weights: &Weights) -> f64 {
    let by = |reading: f64| share(reading, demand.writing, fleet, weights);
    let lately = by(demand.reading_lately);
    if (lately - real(fleet.reading)).abs() >= weights.leap {
        lately
    } else {
        by(demand.reading)
    }
}

fn share(reading: f64, writing: f64, fleet: &Fleet, weights: &Weights) -> f64 {
    let all = real(fleet.engines);
    let least = real(weights.least_writing.min(fleet.engines));
    let reading = reading / weights.busy;
    let writing = writing / (real(fleet.slots.max(1)) * weights.full);
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
    MoreReaders,
    /// One more engine should write.
    MoreWriters,
}

/// Whether to change one engine now, so that as many read as are `wanted`, see [`readers`].
#[must_use]
pub fn change(demand: &Demand, wanted: f64, fleet: &Fleet, weights: &Weights) -> Option<Change> {
    let lack = wanted - real(fleet.reading);
    let margin = weights
        .margin
        .max(real(fleet.engines) * weights.margin_part);
    match () {
        () if is_idle(demand, weights) => None,
        () if lack > margin && is_reading_tight(demand, fleet, weights) => {
            Some(Change::MoreReaders)
        }
        () if -lack > margin && is_writing_tight(demand, fleet, weights) => {
            Some(Change::MoreWriters)
        }
        () => None,
    }
}

/// Whether nothing is planned, as next to nothing is asked for: an idle fleet stays as its operators started it.
#[must_use]
pub fn is_idle(demand: &Demand, weights: &Weights) -> bool {
    demand.reading < weights.idle && demand.writing < weights.idle
}

/// An engine as the plan for a data centre sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member<'a> {
    /// Its data centre.
    pub data_centre: &'a str,
    /// Whether it writes, or soon will.
    pub writes: bool,
}

/// Whether a data centre can serve its callers alone if it is cut off: an engine there writes. One that writes can
/// read too, so readers are not needed. A single engine is left to the plan for the whole fleet.
///
/// Without this a data centre of four engines that all read refused each request while it was cut off: 250 of the 742 that
/// came to the whole fleet in those six seconds.
#[must_use]
pub fn serves_alone(members: &[Member], data_centre: &str) -> bool {
    let near = || {
        let members = members.iter();
        members.filter(|member| member.data_centre == data_centre)
    };
    near().count() < 2 || near().any(|member| member.writes)
}

/// Whether an engine may stop writing: its data centre still serves alone.
#[must_use]
pub fn may_read(members: &[Member], at: usize) -> bool {
    let mut without = members.to_vec();
    without[at].writes = false;
    serves_alone(&without, members[at].data_centre)
}

/// Whether the engines that read have about as much to do as they should, or more.
fn is_reading_tight(demand: &Demand, fleet: &Fleet, weights: &Weights) -> bool {
    let carried = real(fleet.reading) * weights.busy;
    demand.reading.max(demand.reading_lately) > carried * weights.ease
}

/// The same for the engines that write; those that always do count as needed.
fn is_writing_tight(demand: &Demand, fleet: &Fleet, weights: &Weights) -> bool {
    let writers = fleet.engines.saturating_sub(fleet.reading);
    let carried = real(writers * fleet.slots) * weights.full;
    writers < weights.least_writing || demand.writing > carried * weights.ease
}

/// Part of a fleet that may be away at once for a change of stage. Each change takes an engine away for some four
/// seconds and shows only after them whether it was enough: with a quarter of 18 engines the plan went from 6 to 15
/// readers within one burst, and left too few to write. Not swept.
const AWAY: f64 = 0.12;

/// How many engines may be away at once for a change of stage: an eighth of the fleet, one at least.
#[must_use]
pub fn most_changing(engines: u64) -> u64 {
    count(real(engines) * AWAY).max(1)
}
