//! Where generations are placed, by what callers get of it.

use policy::{
    estimate::Latency,
    place::{Deferred, Engine, Fetch, Placement, Request, Stage, Weights, choose, choose_deferred},
};
use proptest::prelude::*;

/// Milliseconds in microseconds.
const MS: f64 = 1_000.0;

/// A writer of large steps: nine tokens come together, and a token takes 4 ms.
fn writer(writing: u64) -> Engine {
    Engine {
        stage: Stage::Decode,
        prefill_work: 0,
        deferred_work: 0,
        deferred_prompts: 0,
        answers: writing,
        long_answers: 0,
        decode_slots: 64,
        cached_tokens: 0,
        fetch: Fetch::default(),
        latency: Latency {
            overhead_us: 40.0 * MS,
            prefill_token_us: 30.0,
            decode_token_us: 4.0 * MS,
            ..Latency::initial_decode()
        },
        extra_round_trip: 0,
        failure_ratio: 0.0,
        rank: 0,
    }
}

fn reader(reading: u64) -> Engine {
    let pace = Latency {
        overhead_us: 3.0 * MS,
        prefill_token_us: 15.0,
        ..Latency::initial_prefill()
    };
    Engine {
        stage: Stage::Prefill,
        prefill_work: reading,
        latency: pace,
        ..writer(0)
    }
}

/// A prompt of so many tokens whose answer comes in events of nine tokens, at most 200 ms apart.
fn ask(prompt: u64) -> Request {
    Request {
        prompt_tokens: prompt,
        expected_output_tokens: 120,
        first_event_timeout: 600_000,
        max_inter_token_latency_us: 50.0 * MS,
        service_max_inter_token_latency_us: 22.0 * MS,
        tokens_per_event: 9,
        max_stall_us: 200.0 * MS,
    }
}

fn place(engines: &[Engine], ask: &Request) -> Option<Placement> {
    choose(engines, ask, &Weights::default()).map(|choice| choice.placement)
}

#[test]
fn a_prompt_is_not_read_between_tokens_that_it_would_hold_up_for_too_long() {
    // 9,000 tokens take 270 ms: the answers there would pause for 306 ms
    let engines = [writer(1), reader(40_000)];
    let split = Placement::Split {
        prefill: 1,
        decode: 0,
    };
    assert_eq!(place(&engines, &ask(9_000)), Some(split));
    assert_eq!(place(&engines[..1], &ask(9_000)), None);
    // nobody is held up where nothing is written
    assert_eq!(
        place(&[writer(0)], &ask(9_000)),
        Some(Placement::Single { engine: 0 })
    );
}

#[test]
fn short_prompts_on_their_way_to_a_writer_hold_its_answers_up_as_well() {
    // each takes 30 ms: one fits into the pause, and so does a second, but not a fifth
    let short = ask(1_000);
    assert!(place(&[writer(3)], &short).is_some());
    let busy = |ahead: u64| Engine {
        prefill_work: 1_000 * ahead,
        ..writer(3)
    };
    assert!(place(&[busy(1)], &short).is_some());
    assert_eq!(place(&[busy(4)], &short), None);
}

#[test]
fn a_writer_that_reads_in_small_pieces_reads_as_much_as_comes() {
    // each token is held up by 3 ms, however much waits: 63 ms between events
    let pace = Latency {
        contended_token_us: Some(7.0 * MS),
        ..writer(0).latency
    };
    let fine = Engine {
        latency: pace,
        prefill_work: 20_000,
        ..writer(20)
    };
    assert!(place(&[fine], &ask(9_000)).is_some());
}

#[test]
fn an_answer_is_expected_after_the_prompts_that_its_writer_reads() {
    let busy = Engine {
        prefill_work: 4_000,
        ..writer(3)
    };
    let first = |writer: Engine| {
        let choice = choose(&[writer, reader(0)], &ask(9_000), &Weights::default());
        choice
            .expect("a reader and a writer are there")
            .first_event_us
    };
    let later = first(busy) - first(writer(3));
    assert!((later - 120.0 * MS).abs() < MS, "{later}");
}

fn any_engine() -> impl Strategy<Value = Engine> {
    let pace = (0.0..100_000.0, 1.0..200.0, 100.0..20_000.0, 1.0..4.0).prop_map(
        |(start_us, read_us, step_us, slower)| Latency {
            overhead_us: start_us,
            prefill_token_us: read_us,
            decode_token_us: step_us,
            contended_token_us: (slower > 1.5).then_some(step_us * slower),
            ..Latency::initial_decode()
        },
    );
    let load = (0_u64..200_000, 0_u64..50_000, 0_u64..80, 1_u64..100);
    (any::<bool>(), pace, load, 0_u64..30_000, 0.0..1.0).prop_map(
        |(reads, pace, (reading, late, writing, slots), held, failures)| Engine {
            stage: if reads { Stage::Prefill } else { Stage::Decode },
            prefill_work: reading,
            deferred_work: late,
            deferred_prompts: late.div_ceil(10_000),
            answers: writing,
            long_answers: writing / 3,
            decode_slots: slots,
            cached_tokens: held,
            fetch: Fetch::default(),
            latency: pace,
            extra_round_trip: 0,
            failure_ratio: failures,
            rank: held,
        },
    )
}

proptest! {
    /// Whatever is seen, a plan names engines of the stages that it needs, with a slot for the answer, and
    /// promises no first event before the prompt can have been read.
    #[test]
    fn a_plan_can_be_carried_out(
        engines in prop::collection::vec(any_engine(), 0..12),
        prompt in 1_u64..40_000,
    ) {
        let ask = ask(prompt);
        let Some(choice) = choose(&engines, &ask, &Weights::default()) else {
            return Ok(());
        };
        let (reads, writes) = match choice.placement {
            Placement::Single { engine } => (engine, engine),
            Placement::Split { prefill, decode } => (prefill, decode),
        };
        let (reads, writes) = (&engines[reads], &engines[writes]);
        prop_assert_eq!(writes.stage, Stage::Decode);
        prop_assert!(writes.answers < writes.decode_slots);
        if !std::ptr::eq(reads, writes) {
            prop_assert_eq!(reads.stage, Stage::Prefill);
        }
        let unread = policy::to_f64(prompt.saturating_sub(reads.cached_tokens));
        prop_assert!(choice.first_event_us >= unread * reads.latency.prefill_token_us);
    }

    /// Work that others have takes nothing away from a caller for whom there was room without it elsewhere.
    #[test]
    fn load_at_one_engine_refuses_nobody_that_another_one_takes(
        engines in prop::collection::vec(any_engine(), 1..8),
        prompt in 1_u64..40_000,
        more in 1_u64..100_000,
    ) {
        let ask = ask(prompt);
        let others = &engines[1..];
        let alone = place(others, &ask).is_some();
        let mut all = engines.clone();
        all[0].prefill_work += more;
        prop_assert!(!alone || place(&all, &ask).is_some());
    }
}

/// An engine with so many prompts that give way, of 30,000 tokens each.
fn late_reader(reading: u64, late_prompts: u64) -> Engine {
    Engine {
        deferred_work: 30_000 * late_prompts,
        deferred_prompts: late_prompts,
        ..reader(reading)
    }
}

#[test]
fn a_prompt_that_gives_way_is_in_the_way_once_it_is_being_read() {
    // 5,000 tokens are read in 75 ms, and 30,000 in 450 ms, to whose end the engine reads
    let engines = [writer(0), late_reader(0, 1), reader(5_000)];
    let split = Placement::Split {
        prefill: 2,
        decode: 0,
    };
    assert_eq!(place(&engines, &ask(9_000)), Some(split));
}

#[test]
fn prompts_that_give_way_count_as_one_however_many_wait() {
    let first = |engine| {
        let engines = [writer(0), engine];
        choose(&engines, &ask(9_000), &Weights::default()).map(|choice| choice.first_event_us)
    };
    assert_eq!(first(late_reader(0, 20)), first(late_reader(0, 1)));
    assert!(first(late_reader(0, 1)) > first(reader(0)));
}

#[test]
fn a_late_prompt_waits_for_all_others() {
    let engines = [late_reader(10_000, 2)];
    let late = |time| choose_deferred(&engines, &ask(10_000), &Weights::default(), time);
    // 80,000 tokens ahead and with it take 1.2 s, 3 ms besides, and attention for the prompt's own length
    let Some(Deferred {
        engine: 0,
        prefill_us: read,
    }) = late(1_300.0 * MS)
    else {
        panic!("it is read within 1.3 s");
    };
    assert!((1_200.0 * MS..1_260.0 * MS).contains(&read), "{read}");
    assert_eq!(late(1_200.0 * MS), None);
}
