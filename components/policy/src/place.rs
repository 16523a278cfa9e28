//! Where a generation runs on a fleet whose engines read prompts or write answers.
//!
//! An engine that writes can read a prompt too, between the tokens of its answers: slower, and at the
//! expense of those answers. So a long prompt is best read on one engine and answered on another, and
//! what doesn't fit there in time may go to an engine that writes little. See
//! `docs/DESIGN.md#placement`.

use crate::{Micros, estimate::Latency, prompt, to_f64};

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
    pub prefill_work: u64,
    /// Work of the prompts that give way to all others there.
    pub deferred_work: u64,
    /// How many prompts those are.
    pub deferred_prompts: u64,
    /// Answers that it writes, or will write once their prompts are read.
    pub answers: u64,
    /// Those of them that are long, see [`Weights::long_answer`].
    pub long_answers: u64,
    /// Answers that it can write at once.
    pub decode_slots: u64,
    /// Tokens of the prompt in question that it holds already.
    pub cached_tokens: u64,
    /// Tokens of it that it can fetch from another engine beyond those, and the time that takes.
    pub fetch: Fetch,
    /// How fast it is in this stage.
    pub latency: Latency,
    /// Extra time, there and back, for an engine in another data centre.
    pub extra_round_trip: Micros,
    /// Part of its attempts that fail, from 0 to 1.
    pub failure_ratio: f64,
    /// Its place in this decider's own order; deciders have different ones.
    pub rank: u64,
}

/// What an engine can fetch of a prompt from another one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fetch {
    /// Tokens beyond those that it holds.
    pub tokens: u64,
    /// Time to fetch them.
    pub time_us: f64,
}

/// What is to be placed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer that are expected.
    pub expected_output_tokens: u64,
    /// Time that is left until the first event should be there.
    pub first_event_timeout: Micros,
    /// The longest time between two tokens with which this answer ends in time, in microseconds.
    pub max_inter_token_latency_us: f64,
    /// The longest time between two tokens that long answers of the service bear, in microseconds:
    /// events must not come too far apart, and the last one must come in time.
    pub service_max_inter_token_latency_us: f64,
    /// Tokens that come together in one event of an answer.
    pub tokens_per_event: u64,
    /// The longest time between two events that answers of the service bear, in microseconds.
    pub max_stall_us: f64,
}

/// What the decision weighs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Prompts of no more unread tokens than this are read where they are answered: a second engine
    /// would cost more than it saves.
    pub short_prompt_max_tokens: u64,
    /// Answers of more tokens than this are long. Prompts that are read on their engine hold them up,
    /// and an engine that writes some should write more of them rather than another one.
    pub short_answer_max_tokens: u64,
    /// How much longer a step takes while a prompt is read between two tokens. An engine reads a
    /// quarter of a chunk at half its speed then, which is some three steps' time.
    pub prefill_slowdown_factor: f64,
    /// How much a delay of an answer that is under way counts against a delay of this request: of each answer
    /// where one more prompt may bring it to pause for too long, of each long one elsewhere.
    pub interference_weight: f64,
    /// What it counts to put the first long answer on an engine, in microseconds: it is lost for
    /// reading then.
    pub first_long_answer_penalty_us: f64,
    /// Part of the longest bearable time between tokens that reading may bring answers to.
    pub latency_limit_ratio: f64,
    /// The same where it isn't reading all the time that is borne, but only what waits now: other
    /// deciders may send a prompt there at the same moment, and more may follow within one event.
    pub backlog_limit_ratio: f64,
    /// Part of an engine's slots up to which long answers go together. The rest is for short ones, which
    /// are soon over: a prompt that was read must find a slot.
    pub long_answer_slot_ratio: f64,
    /// What a placement in another data centre counts besides its distance, for the bytes that it
    /// moves, in microseconds.
    pub remote_penalty_us: f64,
    /// What a failure counts, in microseconds: an engine that fails every attempt looks this much
    /// slower.
    pub failure_penalty_us: f64,
    /// Part of an engine's slots that answers may take, so that it keeps room for those that are on
    /// their way from other deciders.
    pub slot_ratio: f64,
    /// Among placements this close to the best one, in microseconds, a decider takes the first in its own
    /// order: several with views a few milliseconds old would all take the same one otherwise, and by chance
    /// they do so more often than where each fills engines of its own first.
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
            long_answer_slot_ratio: 0.75,
            remote_penalty_us: 6_000.0,
            failure_penalty_us: 200_000.0,
            slot_ratio: 0.95,
            tie_margin_us: 2_000.0,
        }
    }
}

/// Who serves a generation; engines by their index in the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// One engine reads and writes.
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

/// A plan with the time that its first event is expected to take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The plan.
    pub placement: Placement,
    /// Time to the first event, in microseconds.
    pub first_event_us: f64,
}

/// Chooses the plan that costs least; none if no engine can take it at all.
#[must_use]
pub fn choose(engines: &[Engine], ask: &Request, weights: &Weights) -> Option<Choice> {
    let whole = cheapest(engines, weights, |engine| {
        let open = engine.stage == Stage::Decode
            && has_decode_slot(engine, ask, weights)
            && tolerates_prefill(engine, ask, weights);
        open.then(|| single_engine_cost(engine, ask, weights))
    });
    let reads = cheapest(engines, weights, |engine| {
        (engine.stage == Stage::Prefill).then(|| prefill_cost(engine, ask, weights))
    });
    let writes = cheapest(engines, weights, |engine| {
        let open = engine.stage == Stage::Decode && has_decode_slot(engine, ask, weights);
        open.then(|| decode_cost(engine, ask, weights))
    });
    let split = reads.zip(writes).map(|(reads, writes)| {
        let plan = Placement::Split {
            prefill: reads.engine,
            decode: writes.engine,
        };
        let first = reads.duration_us + writes.duration_us;
        let cost = reads.weighted_us + writes.weighted_us;
        (
            Choice {
                placement: plan,
                first_event_us: first,
            },
            cost,
        )
    });
    let whole = whole.map(|found| {
        let plan = Placement::Single {
            engine: found.engine,
        };
        let first = found.duration_us;
        (
            Choice {
                placement: plan,
                first_event_us: first,
            },
            found.weighted_us,
            found.uncached_tokens,
        )
    });
    match (whole, split) {
        (Some((whole, _, unread)), _) if unread <= weights.short_prompt_max_tokens => Some(whole),
        (Some((whole, cost, _)), Some((split, other))) => {
            Some(if cost < other { whole } else { split })
        }
        (Some((whole, ..)), None) => Some(whole),
        (None, split) => split.map(|(split, _)| split),
    }
}

/// Where a prompt is read that gives way to all others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Deferred {
    /// The engine, by its index in the view.
    pub engine: usize,
    /// Time until it is read, in microseconds.
    pub prefill_us: f64,
}

/// Chooses an engine that reads, for a prompt that comes too late anyway and gives way to all that
/// don't; none if it would not be read within `time`, in microseconds.
#[must_use]
pub fn choose_deferred(
    engines: &[Engine],
    ask: &Request,
    weights: &Weights,
    time: f64,
) -> Option<Deferred> {
    let found = cheapest(engines, weights, |engine| {
        if engine.stage != Stage::Prefill {
            return None;
        }
        let cost = prefill_cost(engine, ask, weights);
        let late = to_f64(engine.deferred_work + engine.prefill_work - engine_work_ahead(engine))
            * engine.latency.prefill_token_us;
        (cost.duration_us + late <= time).then_some(Cost {
            duration_us: cost.duration_us + late,
            weighted_us: cost.weighted_us + late,
            ..cost
        })
    });
    found.map(|found| Deferred {
        engine: found.engine,
        prefill_us: found.duration_us,
    })
}

/// Chooses an engine that writes, for a prompt that another engine has read already.
#[must_use]
pub fn choose_decode_engine(engines: &[Engine], ask: &Request, weights: &Weights) -> Option<usize> {
    let found = cheapest(engines, weights, |engine| {
        let open = engine.stage == Stage::Decode && has_decode_slot(engine, ask, weights);
        open.then(|| decode_cost(engine, ask, weights))
    });
    found.map(|found| found.engine)
}

struct Cost {
    /// Time to what is wanted of the engine.
    duration_us: f64,
    /// What is compared.
    weighted_us: f64,
    /// Prompt tokens that it would have to read.
    uncached_tokens: u64,
}

struct Found {
    engine: usize,
    duration_us: f64,
    weighted_us: f64,
    uncached_tokens: u64,
}

/// Whether an engine can take the answer: it has a slot, and a long answer would end in time there.
fn has_decode_slot(engine: &Engine, ask: &Request, weights: &Weights) -> bool {
    let slots = to_f64(engine.decode_slots);
    let writing = to_f64(engine.answers);
    if ask.expected_output_tokens <= weights.short_answer_max_tokens {
        return writing < slots * weights.slot_ratio;
    }
    let ends = engine.latency.decode_token_us
        <= ask.max_inter_token_latency_us * weights.latency_limit_ratio
        || engine.long_answers == 0;
    writing < slots * weights.long_answer_slot_ratio && ends
}

/// Whether an engine would read so little of the prompt that it is read where it is answered.
#[must_use]
pub fn is_short_prefill(engine: &Engine, ask: &Request, weights: &Weights) -> bool {
    uncached_tokens(engine, ask) <= weights.short_prompt_max_tokens
}

/// Work that is done before a prompt is read: all that goes before it, and one prompt that gives way, as an
/// engine that has begun to read one reads it to its end.
#[must_use]
pub fn work_ahead(reading: u64, late: u64, late_prompts: u64) -> u64 {
    reading + late.checked_div(late_prompts).unwrap_or(0)
}

fn engine_work_ahead(engine: &Engine) -> u64 {
    work_ahead(
        engine.prefill_work,
        engine.deferred_work,
        engine.deferred_prompts,
    )
}

fn uncached_tokens(engine: &Engine, ask: &Request) -> u64 {
    ask.prompt_tokens
        .saturating_sub(engine.cached_tokens + engine.fetch.tokens)
}

fn uncached_work(engine: &Engine, ask: &Request) -> u64 {
    prompt::prefill_work(
        ask.prompt_tokens,
        engine.cached_tokens + engine.fetch.tokens,
    )
}

/// Whether the answers that an engine writes bear that it reads the prompt between their tokens: none
/// may pause for too long, and long ones must end in time.
fn tolerates_prefill(engine: &Engine, ask: &Request, weights: &Weights) -> bool {
    let backlog = event_us(engine, ask) + prefill_time_us(engine, uncached_work(engine, ask));
    let bears_pause = backlog <= ask.max_stall_us * weights.backlog_limit_ratio
        || tolerates_sustained_prefill(engine, ask, weights);
    let slowest = engine.latency.decode_token_us * weights.prefill_slowdown_factor;
    let reads_long = uncached_tokens(engine, ask) > weights.short_prompt_max_tokens;
    let ends = engine.long_answers == 0
        || !reads_long
        || slowest <= ask.service_max_inter_token_latency_us * weights.latency_limit_ratio;
    engine.answers == 0 || (bears_pause && ends)
}

/// Whether no answer there pauses for too long, however much the engine reads.
fn tolerates_sustained_prefill(engine: &Engine, ask: &Request, weights: &Weights) -> bool {
    let slowed = sustained_prefill_delay_us(engine, ask).map(|more| event_us(engine, ask) + more);
    slowed.is_some_and(|pause| pause <= ask.max_stall_us * weights.latency_limit_ratio)
}

/// Time of one event of an answer while nothing is read.
fn event_us(engine: &Engine, ask: &Request) -> f64 {
    to_f64(ask.tokens_per_event) * engine.latency.decode_token_us
}

/// How much longer one event takes if the engine reads what waits there and so much more work: no
/// longer than that reading takes, and no longer than each of its tokens is held up by.
fn prefill_delay_us(engine: &Engine, ask: &Request, more: u64) -> f64 {
    let reading = prefill_time_us(engine, more);
    sustained_prefill_delay_us(engine, ask).map_or(reading, |sustained| reading.min(sustained))
}

/// Time to read what waits at an engine and so much more work.
fn prefill_time_us(engine: &Engine, more: u64) -> f64 {
    to_f64(engine.prefill_work + more) * engine.latency.prefill_token_us
}

/// How much longer one event takes while prompts are read all the time; none before that was seen.
fn sustained_prefill_delay_us(engine: &Engine, ask: &Request) -> Option<f64> {
    let slowed = engine.latency.contended_token_us?;
    Some((slowed - engine.latency.decode_token_us).max(0.0) * to_f64(ask.tokens_per_event))
}

/// Only reads the prompt.
fn prefill_cost(engine: &Engine, ask: &Request, weights: &Weights) -> Cost {
    let unread = uncached_tokens(engine, ask);
    let first = to_f64(engine.extra_round_trip)
        + engine.latency.overhead_us
        + engine.fetch.time_us
        + to_f64(engine_work_ahead(engine) + uncached_work(engine, ask))
            * engine.latency.prefill_token_us;
    Cost {
        duration_us: first,
        weighted_us: first + engine_penalty_us(engine, weights),
        uncached_tokens: unread,
    }
}

/// Only writes, the prompt being read elsewhere. The tokens of the first event wait for the prompts that
/// the engine reads.
fn decode_cost(engine: &Engine, ask: &Request, weights: &Weights) -> Cost {
    let held_up = prefill_delay_us(engine, ask, 0);
    let first = to_f64(engine.extra_round_trip) + engine.latency.overhead_us + held_up;
    Cost {
        duration_us: first,
        weighted_us: first
            + long_answer_penalty_us(engine, ask, weights)
            + engine_penalty_us(engine, weights),
        uncached_tokens: 0,
    }
}

/// Reads and writes on one engine.
fn single_engine_cost(engine: &Engine, ask: &Request, weights: &Weights) -> Cost {
    let unread = uncached_tokens(engine, ask);
    let own = to_f64(uncached_work(engine, ask)) * engine.latency.prefill_token_us;
    let ahead = to_f64(engine_work_ahead(engine)) * engine.latency.prefill_token_us;
    let start = engine.latency.overhead_us + engine.fetch.time_us;
    let first = to_f64(engine.extra_round_trip) + start + ahead + own;
    let disturbed = if tolerates_sustained_prefill(engine, ask, weights) {
        engine.long_answers
    } else {
        engine.answers
    };
    let held_up = own * to_f64(disturbed) * weights.interference_weight;
    Cost {
        duration_us: first,
        weighted_us: first
            + held_up
            + long_answer_penalty_us(engine, ask, weights)
            + engine_penalty_us(engine, weights),
        uncached_tokens: unread,
    }
}

/// What it counts to write the answer there, besides the time to its beginning.
fn long_answer_penalty_us(engine: &Engine, ask: &Request, weights: &Weights) -> f64 {
    if ask.expected_output_tokens <= weights.short_answer_max_tokens {
        return 0.0;
    }
    let behind = to_f64(engine.prefill_work) * engine.latency.prefill_token_us;
    let opens = if engine.long_answers == 0 {
        weights.first_long_answer_penalty_us
    } else {
        0.0
    };
    opens + behind
}

/// What counts against an engine besides the time that it takes.
fn engine_penalty_us(engine: &Engine, weights: &Weights) -> f64 {
    let remote = if engine.extra_round_trip > 0 {
        weights.remote_penalty_us
    } else {
        0.0
    };
    remote + engine.failure_ratio * weights.failure_penalty_us
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
        .map(|(_, cost)| cost.weighted_us)
        .min_by(f64::total_cmp)?;
    let bound = least + weights.tie_margin_us;
    costs
        .iter()
        .filter(|(_, cost)| cost.weighted_us <= bound)
        .min_by_key(|(at, _)| engines[*at].rank)
        .map(|(at, cost)| Found {
            engine: *at,
            duration_us: cost.duration_us,
            weighted_us: cost.weighted_us,
            uncached_tokens: cost.uncached_tokens,
        })
}
