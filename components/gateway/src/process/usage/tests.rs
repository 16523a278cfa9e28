use std::{sync::Arc, time::Duration};

use super::{CLOSE_DELAY, Counts, KEPT_WINDOWS, Source, Usage, Window};

fn source(incarnation: u64, counts: &[(&str, u64)]) -> Source {
    let mut all = Counts::default();
    for (workspace, requests) in counts {
        all.add(&Arc::from(*workspace), *requests);
    }
    Source {
        incarnation,
        closed: false,
        counts: all,
    }
}

fn totals(window: &Window) -> Vec<(String, u64)> {
    let totals = window.totals().0.into_iter();
    totals
        .map(|(workspace, requests)| (workspace.to_string(), requests))
        .collect()
}

#[test]
fn gateways_are_summed_and_repeated_digests_are_not() {
    let mut window = Window::new(7);
    window.merge(&source(1, &[("roads", 2), ("water", 1)]));
    window.merge(&source(2, &[("roads", 5)]));
    window.merge(&source(1, &[("roads", 3)]));
    // an older digest that arrives late
    window.merge(&source(1, &[("roads", 2), ("water", 1)]));
    assert_eq!(
        totals(&window),
        [("roads".to_owned(), 8), ("water".to_owned(), 1)]
    );
}

#[test]
fn a_window_stays_closed_by_a_gateway() {
    let mut window = Window::new(7);
    let closed = Source {
        closed: true,
        ..source(1, &[])
    };
    window.merge(&closed);
    window.merge(&source(1, &[("roads", 2)]));
    assert!(window.is_closed_by(1));
    assert!(!window.is_closed_by(2));
}

#[test]
fn counts_of_windows_long_past_or_far_ahead_are_dropped() {
    let usage = Usage::default();
    let current = 100;
    let kept = current - KEPT_WINDOWS;
    for number in [kept - 1, kept, current, current + 1, current + 2] {
        usage.merge(number, &source(1, &[("roads", 1)]), current);
    }
    let numbers: Vec<u64> = usage.windows().iter().map(|window| window.number).collect();
    assert_eq!(numbers, [kept, current, current + 1]);
}

#[test]
fn a_window_is_closed_some_time_after_its_end() {
    let usage = Usage::default();
    usage.count(7, 1, &Arc::from("roads"));
    let closed = |since_start| {
        let windows = usage.close(8, since_start, 1);
        windows
            .iter()
            .filter(|window| window.closed)
            .map(|window| window.window)
            .collect::<Vec<u64>>()
    };
    assert_eq!(closed(Duration::ZERO), [6]);
    assert_eq!(closed(CLOSE_DELAY), [6, 7]);
    let counted = usage.close(8, CLOSE_DELAY, 1);
    let requests = |index: usize| {
        counted[index]
            .counts
            .iter()
            .map(|count| count.requests)
            .sum::<u64>()
    };
    assert_eq!([requests(0), requests(1), requests(2)], [0, 1, 0]);
}

/// Most gateways receive no counts of others.
#[test]
fn a_process_keeps_few_windows_of_its_own() {
    let usage = Usage::default();
    for current in 0..1_000 {
        usage.count(current, 1, &Arc::from("roads"));
        usage.close(current, Duration::ZERO, 1);
    }
    assert!(usage.windows().len() <= 10);
}
