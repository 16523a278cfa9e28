//! Where a generation runs on a fleet whose engines read prompts or write answers.
//!
//! An engine that writes can read a prompt too, between the tokens of its answers: slower, and at the
//! expense of those answers. So a long prompt is best read on one engine and answered on another, and
//! what doesn't fit there in time may go to an engine that writes little. See
//! `docs/DESIGN.md#placement`.

use crate::{Micros, learn::Pace, prompt, real};

/// What an engine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It only reads prompts.
    Prefill,
    /// It writes, and reads prompts between.
    Decode,
}

/// An engine as a decision sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// What it does.
    pub stage: Stage,
    /// Work of the prompts that wait there or are being read, see [`prompt::work`].
    pub reading: u64,
    /// Work of the prompts that give way to all others there.
    pub late: u64,
    /// How many prompts those are.
    pub late_prompts: u64,
    /// Answers that it writes, or will write once their prompts are read.
    pub writing: u64,
    /// Those of them that are long, see [`Weights::long_answer`].
    pub long: u64,
    /// Answers that it can write at once.
    pub slots: u64,
    /// Tokens of the prompt in question that it holds already.
    pub held: u64,
    /// Tokens of it that it can fetch from another engine beyond those, and the time that takes.
    pub fetch: Fetch,
    /// How fast it is in this stage.
    pub pace: Pace,
    /// Extra time, there and back, for an engine in another data centre.
    pub distance: Micros,
    /// Part of its attempts that fail, from 0 to 1.
    pub failures: f64,
    /// Its place in this decider's own order; deciders have different ones.
    pub order: u64,
}

/// What an engine can fetch of a prompt from another one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fetch {
    /// Tokens beyond those that it holds.
    pub tokens: u64,
    /// Time to fetch them.
    pub time: f64,
}

/// What is to be placed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ask {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens of the answer that are expected.
    pub output: u64,
    /// Time that is left until the first event should be there.
    pub within: Micros,
    /// The longest time between two tokens with which this answer ends in time, in microseconds.
    pub pace: f64,
    /// The longest time between two tokens that long answers of the service bear, in microseconds:
    /// events must not come too far apart, and the last one must come in time.
    pub bearable: f64,
    /// Tokens that come together in one event of an answer.
    pub event: u64,
    /// The longest time between two events that answers of the service bear, in microseconds.
    pub pause: f64,
}

/// What the decision weighs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Prompts of no more unread tokens than this are read where they are answered: a second engine
    /// would cost more than it saves.
    pub short_prompt: u64,
    /// Answers of more tokens than this are long. Prompts that are read on their engine hold them up,
    /// and an engine that writes some should write more of them rather than another one.
    pub long_answer: u64,
    /// How much longer a step takes while a prompt is read between two tokens. An engine reads a
    /// quarter of a chunk at half its speed then, which is some three steps' time.
    pub stretch: f64,
    /// How much a delay of an answer that is under way counts against a delay of this request: of each answer
    /// where one more prompt may bring it to pause for too long, of each long one elsewhere.
    pub disturbance: f64,
    /// What it counts to put the first long answer on an engine, in microseconds: it is lost for
    /// reading then.
    pub opening: f64,
    /// Part of the longest bearable time between tokens that reading may bring answers to.
    pub bearable: f64,
    /// The same where it isn't reading all the time that is borne, but only what waits now: other
    /// deciders may send a prompt there at the same moment, and more may follow within one event.
    pub room: f64,
    /// Part of an engine's slots up to which long answers go together. The rest is for short ones, which
    /// are soon over: a prompt that was read must find a slot.
    pub together: f64,
    /// What a placement in another data centre counts besides its distance, for the bytes that it
    /// moves, in microseconds.
    pub remote: f64,
    /// What a failure counts, in microseconds: an engine that fails every attempt looks this much
    /// slower.
    pub failure: f64,
    /// Part of an engine's slots that answers may take, so that it keeps room for those that are on
    /// their way from other deciders.
    pub fill: f64,
    /// Among placements this close to the best one, in microseconds, a decider takes the first in its own
    /// order: several with views a few milliseconds old would all take the same one otherwise, and by chance
    /// they do so more often than where each fills engines of its own first.
    pub tie: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            short_prompt: 768,
            long_answer: 512,
            stretch: 3.0,
            disturbance: 0.2,
            opening: 20_000.0,
            bearable: 0.85,
            room: 0.5,
            together: 0.75,
            remote: 6_000.0,
            failure: 200_000.0,
            fill: 0.95,
            tie: 2_000.0,
        }
    }
}

/// Who serves a generation; engines by their index in the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plan {
    /// One engine reads and writes.
    Whole {
        /// The engine.
        engine: usize,
    },
    /// One engine reads, another one fetches the KV cache and writes.
    Split {
        /// The engine that reads.
        prefill: usize,
        /// The engine that writes.
        decode: usize,
    },
}

/// A plan with the time that its first event is expected to take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The plan.
    pub plan: Plan,
    /// Time to the first event, in microseconds.
    pub first: f64,
}

/// Chooses the plan that costs least; none if no engine can take it at all.
#[must_use]
pub fn choose(engines: &[Engine], ask: &Ask, weights: &Weights) -> Option<Choice> {
    let whole = cheapest(engines, weights, |engine| {
        let open = engine.stage == Stage::Decode
            && has_slot(engine, ask, weights)
            && bears_reading(engine, ask, weights);
        open.then(|| read_and_write(engine, ask, weights))
    });
    let reads = cheapest(engines, weights, |engine| {
        (engine.stage == Stage::Prefill).then(|| read(engine, ask, weights))
    });
    let writes = cheapest(engines, weights, |engine| {
        let open = engine.stage == Stage::Decode && has_slot(engine, ask, weights);
        open.then(|| write(engine, ask, weights))
    });
    let split = reads.zip(writes).map(|(reads, writes)| {
        let plan = Plan::Split {
            prefill: reads.at,
            decode: writes.at,
        };
        let first = reads.first + writes.first;
        let cost = reads.weighed + writes.weighed;
        (Choice { plan, first }, cost)
    });
    let whole = whole.map(|found| {
        let plan = Plan::Whole { engine: found.at };
        let first = found.first;
        (Choice { plan, first }, found.weighed, found.unread)
    });
    match (whole, split) {
        (Some((whole, _, unread)), _) if unread <= weights.short_prompt => Some(whole),
        (Some((whole, cost, _)), Some((split, other))) => {
            Some(if cost < other { whole } else { split })
        }
        (Some((whole, ..)), None) => Some(whole),
        (None, split) => split.map(|(split, _)| split),
    }
}

/// Where a prompt is read that gives way to all others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Late {
    /// The engine, by its index in the view.
    pub engine: usize,
    /// Time until it is read, in microseconds.
    pub read: f64,
}

/// Chooses an engine that reads, for a prompt that comes too late anyway and gives way to all that
/// don't; none if it would not be read within `time`, in microseconds.
#[must_use]
pub fn choose_late(engines: &[Engine], ask: &Ask, weights: &Weights, time: f64) -> Option<Late> {
    let found = cheapest(engines, weights, |engine| {
        if engine.stage != Stage::Prefill {
            return None;
        }
        let cost = read(engine, ask, weights);
        let late = real(engine.late + engine.reading - before(engine)) * engine.pace.read_us;
        (cost.first + late <= time).then_some(Cost {
            first: cost.first + late,
            weighed: cost.weighed + late,
            ..cost
        })
    });
    found.map(|found| Late {
        engine: found.at,
        read: found.first,
    })
}

/// Chooses an engine that writes, for a prompt that another engine has read already.
#[must_use]
pub fn choose_writer(engines: &[Engine], ask: &Ask, weights: &Weights) -> Option<usize> {
    let found = cheapest(engines, weights, |engine| {
        let open = engine.stage == Stage::Decode && has_slot(engine, ask, weights);
        open.then(|| write(engine, ask, weights))
    });
    found.map(|found| found.at)
}

struct Cost {
    /// Time to what is wanted of the engine.
    first: f64,
    /// What is compared.
    weighed: f64,
    /// Prompt tokens that it would have to read.
    unread: u64,
}

struct Found {
    at: usize,
    first: f64,
    weighed: f64,
    unread: u64,
}

/// Whether an engine can take the answer: it has a slot, and a long answer would end in time there.
fn has_slot(engine: &Engine, ask: &Ask, weights: &Weights) -> bool {
    let slots = real(engine.slots);
    let writing = real(engine.writing);
    if ask.output <= weights.long_answer {
        return writing < slots * weights.fill;
    }
    let ends = engine.pace.step_us <= ask.pace * weights.bearable || engine.long == 0;
    writing < slots * weights.together && ends
}

/// Whether an engine would read so little of the prompt that it is read where it is answered.
#[must_use]
pub fn is_short(engine: &Engine, ask: &Ask, weights: &Weights) -> bool {
    unread(engine, ask) <= weights.short_prompt
}

/// Work that is done before a prompt is read: all that goes before it, and one prompt that gives way, as an
/// engine that has begun to read one reads it to its end.
#[must_use]
pub fn ahead(reading: u64, late: u64, late_prompts: u64) -> u64 {
    reading + late.checked_div(late_prompts).unwrap_or(0)
}

fn before(engine: &Engine) -> u64 {
    ahead(engine.reading, engine.late, engine.late_prompts)
}

fn unread(engine: &Engine, ask: &Ask) -> u64 {
    ask.prompt.saturating_sub(engine.held + engine.fetch.tokens)
}

fn work(engine: &Engine, ask: &Ask) -> u64 {
    prompt::work(ask.prompt, engine.held + engine.fetch.tokens)
}

/// Whether the answers that an engine writes bear that it reads the prompt between their tokens: none
/// may pause for too long, and long ones must end in time.
fn bears_reading(engine: &Engine, ask: &Ask, weights: &Weights) -> bool {
    let backlog = event_us(engine, ask) + reading_us(engine, work(engine, ask));
    let bears_pause = backlog <= ask.pause * weights.room || bears_all(engine, ask, weights);
    let slowest = engine.pace.step_us * weights.stretch;
    let reads_long = unread(engine, ask) > weights.short_prompt;
    let ends = engine.long == 0 || !reads_long || slowest <= ask.bearable * weights.bearable;
    engine.writing == 0 || (bears_pause && ends)
}

/// Whether no answer there pauses for too long, however much the engine reads.
fn bears_all(engine: &Engine, ask: &Ask, weights: &Weights) -> bool {
    let slowed = sustained_us(engine, ask).map(|more| event_us(engine, ask) + more);
    slowed.is_some_and(|pause| pause <= ask.pause * weights.bearable)
}

/// Time of one event of an answer while nothing is read.
fn event_us(engine: &Engine, ask: &Ask) -> f64 {
    real(ask.event) * engine.pace.step_us
}

/// How much longer one event takes if the engine reads what waits there and so much more work: no
/// longer than that reading takes, and no longer than each of its tokens is held up by.
fn held_up(engine: &Engine, ask: &Ask, more: u64) -> f64 {
    let reading = reading_us(engine, more);
    sustained_us(engine, ask).map_or(reading, |sustained| reading.min(sustained))
}

/// Time to read what waits at an engine and so much more work.
fn reading_us(engine: &Engine, more: u64) -> f64 {
    real(engine.reading + more) * engine.pace.read_us
}

/// How much longer one event takes while prompts are read all the time; none before that was seen.
fn sustained_us(engine: &Engine, ask: &Ask) -> Option<f64> {
    let slowed = engine.pace.slowed_us?;
    Some((slowed - engine.pace.step_us).max(0.0) * real(ask.event))
}

/// Only reads the prompt.
fn read(engine: &Engine, ask: &Ask, weights: &Weights) -> Cost {
    let unread = unread(engine, ask);
    let first = real(engine.distance)
        + engine.pace.start_us
        + engine.fetch.time
        + real(before(engine) + work(engine, ask)) * engine.pace.read_us;
    Cost {
        first,
        weighed: first + besides(engine, weights),
        unread,
    }
}

/// Only writes, the prompt being read elsewhere. The tokens of the first event wait for the prompts that
/// the engine reads.
fn write(engine: &Engine, ask: &Ask, weights: &Weights) -> Cost {
    let held_up = held_up(engine, ask, 0);
    let first = real(engine.distance) + engine.pace.start_us + held_up;
    Cost {
        first,
        weighed: first + answering(engine, ask, weights) + besides(engine, weights),
        unread: 0,
    }
}

/// Reads and writes on one engine.
fn read_and_write(engine: &Engine, ask: &Ask, weights: &Weights) -> Cost {
    let unread = unread(engine, ask);
    let own = real(work(engine, ask)) * engine.pace.read_us;
    let ahead = real(before(engine)) * engine.pace.read_us;
    let start = engine.pace.start_us + engine.fetch.time;
    let first = real(engine.distance) + start + ahead + own;
    let disturbed = if bears_all(engine, ask, weights) {
        engine.long
    } else {
        engine.writing
    };
    let held_up = own * real(disturbed) * weights.disturbance;
    Cost {
        first,
        weighed: first + held_up + answering(engine, ask, weights) + besides(engine, weights),
        unread,
    }
}

/// What it counts to write the answer there, besides the time to its beginning.
fn answering(engine: &Engine, ask: &Ask, weights: &Weights) -> f64 {
    if ask.output <= weights.long_answer {
        return 0.0;
    }
    let behind = real(engine.reading) * engine.pace.read_us;
    let opens = if engine.long == 0 {
        weights.opening
    } else {
        0.0
    };
    opens + behind
}

/// What counts against an engine besides the time that it takes.
fn besides(engine: &Engine, weights: &Weights) -> f64 {
    let remote = if engine.distance > 0 {
        weights.remote
    } else {
        0.0
    };
    remote + engine.failures * weights.failure
}

/// The first engine in the decider's own order of those that are hardly dearer than the cheapest.
fn cheapest(
    engines: &[Engine],
    weights: &Weights,
    cost: impl Fn(&Engine) -> Option<Cost>,
) -> Option<Found> {
    let costs: Vec<(usize, Cost)> = engines
        .iter()
        .enumerate()
        .filter_map(|(at, engine)| Some((at, cost(engine)?)))
        .collect();
    let least = costs
        .iter()
        .map(|(_, cost)| cost.weighed)
        .min_by(f64::total_cmp)?;
    let bound = least + weights.tie;
    costs
        .iter()
        .filter(|(_, cost)| cost.weighed <= bound)
        .min_by_key(|(at, _)| engines[*at].order)
        .map(|(at, cost)| Found {
            at: *at,
            first: cost.first,
            weighed: cost.weighed,
            unread: cost.unread,
        })
}
