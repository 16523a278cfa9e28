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
    /// How much a delay of a long answer that is under way counts against a delay of this request.
    pub disturbance: f64,
    /// What it counts to put the first long answer on an engine, in microseconds: it is lost for
    /// reading then.
    pub opening: f64,
    /// Part of the longest bearable time between tokens that reading may bring answers to.
    pub bearable: f64,
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
    /// Placements this close to the best one, in microseconds, are drawn by chance: several deciders
    /// with old views would all take the same one otherwise.
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
///
/// `draw` is a random number that breaks ties.
#[must_use]
pub fn choose(engines: &[Engine], ask: &Ask, weights: &Weights, draw: u64) -> Option<Choice> {
    let whole = cheapest(engines, weights, draw, |engine| {
        let open = engine.stage == Stage::Decode
            && has_slot(engine, ask, weights)
            && bears_reading(engine, ask, weights);
        open.then(|| read_and_write(engine, ask, weights))
    });
    let reads = cheapest(engines, weights, draw >> 16, |engine| {
        (engine.stage == Stage::Prefill).then(|| read(engine, ask, weights))
    });
    let writes = cheapest(engines, weights, draw >> 32, |engine| {
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

/// Chooses an engine that reads, for a prompt that comes too late anyway and gives way to all that
/// don't; none if it would not be read within `time`, in microseconds.
#[must_use]
pub fn choose_late(engines: &[Engine], ask: &Ask, weights: &Weights, time: f64) -> Option<usize> {
    let found = cheapest(engines, weights, 0, |engine| {
        if engine.stage != Stage::Prefill {
            return None;
        }
        let cost = read(engine, ask, weights);
        let late = real(engine.late) * engine.pace.read_us;
        (cost.first + late <= time).then_some(Cost {
            weighed: cost.weighed + late,
            ..cost
        })
    });
    found.map(|found| found.at)
}

/// Chooses an engine that writes, for a prompt that another engine has read already.
#[must_use]
pub fn choose_writer(engines: &[Engine], ask: &Ask, weights: &Weights, draw: u64) -> Option<usize> {
    let found = cheapest(engines, weights, draw, |engine| {
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

fn unread(engine: &Engine, ask: &Ask) -> u64 {
    ask.prompt.saturating_sub(engine.held + engine.fetch.tokens)
}

fn work(engine: &Engine, ask: &Ask) -> u64 {
    prompt::work(ask.prompt, engine.held + engine.fetch.tokens)
}

/// Whether the long answers that an engine writes bear that it reads prompts, at worst one between any
/// two tokens.
fn bears_reading(engine: &Engine, ask: &Ask, weights: &Weights) -> bool {
    let slowest = engine.pace.step_us * weights.stretch;
    let reads_long = unread(engine, ask) > weights.short_prompt;
    engine.long == 0 || !reads_long || slowest <= ask.bearable * weights.bearable
}

/// Only reads the prompt.
fn read(engine: &Engine, ask: &Ask, weights: &Weights) -> Cost {
    let unread = unread(engine, ask);
    let first = real(engine.distance)
        + engine.pace.start_us
        + engine.fetch.time
        + real(engine.reading + work(engine, ask)) * engine.pace.read_us;
    Cost {
        first,
        weighed: first + besides(engine, weights),
        unread,
    }
}

/// Only writes, the prompt being read elsewhere. The first token waits for at most one piece of a
/// prompt that is being read.
fn write(engine: &Engine, ask: &Ask, weights: &Weights) -> Cost {
    let held_up = if engine.reading > 0 {
        engine.pace.step_us * weights.stretch
    } else {
        0.0
    };
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
    let ahead = real(engine.reading) * engine.pace.read_us;
    let start = engine.pace.start_us + engine.fetch.time;
    let first = real(engine.distance) + start + ahead + own;
    let held_up = own * real(engine.long) * weights.disturbance;
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

/// The cheapest engine, or by chance one that is hardly dearer.
fn cheapest(
    engines: &[Engine],
    weights: &Weights,
    draw: u64,
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
    let ties: Vec<&(usize, Cost)> = costs
        .iter()
        .filter(|(_, cost)| cost.weighed <= bound)
        .collect();
    let count = u64::try_from(ties.len()).unwrap_or(1).max(1);
    let nth = usize::try_from((draw & u64::from(u16::MAX)) % count).unwrap_or(0);
    ties.get(nth).map(|(at, cost)| Found {
        at: *at,
        first: cost.first,
        weighed: cost.weighed,
        unread: cost.unread,
    })
}
