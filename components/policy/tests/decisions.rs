//! Routing, roles and retries on small views.

use policy::{
    estimate::BatchLatency,
    retry::{Budget, FailureClass, allow_retry},
    role::{Bounds, Change, Load, RoleCounts, choose_change},
    route::{Engine, Placement, Request, Role, Weights, choose},
};

fn engine(role: Role) -> Engine {
    Engine {
        role,
        prefill_tokens_ahead: 0,
        prefill_tokens: 0,
        decode_requests: 0,
        cached_tokens: 0,
        one_way_delay: 0,
        latency: BatchLatency::default(),
    }
}

const ASK: Request = Request {
    prompt_tokens: 2_000,
    expected_output_tokens: 50,
    urgent: false,
    interactive: false,
};

fn chosen(engines: &[Engine]) -> Option<Placement> {
    choose(engines, &ASK, &Weights::default(), 0).map(|choice| choice.placement)
}

#[test]
fn a_long_prompt_keeps_away_from_those_that_write() {
    let busy = Engine {
        decode_requests: 30,
        ..engine(Role::Mixed)
    };
    let reading = Engine {
        prefill_tokens_ahead: 4_000,
        prefill_tokens: 4_000,
        ..engine(Role::Mixed)
    };
    assert_eq!(
        chosen(&[busy, reading]),
        Some(Placement::Single { engine: 1 })
    );
}

#[test]
fn a_cached_prefix_draws_its_prompt() {
    let holds = Engine {
        cached_tokens: 1_900,
        ..engine(Role::Mixed)
    };
    let engines = [engine(Role::Mixed), holds];
    assert_eq!(chosen(&engines), Some(Placement::Single { engine: 1 }));
}

#[test]
fn engines_of_one_role_serve_together_or_not_at_all() {
    let both = [engine(Role::Prefill), engine(Role::Decode)];
    let split = Placement::Split {
        prefill: 0,
        decode: 1,
    };
    assert_eq!(chosen(&both), Some(split));
    assert_eq!(chosen(&both[..1]), None);
    assert_eq!(chosen(&both[1..]), None);
}

#[test]
fn what_is_urgent_gets_an_engine_that_is_full_for_others() {
    let full = Engine {
        decode_requests: 1_000,
        prefill_tokens_ahead: 1_000_000,
        prefill_tokens: 1_000_000,
        ..engine(Role::Mixed)
    };
    assert_eq!(chosen(&[full]), None);
    let urgent = Request {
        urgent: true,
        ..ASK
    };
    assert!(choose(&[full], &urgent, &Weights::default(), 0).is_some());
}

#[test]
fn a_role_changes_only_when_it_pays_and_never_below_the_reserve() {
    let bounds = Bounds {
        min_engines_per_role: 1,
        horizon: 120_000_000,
        change_duration: 10_000_000,
        min_change_interval: 60_000_000,
    };
    let split = |prefill, decode| RoleCounts {
        prefill,
        decode,
        mixed: 0,
    };
    let load = |read, write| Load {
        prefill: read,
        decode: write,
    };
    let now = 100_000_000;
    assert_eq!(
        choose_change(split(6, 6), load(4.0, 4.0), &bounds, now, None),
        None
    );
    let heavy = load(8.0, 2.0);
    assert_eq!(
        choose_change(split(6, 6), heavy, &bounds, now, None),
        Some(Change::ToPrefill)
    );
    assert_eq!(
        choose_change(split(6, 6), heavy, &bounds, now, Some(now - 1)),
        None
    );
    let heavier = load(12.0, 0.0);
    assert_eq!(
        choose_change(split(11, 1), heavier, &bounds, now, None),
        None
    );
}

#[test]
fn what_may_have_run_is_tried_again_only_where_it_may_be_repeated() {
    let mut budget = Budget::default();
    let mut may = |class, repeatable, attempts, left| {
        allow_retry(class, repeatable, attempts, left, 0, &mut budget)
    };
    assert!(may(FailureClass::NotExecuted, false, 1, 1));
    assert!(may(FailureClass::MaybeExecuted, true, 1, 1));
    assert!(!may(FailureClass::MaybeExecuted, false, 1, 1));
    assert!(!may(FailureClass::Permanent, true, 1, 1));
    assert!(!may(FailureClass::NotExecuted, true, 1, 0));
    assert!(!may(FailureClass::NotExecuted, true, 99, 1));
}

#[test]
fn retries_end_with_their_budget_and_come_back_with_successes() {
    let mut budget = Budget::default();
    let spent = std::iter::repeat_with(|| budget.try_spend())
        .take_while(|more| *more)
        .count();
    assert_eq!(spent, 20);
    for _ in 0..10 {
        budget.record_success();
    }
    assert!(budget.try_spend());
}
