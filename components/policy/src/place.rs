//! Placement of a generation on a fleet of prefill and decode engines.
//!
//! A decode engine can prefill a prompt too, between its decode steps: more slowly, and at the expense
//! of the answers that it decodes. So a long prompt is best prefilled on one engine and decoded on
//! another, and prompts that the prefill engines can't take in time may go to a decode engine with few
//! answers. See `docs/DESIGN.md#placement`.

use derive_more::Display;

use crate::{Micros, estimate::Latency, prompt, to_f64};

/// The stage that an engine serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It only prefills.
    Prefill,
    /// It decodes, and can prefill between decode steps.
    Decode,
}

/// Snapshot of an engine for one decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// The stage that it serves.
    pub stage: Stage,
    /// Work of the prompts that wait there or are being prefilled, see [`prompt::prefill_work`].
    pub prefill_work: u64,
    /// Work of the deferred prompts there, which yield to all others.
    pub deferred_work: u64,
    /// Number of deferred prompts.
    pub deferred_prompts: u64,
    /// Answers that it decodes, or will once their prompts are prefilled.
    pub answers: u64,
    /// Long ones among them, see [`Weights::short_answer_max_tokens`].
    pub long_answers: u64,
    /// Answers that it can decode at the same time.
    pub decode_slots: u64,
    /// Tokens of the request's prompt that it has cached.
    pub cached_tokens: u64,
    /// Engines of the same group can use each other's KV caches.
    pub kv_group: u32,
    /// What it can fetch of the prompt from another engine beyond those.
    pub fetch: Fetch,
    /// Its latencies in this stage.
    pub latency: Latency,
    /// Additional round-trip time to an engine in a remote data centre; zero in the local one.
    pub extra_round_trip: Micros,
    /// Ratio of its attempts that fail, from 0 to 1.
    pub failure_ratio: f64,
    /// Its rank in this process's order of preference, which differs between processes.
    pub rank: u64,
}

/// What an engine can fetch of a prompt from another engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fetch {
    /// Tokens beyond those that it has cached.
    pub tokens: u64,
    /// Time to fetch them, in microseconds.
    pub time_us: f64,
}

/// The request to place.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// Length of the prompt.
    pub prompt_tokens: u64,
    /// Length of the part of the answer that the caller has received, which the engine that decodes the rest prefills.
    pub received_tokens: u64,
    /// Expected length of the rest of the answer.
    pub expected_output_tokens: u64,
    /// Whether the caller says how long the answer will be. If not, the expected length is an upper bound, which does not
    /// show that an engine is too slow.
    pub has_length_hint: bool,
    /// Whether the answer has begun as a stream. Then it goes on wherever there is a slot, however late.
    pub has_begun: bool,
    /// Time left to the latency objective. Not used by the decision.
    pub time_to_objective: Micros,
    /// Highest inter-token latency at which the rest of the answer meets its deadline, in microseconds.
    pub max_inter_token_latency_us: f64,
    /// Highest inter-token latency that long answers of the service tolerate, in microseconds: their
    /// events must not stall, and the last one must meet the deadline.
    pub service_max_inter_token_latency_us: f64,
    /// Tokens that arrive together in one event of an answer.
    pub tokens_per_event: u64,
    /// Longest time between two events that answers of the service tolerate, in microseconds.
    pub max_stall_us: f64,
}

/// Parameters of the decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Maximum number of tokens to prefill, neither cached nor fetched, of a prompt that is prefilled
    /// where it is decoded. Up to this number, a second engine costs more than it saves.
    pub short_prompt_max_tokens: u64,
    /// Maximum number of tokens of a short answer. Prefill on the same engine delays longer ones, so
    /// they are concentrated on engines that already decode some.
    pub short_answer_max_tokens: u64,
    /// How many times as long a decode step takes while a prompt is prefilled. In each step, the engine
    /// then also prefills a quarter of a chunk at half its prefill speed, which takes about the time of
    /// three steps.
    pub prefill_slowdown_factor: f64,
    /// Weight of a delay of one answer in flight against a delay of this request. Applied to all answers
    /// if sustained prefill may make them stall, otherwise only to the long ones.
    pub interference_weight: f64,
    /// Penalty for placing the first long answer on an engine, in microseconds. While it decodes long
    /// answers, the engine can prefill a long prompt only if they still meet their deadlines.
    pub first_long_answer_penalty_us: f64,
    /// Fraction of a latency limit up to which an engine is used, also during sustained prefill.
    pub latency_limit_ratio: f64,
    /// Fraction of the stall limit that the current prefill backlog may reach if sustained prefill would
    /// exceed [`Self::latency_limit_ratio`]. It is lower than that ratio because other processes may
    /// send a prompt there at the same moment, and more prompts may follow before the next event.
    pub backlog_limit_ratio: f64,
    /// Fraction of an engine's slots that may be taken, by answers of any length, when a long one is
    /// placed there. The rest is for short answers, which are soon over: a prompt that has been
    /// prefilled must find a slot.
    pub long_answer_max_slot_ratio: f64,
    /// Penalty for a placement in a remote data centre besides the round trip, for the bytes that it
    /// transfers, in microseconds.
    pub remote_penalty_us: f64,
    /// Penalty for an engine that fails every attempt, in microseconds; scaled by the failure ratio.
    pub failure_penalty_us: f64,
    /// Fraction of an engine's slots that answers may take, so that some are left for answers that other
    /// processes are sending there.
    pub max_slot_ratio: f64,
    /// Placements whose costs are within this many microseconds of the lowest count as equal, and a
    /// process takes the first of them by its own rank. Otherwise several processes with snapshots a few
    /// milliseconds old would all take the same one. With random choices, they would collide more often
    /// than with a fixed rank, by which each fills its own engines first.
    pub tie_margin_us: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            short_prompt_max_tokens: 768,
            short_answer_max_tokens: 512,
            prefill_slowdown_factor: 3.0,
            interference_weight: 0.2,
            first_long_answer_penalty_us: 20_000.0,
            latency_limit_ratio: 0.85,
            backlog_limit_ratio: 0.5,
            long_answer_max_slot_ratio: 0.75,
            remote_penalty_us: 6_000.0,
            failure_penalty_us: 200_000.0,
            max_slot_ratio: 0.95,
            tie_margin_us: 2_000.0,
        }
    }
}

/// Which engines serve a generation, by their index in the snapshot.
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

/// A placement with the expected time to its first event.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The placement.
    pub placement: Placement,
    /// Expected time to the first event, in microseconds.
    pub first_event_us: f64,
}

/// Which limits an engine must keep to take an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Limits {
    /// All: it has a slot, the answer meets its deadline, and the answers that it decodes tolerate the prefill.
    All,
    /// All but that the answer meets its deadline.
    WithoutPace,
    /// Only that it has a slot.
    Slots,
}

impl Limits {
    /// Returns the limits that are tried one after the other for a request.
    fn in_order(request: &Request) -> &'static [Self] {
        match Self::weakest(request) {
            Self::All => &[Self::All],
            Self::WithoutPace => &[Self::All, Self::WithoutPace],
            Self::Slots => &[Self::All, Self::WithoutPace, Self::Slots],
        }
    }

    /// Returns the limits of the last resort for a request.
    fn weakest(request: &Request) -> Self {
        match request {
            Request {
                has_begun: true, ..
            } => Self::Slots,
            Request {
                has_length_hint: false,
                ..
            } => Self::WithoutPace,
            Request { .. } => Self::All,
        }
    }
}

/// Why an engine can't take an answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "kebab-case")]
pub enum Obstacle {
    /// It only prefills.
    Stage,
    /// Too many of its slots are taken.
    Slots,
    /// It decodes too slowly for the answer to meet its deadline.
    Pace,
    /// Prefill of the prompt would delay the answers that it decodes for too long.
    Prefill,
}

/// Returns why an engine can't prefill the prompt and decode the answer; `None` if it can.
#[must_use]
pub fn obstacle(engine: &Engine, request: &Request, weights: &Weights) -> Option<Obstacle> {
    obstacle_within(engine, request, weights, Limits::weakest(request))
}

fn obstacle_within(
    engine: &Engine,
    request: &Request,
    weights: &Weights,
    limits: Limits,
) -> Option<Obstacle> {
    let tolerates_prefill = limits == Limits::Slots || tolerates_prefill(engine, request, weights);
    match decode_obstacle(engine, request, weights, limits) {
        None if !tolerates_prefill => Some(Obstacle::Prefill),
        found => found,
    }
}

/// Chooses the placement of the lowest cost; `None` if no engine can take the request. A stream that has begun
/// and that no engine would complete in time goes to the one that completes it first.
#[must_use]
pub fn choose(engines: &[Engine], request: &Request, weights: &Weights) -> Option<Choice> {
    let mut limits = Limits::in_order(request).iter();
    limits.find_map(|limits| choose_within(engines, request, weights, *limits))
}

fn choose_within(
    engines: &[Engine],
    request: &Request,
    weights: &Weights,
    limits: Limits,
) -> Option<Choice> {
    let single = cheapest(engines, weights, |engine| {
        let is_open = obstacle_within(engine, request, weights, limits).is_none();
        is_open.then(|| single_engine_cost(engine, request, weights, limits))
    });
    let split = split_may_pay(request, weights)
        .then(|| cheapest_split(engines, request, weights, limits))
        .flatten();
    let single = single.map(|found| {
        let placement = Placement::Single {
            engine: found.engine,
        };
        let first_event_us = found.duration_us;
        (
            Choice {
                placement,
                first_event_us,
            },
            found.weighted_us,
            found.tokens_to_prefill,
        )
    });
    match (single, split) {
        (Some((single, _, tokens_to_prefill)), _)
            if tokens_to_prefill <= weights.short_prompt_max_tokens =>
        {
            Some(single)
        }
        (Some((single, single_us, _)), Some((split, split_us))) => {
            Some(if single_us < split_us { single } else { split })
        }
        (Some((single, ..)), None) => Some(single),
        (None, split) => split.map(|(split, _)| split),
    }
}

/// Whether a second engine for the prompt may save anything. It does not if the prompt is short and the engine that
/// decodes the rest of the answer must prefill what there is of it in any case.
fn split_may_pay(request: &Request, weights: &Weights) -> bool {
    request.received_tokens == 0 || request.prompt_tokens > weights.short_prompt_max_tokens
}

/// Returns the split placement of the lowest cost, and that cost. Both engines must be of one KV group.
fn cheapest_split(
    engines: &[Engine],
    request: &Request,
    weights: &Weights,
    limits: Limits,
) -> Option<(Choice, f64)> {
    let splits = kv_groups(engines).into_iter().filter_map(|group| {
        let prefill = cheapest(engines, weights, |engine| {
            let is_open = engine.kv_group == group && engine.stage == Stage::Prefill;
            is_open.then(|| prefill_cost(engine, request, weights))
        })?;
        let decode = cheapest(engines, weights, |engine| {
            let is_open = engine.kv_group == group
                && decode_obstacle(engine, request, weights, limits).is_none();
            is_open.then(|| decode_cost(engine, request, weights, limits))
        })?;
        let choice = Choice {
            placement: Placement::Split {
                prefill: prefill.engine,
                decode: decode.engine,
            },
            first_event_us: prefill.duration_us + decode.duration_us,
        };
        Some((choice, prefill.weighted_us + decode.weighted_us))
    });
    splits.min_by(|(_, first), (_, second)| first.total_cmp(second))
}

/// Returns the KV groups of engines, sorted.
fn kv_groups(engines: &[Engine]) -> Vec<u32> {
    let mut groups: Vec<u32> = engines.iter().map(|engine| engine.kv_group).collect();
    groups.sort_unstable();
    groups.dedup();
    groups
}

/// Where a deferred prompt is prefilled.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Deferred {
    /// The engine, by its index in the snapshot.
    pub engine: usize,
    /// Expected time until the prompt is prefilled, in microseconds.
    pub prefill_us: f64,
}

/// Chooses a prefill engine for a deferred prompt: its answer will begin too late anyway, so it yields
/// to the prompts whose answers can still begin in time. `None` if no engine would prefill it within
/// `max_prefill_us`.
#[must_use]
pub fn choose_deferred(
    engines: &[Engine],
    request: &Request,
    weights: &Weights,
    max_prefill_us: f64,
) -> Option<Deferred> {
    // without any decode engine, one of any group may come
    let is_decode_engine = |engine: &&Engine| engine.stage == Stage::Decode;
    let none_decodes = !engines.iter().any(|engine| is_decode_engine(&engine));
    let decodes = |group: u32| {
        let mut decode_engines = engines.iter().filter(is_decode_engine);
        none_decodes || decode_engines.any(|engine| engine.kv_group == group)
    };
    let found = cheapest(engines, weights, |engine| {
        if engine.stage != Stage::Prefill || !decodes(engine.kv_group) {
            return None;
        }
        let cost = prefill_cost(engine, request, weights);
        // `prefill_cost` includes only the work ahead of a normal prompt; a deferred one waits for all
        // work there.
        let extra_us =
            to_f64(engine.deferred_work + engine.prefill_work - engine_work_ahead(engine))
                * engine.latency.prefill_token_us;
        (cost.duration_us + extra_us <= max_prefill_us).then_some(Cost {
            duration_us: cost.duration_us + extra_us,
            weighted_us: cost.weighted_us + extra_us,
            ..cost
        })
    });
    found.map(|found| Deferred {
        engine: found.engine,
        prefill_us: found.duration_us,
    })
}

/// Chooses a decode engine for a prompt that another engine has prefilled already.
#[must_use]
pub fn choose_decode_engine(
    engines: &[Engine],
    request: &Request,
    weights: &Weights,
) -> Option<usize> {
    let within = |limits: &Limits| {
        cheapest(engines, weights, |engine| {
            let is_open = decode_obstacle(engine, request, weights, *limits).is_none();
            is_open.then(|| decode_cost(engine, request, weights, *limits))
        })
    };
    let found = Limits::in_order(request).iter().find_map(within);
    found.map(|found| found.engine)
}

struct Cost {
    /// Time until the engine has done its part up to the first event.
    duration_us: f64,
    /// The duration plus penalties; placements are compared by it.
    weighted_us: f64,
    /// Prompt tokens that the engine would have to prefill: neither cached nor fetched.
    tokens_to_prefill: u64,
}

struct Found {
    engine: usize,
    duration_us: f64,
    weighted_us: f64,
    tokens_to_prefill: u64,
}

/// Returns why an engine can't decode the answer: it has no slot for it or, if the answer is long, would not
/// complete it in time. An engine without long answers, or whose pace is not known yet, is assumed to.
fn decode_obstacle(
    engine: &Engine,
    request: &Request,
    weights: &Weights,
    limits: Limits,
) -> Option<Obstacle> {
    let is_long =
        limits != Limits::Slots && request.expected_output_tokens > weights.short_answer_max_tokens;
    let max_slot_ratio = if is_long {
        weights.long_answer_max_slot_ratio
    } else {
        weights.max_slot_ratio
    };
    let meets_deadline = !is_long
        || limits == Limits::WithoutPace
        || completes_in_time(engine, request, weights)
        || engine.long_answers == 0;
    match engine.stage {
        Stage::Prefill => Some(Obstacle::Stage),
        Stage::Decode if to_f64(engine.answers) >= to_f64(engine.decode_slots) * max_slot_ratio => {
            Some(Obstacle::Slots)
        }
        Stage::Decode if !meets_deadline => Some(Obstacle::Pace),
        Stage::Decode => None,
    }
}

/// Whether an engine decodes fast enough for the answer to meet its deadline, as far as its pace is known.
fn completes_in_time(engine: &Engine, request: &Request, weights: &Weights) -> bool {
    let limit_us = request.max_inter_token_latency_us * weights.latency_limit_ratio;
    !engine.latency.samples.has_known_pace() || engine.latency.decode_token_us <= limit_us
}

/// Whether an engine would prefill so few tokens of the prompt that it is prefilled where it is decoded.
#[must_use]
pub fn is_short_prefill(engine: &Engine, request: &Request, weights: &Weights) -> bool {
    tokens_to_prefill(engine, request) <= weights.short_prompt_max_tokens
}

/// Returns the work that is done before a new prompt: all prompts ahead of it and one deferred prompt,
/// because an engine completes a prefill that it has started.
#[must_use]
pub fn work_ahead(prefill_work: u64, deferred_work: u64, deferred_prompts: u64) -> u64 {
    prefill_work + deferred_work.checked_div(deferred_prompts).unwrap_or(0)
}

fn engine_work_ahead(engine: &Engine) -> u64 {
    work_ahead(
        engine.prefill_work,
        engine.deferred_work,
        engine.deferred_prompts,
    )
}

/// Returns how much of the prompt an engine would have to prefill. What the caller has received of the answer is not
/// part of it: it is prefilled where the rest is decoded in any case.
fn tokens_to_prefill(engine: &Engine, request: &Request) -> u64 {
    request
        .prompt_tokens
        .saturating_sub(engine.cached_tokens + engine.fetch.tokens)
}

/// Returns the work to prefill on an engine: the prompt and, if the engine decodes, the received part of the answer.
#[must_use]
pub fn work_to_prefill(engine: &Engine, request: &Request) -> u64 {
    let tokens = match engine.stage {
        Stage::Prefill => request.prompt_tokens,
        Stage::Decode => request
            .prompt_tokens
            .saturating_add(request.received_tokens),
    };
    prompt::prefill_work(tokens, engine.cached_tokens + engine.fetch.tokens)
}

/// Whether the answers that an engine decodes tolerate that it prefills the prompt between its decode
/// steps: none may stall for too long, and long ones must meet their deadline.
fn tolerates_prefill(engine: &Engine, request: &Request, weights: &Weights) -> bool {
    let backlog_us =
        event_us(engine, request) + prefill_time_us(engine, work_to_prefill(engine, request));
    let tolerates_stall = backlog_us <= request.max_stall_us * weights.backlog_limit_ratio
        || tolerates_sustained_prefill(engine, request, weights);
    let slowed_us = engine.latency.decode_token_us * weights.prefill_slowdown_factor;
    let is_long_prefill = tokens_to_prefill(engine, request) > weights.short_prompt_max_tokens;
    let meets_deadline = engine.long_answers == 0
        || !is_long_prefill
        || slowed_us <= request.service_max_inter_token_latency_us * weights.latency_limit_ratio;
    engine.answers == 0 || (tolerates_stall && meets_deadline)
}

/// Whether no answer there stalls for too long, however much the engine prefills.
fn tolerates_sustained_prefill(engine: &Engine, request: &Request, weights: &Weights) -> bool {
    let stall_us = sustained_prefill_delay_us(engine, request)
        .map(|delay_us| event_us(engine, request) + delay_us);
    stall_us.is_some_and(|stall_us| stall_us <= request.max_stall_us * weights.latency_limit_ratio)
}

/// Returns the time between two events of an answer while nothing is prefilled.
fn event_us(engine: &Engine, request: &Request) -> f64 {
    to_f64(request.tokens_per_event) * engine.latency.decode_token_us
}

/// Returns the delay of one event if the engine prefills its backlog and `extra_work`: at most the time
/// of that prefill, and at most the delay of sustained prefill.
fn prefill_delay_us(engine: &Engine, request: &Request, extra_work: u64) -> f64 {
    let prefill_us = prefill_time_us(engine, extra_work);
    sustained_prefill_delay_us(engine, request)
        .map_or(prefill_us, |sustained_us| prefill_us.min(sustained_us))
}

/// Returns the time to prefill an engine's backlog and `extra_work`.
fn prefill_time_us(engine: &Engine, extra_work: u64) -> f64 {
    to_f64(engine.prefill_work + extra_work) * engine.latency.prefill_token_us
}

/// Returns the delay of one event during sustained prefill; `None` until that has been observed.
fn sustained_prefill_delay_us(engine: &Engine, request: &Request) -> Option<f64> {
    let contended_us = engine.latency.contended_token_us?;
    Some(
        (contended_us - engine.latency.decode_token_us).max(0.0) * to_f64(request.tokens_per_event),
    )
}

/// Returns the cost of prefill alone.
fn prefill_cost(engine: &Engine, request: &Request, weights: &Weights) -> Cost {
    let tokens_to_prefill = tokens_to_prefill(engine, request);
    let duration_us = to_f64(engine.extra_round_trip)
        + engine.latency.overhead_us
        + engine.fetch.time_us
        + to_f64(engine_work_ahead(engine) + work_to_prefill(engine, request))
            * engine.latency.prefill_token_us;
    Cost {
        duration_us,
        weighted_us: duration_us + engine_penalty_us(engine, weights),
        tokens_to_prefill,
    }
}

/// Returns the cost of decode, with the prompt prefilled elsewhere. The first event waits for the prompts that the
/// engine prefills, and for the part of the answer that the caller has received.
fn decode_cost(engine: &Engine, request: &Request, weights: &Weights, limits: Limits) -> Cost {
    let context_tokens = request
        .prompt_tokens
        .saturating_add(request.received_tokens);
    let received_us = to_f64(prompt::prefill_work(context_tokens, request.prompt_tokens))
        * engine.latency.prefill_token_us;
    let delay_us = prefill_delay_us(engine, request, 0) + received_us;
    let duration_us = to_f64(engine.extra_round_trip) + engine.latency.overhead_us + delay_us;
    Cost {
        duration_us,
        weighted_us: duration_us
            + decode_us(engine, request, weights, limits)
            + long_answer_penalty_us(engine, request, weights)
            + engine_penalty_us(engine, weights),
        tokens_to_prefill: 0,
    }
}

/// Returns the expected time until the first event of an answer that one engine prefills and decodes, in microseconds.
#[must_use]
pub fn first_event_us(engine: &Engine, request: &Request) -> f64 {
    let ahead_us = to_f64(engine_work_ahead(engine)) * engine.latency.prefill_token_us;
    let start_us = engine.latency.overhead_us + engine.fetch.time_us;
    let own_us = own_prefill_us(engine, request);
    to_f64(engine.extra_round_trip) + start_us + ahead_us + own_us
}

fn own_prefill_us(engine: &Engine, request: &Request) -> f64 {
    to_f64(work_to_prefill(engine, request)) * engine.latency.prefill_token_us
}

/// Returns the cost of prefill and decode on one engine.
fn single_engine_cost(
    engine: &Engine,
    request: &Request,
    weights: &Weights,
    limits: Limits,
) -> Cost {
    let tokens_to_prefill = tokens_to_prefill(engine, request);
    let own_us = own_prefill_us(engine, request);
    let duration_us = first_event_us(engine, request);
    let delayed_answers = if tolerates_sustained_prefill(engine, request, weights) {
        engine.long_answers
    } else {
        engine.answers
    };
    let interference_us = own_us * to_f64(delayed_answers) * weights.interference_weight;
    Cost {
        duration_us,
        weighted_us: duration_us
            + decode_us(engine, request, weights, limits)
            + interference_us
            + long_answer_penalty_us(engine, request, weights)
            + engine_penalty_us(engine, weights),
        tokens_to_prefill,
    }
}

/// Returns the time to decode the rest of an answer at an engine that would not complete it in time. All that would do so
/// count as equally fast. Of an answer of unknown length only the first tokens count: a maximum says little of its end.
fn decode_us(engine: &Engine, request: &Request, weights: &Weights, limits: Limits) -> f64 {
    let tokens = if request.has_length_hint {
        request.expected_output_tokens
    } else {
        let known = weights.short_answer_max_tokens;
        request.expected_output_tokens.min(known)
    };
    if limits == Limits::All || completes_in_time(engine, request, weights) {
        0.0
    } else {
        to_f64(tokens) * engine.latency.decode_token_us
    }
}

/// Returns the penalty for decoding a long answer there: the prefill backlog, which delays it, and the
/// cost of the first long answer on an engine. Zero for a short answer.
fn long_answer_penalty_us(engine: &Engine, request: &Request, weights: &Weights) -> f64 {
    if request.expected_output_tokens <= weights.short_answer_max_tokens {
        return 0.0;
    }
    let backlog_us = to_f64(engine.prefill_work) * engine.latency.prefill_token_us;
    let first_us = if engine.long_answers == 0 {
        weights.first_long_answer_penalty_us
    } else {
        0.0
    };
    first_us + backlog_us
}

/// Returns the penalty of an engine for being in a remote data centre and for its failures.
fn engine_penalty_us(engine: &Engine, weights: &Weights) -> f64 {
    let remote_us = if engine.extra_round_trip > 0 {
        weights.remote_penalty_us
    } else {
        0.0
    };
    remote_us + engine.failure_ratio * weights.failure_penalty_us
}

/// Returns the first engine by rank among those within [`Weights::tie_margin_us`] of the lowest cost.
fn cheapest(
    engines: &[Engine],
    weights: &Weights,
    cost: impl Fn(&Engine) -> Option<Cost>,
) -> Option<Found> {
    let costs: Vec<(usize, Cost)> = engines
        .iter()
        .enumerate()
        .filter_map(|(index, engine)| Some((index, cost(engine)?)))
        .collect();
    let lowest_us = costs
        .iter()
        .map(|(_, cost)| cost.weighted_us)
        .min_by(f64::total_cmp)?;
    let limit_us = lowest_us + weights.tie_margin_us;
    costs
        .iter()
        .filter(|(_, cost)| cost.weighted_us <= limit_us)
        .min_by_key(|(index, _)| engines[*index].rank)
        .map(|(index, cost)| Found {
            engine: *index,
            duration_us: cost.duration_us,
            weighted_us: cost.weighted_us,
            tokens_to_prefill: cost.tokens_to_prefill,
        })
}
