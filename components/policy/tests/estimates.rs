//! Estimates of engines: latencies, remaining work and cached prompt parts.

use policy::{
    backlog::Backlog,
    estimate::{Latency, WaitFactor},
    prefix_cache::PrefixCache,
    prompt::Part,
};
use proptest::prelude::*;

#[test]
fn the_first_prompt_replaces_the_initial_estimate() {
    let mut latency = Latency::initial_prefill();
    // 15 us per token; the initial estimate is 2 us.
    latency.observe_prefill(10_000, 153_000);
    assert!(
        (latency.prefill_token_us - 15.0).abs() < 0.1,
        "{}",
        latency.prefill_token_us
    );
}

#[test]
fn waits_for_unknown_work_do_not_raise_the_prefill_latency() {
    let mut latency = Latency::initial_prefill();
    for n in 0..200_u64 {
        // Every third prompt waited ten times as long as its prefill took.
        let waited = if n % 3 == 0 { 1_500_000 } else { 0 };
        latency.observe_prefill(10_000, 153_000 + waited);
    }
    assert!(
        (14.0..17.0).contains(&latency.prefill_token_us),
        "{}",
        latency.prefill_token_us
    );
}

#[test]
fn the_prefill_latency_follows_an_engine_that_slows_down() {
    let mut latency = Latency::initial_prefill();
    for _ in 0..50 {
        latency.observe_prefill(10_000, 153_000);
    }
    for _ in 0..50 {
        latency.observe_prefill(10_000, 603_000);
    }
    assert!(
        (55.0..65.0).contains(&latency.prefill_token_us),
        "{}",
        latency.prefill_token_us
    );
}

#[test]
fn the_contended_latency_is_above_that_of_most_events() {
    let mut latency = Latency::initial_decode();
    for n in 0..400_u64 {
        // One event in ten takes 36 ms per token, the others 10 ms.
        let token_ms = if n % 10 == 0 { 36 } else { 10 };
        latency.observe_event(9, 9 * token_ms * 1_000, Some(u64::MAX), Some(u64::MAX));
    }
    let contended_us = latency.contended_token_us.expect("events were observed");
    assert!(contended_us > 15_000.0, "{contended_us}");
}

#[test]
fn a_backlog_drains_over_time_and_overdue_work_remains_in_part() {
    let mut backlog = Backlog::default();
    // 10,000 tokens of 10 us each take 100 ms.
    backlog.add(0, 10.0, 0, 10_000);
    let remaining = |now| backlog.remaining(now, 10.0, 10_000);
    assert!((remaining(0) - 10_000.0).abs() < 1.0);
    assert!((remaining(50_000) - 5_000.0).abs() < 1.0);
    // Overdue, but not reported as done.
    assert!((remaining(500_000) - 3_000.0).abs() < 1.0);
    // Reported as done.
    assert!(backlog.remaining(60_000, 10.0, 0) < 1.0);
}

proptest! {
    /// For any sequence of prompts, the remaining work is between zero and the work in flight.
    #[test]
    fn a_backlog_stays_within_the_work_in_flight(
        steps in prop::collection::vec((0_u64..200_000, 0_u64..50_000, 0_u64..50_000), 1..40),
        prefill_token_us in 0.0..100.0,
    ) {
        let mut backlog = Backlog::default();
        let mut now = 0;
        for (elapsed, work, in_flight) in steps {
            now += elapsed;
            let remaining = backlog.remaining(now, prefill_token_us, in_flight);
            prop_assert!((0.0..=policy::to_f64(in_flight)).contains(&remaining));
            backlog.add(now, prefill_token_us, in_flight, work);
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
fn a_part_can_be_fetched_once_its_prefill_is_done() {
    let mut cache = PrefixCache::new(100_000);
    cache.record_use(&[SHARED, OWN], 50_000);
    // The engine itself will have it before it starts on the next prompt.
    assert_eq!(cache.cached_tokens(&[SHARED]), 1_000);
    assert_eq!(cache.fetchable_tokens(&[SHARED], 49_999), 0);
    assert_eq!(cache.fetchable_tokens(&[SHARED], 50_000), 1_000);
    // Another use while it is cached does not delay it.
    cache.record_use(&[SHARED], 90_000);
    assert_eq!(cache.fetchable_tokens(&[SHARED], 60_000), 1_000);
}

#[test]
fn parts_are_evicted_by_tokens_processed_since() {
    let mut cache = PrefixCache::new(10_000);
    cache.record_use(&[SHARED], 0);
    let other = Part {
        key: 9,
        tokens: 9_000,
    };
    cache.record_use(&[other], 0);
    assert_eq!(cache.cached_tokens(&[SHARED]), 0);
}

#[test]
fn a_cache_whose_size_is_set_later_holds_parts_used_before() {
    let mut cache = PrefixCache::default();
    cache.record_use(&[SHARED, OWN], 0);
    assert_eq!(cache.cached_tokens(&[SHARED]), 0);
    cache.resize(100_000);
    assert_eq!(cache.cached_tokens(&[SHARED]), 1_000);
}

/// A process that starts does not know what an engine has cached, so that a cached prompt seems to be
/// prefilled in no time.
#[test]
fn a_cached_prompt_is_no_sample_of_the_prefill_latency() {
    let mut latency = Latency::initial_prefill();
    // Nothing was prefilled, and the time is overhead only.
    latency.observe_prefill(17_000, 3_000);
    for _ in 0..20 {
        latency.observe_prefill(10_000, 153_000);
    }
    assert!(
        (14.0..16.0).contains(&latency.prefill_token_us),
        "{latency:?}"
    );
}

/// Gaps with a short prefill would make it look as if prefill did not delay answers.
#[test]
fn only_a_gap_filled_with_prefill_is_a_sample_of_contended_latency() {
    let mut latency = Latency::initial_decode();
    // A short prompt was prefilled for 5 of 50 ms.
    latency.observe_event(9, 50_000, Some(5_000), Some(5_000));
    assert_eq!(latency.contended_token_us, None);
    // The prefill took longer than the gap.
    latency.observe_event(9, 324_000, Some(400_000), None);
    let contended_us = latency.contended_token_us.expect("prefill filled the gap");
    assert!(
        (35_000.0..=36_000.0).contains(&contended_us),
        "{contended_us}"
    );
    // There was no prefill.
    latency.observe_event(9, 45_000, None, None);
    assert!(
        (latency.decode_token_us - 5_000.0).abs() < 1.0,
        "{latency:?}"
    );
}

/// An engine that takes 36 ms per token during prefill and 4 ms otherwise, with nine tokens per event. A prefill
/// that is expected to end before the next event must not exclude it: these are the events delayed most.
#[test]
fn events_delayed_for_longer_than_the_prefill_are_samples() {
    let mut latency = Latency::initial_decode();
    // The prompt was cached, so that nothing was prefilled.
    latency.observe_event(9, 40_000, Some(45_000), None);
    for _ in 0..30 {
        // Six chunks of a prompt are prefilled between the first tokens of the event.
        latency.observe_event(9, 229_000, Some(190_000), None);
    }
    let contended_us = latency.contended_token_us.expect("events were observed");
    assert!(contended_us > 20_000.0, "{contended_us}");
}

/// Two events that arrive together, which is no sign that prefill does not delay answers.
#[test]
fn an_event_that_comes_faster_than_without_prefill_does_not_hide_its_effect() {
    let mut latency = Latency::initial_decode();
    latency.observe_event(9, 36_000, None, None);
    latency.observe_event(9, 20, Some(190_000), None);
    assert_eq!(latency.contended_token_us, None);
    latency.observe_event(9, 229_000, Some(400_000), None);
    latency.observe_event(9, 229_000, Some(400_000), None);
    let contended_us = latency.contended_token_us.expect("events were observed");
    assert!(contended_us > 20_000.0, "{contended_us}");
}

/// Most events that are assumed to coincide with a prefill do not, because the prompt was cached or had not arrived
/// yet. They are not delayed and say nothing about the effect of prefill.
#[test]
fn few_delayed_events_outweigh_many_that_are_not_delayed() {
    let mut latency = Latency::initial_decode();
    for n in 1..=1_000_u64 {
        let token_ms = if n % 50 == 0 { 36 } else { 5 };
        latency.observe_event(9, 9 * token_ms * 1_000, Some(u64::MAX), Some(u64::MAX));
    }
    let contended_us = latency.contended_token_us.expect("events were observed");
    assert!(
        (20_000.0..=36_000.0).contains(&contended_us),
        "{contended_us}"
    );
    // An engine whose answers are not delayed by prefill is recognised in time.
    for _ in 0..1_000 {
        latency.observe_event(9, 45_000, Some(u64::MAX), Some(u64::MAX));
    }
    let contended_us = latency.contended_token_us.expect("events were observed");
    assert!(contended_us < 6_000.0, "{contended_us}");
}

/// Deferred prompts that wait three times as long as expected, then as long as expected again.
#[test]
fn the_wait_factor_follows_the_waits_of_deferred_prompts() {
    let mut wait_factor = WaitFactor::default();
    assert!((wait_factor.factor() - 1.0).abs() < f64::EPSILON);
    for _ in 0..20 {
        wait_factor.observe(100_000.0, 300_000);
    }
    assert!(
        (2.8..3.4).contains(&wait_factor.factor()),
        "{wait_factor:?}"
    );
    for _ in 0..60 {
        wait_factor.observe(100_000.0, 100_000);
    }
    assert!(wait_factor.factor() < 1.2, "{wait_factor:?}");
}

/// A cancelled request shows only a lower bound of its wait, which may raise the factor and never lowers it.
#[test]
fn a_cancelled_wait_does_not_lower_the_wait_factor() {
    let mut wait_factor = WaitFactor::default();
    wait_factor.observe_cancelled(100_000.0, 200_000);
    let raised = wait_factor.factor();
    assert!(raised > 1.0);
    wait_factor.observe_cancelled(100_000.0, 10_000);
    assert!((wait_factor.factor() - raised).abs() < f64::EPSILON);
}

proptest! {
    /// For any sequence of waits, the factor stays within its bounds.
    #[test]
    fn the_wait_factor_is_bounded(steps in prop::collection::vec((1.0..1e7, 0_u64..100_000_000, any::<bool>()), 0..200)) {
        let mut wait_factor = WaitFactor::default();
        for (expected_us, took, cancelled) in steps {
            if cancelled {
                wait_factor.observe_cancelled(expected_us, took);
            } else {
                wait_factor.observe(expected_us, took);
            }
            prop_assert!((1.0..=4.0).contains(&wait_factor.factor()));
        }
    }
}

#[test]
fn an_adopted_estimate_holds_until_own_samples_correct_it() {
    let mut received = Latency::initial_prefill();
    for _ in 0..100 {
        received.observe_prefill(10_000, 153_000);
    }
    let mut latency = Latency::initial_prefill();
    assert!(latency.adopt(&received));
    assert!(
        (14.0..16.0).contains(&latency.prefill_token_us),
        "{latency:?}"
    );
    // A repeated update changes nothing.
    assert!(!latency.adopt(&received));
    // The engines that this process reaches are four times as slow.
    for _ in 0..40 {
        latency.observe_prefill(10_000, 603_000);
    }
    assert!(
        (55.0..65.0).contains(&latency.prefill_token_us),
        "{latency:?}"
    );
    assert!(!latency.adopt(&received), "own samples suffice");
}

#[test]
fn a_settled_estimate_is_no_longer_converging() {
    let mut latency = Latency::initial_prefill();
    assert!(!latency.is_converging(), "there are no samples");
    latency.observe_prefill(10_000, 153_000);
    assert!(latency.is_converging());
    // Prefill engines give no answers and receive few short prompts.
    for _ in 0..40 {
        latency.observe_prefill(10_000, 153_000);
    }
    assert!(!latency.is_converging(), "{latency:?}");
}

#[test]
fn impossible_estimates_are_not_adopted() {
    let mut latency = Latency::initial_prefill();
    let mut received = latency;
    received.samples.prefill = 9;
    received.samples.overhead = 9;
    received.prefill_token_us = 0.0;
    received.overhead_us = f64::NAN;
    latency.adopt(&received);
    assert!(latency.prefill_token_us >= 2.0, "{latency:?}");
    assert!(latency.overhead_us.is_finite(), "{latency:?}");
}
