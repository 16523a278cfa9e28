//! Chooses the engine, or the pair of engines, that serves a request.
//!
//! The cost of a request on an engine is the time until its last token: prefill of the prompt tokens
//! ahead of it and of its own uncached ones, then decode at the inter-token latency of the batch that it
//! joins. The cost includes the delay that it causes to other requests. See `docs/DESIGN.md#routing`.

use crate::{Micros, estimate::BatchLatency, to_f64};

/// The role of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Prefills only.
    Prefill,
    /// Decodes only.
    Decode,
    /// Prefills and decodes.
    Mixed,
}

/// Snapshot of an engine for one decision.
#[derive(Clone, Copy, Debug)]
pub struct Engine {
    /// Its role.
    pub role: Role,
    /// Prompt tokens that it will prefill before this request's: those of the same or a higher priority
    /// class.
    pub prefill_tokens_ahead: u64,
    /// All prompt tokens that it still has to prefill.
    pub prefill_tokens: u64,
    /// Requests that decode there.
    pub decode_requests: u64,
    /// Tokens of this request's prompt in its prefix cache.
    pub cached_tokens: u64,
    /// One-way network delay to it.
    pub one_way_delay: Micros,
    /// Its latencies.
    pub latency: BatchLatency,
}

/// The request to place.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Length of the prompt.
    pub prompt_tokens: u64,
    /// Expected length of the answer.
    pub expected_output_tokens: u64,
    /// Whether it overtakes all requests that wait at the engines.
    pub urgent: bool,
    /// Whether the answer is read as it arrives, so that its inter-token latency counts.
    pub interactive: bool,
}

/// Limits and weights of routing.
#[derive(Clone, Copy, Debug)]
pub struct Weights {
    /// Maximum prefill time that may wait at an engine. Further requests stay in the daemon's own queue,
    /// which applies fair shares and priorities.
    pub max_prefill_wait: Micros,
    /// Maximum number of requests that decode at an engine, so that the inter-token latency stays within
    /// its limit.
    pub max_decode_requests: u64,
    /// Highest inter-token latency of an interactive answer.
    pub max_inter_token_latency: Micros,
    /// Time to transfer the KV cache of a thousand tokens.
    pub kv_transfer_per_thousand_tokens: Micros,
    /// Weight of the delay that a prompt causes to the requests that decode on a mixed engine.
    pub interference_weight: f64,
    /// Additional weight of a delay between tokens, besides its time.
    pub stall_weight: f64,
    /// Longest time for which a chunk of another prompt delays one token.
    pub max_chunk_stall: Micros,
    /// Engines whose cost exceeds the lowest by at most this ratio are chosen from at random. Otherwise
    /// several processes with old snapshots would all take the same one.
    pub tie_ratio: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            max_prefill_wait: 20_000_000,
            max_decode_requests: 48,
            max_inter_token_latency: 18_000,
            kv_transfer_per_thousand_tokens: 4_000,
            interference_weight: 4.0,
            stall_weight: 4.0,
            max_chunk_stall: 40_000,
            tie_ratio: 0.1,
        }
    }
}

/// Which engines serve a request, by their index in the snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// One engine prefills and decodes.
    Single {
        /// The engine.
        engine: usize,
    },
    /// One engine prefills; another one fetches the KV cache and decodes.
    Split {
        /// The engine that prefills.
        prefill: usize,
        /// The engine that decodes.
        decode: usize,
    },
}

impl Placement {
    /// Returns the engine to which the request is sent first.
    #[must_use]
    pub fn first_engine(self) -> usize {
        match self {
            Self::Single { engine } => engine,
            Self::Split { prefill, .. } => prefill,
        }
    }
}

/// A placement with its expected times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The placement.
    pub placement: Placement,
    /// Expected time to the first token, in microseconds.
    pub first_token_us: f64,
    /// Expected time to the last token, in microseconds.
    pub last_token_us: f64,
}

/// Chooses the engines for a request; `None` if every suitable engine has reached its limits.
///
/// `random` is a random number that breaks ties.
#[must_use]
pub fn choose(
    engines: &[Engine],
    request: &Request,
    weights: &Weights,
    random: u64,
) -> Option<Choice> {
    let single = choose_single(engines, random, weights, |engine| {
        (engine.role == Role::Mixed
            && accepts_prefill(engine, request, weights)
            && accepts_decode(engine, request, weights))
        .then(|| estimate_mixed(engine, request, weights))
    });
    let split = choose_split(engines, request, weights, random);
    match (single, split) {
        (Some(single), Some(split)) if split.1 < single.1 => Some(split.0),
        (Some(single), _) => Some(single.0),
        (None, split) => split.map(|split| split.0),
    }
}

/// Estimates the shortest time until the prefill backlog of any engine is within its limit, in
/// microseconds; callers are told to retry after it. The limit on requests that decode does not count.
#[must_use]
pub fn estimate_shortest_prefill_wait(engines: &[Engine], weights: &Weights) -> Option<f64> {
    engines
        .iter()
        .filter(|engine| engine.role != Role::Decode)
        .map(|engine| (prefill_backlog_us(engine) - to_f64(weights.max_prefill_wait)).max(0.0))
        .min_by(f64::total_cmp)
}

/// Returns the time to prefill all prompts that wait at an engine.
fn prefill_backlog_us(engine: &Engine) -> f64 {
    to_f64(engine.prefill_tokens) * engine.latency.prefill_token_us
}

/// Returns the time to prefill the prompts that are ahead of the request at an engine.
fn prefill_wait_us(engine: &Engine) -> f64 {
    to_f64(engine.prefill_tokens_ahead) * engine.latency.prefill_token_us
}

fn accepts_prefill(engine: &Engine, request: &Request, weights: &Weights) -> bool {
    request.urgent || prefill_wait_us(engine) <= to_f64(weights.max_prefill_wait)
}

/// Whether an engine may decode one more request. Urgent requests may exceed the limit.
fn accepts_decode(engine: &Engine, request: &Request, weights: &Weights) -> bool {
    request.urgent
        || (engine.decode_requests < weights.max_decode_requests
            && meets_latency_limit(engine, request, weights))
}

/// Whether an interactive answer would stay within the limit on inter-token latency, including the delay
/// by prompts behind it that are prefilled between its tokens, averaged over its length.
fn meets_latency_limit(engine: &Engine, request: &Request, weights: &Weights) -> bool {
    let behind_us = (prefill_backlog_us(engine) - prefill_wait_us(engine)).max(0.0);
    let stall_us = (behind_us / to_f64(request.expected_output_tokens.max(1)))
        .min(to_f64(weights.max_chunk_stall));
    !request.interactive
        || engine.latency.inter_token_us(engine.decode_requests + 1) + stall_us
            <= to_f64(weights.max_inter_token_latency)
}

/// Returns the time until the prefill of the request starts: network delay and prompts ahead of it.
fn queueing_delay_us(engine: &Engine, request: &Request) -> f64 {
    let ahead_us = if request.urgent {
        0.0
    } else {
        prefill_wait_us(engine)
    };
    to_f64(engine.one_way_delay) + ahead_us
}

/// Returns the time to prefill the request's own uncached tokens.
fn own_prefill_us(engine: &Engine, request: &Request) -> f64 {
    to_f64(request.prompt_tokens - engine.cached_tokens.min(request.prompt_tokens))
        * engine.latency.prefill_token_us
}

/// Estimates the time to the first token, the time to the last one, and the cost of a mixed engine.
///
/// A mixed engine prefills between its decode steps. So a request is delayed by all prompts that wait
/// there, also by those behind it, and its own prompt delays the requests that decode. Counting both
/// makes some mixed engines mostly prefill and others mostly decode, and this division adapts with every
/// request, without a change of role.
fn estimate_mixed(engine: &Engine, request: &Request, weights: &Weights) -> (f64, f64, f64) {
    let own_us = own_prefill_us(engine, request);
    let first_token_us =
        queueing_delay_us(engine, request) + own_us + engine.latency.decode_step_us;
    let behind_us = (prefill_backlog_us(engine) - prefill_wait_us(engine)).max(0.0);
    let max_stall_us = to_f64(request.expected_output_tokens) * to_f64(weights.max_chunk_stall);
    let stall_us = behind_us.min(max_stall_us);
    let last_token_us = first_token_us
        + to_f64(request.expected_output_tokens)
            * engine.latency.inter_token_us(engine.decode_requests + 1)
        + stall_us;
    let interference_us = own_us * to_f64(engine.decode_requests) * weights.interference_weight;
    (
        first_token_us,
        last_token_us,
        last_token_us + stall_us * weights.stall_weight + interference_us,
    )
}

fn choose_split(
    engines: &[Engine],
    request: &Request,
    weights: &Weights,
    random: u64,
) -> Option<(Choice, f64)> {
    let (prefill, first_token_us) = cheapest(engines, random, weights, |engine| {
        (engine.role == Role::Prefill && accepts_prefill(engine, request, weights)).then(|| {
            queueing_delay_us(engine, request)
                + own_prefill_us(engine, request)
                + engine.latency.decode_step_us
        })
    })?;
    let transfer_us =
        to_f64(request.prompt_tokens) * to_f64(weights.kv_transfer_per_thousand_tokens) / THOUSAND;
    let (decode, decode_us) = cheapest(engines, random >> 32, weights, |engine| {
        (engine.role != Role::Prefill && accepts_decode(engine, request, weights)).then(|| {
            let token_us = engine.latency.inter_token_us(engine.decode_requests + 1);
            // The prompts that a mixed engine prefills delay the answers that it decodes.
            let delay_us = if engine.role == Role::Mixed {
                prefill_backlog_us(engine)
            } else {
                0.0
            };
            to_f64(engine.one_way_delay)
                + to_f64(request.expected_output_tokens) * token_us
                + delay_us
        })
    })?;
    let last_token_us = first_token_us + transfer_us + decode_us;
    let placement = Placement::Split { prefill, decode };
    Some((
        Choice {
            placement,
            first_token_us,
            last_token_us,
        },
        last_token_us,
    ))
}

const THOUSAND: f64 = 1_000.0;

fn choose_single(
    engines: &[Engine],
    random: u64,
    weights: &Weights,
    estimate: impl Fn(&Engine) -> Option<(f64, f64, f64)>,
) -> Option<(Choice, f64)> {
    let (engine, cost) = cheapest(engines, random, weights, |engine| {
        estimate(engine).map(|(_, _, cost)| cost)
    })?;
    let (first_token_us, last_token_us, _) = estimate(&engines[engine])?;
    let placement = Placement::Single { engine };
    Some((
        Choice {
            placement,
            first_token_us,
            last_token_us,
        },
        cost,
    ))
}

/// Returns a random one of the engines within [`Weights::tie_ratio`] of the lowest cost, and its cost.
fn cheapest(
    engines: &[Engine],
    random: u64,
    weights: &Weights,
    cost: impl Fn(&Engine) -> Option<f64>,
) -> Option<(usize, f64)> {
    let lowest = engines.iter().filter_map(&cost).min_by(f64::total_cmp)?;
    let limit = lowest * (1.0 + weights.tie_ratio);
    let is_close = |engine: &&Engine| cost(engine).is_some_and(|cost| cost <= limit);
    let ties = u64::try_from(engines.iter().filter(is_close).count()).unwrap_or(1);
    let nth = usize::try_from((random & u64::from(u32::MAX)) % ties.max(1)).unwrap_or(0);
    engines
        .iter()
        .enumerate()
        .filter(|(_, engine)| is_close(engine))
        .nth(nth)
        .and_then(|(index, engine)| Some((index, cost(engine)?)))
}
