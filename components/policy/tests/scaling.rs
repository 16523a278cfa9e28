//! How many endpoints of which kind are ordered, played step by step as the platform carries out the orders.

use policy::scaling::{DataCentre, Wanted, Weights, plan};

const DATA_CENTRE: DataCentre = DataCentre {
    on_demand: 19,
    revocable: 0,
    offers_revocable: true,
    revocable_refused: false,
    min: 1,
    max: 38,
};

fn next(state: &DataCentre) -> Wanted {
    plan(state, &Weights::default())
}

#[test]
fn the_given_endpoints_are_kept_until_revocable_ones_serve() {
    let wanted = next(&DATA_CENTRE);
    assert_eq!(wanted.on_demand, None);
    assert!(
        wanted
            .revocable
            .is_some_and(|count| count > 0 && count + DATA_CENTRE.on_demand <= DATA_CENTRE.max)
    );
    let some = DataCentre {
        revocable: 5,
        ..DATA_CENTRE
    };
    assert_eq!(next(&some).on_demand, Some(DATA_CENTRE.on_demand - 5));
}

/// The list of endpoints fills up while they register.
#[test]
fn a_list_that_is_not_complete_gives_no_endpoint_up() {
    let partial = DataCentre {
        on_demand: 3,
        ..DATA_CENTRE
    };
    assert_eq!(next(&partial).on_demand, None);
}

#[test]
fn the_plan_settles_with_few_endpoints_that_stay() {
    let mut state = DATA_CENTRE;
    for _ in 0..5 {
        let wanted = next(&state);
        let serving = state.on_demand + state.revocable;
        state.on_demand = wanted.on_demand.unwrap_or(state.on_demand);
        state.revocable = wanted.revocable.unwrap_or(state.revocable);
        assert!(
            state.on_demand + state.revocable >= serving.min(DATA_CENTRE.on_demand),
            "{state:?}"
        );
        assert!(state.on_demand + state.revocable <= state.max, "{state:?}");
    }
    let settled = next(&state);
    assert_eq!(settled.on_demand, Some(state.on_demand));
    assert_eq!(settled.revocable, Some(state.revocable));
    assert!(
        (1..DATA_CENTRE.on_demand / 2).contains(&state.on_demand),
        "{state:?}"
    );
    assert!(state.revocable > state.on_demand, "{state:?}");
}

#[test]
fn endpoints_that_were_taken_back_are_ordered_again() {
    let taken_back = DataCentre {
        on_demand: 4,
        revocable: 0,
        ..DATA_CENTRE
    };
    let wanted = next(&taken_back);
    assert_eq!(wanted.on_demand, None);
    assert!(wanted.revocable.is_some_and(|count| count > 0));
}

/// Plays a day on which the platform takes back the revocable endpoints of a data centre and has no others for a while.
#[test]
fn others_serve_while_there_are_no_revocable_endpoints() {
    let taken_back = DataCentre {
        on_demand: 2,
        revocable: 0,
        revocable_refused: true,
        ..DATA_CENTRE
    };
    let wanted = next(&taken_back);
    assert_eq!(
        wanted.on_demand,
        Some(DATA_CENTRE.on_demand),
        "as many as were given"
    );
    assert!(
        wanted.revocable.is_some_and(|count| count > 0),
        "asks again"
    );
    // the platform has some again, which start
    let accepted = DataCentre {
        on_demand: DATA_CENTRE.on_demand,
        revocable_refused: false,
        ..taken_back
    };
    assert_eq!(next(&accepted).on_demand, None);
    let serving = DataCentre {
        revocable: 19,
        ..accepted
    };
    assert_eq!(next(&serving).on_demand, Some(2));
}

#[test]
fn nothing_is_ordered_where_no_endpoint_is_revocable() {
    let state = DataCentre {
        offers_revocable: false,
        ..DATA_CENTRE
    };
    assert_eq!(next(&state), Wanted::default());
}

#[test]
fn the_limits_hold_for_all_sizes() {
    for max in 1..40 {
        for on_demand in 0..=max {
            for revocable in 0..=(max - on_demand) {
                let state = DataCentre {
                    on_demand,
                    revocable,
                    max,
                    ..DATA_CENTRE
                };
                let wanted = next(&state);
                let ordered =
                    wanted.on_demand.unwrap_or(on_demand) + wanted.revocable.unwrap_or(revocable);
                assert!(ordered <= max, "{state:?} {wanted:?}");
                assert!(
                    wanted.on_demand.is_none_or(|on_demand| on_demand >= 1),
                    "{state:?} {wanted:?}"
                );
            }
        }
    }
}

/// Limits that contradict each other give no order beyond the maximum.
#[test]
fn odd_limits_give_no_order_beyond_the_maximum() {
    for (min, max) in [(0, 0), (5, 2), (1, 1), (0, 3)] {
        let state = DataCentre {
            on_demand: 1,
            revocable: 1,
            min,
            max,
            ..DATA_CENTRE
        };
        let wanted = next(&state);
        assert!(
            wanted.revocable.is_some_and(|count| count <= max),
            "{wanted:?}"
        );
        assert!(
            wanted.on_demand.is_none_or(|count| count <= max),
            "{wanted:?}"
        );
    }
}
