//! Placement of generations on prefill and decode engines.

use policy::{
    estimate::{Latency, Samples},
    place::{
        Deferred, Engine, Fetch, Placement, Request, Stage, Weights, choose, choose_decode_engine,
        choose_deferred, work_to_prefill,
    },
};
use proptest::prelude::*;

/// Milliseconds in microseconds.
const MS: f64 = 1_000.0;
/// Number of samples from which an estimate is reliable.
const MANY: u32 = 100;

/// A decode engine with the given number of answers, whose inter-token latency is 4 ms.
fn decode_engine(answers: u64) -> Engine {
    Engine {
        stage: Stage::Decode,
        prefill_work: 0,
        deferred_work: 0,
        deferred_prompts: 0,
        answers,
        long_answers: 0,
        decode_slots: 64,
        cached_tokens: 0,
        kv_group: 0,
        fetch: Fetch::default(),
        latency: Latency {
            overhead_us: 40.0 * MS,
            prefill_token_us: 30.0,
            decode_token_us: 4.0 * MS,
            samples: Samples {
                overhead: MANY,
                prefill: MANY,
                decode: MANY,
            },
            ..Latency::initial_decode()
        },
        extra_round_trip: 0,
        failure_ratio: 0.0,
        rank: 0,
    }
}

/// A prefill engine with the given work.
fn prefill_engine(prefill_work: u64) -> Engine {
    let latency = Latency {
        overhead_us: 3.0 * MS,
        prefill_token_us: 15.0,
        ..Latency::initial_prefill()
    };
    Engine {
        stage: Stage::Prefill,
        prefill_work,
        latency,
        ..decode_engine(0)
    }
}

/// A request with a prompt of the given number of tokens, whose answer has events of nine tokens that
/// may be at most 200 ms apart.
fn request(prompt_tokens: u64) -> Request {
    Request {
        prompt_tokens,
        received_tokens: 0,
        expected_output_tokens: 120,
        has_length_hint: true,
        has_begun: false,
        time_to_objective: 600_000,
        max_inter_token_latency_us: 50.0 * MS,
        service_max_inter_token_latency_us: 22.0 * MS,
        tokens_per_event: 9,
        max_stall_us: 200.0 * MS,
    }
}

fn chosen(engines: &[Engine], request: &Request) -> Option<Placement> {
    choose(engines, request, &Weights::default()).map(|choice| choice.placement)
}

#[test]
fn a_prompt_whose_prefill_would_stall_answers_is_not_placed_beside_them() {
    // Prefill of 9,000 tokens takes 270 ms: the answers there would stall for 306 ms.
    let engines = [decode_engine(1), prefill_engine(40_000)];
    let split = Placement::Split {
        prefill: 1,
        decode: 0,
    };
    assert_eq!(chosen(&engines, &request(9_000)), Some(split));
    assert_eq!(chosen(&engines[..1], &request(9_000)), None);
    // An engine without answers has none to stall.
    assert_eq!(
        chosen(&[decode_engine(0)], &request(9_000)),
        Some(Placement::Single { engine: 0 })
    );
}

#[test]
fn short_prompts_in_flight_count_towards_the_stall_limit() {
    // Each takes 30 ms: one stays within the limit, and so does a second, but not a fifth.
    let short = request(1_000);
    assert!(chosen(&[decode_engine(3)], &short).is_some());
    let loaded = |ahead: u64| Engine {
        prefill_work: 1_000 * ahead,
        ..decode_engine(3)
    };
    assert!(chosen(&[loaded(1)], &short).is_some());
    assert_eq!(chosen(&[loaded(4)], &short), None);
}

#[test]
fn an_engine_that_prefills_in_small_chunks_accepts_any_backlog() {
    // Each token is delayed by 3 ms whatever the backlog, which gives 63 ms between events.
    let latency = Latency {
        contended_token_us: Some(7.0 * MS),
        ..decode_engine(0).latency
    };
    let chunked = Engine {
        latency,
        prefill_work: 20_000,
        ..decode_engine(20)
    };
    assert!(chosen(&[chunked], &request(9_000)).is_some());
}

#[test]
fn the_expected_first_event_includes_the_prefill_backlog_of_the_decode_engine() {
    let loaded = Engine {
        prefill_work: 4_000,
        ..decode_engine(3)
    };
    let first = |decode_engine: Engine| {
        let choice = choose(
            &[decode_engine, prefill_engine(0)],
            &request(9_000),
            &Weights::default(),
        );
        choice
            .expect("there is an engine of each stage")
            .first_event_us
    };
    let delay = first(loaded) - first(decode_engine(3));
    assert!((delay - 120.0 * MS).abs() < MS, "{delay}");
}

fn any_engine() -> impl Strategy<Value = Engine> {
    let latency = (0.0..100_000.0, 1.0..200.0, 100.0..20_000.0, 1.0..4.0).prop_map(
        |(overhead_us, prefill_token_us, decode_token_us, slowdown)| Latency {
            overhead_us,
            prefill_token_us,
            decode_token_us,
            contended_token_us: (slowdown > 1.5).then_some(decode_token_us * slowdown),
            ..Latency::initial_decode()
        },
    );
    let load = (0_u64..200_000, 0_u64..50_000, 0_u64..80, 1_u64..100);
    (any::<bool>(), latency, load, 0_u64..30_000, 0.0..1.0).prop_map(
        |(
            is_prefill,
            latency,
            (prefill_work, deferred_work, answers, decode_slots),
            cached_tokens,
            failure_ratio,
        )| Engine {
            stage: if is_prefill {
                Stage::Prefill
            } else {
                Stage::Decode
            },
            prefill_work,
            deferred_work,
            deferred_prompts: deferred_work.div_ceil(10_000),
            answers,
            long_answers: answers / 3,
            decode_slots,
            cached_tokens,
            fetch: Fetch::default(),
            latency,
            kv_group: 0,
            extra_round_trip: 0,
            failure_ratio,
            rank: cached_tokens,
        },
    )
}

proptest! {
    /// For any snapshot, a placement names engines of the required stages and with a slot for the answer, and
    /// does not expect the first event before the prompt can have been prefilled.
    #[test]
    fn a_placement_is_feasible(
        engines in prop::collection::vec(any_engine(), 0..12),
        prompt_tokens in 1_u64..40_000,
    ) {
        let request = request(prompt_tokens);
        let Some(choice) = choose(&engines, &request, &Weights::default()) else {
            return Ok(());
        };
        let (prefill, decode) = match choice.placement {
            Placement::Single { engine } => (engine, engine),
            Placement::Split { prefill, decode } => (prefill, decode),
        };
        let (prefill, decode) = (&engines[prefill], &engines[decode]);
        prop_assert_eq!(decode.stage, Stage::Decode);
        prop_assert!(decode.answers < decode.decode_slots);
        if !std::ptr::eq(prefill, decode) {
            prop_assert_eq!(prefill.stage, Stage::Prefill);
        }
        let uncached_tokens = policy::to_f64(prompt_tokens.saturating_sub(prefill.cached_tokens));
        prop_assert!(choice.first_event_us >= uncached_tokens * prefill.latency.prefill_token_us);
    }

    /// Load on one engine never causes the refusal of a request that another engine accepts.
    #[test]
    fn load_on_one_engine_refuses_no_request_that_another_accepts(
        engines in prop::collection::vec(any_engine(), 1..8),
        prompt_tokens in 1_u64..40_000,
        extra_work in 1_u64..100_000,
    ) {
        let request = request(prompt_tokens);
        let others = &engines[1..];
        let accepted = chosen(others, &request).is_some();
        let mut all = engines.clone();
        all[0].prefill_work += extra_work;
        prop_assert!(!accepted || chosen(&all, &request).is_some());
    }
}

/// A prefill engine with the given number of deferred prompts of 30,000 tokens each.
fn deferring_engine(prefill_work: u64, deferred_prompts: u64) -> Engine {
    Engine {
        deferred_work: 30_000 * deferred_prompts,
        deferred_prompts,
        ..prefill_engine(prefill_work)
    }
}

#[test]
fn a_deferred_prompt_whose_prefill_has_started_delays_others() {
    // Prefill of 5,000 tokens takes 75 ms, and of 30,000 tokens 450 ms, which the engine completes once
    // started.
    let engines = [
        decode_engine(0),
        deferring_engine(0, 1),
        prefill_engine(5_000),
    ];
    let split = Placement::Split {
        prefill: 2,
        decode: 0,
    };
    assert_eq!(chosen(&engines, &request(9_000)), Some(split));
}

#[test]
fn any_number_of_deferred_prompts_delays_others_as_one() {
    let first = |engine| {
        let engines = [decode_engine(0), engine];
        choose(&engines, &request(9_000), &Weights::default()).map(|choice| choice.first_event_us)
    };
    assert_eq!(
        first(deferring_engine(0, 20)),
        first(deferring_engine(0, 1))
    );
    assert!(first(deferring_engine(0, 1)) > first(prefill_engine(0)));
}

#[test]
fn a_deferred_prompt_waits_for_all_others() {
    let engines = [deferring_engine(10_000, 2)];
    let deferred = |max_prefill_us| {
        choose_deferred(
            &engines,
            &request(10_000),
            &Weights::default(),
            max_prefill_us,
        )
    };
    // Prefill of 80,000 tokens, 70,000 of them ahead, takes 1.2 s, plus 3 ms of overhead and the attention
    // cost of the prompt's own length.
    let Some(Deferred {
        engine: 0,
        prefill_us,
    }) = deferred(1_300.0 * MS)
    else {
        panic!("no engine prefills it within 1.3 s");
    };
    assert!(
        (1_200.0 * MS..1_260.0 * MS).contains(&prefill_us),
        "{prefill_us}"
    );
    assert_eq!(deferred(1_200.0 * MS), None);
}

#[test]
fn a_prompt_is_decoded_only_where_its_kv_cache_can_be_used() {
    let of_group = |kv_group: u32, engine: Engine| Engine { kv_group, ..engine };
    let engines = [
        of_group(0, prefill_engine(0)),
        of_group(1, prefill_engine(40_000)),
        of_group(1, decode_engine(30)),
    ];
    let placement = chosen(&engines, &request(9_000));
    assert_eq!(
        placement,
        Some(Placement::Split {
            prefill: 1,
            decode: 2
        })
    );
    let placement = chosen(&engines[..1], &request(9_000));
    assert_eq!(placement, None);
    let deferred = choose_deferred(&engines, &request(9_000), &Weights::default(), f64::MAX);
    assert_eq!(deferred.map(|deferred| deferred.engine), Some(1));
}

/// What remains of a stream whose deadline no engine here can meet: 1,000 tokens, at most 1 ms each.
fn late_stream() -> Request {
    Request {
        received_tokens: 1_000,
        expected_output_tokens: 1_000,
        has_begun: true,
        max_inter_token_latency_us: MS,
        ..request(200)
    }
}

fn busy_engine(answers: u64, decode_token_us: f64) -> Engine {
    let latency = Latency {
        decode_token_us,
        ..decode_engine(0).latency
    };
    Engine {
        long_answers: answers,
        latency,
        ..decode_engine(answers)
    }
}

#[test]
fn a_stream_that_has_begun_goes_on_where_no_engine_would_complete_it_in_time() {
    let engines = [busy_engine(20, 6.0 * MS), busy_engine(20, 4.0 * MS)];
    let fastest = Some(Placement::Single { engine: 1 });
    assert_eq!(chosen(&engines, &late_stream()), fastest);
    let new = Request {
        has_begun: false,
        ..late_stream()
    };
    assert_eq!(chosen(&engines, &new), None);
    assert_eq!(
        choose_decode_engine(&engines, &late_stream(), &Weights::default()),
        Some(1)
    );
}

#[test]
fn a_new_answer_is_held_to_its_deadline_only_if_its_length_is_known() {
    let engines = [busy_engine(20, 6.0 * MS), busy_engine(20, 4.0 * MS)];
    let new = Request {
        received_tokens: 0,
        has_begun: false,
        ..late_stream()
    };
    let unknown = Request {
        has_length_hint: false,
        ..new
    };
    let fastest = Some(Placement::Single { engine: 1 });
    assert_eq!(chosen(&engines, &new), None);
    assert_eq!(chosen(&engines, &unknown), fastest);
    assert_eq!(chosen(&[busy_engine(50, 4.0 * MS)], &unknown), None);
}

#[test]
fn a_stream_that_has_begun_goes_to_an_engine_that_completes_it_in_time_if_there_is_one() {
    let in_time = Request {
        max_inter_token_latency_us: 5.0 * MS,
        ..late_stream()
    };
    let engines = [busy_engine(20, 6.0 * MS), busy_engine(20, 4.0 * MS)];
    let expected = Some(Placement::Single { engine: 1 });
    assert_eq!(chosen(&engines, &in_time), expected);
}

#[test]
fn a_stream_that_has_begun_does_not_wait_at_the_fastest_engine_if_others_complete_it_in_time_too() {
    // neither tolerates the prefill beside its answers
    let in_time = Request {
        received_tokens: 8_000,
        expected_output_tokens: 10_000,
        max_inter_token_latency_us: 50.0 * MS,
        ..late_stream()
    };
    let fastest = Engine {
        prefill_work: 20_000,
        ..busy_engine(20, 3.8 * MS)
    };
    let engines = [fastest, busy_engine(20, 4.0 * MS)];
    let idle = Some(Placement::Single { engine: 1 });
    assert_eq!(chosen(&engines, &in_time), idle);
}

#[test]
fn a_stream_that_has_begun_takes_a_slot_that_is_left_to_short_answers_but_none_that_is_taken() {
    assert!(chosen(&[busy_engine(50, 4.0 * MS)], &late_stream()).is_some());
    assert_eq!(chosen(&[busy_engine(62, 4.0 * MS)], &late_stream()), None);
}

#[test]
fn the_received_part_of_an_answer_is_prefilled_where_the_rest_is_decoded() {
    let resumed = late_stream();
    let new = Request {
        received_tokens: 0,
        ..resumed
    };
    let work = |engine: &Engine, request| work_to_prefill(engine, request);
    let engine = decode_engine(0);
    assert!(work(&engine, &resumed) >= work(&engine, &new) + 1_000);
    let engine = prefill_engine(0);
    assert_eq!(work(&engine, &resumed), work(&engine, &new));
}

#[test]
fn a_resumed_stream_with_a_short_prompt_is_not_split_between_engines() {
    let resumed = Request {
        received_tokens: 8_000,
        max_inter_token_latency_us: 50.0 * MS,
        ..late_stream()
    };
    let engines = [busy_engine(20, 4.0 * MS), prefill_engine(0)];
    let single = Some(Placement::Single { engine: 0 });
    assert_eq!(chosen(&engines, &resumed), single);
}

#[test]
fn a_huge_event_number_does_not_overflow_the_work_of_an_engine() {
    let resumed = Request {
        received_tokens: u64::MAX,
        ..late_stream()
    };
    let work = work_to_prefill(&decode_engine(0), &resumed);
    assert!(work >= resumed.prompt_tokens);
}

#[test]
fn a_stream_that_is_only_late_does_not_stall_answers_where_another_engine_tolerates_its_prefill() {
    let stalls = busy_engine(20, 3.9 * MS);
    let idle_prefill = Engine {
        latency: Latency {
            contended_token_us: Some(10.0 * MS),
            ..busy_engine(20, 4.0 * MS).latency
        },
        ..busy_engine(20, 4.0 * MS)
    };
    let resumed = Request {
        prompt_tokens: 9_000,
        ..late_stream()
    };
    let tolerating = Some(Placement::Single { engine: 1 });
    let new = Request {
        has_begun: false,
        has_length_hint: false,
        ..resumed
    };
    assert_eq!(chosen(&[stalls, idle_prefill], &new), tolerating);
    assert_eq!(chosen(&[stalls, idle_prefill], &resumed), tolerating);
}

#[test]
fn a_maximum_that_is_no_length_does_not_outweigh_the_failures_of_an_engine() {
    let failing = Engine {
        failure_ratio: 0.9,
        ..busy_engine(20, 3.9 * MS)
    };
    let habitual = Request {
        received_tokens: 0,
        has_begun: false,
        has_length_hint: false,
        expected_output_tokens: 32_768,
        ..late_stream()
    };
    let sound = Some(Placement::Single { engine: 0 });
    assert_eq!(
        chosen(&[busy_engine(20, 4.0 * MS), failing], &habitual),
        sound
    );
}

#[test]
fn a_new_answer_is_not_refused_because_the_engines_whose_pace_is_known_are_too_slow() {
    let request = Request {
        has_begun: false,
        ..late_stream()
    };
    let slow = busy_engine(1, 4.0 * MS);
    assert_eq!(chosen(&[slow], &request), None);
    // estimated by the pace of the others
    let mut unknown = busy_engine(1, 4.0 * MS);
    unknown.latency.samples.decode = 0;
    let single = Placement::Single { engine: 1 };
    assert_eq!(chosen(&[slow, unknown], &request), Some(single));
}
