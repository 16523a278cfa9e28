//! Routing, changes of role and retries on small fleets.

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

const REQUEST: Request = Request {
    prompt_tokens: 2_000,
    expected_output_tokens: 50,
    urgent: false,
    interactive: false,
};

fn choose_for_request(engines: &[Engine]) -> Option<Placement> {
    choose(engines, &REQUEST, &Weights::default(), 0).map(|choice| choice.placement)
}

#[test]
fn a_long_prompt_avoids_an_engine_that_decodes() {
    let decoding = Engine {
        decode_requests: 30,
        ..engine(Role::Mixed)
    };
    let prefilling = Engine {
        prefill_tokens_ahead: 4_000,
        prefill_tokens: 4_000,
        ..engine(Role::Mixed)
    };
    assert_eq!(
        choose_for_request(&[decoding, prefilling]),
        Some(Placement::Single { engine: 1 })
    );
}

#[test]
fn a_prompt_goes_to_the_engine_with_its_cached_prefix() {
    let caching = Engine {
        cached_tokens: 1_900,
        ..engine(Role::Mixed)
    };
    let engines = [engine(Role::Mixed), caching];
    assert_eq!(
        choose_for_request(&engines),
        Some(Placement::Single { engine: 1 })
    );
}

#[test]
fn a_request_needs_engines_of_both_roles() {
    let both = [engine(Role::Prefill), engine(Role::Decode)];
    let split = Placement::Split {
        prefill: 0,
        decode: 1,
    };
    assert_eq!(choose_for_request(&both), Some(split));
    assert_eq!(choose_for_request(&both[..1]), None);
    assert_eq!(choose_for_request(&both[1..]), None);
}

#[test]
fn an_urgent_request_gets_an_engine_that_is_full_for_others() {
    let full = Engine {
        decode_requests: 1_000,
        prefill_tokens_ahead: 1_000_000,
        prefill_tokens: 1_000_000,
        ..engine(Role::Mixed)
    };
    assert_eq!(choose_for_request(&[full]), None);
    let urgent = Request {
        urgent: true,
        ..REQUEST
    };
    assert!(choose(&[full], &urgent, &Weights::default(), 0).is_some());
}

#[test]
fn a_role_changes_only_when_worth_its_cost_and_never_below_the_minimum() {
    let bounds = Bounds {
        min_engines_per_role: 1,
        horizon: 120_000_000,
        change_duration: 10_000_000,
        min_change_interval: 60_000_000,
    };
    let counts = |prefill, decode| RoleCounts {
        prefill,
        decode,
        mixed: 0,
    };
    let load = |prefill, decode| Load { prefill, decode };
    let now = 100_000_000;
    assert_eq!(
        choose_change(counts(6, 6), load(4.0, 4.0), &bounds, now, None),
        None
    );
    let prefill_heavy = load(8.0, 2.0);
    assert_eq!(
        choose_change(counts(6, 6), prefill_heavy, &bounds, now, None),
        Some(Change::ToPrefill)
    );
    assert_eq!(
        choose_change(counts(6, 6), prefill_heavy, &bounds, now, Some(now - 1)),
        None
    );
    let nearly_all_prefill = load(12.0, 0.0);
    assert_eq!(
        choose_change(counts(11, 1), nearly_all_prefill, &bounds, now, None),
        None
    );
}

#[test]
fn a_request_that_may_have_run_is_retried_only_if_idempotent() {
    let mut budget = Budget::default();
    let mut allowed = |class, idempotent, attempts, time_left| {
        allow_retry(class, idempotent, attempts, time_left, 0, &mut budget)
    };
    assert!(allowed(FailureClass::NotExecuted, false, 1, 1));
    assert!(allowed(FailureClass::MaybeExecuted, true, 1, 1));
    assert!(!allowed(FailureClass::MaybeExecuted, false, 1, 1));
    assert!(!allowed(FailureClass::Permanent, true, 1, 1));
    assert!(!allowed(FailureClass::NotExecuted, true, 1, 0));
    assert!(!allowed(FailureClass::NotExecuted, true, 99, 1));
}

#[test]
fn successes_refill_an_exhausted_retry_budget() {
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
