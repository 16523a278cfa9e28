use std::time::Duration;

use clock::Instant;

use super::{Confirmation, List, StoreClock};
use crate::adapters::StoreTime;

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn the_earliest_time_of_a_reading_is_when_its_call_was_sent() {
    let start = Instant::now();
    let mut clock = StoreClock::default();
    assert_eq!(clock.earliest(StoreTime(1)), None);
    clock.observe(StoreTime(1_000), start, start + ms(50));
    assert_eq!(clock.earliest(StoreTime(1_000)), Some(start));
    assert_eq!(clock.earliest(StoreTime(1_200)), Some(start + ms(200)));
    assert_eq!(clock.earliest(StoreTime(900)), start.checked_sub(ms(100)));
}

/// The bounds from a long poll are wide, and must not replace the narrow ones from a short call.
#[test]
fn a_long_poll_does_not_widen_the_bounds_from_a_short_call() {
    let start = Instant::now();
    let mut clock = StoreClock::default();
    clock.observe(StoreTime(1_000), start, start + ms(10));
    clock.observe(StoreTime(2_005), start + ms(10), start + ms(1_012));
    let earliest = clock.earliest(StoreTime(2_005)).expect("known");
    assert_eq!(earliest, start + ms(1_005));
    assert!(
        clock
            .estimate_ms(start + ms(1_010))
            .is_some_and(|now| (2_000..2_012).contains(&now))
    );
}

/// However late a response is received, the time of the store's clock stays within what was possible.
#[test]
fn a_response_received_late_does_not_make_a_confirmation_younger() {
    let start = Instant::now();
    let mut clock = StoreClock::default();
    clock.observe(StoreTime(1_000), start, start + ms(10));
    let frozen = start + ms(60_000);
    clock.observe(StoreTime(1_100), start + ms(90), frozen);
    let earliest = clock.earliest(StoreTime(1_100)).expect("known");
    assert!(
        earliest <= start + ms(110),
        "the response waited for the process"
    );
}

#[test]
fn a_clock_that_was_set_is_learnt_anew() {
    let start = Instant::now();
    let mut clock = StoreClock::default();
    assert!(clock.observe(StoreTime(900_000), start, start + ms(10)));
    assert!(!clock.observe(StoreTime(5), start + ms(20), start + ms(30)));
    assert_eq!(clock.earliest(StoreTime(5)), Some(start + ms(20)));
}

#[test]
fn confirmations_only_advance() {
    let start = Instant::now();
    let confirmation = Confirmation::default();
    confirmation.record_response(List::Configuration, StoreTime(1_000), start, start + ms(5));
    confirmation.confirm(List::Configuration, StoreTime(1_500), start + ms(600));
    confirmation.confirm(List::Configuration, StoreTime(1_200), start + ms(700));
    assert_eq!(
        confirmation.age(List::Configuration, start + ms(1_000)),
        Some(ms(500))
    );
}

#[test]
fn without_a_call_of_its_own_a_process_takes_no_confirmation() {
    let confirmation = Confirmation::default();
    let now = Instant::now();
    confirmation.confirm(List::Configuration, StoreTime(1_000), now);
    assert_eq!(confirmation.age(List::Configuration, now), None);
}

/// Peers that have not noticed yet go on sending times of the clock as it was.
#[test]
fn times_of_a_clock_that_was_set_back_confirm_nothing() {
    let start = Instant::now();
    let confirmation = Confirmation::default();
    confirmation.record_response(
        List::Configuration,
        StoreTime(900_000),
        start,
        start + ms(5),
    );
    confirmation.record_response(
        List::Configuration,
        StoreTime(10),
        start + ms(1_000),
        start + ms(1_005),
    );
    confirmation.confirm(List::Configuration, StoreTime(900_000), start + ms(1_100));
    assert_eq!(
        confirmation.age(List::Configuration, start + ms(9_000)),
        Some(ms(8_000))
    );
}

#[test]
fn calls_shorter_than_a_millisecond_do_not_discard_the_confirmation_of_the_other_list() {
    let start = Instant::now();
    let us = Duration::from_micros;
    let confirmation = Confirmation::default();
    confirmation.record_response(
        List::Configuration,
        StoreTime(1_000),
        start,
        start + us(200),
    );
    let (sent, received) = (start + us(300), start + us(500));
    confirmation.record_response(List::Endpoints, StoreTime(1_001), sent, received);
    assert!(confirmation.age(List::Configuration, received).is_some());
}

#[test]
fn clocks_that_drift_slowly_do_not_discard_confirmations() {
    let start = Instant::now();
    let confirmation = Confirmation::default();
    // the store's clock gains 50 parts per million
    for second in 0..3_600 {
        let sent = start + ms(second * 1_000);
        let received = sent + Duration::from_micros(400);
        let time = StoreTime(1_000 + second * 1_000 + second.div_ceil(20));
        let list = [List::Configuration, List::Endpoints][(second % 2) as usize];
        confirmation.record_response(list, time, sent, received);
        let age = confirmation.age(List::Configuration, received);
        assert!(
            age.is_some_and(|age| age < ms(1_010)),
            "after {second} s: {age:?}"
        );
    }
}
