//! Which requests are withheld from endpoints.

use policy::suspect::{
    CRASHES_TO_WITHHOLD, Crash, MAX_RECORDS, Moment, RECORD_TTL, Record, Suspects,
    WITHHOLD_DURATION,
};
use proptest::prelude::*;

const SECOND: Moment = 1_000_000;

fn ended(endpoint: u32, at: Moment) -> Record {
    Record {
        crashes: vec![Crash { endpoint, at }],
        last_served: None,
    }
}

fn served(at: Moment) -> Record {
    Record {
        crashes: Vec::new(),
        last_served: Some(at),
    }
}

fn withheld(suspects: &Suspects, content: u64, now: Moment) -> bool {
    let record = suspects.get(content);
    record.is_some_and(|record| record.remaining_withhold(now).is_some())
}

#[test]
fn a_request_is_withheld_after_the_third_endpoint_and_not_for_good() {
    let mut suspects = Suspects::default();
    for endpoint in 1..=3 {
        assert!(!withheld(&suspects, 7, SECOND));
        suspects.add(7, &ended(endpoint, SECOND), SECOND);
    }
    assert!(withheld(&suspects, 7, 2 * SECOND));
    assert!(!withheld(&suspects, 8, 2 * SECOND), "others are not");
    let later = SECOND + WITHHOLD_DURATION;
    assert!(!withheld(&suspects, 7, later), "it is tried again");
    suspects.add(7, &ended(4, later), later);
    assert!(withheld(&suspects, 7, later), "one more end is enough then");
}

#[test]
fn an_endpoint_that_several_tell_of_counts_once() {
    let mut suspects = Suspects::default();
    for at in 0..5 {
        suspects.add(7, &ended(1, at), SECOND);
    }
    assert!(!withheld(&suspects, 7, SECOND));
    assert_eq!(suspects.get(7), Some(&ended(1, 0)));
}

#[test]
fn a_request_that_is_served_is_no_suspect_any_more() {
    let mut suspects = Suspects::default();
    suspects.add(7, &ended(1, SECOND), SECOND);
    suspects.add(7, &ended(2, 2 * SECOND), 2 * SECOND);
    suspects.add(7, &served(3 * SECOND), 3 * SECOND);
    // what a peer tells late is from before
    suspects.add(7, &ended(3, 2 * SECOND), 4 * SECOND);
    suspects.add(7, &ended(4, 5 * SECOND), 5 * SECOND);
    assert_eq!(suspects.get(7).map(|record| record.crashes.len()), Some(1));
}

#[test]
fn suspects_are_forgotten_in_time_and_never_too_many() {
    let mut suspects = Suspects::default();
    for endpoint in 1..=3 {
        suspects.add(0, &ended(endpoint, 0), 0);
    }
    let contents = 1..=u64::try_from(2 * MAX_RECORDS).expect("a small number");
    for content in contents {
        suspects.add(content, &ended(1, SECOND), SECOND);
    }
    assert_eq!(suspects.records().len(), MAX_RECORDS);
    assert!(withheld(&suspects, 0, SECOND), "what is withheld stays");
    suspects.evict_expired(RECORD_TTL + 2 * SECOND);
    assert_eq!(suspects.records(), &[]);
}

fn records() -> impl Strategy<Value = Vec<Record>> {
    let end = (0..6_u32, 0..20_i64).prop_map(|(endpoint, at)| Crash { endpoint, at });
    let record = (
        prop::collection::vec(end, 0..4),
        prop::option::of(0..20_i64),
    );
    let record = record.prop_map(|(ends, served)| Record {
        crashes: ends,
        last_served: served,
    });
    prop::collection::vec(record, 1..6)
}

proptest! {
    #[test]
    fn a_request_is_withheld_only_if_three_endpoints_ended_since_it_was_served(told in records()) {
        let mut suspects = Suspects::default();
        for record in &told {
            suspects.add(7, record, 20);
        }
        if withheld(&suspects, 7, 20) {
            let record = suspects.get(7).expect("it is known");
            let since = record.last_served.unwrap_or(-1);
            let mut endpoints: Vec<u32> = told
                .iter()
                .flat_map(|record| &record.crashes)
                .filter(|end| end.at > since)
                .map(|end| end.endpoint)
                .collect();
            endpoints.sort_unstable();
            endpoints.dedup();
            prop_assert!(endpoints.len() >= CRASHES_TO_WITHHOLD);
        }
    }
}
