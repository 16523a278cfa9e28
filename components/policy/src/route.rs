//! Which engine, or which pair of engines, serves a request.
//!
//! The cost of a request on an engine is the time until its last token: the prompt tokens ahead of
//! it and its own uncached ones, then the tokens it will write at the pace of the batch it joins.
//! What it slows down for others counts too. See `docs/DESIGN.md#routing`.

use crate::{Micros, learn::Rates, real};

/// What an engine is for, as routing sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Reads prompts only.
    Prefill,
    /// Writes answers only.
    Decode,
    /// Does both.
    Mixed,
}

/// An engine as the decider sees it now.
#[derive(Clone, Copy, Debug)]
pub struct Engine {
    /// Its role.
    pub role: Role,
    /// Prompt tokens that it will read before this request's: those of its priority or higher.
    pub ahead: u64,
    /// All prompt tokens that it still has to read.
    pub reading: u64,
    /// Requests that write there.
    pub writing: u64,
    /// Tokens of this request's prompt that its prefix cache holds.
    pub cached: u64,
    /// One-way delay to it.
    pub distance: Micros,
    /// Its speed.
    pub rates: Rates,
}

/// What is asked.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens that the answer will likely have.
    pub output: u64,
    /// Whether it goes ahead of what waits at the engines.
    pub urgent: bool,
    /// Whether somebody reads the answer as it comes, so that its pace counts.
    pub paced: bool,
}

/// Bounds and weights of routing.
#[derive(Clone, Copy, Debug)]
pub struct Weights {
    /// Most prompt tokens that may wait at an engine before requests are kept in the daemon's own
    /// queue, where fair share and priority rule. In microseconds of reading.
    pub window: Micros,
    /// Most requests that write at an engine, so that time between tokens stays in its target.
    pub most_writing: u64,
    /// The longest time between tokens for an answer whose pace counts.
    pub pace: Micros,
    /// Time to move a thousand tokens of KV cache.
    pub transfer_per_thousand: Micros,
    /// How much of the delay that a prompt causes to those that write on a mixed engine is counted.
    pub disturbance: f64,
    /// How much more than its time a delay between tokens counts.
    pub held: f64,
    /// The longest that a part of another prompt holds a token up.
    pub chunk: Micros,
    /// Among engines this much dearer than the cheapest, chance decides: several deciders with old
    /// views would all take the same one otherwise.
    pub tie: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            window: 20_000_000,
            most_writing: 48,
            pace: 18_000,
            transfer_per_thousand: 4_000,
            disturbance: 4.0,
            held: 4.0,
            chunk: 40_000,
            tie: 0.1,
        }
    }
}

/// Who serves a request; engines by their index in the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plan {
    /// One engine does both.
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

impl Plan {
    /// The engine that gets the request first.
    #[must_use]
    pub fn first(self) -> usize {
        match self {
            Self::Whole { engine } => engine,
            Self::Split { prefill, .. } => prefill,
        }
    }
}

/// A plan with what it is expected to take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The plan.
    pub plan: Plan,
    /// Time to the first token.
    pub first: f64,
    /// Time to the last token.
    pub whole: f64,
}

/// Chooses for a request; none when every engine that could serve is as full as it may be.
///
/// `draw` is a random number that breaks ties.
#[must_use]
pub fn choose(engines: &[Engine], ask: &Ask, weights: &Weights, draw: u64) -> Option<Choice> {
    let whole = pick(engines, draw, weights, |engine| {
        (engine.role == Role::Mixed && open(engine, ask, weights) && has_room(engine, ask, weights))
            .then(|| mixed(engine, ask, weights))
    });
    let split = split(engines, ask, weights, draw);
    match (whole, split) {
        (Some(whole), Some(split)) if split.1 < whole.1 => Some(split.0),
        (Some(whole), _) => Some(whole.0),
        (None, split) => split.map(|split| split.0),
    }
}

/// The shortest time until some engine takes another request, for telling when to come back.
#[must_use]
pub fn soonest(engines: &[Engine], weights: &Weights) -> Option<f64> {
    engines
        .iter()
        .filter(|engine| engine.role != Role::Decode)
        .map(|engine| (reading_time(engine) - real(weights.window)).max(0.0))
        .min_by(f64::total_cmp)
}

fn reading_time(engine: &Engine) -> f64 {
    real(engine.reading) * engine.rates.read_us
}

fn time_ahead(engine: &Engine) -> f64 {
    real(engine.ahead) * engine.rates.read_us
}

fn open(engine: &Engine, ask: &Ask, weights: &Weights) -> bool {
    ask.urgent || time_ahead(engine) <= real(weights.window)
}

fn has_room(engine: &Engine, ask: &Ask, weights: &Weights) -> bool {
    // the room above the bound is for what is urgent
    ask.urgent || (engine.writing < weights.most_writing && in_pace(engine, ask, weights))
}

/// Whether an answer would come at the pace of the target: not where prompts behind it would be read
/// between its tokens for most of its length.
fn in_pace(engine: &Engine, ask: &Ask, weights: &Weights) -> bool {
    let behind = (reading_time(engine) - time_ahead(engine)).max(0.0);
    let held = (behind / real(ask.output.max(1))).min(real(weights.chunk));
    !ask.paced || engine.rates.between_tokens(engine.writing + 1) + held <= real(weights.pace)
}

fn wait(engine: &Engine, ask: &Ask) -> f64 {
    let ahead = if ask.urgent { 0.0 } else { time_ahead(engine) };
    real(engine.distance) + ahead
}

fn own_reading(engine: &Engine, ask: &Ask) -> f64 {
    real(ask.prompt - engine.cached.min(ask.prompt)) * engine.rates.read_us
}

/// Time to the first token, time to the last one, and the cost that is compared.
///
/// An engine that does both reads prompts between the tokens that it writes. So a request is held up
/// by the prompts that wait there, also those behind it, and its own prompt holds up those that
/// write. Counting both parts the engines into some that mostly read and some that mostly write, and
/// moves that border with every request, without a change of role.
fn mixed(engine: &Engine, ask: &Ask, weights: &Weights) -> (f64, f64, f64) {
    let own = own_reading(engine, ask);
    let first = wait(engine, ask) + own + engine.rates.step_us;
    let behind = (reading_time(engine) - time_ahead(engine)).max(0.0);
    let most_held = real(ask.output) * real(weights.chunk);
    let held = behind.min(most_held);
    let whole = first + real(ask.output) * engine.rates.between_tokens(engine.writing + 1) + held;
    let disturbed = own * real(engine.writing) * weights.disturbance;
    (first, whole, whole + held * weights.held + disturbed)
}

fn split(engines: &[Engine], ask: &Ask, weights: &Weights, draw: u64) -> Option<(Choice, f64)> {
    let (reads, first) = cheapest(engines, draw, weights, |engine| {
        (engine.role == Role::Prefill && open(engine, ask, weights))
            .then(|| wait(engine, ask) + own_reading(engine, ask) + engine.rates.step_us)
    })?;
    let transfer = real(ask.prompt) * real(weights.transfer_per_thousand) / THOUSAND;
    let (writes, writing) = cheapest(engines, draw >> 32, weights, |engine| {
        (engine.role != Role::Prefill && has_room(engine, ask, weights)).then(|| {
            let pace = engine.rates.between_tokens(engine.writing + 1);
            // a mixed engine's own prompts hold its writers up
            let held_up = if engine.role == Role::Mixed {
                reading_time(engine)
            } else {
                0.0
            };
            real(engine.distance) + real(ask.output) * pace + held_up
        })
    })?;
    let whole = first + transfer + writing;
    let plan = Plan::Split {
        prefill: reads,
        decode: writes,
    };
    Some((Choice { plan, first, whole }, whole))
}

const THOUSAND: f64 = 1_000.0;

fn pick(
    engines: &[Engine],
    draw: u64,
    weights: &Weights,
    cost: impl Fn(&Engine) -> Option<(f64, f64, f64)>,
) -> Option<(Choice, f64)> {
    let (at, value) = cheapest(engines, draw, weights, |engine| {
        cost(engine).map(|(_, _, cost)| cost)
    })?;
    let (first, whole, _) = cost(&engines[at])?;
    let plan = Plan::Whole { engine: at };
    Some((Choice { plan, first, whole }, value))
}

/// The cheapest engine, or by chance one that is hardly dearer.
fn cheapest(
    engines: &[Engine],
    draw: u64,
    weights: &Weights,
    cost: impl Fn(&Engine) -> Option<f64>,
) -> Option<(usize, f64)> {
    let least = engines.iter().filter_map(&cost).min_by(f64::total_cmp)?;
    let bound = least * (1.0 + weights.tie);
    let close = |engine: &&Engine| cost(engine).is_some_and(|value| value <= bound);
    let ties = u64::try_from(engines.iter().filter(close).count()).unwrap_or(1);
    let nth = usize::try_from((draw & u64::from(u32::MAX)) % ties.max(1)).unwrap_or(0);
    engines
        .iter()
        .enumerate()
        .filter(|(_, engine)| close(engine))
        .nth(nth)
        .and_then(|(at, engine)| Some((at, cost(engine)?)))
}
