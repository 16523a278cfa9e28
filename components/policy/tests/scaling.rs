//! How many endpoints of which kind are ordered, played step by step as the platform carries out the orders.

use policy::scaling::{Site, Wanted, Weights, plan};

const SITE: Site = Site {
    firm: 19,
    revocable: 0,
    offers_revocable: true,
    revocable_refused: false,
    min: 1,
    max: 38,
};

fn next(site: &Site) -> Wanted {
    plan(site, &Weights::default())
}

#[test]
fn the_given_endpoints_are_kept_until_revocable_ones_serve() {
    let wanted = next(&SITE);
    assert_eq!(wanted.firm, None);
    assert!(
        wanted
            .revocable
            .is_some_and(|count| count > 0 && count + SITE.firm <= SITE.max)
    );
    let some = Site {
        revocable: 5,
        ..SITE
    };
    assert_eq!(next(&some).firm, Some(SITE.firm - 5));
}

/// The list of endpoints fills up while they register.
#[test]
fn a_list_that_is_not_complete_gives_no_endpoint_up() {
    let partial = Site { firm: 3, ..SITE };
    assert_eq!(next(&partial).firm, None);
}

#[test]
fn the_plan_settles_with_few_endpoints_that_stay() {
    let mut site = SITE;
    for _ in 0..5 {
        let wanted = next(&site);
        let serving = site.firm + site.revocable;
        site.firm = wanted.firm.unwrap_or(site.firm);
        site.revocable = wanted.revocable.unwrap_or(site.revocable);
        assert!(
            site.firm + site.revocable >= serving.min(SITE.firm),
            "{site:?}"
        );
        assert!(site.firm + site.revocable <= site.max, "{site:?}");
    }
    let settled = next(&site);
    assert_eq!(settled.firm, Some(site.firm));
    assert_eq!(settled.revocable, Some(site.revocable));
    assert!((1..SITE.firm / 2).contains(&site.firm), "{site:?}");
    assert!(site.revocable > site.firm, "{site:?}");
}

#[test]
fn endpoints_that_were_taken_back_are_ordered_again() {
    let taken_back = Site {
        firm: 4,
        revocable: 0,
        ..SITE
    };
    let wanted = next(&taken_back);
    assert_eq!(wanted.firm, None);
    assert!(wanted.revocable.is_some_and(|count| count > 0));
}

/// Plays a day on which the platform takes back the revocable endpoints of a data centre and has no others for a while.
#[test]
fn others_serve_while_there_are_no_revocable_endpoints() {
    let taken_back = Site {
        firm: 2,
        revocable: 0,
        revocable_refused: true,
        ..SITE
    };
    let wanted = next(&taken_back);
    assert_eq!(wanted.firm, Some(SITE.firm), "as many as were given");
    assert!(
        wanted.revocable.is_some_and(|count| count > 0),
        "asks again"
    );
    // the platform has some again, which start
    let accepted = Site {
        firm: SITE.firm,
        revocable_refused: false,
        ..taken_back
    };
    assert_eq!(next(&accepted).firm, None);
    let serving = Site {
        revocable: 19,
        ..accepted
    };
    assert_eq!(next(&serving).firm, Some(2));
}

#[test]
fn nothing_is_ordered_where_no_endpoint_is_revocable() {
    let site = Site {
        offers_revocable: false,
        ..SITE
    };
    assert_eq!(next(&site), Wanted::default());
}

#[test]
fn the_limits_hold_for_all_sizes() {
    for max in 1..40 {
        for firm in 0..=max {
            for revocable in 0..=(max - firm) {
                let site = Site {
                    firm,
                    revocable,
                    max,
                    ..SITE
                };
                let wanted = next(&site);
                let ordered = wanted.firm.unwrap_or(firm) + wanted.revocable.unwrap_or(revocable);
                assert!(ordered <= max, "{site:?} {wanted:?}");
                assert!(
                    wanted.firm.is_none_or(|firm| firm >= 1),
                    "{site:?} {wanted:?}"
                );
            }
        }
    }
}
