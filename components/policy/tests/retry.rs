//! The budget of repeats that several processes share.

use policy::{Micros, retry::Window, to_f64};
use proptest::prelude::*;

const SECOND: Micros = 1_000_000;
const SPAN: Micros = 10 * SECOND;
const RATIO: f64 = 0.2;
const SLACK: f64 = 60.0;
const PROCESSES: usize = 6;
/// Between two requests to a process.
const EVERY: Micros = 100_000;

/// Times of all requests and repeats, sorted.
#[derive(Default)]
struct Seen {
    requests: Vec<Micros>,
    repeats: Vec<Micros>,
}

/// How many times lie within a window.
fn within(times: &[Micros], from: Micros) -> usize {
    let end = times.partition_point(|time| *time < from + SPAN);
    end - times.partition_point(|time| *time < from)
}

/// Processes that get requests evenly and want as many repeats as they may take while engines fail; all of them
/// restart at these times.
fn play(fails: std::ops::Range<Micros>, restarts: &[Micros]) -> Seen {
    let mut windows = vec![Window::new(SPAN); PROCESSES];
    let mut seen = Seen::default();
    for now in (0..40 * SECOND).step_by(usize::try_from(EVERY).expect("a step")) {
        if restarts.iter().any(|at| (*at..*at + EVERY).contains(&now)) {
            windows.fill(Window::restarted(SPAN, now));
        }
        for window in &mut windows {
            window.record_request(now);
            seen.requests.push(now);
            let slack = SLACK / to_f64(PROCESSES as u64);
            while fails.contains(&now) && window.try_spend(now, RATIO, slack).allows_retry() {
                seen.repeats.push(now);
            }
        }
    }
    seen
}

proptest! {
    #[test]
    fn repeats_stay_within_the_budget_when_all_processes_restart(
        begins in 0..20 * SECOND,
        lasts in SECOND..20 * SECOND,
        restarts in prop::collection::vec(0..40 * SECOND, 0..4),
    ) {
        let seen = play(begins..begins + lasts, &restarts);
        for from in (0..40 * SECOND).step_by(250_000) {
            let before = [0, SPAN / 2, SPAN].map(|back| from.saturating_sub(back));
            let requests = before.map(|from| within(&seen.requests, from));
            let most = requests.into_iter().max().unwrap_or(0);
            let allowed = to_f64(most as u64) * RATIO + SLACK;
            let repeats = within(&seen.repeats, from);
            prop_assert!(to_f64(repeats as u64) <= allowed, "{} repeats, {} allowed", repeats, allowed);
        }
    }
}

#[test]
fn a_repeat_that_is_given_back_may_be_taken_again() {
    let mut window = Window::new(SPAN);
    assert!(window.try_spend(1, 0.0, 1.25).allows_retry());
    assert!(!window.try_spend(2, 0.0, 1.25).allows_retry());
    window.refund(1);
    assert!(window.try_spend(3, 0.0, 1.25).allows_retry());
}
