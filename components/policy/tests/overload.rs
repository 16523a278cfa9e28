//! When a process counts as overloaded.

use policy::overload::{INTERVAL, Overload};

/// The lag that a process bears, in microseconds.
const MAX_LAG: u64 = 10_000;

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
    let (mut overload, mut now) = (Overload::new(MAX_LAG), INTERVAL);
    assert!(observe(&mut overload, &mut now, &[2 * MAX_LAG; 8]));
    assert!(!observe(&mut overload, &mut now, &[MAX_LAG / 10; 20]));
}

#[test]
fn a_pause_of_the_process_is_no_overload() {
    let (mut overload, mut now) = (Overload::new(MAX_LAG), INTERVAL);
    let lags = [500, 4_000_000, 500, 500, 500];
    for lag in lags {
        assert!(!observe(&mut overload, &mut now, &[lag]));
    }
}

#[test]
fn a_processor_quota_that_pauses_the_process_in_each_interval_is_no_overload() {
    let (mut overload, mut now) = (Overload::new(MAX_LAG), INTERVAL);
    for _ in 0..50 {
        assert!(!observe(&mut overload, &mut now, &[500, 75_000]));
    }
}

#[test]
fn a_process_whose_timers_are_slower_than_the_interval_is_overloaded() {
    let (mut overload, mut now) = (Overload::new(MAX_LAG), INTERVAL);
    assert!(observe(&mut overload, &mut now, &[5 * INTERVAL; 2]));
}

#[test]
fn a_process_that_bears_more_lag_is_not_overloaded_by_it() {
    let (mut overload, mut now) = (Overload::new(100 * MAX_LAG), INTERVAL);
    assert!(!observe(&mut overload, &mut now, &[50 * MAX_LAG; 8]));
    assert!(observe(&mut overload, &mut now, &[200 * MAX_LAG; 8]));
}
