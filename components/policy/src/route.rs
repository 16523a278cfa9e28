//! Which engine, or which pair of engines, serves a request.
//!
//! The cost of a request on an engine is the time until its last token: the prompt tokens ahead of
//! it and its own uncached ones, then the tokens it will write at the pace of the batch it joins.
//! What it slows down for others counts too. See `docs/DESIGN.md#routing`.

use crate::{Micros, estimate::BatchLatency, to_f64};

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
    pub prefill_tokens_ahead: u64,
    /// All prompt tokens that it still has to read.
    pub prefill_tokens: u64,
    /// Requests that write there.
    pub decode_requests: u64,
    /// Tokens of this request's prompt that its prefix cache holds.
    pub cached_tokens: u64,
    /// One-way delay to it.
    pub one_way_delay: Micros,
    /// Its speed.
    pub latency: BatchLatency,
}

/// What is asked.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens that the answer will likely have.
    pub expected_output_tokens: u64,
    /// Whether it goes ahead of what waits at the engines.
    pub urgent: bool,
    /// Whether somebody reads the answer as it comes, so that its pace counts.
    pub interactive: bool,
}

/// Bounds and weights of routing.
#[derive(Clone, Copy, Debug)]
pub struct Weights {
    /// Most prompt tokens that may wait at an engine before requests are kept in the daemon's own
    /// queue, where fair share and priority rule. In microseconds of reading.
    pub max_prefill_wait: Micros,
    /// Most requests that write at an engine, so that time between tokens stays in its target.
    pub max_decode_requests: u64,
    /// The longest time between tokens for an answer whose pace counts.
    pub max_inter_token_latency: Micros,
    /// Time to move a thousand tokens of KV cache.
    pub transfer_per_thousand_tokens: Micros,
    /// How much of the delay that a prompt causes to those that write on a mixed engine is counted.
    pub interference_weight: f64,
    /// How much more than its time a delay between tokens counts.
    pub stall_weight: f64,
    /// The longest that a part of another prompt holds a token up.
    pub max_chunk_stall: Micros,
    /// Among engines this much dearer than the cheapest, chance decides: several deciders with old
    /// views would all take the same one otherwise.
    pub tie_ratio: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            max_prefill_wait: 20_000_000,
            max_decode_requests: 48,
            max_inter_token_latency: 18_000,
            transfer_per_thousand_tokens: 4_000,
            interference_weight: 4.0,
            stall_weight: 4.0,
            max_chunk_stall: 40_000,
            tie_ratio: 0.1,
        }
    }
}

/// Who serves a request; engines by their index in the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// One engine does both.
    Single {
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

impl Placement {
    /// The engine that gets the request first.
    #[must_use]
    pub fn first_engine(self) -> usize {
        match self {
            Self::Single { engine } => engine,
            Self::Split { prefill, .. } => prefill,
        }
    }
}

/// A plan with what it is expected to take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The plan.
    pub placement: Placement,
    /// Time to the first token.
    pub first_token_us: f64,
    /// Time to the last token.
    pub last_token_us: f64,
}

/// Chooses for a request; none when every engine that could serve is as full as it may be.
///
/// `draw` is a random number that breaks ties.
#[must_use]
pub fn choose(engines: &[Engine], ask: &Request, weights: &Weights, draw: u64) -> Option<Choice> {
    let whole = choose_single(engines, draw, weights, |engine| {
        (engine.role == Role::Mixed
            && accepts_prefill(engine, ask, weights)
            && accepts_decode(engine, ask, weights))
        .then(|| estimate_mixed(engine, ask, weights))
    });
    let split = choose_split(engines, ask, weights, draw);
    match (whole, split) {
        (Some(whole), Some(split)) if split.1 < whole.1 => Some(split.0),
        (Some(whole), _) => Some(whole.0),
        (None, split) => split.map(|split| split.0),
    }
}

/// The shortest time until some engine takes another request, for telling when to come back.
#[must_use]
pub fn estimate_shortest_wait(engines: &[Engine], weights: &Weights) -> Option<f64> {
    engines
        .iter()
        .filter(|engine| engine.role != Role::Decode)
        .map(|engine| (prefill_backlog_us(engine) - to_f64(weights.max_prefill_wait)).max(0.0))
        .min_by(f64::total_cmp)
}

fn prefill_backlog_us(engine: &Engine) -> f64 {
    to_f64(engine.prefill_tokens) * engine.latency.prefill_token_us
}

fn prefill_wait_us(engine: &Engine) -> f64 {
    to_f64(engine.prefill_tokens_ahead) * engine.latency.prefill_token_us
}

fn accepts_prefill(engine: &Engine, ask: &Request, weights: &Weights) -> bool {
    ask.urgent || prefill_wait_us(engine) <= to_f64(weights.max_prefill_wait)
}

fn accepts_decode(engine: &Engine, ask: &Request, weights: &Weights) -> bool {
    // the room above the bound is for what is urgent
    ask.urgent
        || (engine.decode_requests < weights.max_decode_requests
            && meets_latency_limit(engine, ask, weights))
}

/// Whether an answer would come at the pace of the target: not where prompts behind it would be read
/// between its tokens for most of its length.
fn meets_latency_limit(engine: &Engine, ask: &Request, weights: &Weights) -> bool {
    let behind = (prefill_backlog_us(engine) - prefill_wait_us(engine)).max(0.0);
    let held =
        (behind / to_f64(ask.expected_output_tokens.max(1))).min(to_f64(weights.max_chunk_stall));
    !ask.interactive
        || engine.latency.inter_token_us(engine.decode_requests + 1) + held
            <= to_f64(weights.max_inter_token_latency)
}

fn queueing_delay_us(engine: &Engine, ask: &Request) -> f64 {
    let ahead = if ask.urgent {
        0.0
    } else {
        prefill_wait_us(engine)
    };
    to_f64(engine.one_way_delay) + ahead
}

fn own_prefill_us(engine: &Engine, ask: &Request) -> f64 {
    to_f64(ask.prompt_tokens - engine.cached_tokens.min(ask.prompt_tokens))
        * engine.latency.prefill_token_us
}

/// Time to the first token, time to the last one, and the cost that is compared.
///
/// An engine that does both reads prompts between the tokens that it writes. So a request is held up
/// by the prompts that wait there, also those behind it, and its own prompt holds up those that
/// write. Counting both parts the engines into some that mostly read and some that mostly write, and
/// moves that border with every request, without a change of role.
fn estimate_mixed(engine: &Engine, ask: &Request, weights: &Weights) -> (f64, f64, f64) {
    let own = own_prefill_us(engine, ask);
    let first = queueing_delay_us(engine, ask) + own + engine.latency.decode_step_us;
    let behind = (prefill_backlog_us(engine) - prefill_wait_us(engine)).max(0.0);
    let most_held = to_f64(ask.expected_output_tokens) * to_f64(weights.max_chunk_stall);
    let held = behind.min(most_held);
    let whole = first
        + to_f64(ask.expected_output_tokens)
            * engine.latency.inter_token_us(engine.decode_requests + 1)
        + held;
    let disturbed = own * to_f64(engine.decode_requests) * weights.interference_weight;
    (
        first,
        whole,
        whole + held * weights.stall_weight + disturbed,
    )
}

fn choose_split(
    engines: &[Engine],
    ask: &Request,
    weights: &Weights,
    draw: u64,
) -> Option<(Choice, f64)> {
    let (reads, first) = cheapest(engines, draw, weights, |engine| {
        (engine.role == Role::Prefill && accepts_prefill(engine, ask, weights)).then(|| {
            queueing_delay_us(engine, ask)
                + own_prefill_us(engine, ask)
                + engine.latency.decode_step_us
        })
    })?;
    let transfer =
        to_f64(ask.prompt_tokens) * to_f64(weights.transfer_per_thousand_tokens) / THOUSAND;
    let (writes, writing) = cheapest(engines, draw >> 32, weights, |engine| {
        (engine.role != Role::Prefill && accepts_decode(engine, ask, weights)).then(|| {
            let pace = engine.latency.inter_token_us(engine.decode_requests + 1);
            // a mixed engine's own prompts hold its writers up
            let held_up = if engine.role == Role::Mixed {
                prefill_backlog_us(engine)
            } else {
                0.0
            };
            to_f64(engine.one_way_delay) + to_f64(ask.expected_output_tokens) * pace + held_up
        })
    })?;
    let whole = first + transfer + writing;
    let plan = Placement::Split {
        prefill: reads,
        decode: writes,
    };
    Some((
        Choice {
            placement: plan,
            first_token_us: first,
            last_token_us: whole,
        },
        whole,
    ))
}

const THOUSAND: f64 = 1_000.0;

fn choose_single(
    engines: &[Engine],
    draw: u64,
    weights: &Weights,
    cost: impl Fn(&Engine) -> Option<(f64, f64, f64)>,
) -> Option<(Choice, f64)> {
    let (at, value) = cheapest(engines, draw, weights, |engine| {
        cost(engine).map(|(_, _, cost)| cost)
    })?;
    let (first, whole, _) = cost(&engines[at])?;
    let plan = Placement::Single { engine: at };
    Some((
        Choice {
            placement: plan,
            first_token_us: first,
            last_token_us: whole,
        },
        value,
    ))
}

/// The cheapest engine, or by chance one that is hardly dearer.
fn cheapest(
    engines: &[Engine],
    draw: u64,
    weights: &Weights,
    cost: impl Fn(&Engine) -> Option<f64>,
) -> Option<(usize, f64)> {
    let least = engines.iter().filter_map(&cost).min_by(f64::total_cmp)?;
    let bound = least * (1.0 + weights.tie_ratio);
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
