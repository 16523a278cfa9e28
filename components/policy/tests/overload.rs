//! When a process counts as overloaded.

use policy::overload::{INTERVAL, MAX_LAG, Overload};

/// Observes timers that are set one after the other, with these lags. Returns whether the process is overloaded.
fn observe(overload: &mut Overload, now: &mut u64, lags: &[u64]) -> bool {
    let mut overloaded = false;
    for lag in lags {
        *now += 10_000 + lag;
        overloaded = overload.observe(*now, *lag);
    }
    overloaded
}

#[test]
fn a_standing_queue_is_an_overload_until_it_is_gone() {
    let (mut overload, mut now) = (Overload::default(), INTERVAL);
    assert!(observe(&mut overload, &mut now, &[2 * MAX_LAG; 8]));
    assert!(!observe(&mut overload, &mut now, &[MAX_LAG / 10; 20]));
}

#[test]
fn a_pause_of_the_process_is_no_overload() {
    let (mut overload, mut now) = (Overload::default(), INTERVAL);
    let lags = [500, 4_000_000, 500, 500, 500];
    for lag in lags {
        assert!(!observe(&mut overload, &mut now, &[lag]));
    }
}

#[test]
fn a_processor_quota_that_pauses_the_process_in_each_interval_is_no_overload() {
    let (mut overload, mut now) = (Overload::default(), INTERVAL);
    for _ in 0..50 {
        assert!(!observe(&mut overload, &mut now, &[500, 75_000]));
    }
}

#[test]
fn a_process_whose_timers_are_slower_than_the_interval_is_overloaded() {
    let (mut overload, mut now) = (Overload::default(), INTERVAL);
    assert!(observe(&mut overload, &mut now, &[5 * INTERVAL; 2]));
}
