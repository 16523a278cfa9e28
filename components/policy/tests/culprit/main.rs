//! Which prompt parts are found to crash engines.

mod fleet;

use fleet::{Fleet, Load, Outcome, Place};
use policy::{
    culprit::{
        CRASH_TTL, Culprit, Evidence, MAX_CRASHES, MIN_CRASHES, MIN_MOMENTS_IF_SERVED, MOMENT,
        Request, SERVED_TTL,
    },
    suspect::{Crash, SignedMicros},
};
use proptest::prelude::*;

const SECOND: SignedMicros = 1_000_000;
const MILLISECOND: SignedMicros = 1_000;
/// Seeds of the simulations.
const SEEDS: u64 = 40;

fn crash(endpoint: u32, at: SignedMicros) -> Crash {
    Crash { endpoint, at }
}

fn request(fingerprint: u64, parts: &[u64]) -> Request {
    Request {
        fingerprint,
        parts: parts.to_vec(),
    }
}

fn parts(culprits: &[Culprit]) -> Vec<u64> {
    culprits.iter().map(|culprit| culprit.part).collect()
}

/// Crashes one second apart, each with requests of its own for all of `common`, and others.
fn crashes(count: usize, common: &[u64]) -> Evidence {
    let mut evidence = Evidence::default();
    for n in 0..u32::try_from(count).expect("few crashes") {
        let requests = [
            request(u64::from(n), common),
            request(100 + u64::from(n), &[1_000 + u64::from(n)]),
        ];
        let at = SignedMicros::from(n) * SECOND;
        evidence.record_crash(crash(n, at), &requests, at);
    }
    evidence
}

#[test]
fn a_part_common_to_several_crashes_is_found() {
    assert_eq!(parts(&crashes(MIN_CRASHES - 1, &[7]).culprits()), []);
    let found = crashes(MIN_CRASHES, &[7]).culprits();
    assert_eq!(parts(&found), [7]);
    assert_eq!(found[0].crashes.len(), MIN_CRASHES);
}

#[test]
fn a_request_that_is_resumed_at_one_engine_after_the_other_convicts_no_part() {
    let mut evidence = Evidence::default();
    for n in 0..6 {
        let at = SignedMicros::from(n) * SECOND;
        evidence.record_crash(crash(n, at), &[request(1, &[7, 8])], at);
    }
    assert_eq!(parts(&evidence.culprits()), []);
}

#[test]
fn of_parts_that_always_come_together_the_one_shared_by_fewest_requests_is_found() {
    assert_eq!(parts(&crashes(MIN_CRASHES, &[5, 6, 7]).culprits()), [7]);
}

#[test]
fn a_part_served_shortly_before_is_not_found_beside_one_that_was_not() {
    let mut evidence = crashes(MIN_CRASHES, &[5, 7]);
    evidence.record_served(5, -SECOND);
    assert_eq!(parts(&evidence.culprits()), [7]);
}

#[test]
fn a_part_that_was_served_lately_and_crashes_engines_since_is_found() {
    let mut evidence = crashes(MIN_MOMENTS_IF_SERVED - 1, &[5]);
    evidence.record_served(5, -SECOND);
    assert_eq!(parts(&evidence.culprits()), []);
    let mut evidence = crashes(MIN_MOMENTS_IF_SERVED, &[5]);
    evidence.record_served(5, -SECOND);
    assert_eq!(parts(&evidence.culprits()), [5]);
}

#[test]
fn engines_that_crash_at_the_same_moment_do_not_convict_a_part_served_lately() {
    let mut evidence = Evidence::default();
    evidence.record_served(5, -SECOND);
    for n in 0..20 {
        let at = SignedMicros::from(n) * MOMENT / 20;
        evidence.record_crash(crash(n, at), &[request(u64::from(n), &[5])], at);
    }
    assert_eq!(parts(&evidence.culprits()), []);
}

#[test]
fn an_answer_clears_a_part_of_the_crashes_before() {
    let mut evidence = crashes(MIN_CRASHES, &[7]);
    evidence.record_served(7, 4 * SECOND);
    assert_eq!(parts(&evidence.culprits()), []);
    assert_eq!(evidence.last_served(7), Some(4 * SECOND));
}

#[test]
fn two_parts_that_each_explain_several_crashes_are_both_found() {
    let mut evidence = crashes(MIN_CRASHES, &[7]);
    for n in 10..14 {
        let at = SignedMicros::from(n) * SECOND;
        evidence.record_crash(crash(n, at), &[request(u64::from(n), &[8])], at);
    }
    let mut found = parts(&evidence.culprits());
    found.sort_unstable();
    assert_eq!(found, [7, 8]);
}

#[test]
fn what_several_processes_observed_of_a_crash_adds_up() {
    let mut evidence = Evidence::default();
    for n in 0..4 {
        let at = SignedMicros::from(n) * SECOND;
        let other = request(200 + u64::from(n), &[9]);
        assert!(evidence.record_crash(crash(n, at + 50 * MILLISECOND), &[other], at));
        let guilty = request(u64::from(n), &[7]);
        assert!(evidence.record_crash(crash(n, at), std::slice::from_ref(&guilty), at));
        assert!(!evidence.record_crash(crash(n, at), &[guilty], at));
    }
    let found = evidence.culprits();
    assert_eq!(found.len(), 1, "one part explains all crashes: {found:?}");
    assert_eq!(
        found[0].crashes[0],
        crash(0, 0),
        "the earliest report counts"
    );
}

#[test]
fn crashes_are_forgotten_in_time_and_their_number_is_bounded() {
    let mut evidence = crashes(MIN_CRASHES, &[7]);
    let later = 3 * SECOND + CRASH_TTL;
    evidence.record_crash(crash(50, later), &[request(50, &[9])], later);
    assert_eq!(parts(&evidence.culprits()), []);
    for n in 0..200 {
        let made_up = request(u64::from(n), &[u64::from(n)]);
        evidence.record_crash(crash(n, later), &[made_up], later);
    }
    assert_eq!(evidence.crashes().count(), MAX_CRASHES);
}

#[test]
fn a_part_served_long_ago_needs_no_more_crashes_than_one_never_served() {
    let mut evidence = crashes(MIN_CRASHES, &[7]);
    evidence.record_served(7, -SERVED_TTL);
    assert_eq!(parts(&evidence.culprits()), [7]);
}

proptest! {
    /// The order in which reports arrive does not matter, so all processes come to the same result.
    #[test]
    fn reports_may_arrive_in_any_order(
        reports in proptest::collection::vec((0_u32..8, 0_u64..12, 0_u64..5), 1..40),
        order in any::<u64>(),
    ) {
        let record = |evidence: &mut Evidence, (endpoint, fingerprint, part): (u32, u64, u64)| {
            let at = SignedMicros::from(endpoint) * SECOND;
            let in_flight = request(fingerprint * 8 + part, &[part, 100 + fingerprint]);
            evidence.record_crash(crash(endpoint, at), &[in_flight], 10 * SECOND);
        };
        let mut one = Evidence::default();
        let mut other = Evidence::default();
        let mut shuffled = reports.clone();
        shuffled.sort_by_key(|report| {
            order.wrapping_mul(u64::from(report.0) * 31 + report.1 * 7 + report.2 + 1)
        });
        for report in reports {
            record(&mut one, report);
        }
        for report in shuffled {
            record(&mut other, report);
        }
        prop_assert_eq!(one.culprits(), other.culprits());
    }
}

fn play(load: Load) -> Vec<Outcome> {
    (0..SEEDS)
        .map(|seed| Fleet::new(seed, load).play())
        .collect()
}

/// Prints what came of a load over all seeds, and asserts that each part that crashes engines was found in time and that
/// no other one was withheld.
fn assert_only_culprits_withheld(name: &str, load: Load) {
    let outcomes = play(load);
    let crashes: Vec<usize> = outcomes
        .iter()
        .filter_map(|outcome| outcome.found_after)
        .collect();
    let wrong: usize = outcomes.iter().map(|outcome| outcome.wrong_parts).sum();
    let refused: usize = outcomes.iter().map(|outcome| outcome.sound_refused).sum();
    let late = outcomes.iter().map(|outcome| outcome.late).max();
    println!(
        "{name}: found after {crashes:?} crashes, {wrong} wrong parts, {refused} refused, late {late:?}"
    );
    assert_eq!(wrong, 0, "{name}: sound parts withheld");
    assert_eq!(refused, 0, "{name}: sound requests refused");
    if load.crashing_per_second > 0.0 {
        assert_eq!(
            crashes.len(),
            outcomes.len(),
            "{name}: found with each seed"
        );
        assert!(
            late.is_some_and(|late| late <= 3),
            "{name}: {late:?} sent late"
        );
    }
}

#[test]
fn a_rare_part_that_crashes_engines_is_found_and_no_other() {
    assert_only_culprits_withheld("second part, 5/s", Load::new(Place::Second, 5.0));
}

#[test]
fn a_frequent_part_that_crashes_engines_is_found_and_no_other() {
    assert_only_culprits_withheld("second part, 20/s", Load::new(Place::Second, 20.0));
}

#[test]
fn a_first_part_that_crashes_engines_is_found_and_no_other() {
    assert_only_culprits_withheld("first part, 40/s", Load::new(Place::First, 40.0));
}

#[test]
fn a_part_that_crashes_engines_is_found_beside_unrelated_crashes() {
    let load = Load::new(Place::Second, 5.0).with_unrelated_crashes(1.0);
    assert_only_culprits_withheld("second part, 5/s, 1 unrelated crash/s", load);
}

#[test]
fn unrelated_crashes_convict_no_part() {
    let load = Load::new(Place::Second, 0.0).with_unrelated_crashes(2.0);
    assert_only_culprits_withheld("2 unrelated crashes/s", load);
}
