//! The retry budget that several processes share.

use policy::{Micros, retry::Window, to_f64};
use proptest::prelude::*;

const SECOND: Micros = 1_000_000;
const WINDOW: Micros = 10 * SECOND;
const RATIO: f64 = 0.2;
const SLACK: f64 = 60.0;
const PROCESSES: usize = 6;
/// Time between two requests to one process.
const REQUEST_INTERVAL: Micros = 100_000;

/// Times of all requests and retries, sorted.
#[derive(Default)]
struct Sent {
    requests: Vec<Micros>,
    retries: Vec<Micros>,
}

/// Counts the times in the window that starts at `from`.
fn count_within(times: &[Micros], from: Micros) -> usize {
    let end = times.partition_point(|time| *time < from + WINDOW);
    end - times.partition_point(|time| *time < from)
}

/// Simulates processes that receive requests at a constant rate and retry as often as allowed while engines
/// fail. All processes restart at these times.
fn simulate(outage: std::ops::Range<Micros>, restarts: &[Micros]) -> Sent {
    let mut windows = vec![Window::new(WINDOW); PROCESSES];
    let mut sent = Sent::default();
    for now in
        (0..40 * SECOND).step_by(usize::try_from(REQUEST_INTERVAL).expect("the interval fits"))
    {
        if restarts
            .iter()
            .any(|at| (*at..*at + REQUEST_INTERVAL).contains(&now))
        {
            windows.fill(Window::restarted(WINDOW, now));
        }
        for window in &mut windows {
            window.record_request(now);
            sent.requests.push(now);
            let slack = SLACK / to_f64(PROCESSES as u64);
            while outage.contains(&now) && window.try_spend(now, RATIO, slack).allows_retry() {
                sent.retries.push(now);
            }
        }
    }
    sent
}

proptest! {
    /// A restarted process does not know the retries of the process that it replaces, so that restarts
    /// of all processes during an outage could exceed the shared budget.
    #[test]
    fn retries_stay_within_the_budget_when_all_processes_restart(
        start in 0..20 * SECOND,
        duration in SECOND..20 * SECOND,
        restarts in prop::collection::vec(0..40 * SECOND, 0..4),
    ) {
        let sent = simulate(start..start + duration, &restarts);
        for from in (0..40 * SECOND).step_by(250_000) {
            let starts = [0, WINDOW / 2, WINDOW].map(|back| from.saturating_sub(back));
            let requests = starts.map(|from| count_within(&sent.requests, from));
            let max_requests = requests.into_iter().max().unwrap_or(0);
            let allowed = to_f64(max_requests as u64) * RATIO + SLACK;
            let retries = count_within(&sent.retries, from);
            prop_assert!(to_f64(retries as u64) <= allowed, "{} retries, {} allowed", retries, allowed);
        }
    }
}

#[test]
fn a_refunded_retry_can_be_spent_again() {
    let mut window = Window::new(WINDOW);
    assert!(window.try_spend(1, 0.0, 1.25).allows_retry());
    assert!(!window.try_spend(2, 0.0, 1.25).allows_retry());
    window.refund(1);
    assert!(window.try_spend(3, 0.0, 1.25).allows_retry());
}
