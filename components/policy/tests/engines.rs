//! What is learnt and believed of engines: how fast they are, what they still have to do, what they hold.

use policy::{
    backlog::Backlog,
    estimate::{Latency, WaitFactor},
    prefix_cache::PrefixCache,
    prompt::Part,
};
use proptest::prelude::*;

#[test]
fn a_first_prompt_says_more_than_the_guess() {
    let mut pace = Latency::initial_prefill();
    // 15 us a token, where 2 us were guessed
    pace.observe_prefill(10_000, 153_000);
    assert!(
        (pace.prefill_token_us - 15.0).abs() < 0.1,
        "{}",
        pace.prefill_token_us
    );
}

#[test]
fn prompts_behind_work_that_nobody_knew_of_do_not_slow_an_engine_down() {
    let mut pace = Latency::initial_prefill();
    for n in 0..200_u64 {
        // every third one waited for ten times as long as it took
        let waited = if n % 3 == 0 { 1_500_000 } else { 0 };
        pace.observe_prefill(10_000, 153_000 + waited);
    }
    assert!(
        (14.0..17.0).contains(&pace.prefill_token_us),
        "{}",
        pace.prefill_token_us
    );
}

#[test]
fn an_engine_that_has_become_slower_is_known_to_be() {
    let mut pace = Latency::initial_prefill();
    for _ in 0..50 {
        pace.observe_prefill(10_000, 153_000);
    }
    for _ in 0..50 {
        pace.observe_prefill(10_000, 603_000);
    }
    assert!(
        (55.0..65.0).contains(&pace.prefill_token_us),
        "{}",
        pace.prefill_token_us
    );
}

#[test]
fn pauses_while_reading_are_those_that_most_events_stay_below() {
    let mut pace = Latency::initial_decode();
    for n in 0..400_u64 {
        // one event in ten takes 36 ms a token, the others 10
        let step = if n % 10 == 0 { 36 } else { 10 };
        pace.observe_event(9, 9 * step * 1_000, Some(u64::MAX), Some(u64::MAX));
    }
    let slowed = pace.contended_token_us.expect("events were seen");
    assert!(slowed > 15_000.0, "{slowed}");
}

#[test]
fn what_waits_drains_between_words_of_it_and_what_is_overdue_stays_in_part() {
    let mut backlog = Backlog::default();
    // 10,000 tokens of 10 us each: 100 ms
    backlog.add(0, 10.0, 0, 10_000);
    let left = |now| backlog.remaining(now, 10.0, 10_000);
    assert!((left(0) - 10_000.0).abs() < 1.0);
    assert!((left(50_000) - 5_000.0).abs() < 1.0);
    // it should have ended, and nobody said that it has
    assert!((left(500_000) - 3_000.0).abs() < 1.0);
    // somebody did
    assert!(backlog.remaining(60_000, 10.0, 0) < 1.0);
}

proptest! {
    /// Whatever comes in whatever order, no more is left than is under way, and never less than nothing.
    #[test]
    fn a_backlog_stays_within_what_is_under_way(
        steps in prop::collection::vec((0_u64..200_000, 0_u64..50_000, 0_u64..50_000), 1..40),
        read_us in 0.0..100.0,
    ) {
        let mut backlog = Backlog::default();
        let mut now = 0;
        for (span, work, under_way) in steps {
            now += span;
            let left = backlog.remaining(now, read_us, under_way);
            prop_assert!((0.0..=policy::to_f64(under_way)).contains(&left));
            backlog.add(now, read_us, under_way, work);
        }
    }
}

const SHARED: Part = Part {
    key: 1,
    tokens: 1_000,
};
const OWN: Part = Part {
    key: 2,
    tokens: 100,
};

#[test]
fn a_part_can_be_fetched_once_it_has_been_read() {
    let mut memory = PrefixCache::new(100_000);
    memory.record_use(&[SHARED, OWN], 50_000);
    // the engine itself will have it when the next prompt's turn comes
    assert_eq!(memory.cached_tokens(&[SHARED]), 1_000);
    assert_eq!(memory.fetchable_tokens(&[SHARED], 49_999), 0);
    assert_eq!(memory.fetchable_tokens(&[SHARED], 50_000), 1_000);
    // using it again while it is held does not make it unread
    memory.record_use(&[SHARED], 90_000);
    assert_eq!(memory.fetchable_tokens(&[SHARED], 60_000), 1_000);
}

#[test]
fn parts_yield_to_what_passed_through_the_engine_since() {
    let mut memory = PrefixCache::new(10_000);
    memory.record_use(&[SHARED], 0);
    let other = Part {
        key: 9,
        tokens: 9_000,
    };
    memory.record_use(&[other], 0);
    assert_eq!(memory.cached_tokens(&[SHARED]), 0);
}

#[test]
fn a_memory_whose_size_is_told_later_holds_what_was_used_before() {
    let mut memory = PrefixCache::default();
    memory.record_use(&[SHARED, OWN], 0);
    assert_eq!(memory.cached_tokens(&[SHARED]), 0);
    memory.resize(100_000);
    assert_eq!(memory.cached_tokens(&[SHARED]), 1_000);
}

/// An engine that reads a token in 15 us, met by a process that does not know what it holds.
#[test]
fn a_prompt_that_was_held_already_teaches_no_pace() {
    let mut pace = Latency::initial_prefill();
    // nothing of it was read: the time besides reading is all that it took
    pace.observe_prefill(17_000, 3_000);
    for _ in 0..20 {
        pace.observe_prefill(10_000, 153_000);
    }
    assert!((14.0..16.0).contains(&pace.prefill_token_us), "{pace:?}");
}

#[test]
fn only_a_time_that_was_filled_with_reading_tells_what_reading_does_to_answers() {
    let mut pace = Latency::initial_decode();
    // a short prompt was read for 5 of 50 ms
    pace.observe_event(9, 50_000, Some(5_000), Some(5_000));
    assert_eq!(pace.contended_token_us, None);
    // there was more to read than the whole time took
    pace.observe_event(9, 324_000, Some(400_000), None);
    let slowed = pace.contended_token_us.expect("reading filled the time");
    assert!((35_000.0..=36_000.0).contains(&slowed), "{slowed}");
    // nothing was read
    pace.observe_event(9, 45_000, None, None);
    assert!((pace.decode_token_us - 5_000.0).abs() < 1.0, "{pace:?}");
}

/// An engine that takes 36 ms a token while it reads and 4 ms else, and hands out nine at once. What was left to read
/// when an event came is known beforehand, how long the next one takes is not: reading that was over sooner than that
/// must not leave out the events that it held up most.
#[test]
fn events_that_reading_held_up_for_longer_than_it_took_are_learnt_from() {
    let mut pace = Latency::initial_decode();
    // what was thought to be read was held already
    pace.observe_event(9, 40_000, Some(45_000), None);
    for _ in 0..30 {
        // six pieces of a prompt are read, between the first of its tokens
        pace.observe_event(9, 229_000, Some(190_000), None);
    }
    let slowed = pace.contended_token_us.expect("events were seen");
    assert!(slowed > 20_000.0, "{slowed}");
}

/// Of most events it is thought that a prompt was read beside them, and it was held already or had not arrived yet: they
/// come as fast as ever, and show nothing of what reading does.
#[test]
fn few_events_that_reading_held_up_count_more_than_many_that_it_did_not() {
    let mut pace = Latency::initial_decode();
    for n in 1..=1_000_u64 {
        let step = if n % 50 == 0 { 36 } else { 5 };
        pace.observe_event(9, 9 * step * 1_000, Some(u64::MAX), Some(u64::MAX));
    }
    let slowed = pace.contended_token_us.expect("events were seen");
    assert!((20_000.0..=36_000.0).contains(&slowed), "{slowed}");
    // an engine that answers as fast beside reading is known to in time
    for _ in 0..1_000 {
        pace.observe_event(9, 45_000, Some(u64::MAX), Some(u64::MAX));
    }
    let slowed = pace.contended_token_us.expect("events were seen");
    assert!(slowed < 6_000.0, "{slowed}");
}

/// Late prompts that wait three times as long as expected, then as long as expected again.
#[test]
fn a_stretch_follows_what_late_prompts_wait() {
    let mut stretch = WaitFactor::default();
    assert!((stretch.factor() - 1.0).abs() < f64::EPSILON);
    for _ in 0..20 {
        stretch.observe(100_000.0, 300_000);
    }
    assert!((2.8..3.4).contains(&stretch.factor()), "{stretch:?}");
    for _ in 0..60 {
        stretch.observe(100_000.0, 100_000);
    }
    assert!(stretch.factor() < 1.2, "{stretch:?}");
}

/// A caller that leaves shows how long its prompt had waited at least: more than was expected, or nothing.
#[test]
fn a_caller_that_leaves_teaches_no_shorter_wait() {
    let mut stretch = WaitFactor::default();
    stretch.observe_cancelled(100_000.0, 200_000);
    let longer = stretch.factor();
    assert!(longer > 1.0);
    stretch.observe_cancelled(100_000.0, 10_000);
    assert!((stretch.factor() - longer).abs() < f64::EPSILON);
}

proptest! {
    /// Whatever is seen, a stretch stays between nothing and its largest.
    #[test]
    fn a_stretch_is_bounded(steps in prop::collection::vec((1.0..1e7, 0_u64..100_000_000, any::<bool>()), 0..200)) {
        let mut stretch = WaitFactor::default();
        for (expected, took, left) in steps {
            if left {
                stretch.observe_cancelled(expected, took);
            } else {
                stretch.observe(expected, took);
            }
            prop_assert!((1.0..=4.0).contains(&stretch.factor()));
        }
    }
}

#[test]
fn a_pace_that_others_learnt_holds_until_own_samples_say_otherwise() {
    let mut told = Latency::initial_prefill();
    for _ in 0..100 {
        told.observe_prefill(10_000, 153_000);
    }
    let mut pace = Latency::initial_prefill();
    assert!(pace.adopt(&told));
    assert!((14.0..16.0).contains(&pace.prefill_token_us), "{pace:?}");
    // nothing new is told
    assert!(!pace.adopt(&told));
    // the engines that this process reaches are four times as slow
    for _ in 0..40 {
        pace.observe_prefill(10_000, 603_000);
    }
    assert!((55.0..65.0).contains(&pace.prefill_token_us), "{pace:?}");
    assert!(!pace.adopt(&told), "own samples are enough");
}

#[test]
fn what_has_been_learnt_is_no_news() {
    let mut pace = Latency::initial_prefill();
    assert!(!pace.is_converging(), "nothing is known");
    pace.observe_prefill(10_000, 153_000);
    assert!(pace.is_converging());
    // engines that read give no answers, and have few short prompts
    for _ in 0..40 {
        pace.observe_prefill(10_000, 153_000);
    }
    assert!(!pace.is_converging(), "{pace:?}");
}

#[test]
fn no_pace_is_taken_that_could_not_be() {
    let mut pace = Latency::initial_prefill();
    let mut told = pace;
    told.samples.prefill = 9;
    told.samples.overhead = 9;
    told.prefill_token_us = 0.0;
    told.overhead_us = f64::NAN;
    pace.adopt(&told);
    assert!(pace.prefill_token_us >= 2.0, "{pace:?}");
    assert!(pace.overhead_us.is_finite(), "{pace:?}");
}
