//! Routing, roles and retries on small views.

use policy::{
    learn::Rates,
    retry::{Budget, Class, again},
    role::{Bounds, Change, Load, Split, decide},
    route::{Ask, Engine, Plan, Role, Weights, choose},
};

fn engine(role: Role) -> Engine {
    Engine {
        role,
        ahead: 0,
        reading: 0,
        writing: 0,
        cached: 0,
        distance: 0,
        rates: Rates::default(),
    }
}

const ASK: Ask = Ask {
    prompt: 2_000,
    output: 50,
    urgent: false,
    paced: false,
};

fn chosen(engines: &[Engine]) -> Option<Plan> {
    choose(engines, &ASK, &Weights::default(), 0).map(|choice| choice.plan)
}

#[test]
fn a_long_prompt_keeps_away_from_those_that_write() {
    let busy = Engine {
        writing: 30,
        ..engine(Role::Mixed)
    };
    let reading = Engine {
        ahead: 4_000,
        reading: 4_000,
        ..engine(Role::Mixed)
    };
    assert_eq!(chosen(&[busy, reading]), Some(Plan::Whole { engine: 1 }));
}

#[test]
fn a_cached_prefix_draws_its_prompt() {
    let holds = Engine {
        cached: 1_900,
        ..engine(Role::Mixed)
    };
    let engines = [engine(Role::Mixed), holds];
    assert_eq!(chosen(&engines), Some(Plan::Whole { engine: 1 }));
}

#[test]
fn engines_of_one_role_serve_together_or_not_at_all() {
    let both = [engine(Role::Prefill), engine(Role::Decode)];
    let split = Plan::Split {
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
        writing: 1_000,
        ahead: 1_000_000,
        reading: 1_000_000,
        ..engine(Role::Mixed)
    };
    assert_eq!(chosen(&[full]), None);
    let urgent = Ask {
        urgent: true,
        ..ASK
    };
    assert!(choose(&[full], &urgent, &Weights::default(), 0).is_some());
}

#[test]
fn a_role_changes_only_when_it_pays_and_never_below_the_reserve() {
    let bounds = Bounds {
        reserve: 1,
        horizon: 120_000_000,
        away: 10_000_000,
        spacing: 60_000_000,
    };
    let split = |prefill, decode| Split {
        prefill,
        decode,
        mixed: 0,
    };
    let load = |read, write| Load { read, write };
    let now = 100_000_000;
    assert_eq!(
        decide(split(6, 6), load(4.0, 4.0), &bounds, now, None),
        None
    );
    let heavy = load(8.0, 2.0);
    assert_eq!(
        decide(split(6, 6), heavy, &bounds, now, None),
        Some(Change::ToPrefill)
    );
    assert_eq!(
        decide(split(6, 6), heavy, &bounds, now, Some(now - 1)),
        None
    );
    let heavier = load(12.0, 0.0);
    assert_eq!(decide(split(11, 1), heavier, &bounds, now, None), None);
}

#[test]
fn what_may_have_run_is_tried_again_only_where_it_may_be_repeated() {
    let mut budget = Budget::default();
    let mut may = |class, repeatable, attempts, left| {
        again(class, repeatable, attempts, left, 0, &mut budget)
    };
    assert!(may(Class::NotRun, false, 1, 1));
    assert!(may(Class::Unknown, true, 1, 1));
    assert!(!may(Class::Unknown, false, 1, 1));
    assert!(!may(Class::Final, true, 1, 1));
    assert!(!may(Class::NotRun, true, 1, 0));
    assert!(!may(Class::NotRun, true, 99, 1));
}

#[test]
fn retries_end_with_their_budget_and_come_back_with_successes() {
    let mut budget = Budget::default();
    let spent = std::iter::repeat_with(|| budget.spend())
        .take_while(|more| *more)
        .count();
    assert_eq!(spent, 20);
    for _ in 0..10 {
        budget.succeed();
    }
    assert!(budget.spend());
}
