//! The inter-token latency that the long answers of a service need.

use policy::{Micros, pace::Pace};

const SECOND: Micros = 1_000_000;
/// The latency that an ordinary answer needs, and the one that engines achieve, in microseconds.
const ORDINARY_US: f64 = 8_000.0;
const TYPICAL_US: f64 = 2_000.0;

fn pace(needed: impl IntoIterator<Item = f64>) -> Pace {
    let mut pace = Pace::default();
    for needed_us in needed {
        pace.observe(SECOND, needed_us, TYPICAL_US);
    }
    pace
}

fn assert_limit(pace: &Pace, now: Micros, expected_us: f64) {
    let limit_us = pace.limit_us(now);
    assert!((limit_us - expected_us).abs() < f64::EPSILON, "{limit_us}");
}

#[test]
fn a_single_demanding_answer_does_not_bind_the_service() {
    assert_limit(&pace([3_000.0]), SECOND, f64::MAX);
    assert_limit(&pace([3_000.0, ORDINARY_US]), SECOND, ORDINARY_US);
    let mostly_ordinary = (0..40).map(|n| if n % 10 == 0 { 3_000.0 } else { ORDINARY_US });
    assert_limit(&pace(mostly_ordinary), SECOND, ORDINARY_US);
}

#[test]
fn what_many_answers_need_binds_the_service() {
    let half = (0..40).map(|n| if n % 2 == 0 { 3_000.0 } else { ORDINARY_US });
    assert_limit(&pace(half), SECOND, 3_000.0);
}

#[test]
fn a_need_that_no_engine_meets_does_not_bind_the_service() {
    let impossible = (0..40).map(|n| if n % 2 == 0 { 30.0 } else { ORDINARY_US });
    assert_limit(&pace(impossible), SECOND, ORDINARY_US);
}

#[test]
fn needs_are_forgotten() {
    let pace = pace([3_000.0; 10]);
    assert_limit(&pace, 60 * SECOND, 3_000.0);
    assert_limit(&pace, 62 * SECOND, f64::MAX);
}

#[test]
fn only_the_newest_answers_count() {
    let mut pace = pace([3_000.0; 100]);
    for _ in 0..100 {
        pace.observe(2 * SECOND, ORDINARY_US, TYPICAL_US);
    }
    assert_limit(&pace, 2 * SECOND, ORDINARY_US);
}
