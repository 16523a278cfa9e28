//! Which requests are withheld from endpoints as suspects.

use policy::suspect::{
    CRASHES_TO_WITHHOLD, Crash, MAX_RECORDS, PENDING_TTL, RECORD_TTL, Record, SignedMicros,
    Suspects, WITHHOLD_DURATION,
};
use proptest::prelude::*;

const SECOND: SignedMicros = 1_000_000;

fn crashed(endpoint: u32, at: SignedMicros) -> Record {
    Record::of_crash(Crash { endpoint, at })
}

fn pending(endpoint: u32, at: SignedMicros) -> Record {
    Record::of_pending(Crash { endpoint, at })
}

fn is_held(suspects: &Suspects, fingerprint: u64, now: SignedMicros) -> bool {
    let record = suspects.get(fingerprint);
    record.is_some_and(|record| record.remaining_hold(now).is_some())
}

fn served(at: SignedMicros) -> Record {
    Record::of_answer(at)
}

fn is_withheld(suspects: &Suspects, fingerprint: u64, now: SignedMicros) -> bool {
    let record = suspects.get(fingerprint);
    record.is_some_and(|record| record.remaining_withhold(now).is_some())
}

#[test]
fn a_request_is_withheld_for_a_time_after_the_third_crash() {
    let mut suspects = Suspects::default();
    for endpoint in 1..=3 {
        assert!(!is_withheld(&suspects, 7, SECOND));
        suspects.add(7, &crashed(endpoint, SECOND), SECOND);
    }
    assert!(is_withheld(&suspects, 7, 2 * SECOND));
    assert!(!is_withheld(&suspects, 8, 2 * SECOND), "others are not");
    let later = SECOND + WITHHOLD_DURATION;
    assert!(!is_withheld(&suspects, 7, later), "it may be sent again");
    suspects.add(7, &crashed(4, later), later);
    assert!(
        is_withheld(&suspects, 7, later),
        "one more crash suffices then"
    );
}

#[test]
fn a_request_that_crashes_endpoints_again_is_withheld_longer_each_time() {
    let mut suspects = Suspects::default();
    for endpoint in 1..=3 {
        suspects.add(7, &crashed(endpoint, SECOND), SECOND);
    }
    let mut at = SECOND;
    let mut before = 0;
    for endpoint in 4..=6 {
        let record = suspects.get(7).expect("a record");
        let duration = record.remaining_withhold(at).expect("withheld");
        assert!(duration > before);
        before = duration;
        at += duration;
        assert!(!is_withheld(&suspects, 7, at));
        suspects.evict_expired(at);
        suspects.add(7, &crashed(endpoint, at), at);
        assert!(is_withheld(&suspects, 7, at));
    }
}

#[test]
fn a_crash_reported_several_times_counts_once() {
    let mut suspects = Suspects::default();
    for at in 0..5 {
        suspects.add(7, &crashed(1, at), SECOND);
    }
    assert!(!is_withheld(&suspects, 7, SECOND));
    assert_eq!(suspects.get(7), Some(&crashed(1, 0)));
}

#[test]
fn an_answer_clears_a_suspect() {
    let mut suspects = Suspects::default();
    suspects.add(7, &crashed(1, SECOND), SECOND);
    suspects.add(7, &crashed(2, 2 * SECOND), 2 * SECOND);
    suspects.add(7, &served(3 * SECOND), 3 * SECOND);
    // A late report of a crash before the answer does not count.
    suspects.add(7, &crashed(3, 2 * SECOND), 4 * SECOND);
    suspects.add(7, &crashed(4, 5 * SECOND), 5 * SECOND);
    assert_eq!(suspects.get(7).map(|record| record.crashes.len()), Some(1));
}

#[test]
fn pending_crashes_hold_a_request_back_that_they_would_withhold() {
    let mut suspects = Suspects::default();
    suspects.add(7, &crashed(1, SECOND), SECOND);
    suspects.add(7, &pending(2, 2 * SECOND), 2 * SECOND);
    assert!(!is_held(&suspects, 7, 2 * SECOND), "two are not enough");
    suspects.add(7, &pending(3, 3 * SECOND), 3 * SECOND);
    assert!(is_held(&suspects, 7, 3 * SECOND));
    assert!(!is_withheld(&suspects, 7, 3 * SECOND));
    let expired = 2 * SECOND + PENDING_TTL;
    assert!(!is_held(&suspects, 7, expired), "the second one expired");
}

#[test]
fn a_pending_crash_that_becomes_certain_counts_once() {
    let mut suspects = Suspects::default();
    suspects.add(7, &pending(1, SECOND), SECOND);
    suspects.add(7, &crashed(1, SECOND), SECOND);
    // a peer that does not know yet
    suspects.add(7, &pending(1, SECOND), SECOND);
    assert_eq!(suspects.get(7), Some(&crashed(1, SECOND)));
}

#[test]
fn an_answer_or_a_sign_of_life_clears_pending_crashes() {
    let mut suspects = Suspects::default();
    for endpoint in 1..=3 {
        suspects.add(7, &pending(endpoint, SECOND), SECOND);
        suspects.add(8, &pending(endpoint, SECOND), SECOND);
    }
    assert!(is_held(&suspects, 7, SECOND) && is_held(&suspects, 8, SECOND));
    suspects.add(7, &served(2 * SECOND), 2 * SECOND);
    assert!(!is_held(&suspects, 7, 2 * SECOND));
    assert!(!suspects.retract_pending(2, 0), "reached before");
    assert!(suspects.retract_pending(2, 2 * SECOND));
    assert!(!is_held(&suspects, 8, 2 * SECOND));
}

#[test]
fn suspects_expire_and_their_number_is_bounded() {
    let mut suspects = Suspects::default();
    for endpoint in 1..=3 {
        suspects.add(0, &crashed(endpoint, 0), 0);
    }
    let fingerprints = 1..=u64::try_from(2 * MAX_RECORDS).expect("a small number");
    for fingerprint in fingerprints {
        suspects.add(fingerprint, &crashed(1, SECOND), SECOND);
    }
    assert_eq!(suspects.records().len(), MAX_RECORDS);
    assert!(
        is_withheld(&suspects, 0, SECOND),
        "a withheld request is not evicted"
    );
    suspects.evict_expired(RECORD_TTL + 2 * SECOND);
    assert_eq!(suspects.records(), &[]);
}

fn records() -> impl Strategy<Value = Vec<Record>> {
    let crash = (0..6_u32, 0..20_i64).prop_map(|(endpoint, at)| Crash { endpoint, at });
    let record = (
        prop::collection::vec(crash, 0..4),
        prop::option::of(0..20_i64),
    );
    let record = record.prop_map(|(crashes, last_served)| Record {
        crashes,
        last_served,
        ..Record::default()
    });
    prop::collection::vec(record, 1..6)
}

proptest! {
    #[test]
    fn a_request_is_withheld_only_after_three_crashes_since_it_was_served(received in records()) {
        let mut suspects = Suspects::default();
        for record in &received {
            suspects.add(7, record, 20);
        }
        if is_withheld(&suspects, 7, 20) {
            let record = suspects.get(7).expect("it is known");
            let since = record.last_served.unwrap_or(-1);
            let mut endpoints: Vec<u32> = received
                .iter()
                .flat_map(|record| &record.crashes)
                .filter(|crash| crash.at > since)
                .map(|crash| crash.endpoint)
                .collect();
            endpoints.sort_unstable();
            endpoints.dedup();
            prop_assert!(endpoints.len() >= CRASHES_TO_WITHHOLD);
        }
    }
}
