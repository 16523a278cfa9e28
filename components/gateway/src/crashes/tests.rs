//! Tests of what is withheld for which crashes.

use std::sync::Arc;

use clock::Instant;
use policy::suspect::{SignedMicros, WITHHOLD_DURATION};

use super::{
    Crashes, Doubt, InFlight, Interruption, RequestTracker, Source, Suspect,
    updates::RESEND_INTERVAL, wire::Backlog,
};
use crate::{
    endpoint::{Build, Id, Profile, State},
    request::Fingerprint,
};

const PART: u64 = 7;
const OTHER_PART: u64 = 8;
const COMMON_PART: u64 = 5;
const SECOND: SignedMicros = 1_000_000;

/// Requests in flight, each with its fingerprint and the parts of its prompt.
fn in_flight(requests: &[(u64, &[u64])]) -> Vec<InFlight> {
    let mut tracker = RequestTracker::default();
    for (fingerprint, parts) in requests {
        tracker.insert(Fingerprint::from(*fingerprint), &Arc::from(*parts));
    }
    tracker.take_all(Instant::now())
}

/// Whether a request with a part is withheld.
fn is_withheld(crashes: &Crashes, part: u64) -> bool {
    let request = Fingerprint::from(1_000);
    crashes.withheld(request, &[part], || 0).is_some()
}

/// Crashes of as many endpoints during each of which a request with `part` is in flight.
fn crash(crashes: &Crashes, endpoints: std::ops::Range<u32>, part: u64) {
    for endpoint in endpoints {
        let request = u64::from(endpoint) * 10 + part;
        crashes.record_crash(endpoint, &in_flight(&[(request, &[COMMON_PART, part])]));
    }
}

#[test]
fn parts_in_flight_during_the_same_crashes_stay_withheld_when_one_explains_more_of_them() {
    let crashes = Crashes::default();
    let both = |n: u64| in_flight(&[(n, &[PART]), (100 + n, &[OTHER_PART])]);
    crash(&crashes, 0..1, PART);
    for endpoint in 1..4 {
        crashes.record_crash(endpoint, &both(u64::from(endpoint)));
    }
    assert!(is_withheld(&crashes, PART));
    crash(&crashes, 4..9, OTHER_PART);
    assert!(is_withheld(&crashes, OTHER_PART));
    assert!(is_withheld(&crashes, PART));
}

#[test]
fn a_part_common_to_sound_requests_is_not_withheld() {
    let crashes = Crashes::default();
    crashes.record_served(Fingerprint::from(1), &[COMMON_PART]);
    crash(&crashes, 0..5, PART);
    assert!(is_withheld(&crashes, PART));
    assert!(!is_withheld(&crashes, COMMON_PART));
}

#[test]
fn an_answer_clears_a_withheld_part_at_all_gateways() {
    let (crashes, peer) = (Crashes::default(), Crashes::default());
    crash(&crashes, 0..4, PART);
    send(&crashes, &peer);
    assert!(is_withheld(&peer, PART));
    // the answer began before the part was withheld
    std::thread::sleep(std::time::Duration::from_millis(5));
    crashes.record_served(Fingerprint::from(1), &[PART]);
    send(&crashes, &peer);
    assert!(!is_withheld(&crashes, PART));
    assert!(!is_withheld(&peer, PART));
}

#[test]
fn a_request_that_shared_endpoints_with_a_withheld_part_is_not_withheld() {
    let crashes = Crashes::default();
    let bystander = Fingerprint::from(500);
    for endpoint in 0..5 {
        let culprit = u64::from(endpoint);
        let requests = in_flight(&[(500, &[OTHER_PART]), (culprit, &[PART])]);
        crashes.record_crash(endpoint, &requests);
    }
    assert!(is_withheld(&crashes, PART));
    assert_eq!(crashes.withheld(bystander, &[OTHER_PART], || 0), None);
}

#[test]
fn reports_of_several_gateways_add_up() {
    let gateways: Vec<Crashes> = (0..4).map(|_| Crashes::default()).collect();
    let judge = Crashes::default();
    for (endpoint, gateway) in (0..).zip(&gateways) {
        crash(gateway, endpoint..endpoint + 1, PART);
        assert!(!is_withheld(&judge, PART));
        send(gateway, &judge);
    }
    assert!(is_withheld(&judge, PART));
}

#[test]
fn a_gateway_that_has_just_started_withholds_no_part_that_others_know_to_be_sound() {
    let (crashes, started) = (Crashes::default(), Crashes::default());
    crashes.record_served(Fingerprint::from(1), &[COMMON_PART]);
    for n in 0..4 {
        crash(&crashes, n..n + 1, 100 + u64::from(n));
    }
    // what is sent at once reaches other gateways only
    crashes.take_encoded_updates();
    std::thread::sleep(RESEND_INTERVAL);
    send(&crashes, &started);
    assert!(!is_withheld(&started, COMMON_PART));
}

#[test]
fn a_verdict_of_a_peer_does_not_withhold_a_part_that_was_served_since_the_crashes() {
    let (crashes, peer) = (Crashes::default(), Crashes::default());
    crash(&peer, 0..4, PART);
    std::thread::sleep(std::time::Duration::from_millis(5));
    crashes.record_served(Fingerprint::from(1), &[PART]);
    send(&peer, &crashes);
    assert!(!is_withheld(&crashes, PART));
    send(&crashes, &peer);
    assert!(!is_withheld(&peer, PART), "the peer is corrected");
}

/// Sends all updates of one gateway to another.
fn send(from: &Crashes, to: &Crashes) {
    let mut backlog = from.take_encoded_updates();
    while !backlog.is_empty() {
        let Backlog {
            suspects,
            reports,
            served,
            reached,
        } = backlog.take_some();
        to.apply(&wire::Digest {
            name: "peer".to_owned(),
            suspects,
            crashes: reports,
            served_parts: served,
            reached,
            ..wire::Digest::default()
        });
    }
}

#[test]
fn one_gateway_at_a_time_lets_one_request_through_when_the_time_is_over() {
    let crashes = Crashes::default();
    crash(&crashes, 0..4, PART);
    let mut state = crashes.state.lock();
    let over = crashes.moment() + WITHHOLD_DURATION + SECOND;
    let (one, two) = (Fingerprint::from(1), Fingerprint::from(2));
    assert!(
        state.part_withheld(PART, one, over, || 1).is_some(),
        "not its turn"
    );
    assert!(state.part_withheld(PART, one, over, || 0).is_none());
    assert!(
        state.part_withheld(PART, one, over, || 0).is_none(),
        "the same request"
    );
    assert!(
        state.part_withheld(PART, two, over, || 0).is_some(),
        "another one"
    );
    let later = over + 20 * SECOND;
    assert!(
        state.part_withheld(PART, two, later, || 1).is_none(),
        "its turn"
    );
}

#[test]
fn one_more_crash_withholds_a_part_again_when_the_time_is_over() {
    let crashes = Crashes::default();
    crash(&crashes, 0..4, PART);
    let row = crashes.row(Suspect::Part(PART)).expect("a row");
    let restarted = Crashes::default();
    restarted.restore(Suspect::Part(PART), &row);
    assert!(is_withheld(&restarted, PART), "withheld after a restart");
    // as if the crashes had been longer ago
    let later = Crashes::default();
    let mut record = crashes.record(Suspect::Part(PART)).expect("a record");
    for crash in &mut record.crashes {
        crash.at -= WITHHOLD_DURATION + SECOND;
    }
    later.merge(Suspect::Part(PART), &record, Source::Store);
    let state = later.state.lock();
    let known = state.parts.get(PART).expect("a record");
    assert_eq!(known.remaining_withhold(later.moment()), None);
    drop(state);
    crash(&later, 9..10, PART);
    let record = later.record(Suspect::Part(PART)).expect("a record");
    assert!(record.remaining_withhold(later.moment()) > Some(WITHHOLD_DURATION));
}

/// The profile of an endpoint; its number is its port.
fn profile(id: &str, port: u16) -> Profile {
    Profile {
        id: Id(Arc::from(id)),
        service: Arc::from("service"),
        build: Build(Arc::from("v1")),
        address: ([127, 0, 0, 1], port).into(),
        data_centre: Arc::from("here"),
        state: State::Ready,
        slots: 1,
        stage: None,
        revocable: false,
        started: None,
    }
}

const REQUEST: u64 = 500;

/// Whether the request is refused.
fn is_refused(crashes: &Crashes) -> bool {
    let request = Fingerprint::from(REQUEST);
    crashes.withheld(request, &[], || 0).is_some()
}

/// Three endpoints that may have crashed under the request.
fn hold_three(crashes: &Crashes) -> [Profile; 3] {
    let endpoints = [("a", 1), ("b", 2), ("c", 3)].map(|(id, port)| profile(id, port));
    for endpoint in &endpoints {
        crashes.hold(endpoint, in_flight(&[(REQUEST, &[])]), Doubt::Unreachable);
    }
    endpoints
}

#[test]
fn a_crash_that_a_successor_proves_counts_for_what_was_in_flight() {
    let crashes = Crashes::default();
    for endpoint in hold_three(&crashes) {
        let successor = profile("successor", endpoint.address.port());
        let ended = crashes.pending_before(&successor, Instant::now());
        assert_eq!(ended.len(), 1);
        assert!(crashes.pending_before(&endpoint, Instant::now()).is_empty());
        crashes.record_crash(ended[0].profile.short_id(), &[]);
    }
    let record = crashes.record(Suspect::Request(Fingerprint::from(REQUEST)));
    assert!(record.is_some_and(|record| record.is_convicted()));
}

#[test]
fn a_crash_that_a_peer_noticed_is_proved_without_that_peer() {
    let (crashes, peer) = (Crashes::default(), Crashes::default());
    let endpoints = hold_three(&peer);
    send(&peer, &crashes);
    drop(peer);
    for endpoint in endpoints {
        crashes.record_unlisted(&endpoint);
        assert!(crashes.was_listed_at(endpoint.short_id(), endpoint.address));
        crashes.confirm(endpoint.short_id());
    }
    let record = crashes.record(Suspect::Request(Fingerprint::from(REQUEST)));
    assert!(record.is_some_and(|record| record.is_convicted()));
}

#[test]
fn a_request_whose_endpoint_has_answered_since_is_not_held_back_again_by_a_peer() {
    let (crashes, peer) = (Crashes::default(), Crashes::default());
    let endpoints = hold_three(&crashes);
    send(&crashes, &peer);
    assert!(is_refused(&crashes) && is_refused(&peer));
    std::thread::sleep(std::time::Duration::from_millis(5));
    crashes.record_alive(endpoints[0].short_id(), Instant::now());
    assert!(!is_refused(&crashes));
    peer.take_encoded_updates();
    std::thread::sleep(RESEND_INTERVAL);
    send(&peer, &crashes);
    assert!(!is_refused(&crashes));
    send(&crashes, &peer);
    assert!(!is_refused(&peer));
}

#[test]
fn a_request_that_was_served_is_not_suspected_for_a_crash_that_is_proved_later() {
    let crashes = Crashes::default();
    let endpoints = hold_three(&crashes);
    std::thread::sleep(std::time::Duration::from_millis(5));
    crashes.record_served(Fingerprint::from(REQUEST), &[]);
    for endpoint in endpoints {
        crashes.record_crash(endpoint.short_id(), &[]);
    }
    assert!(!is_refused(&crashes));
    assert!(!crashes.is_suspect(Fingerprint::from(REQUEST)));
}

#[test]
fn endpoints_that_others_reach_hold_no_request_back() {
    let crashes = Crashes::default();
    for port in 1..=3 {
        let endpoint = profile(&port.to_string(), port);
        crashes.hold(&endpoint, in_flight(&[(REQUEST, &[])]), Doubt::Reached);
    }
    assert!(!is_refused(&crashes));
}

#[test]
fn a_cancelled_request_is_suspected_until_its_endpoint_has_outlasted_it() {
    let mut tracker = RequestTracker::default();
    let number = tracker.insert(Fingerprint::from(REQUEST), &Arc::from([]));
    assert!(tracker.interrupt(number, Interruption::Cancelled));
    tracker.record_answer();
    let later = Instant::now() + std::time::Duration::from_secs(3);
    assert!(tracker.has_unanswered(later), "it may have gone on with it");
    std::thread::sleep(std::time::Duration::from_millis(1_100));
    tracker.record_answer();
    assert!(!tracker.has_unanswered(later));
    assert!(tracker.take_all(later).is_empty());
}

#[test]
fn a_row_key_names_its_suspect() {
    for suspect in [Suspect::Part(7), Suspect::Request(Fingerprint::from(7))] {
        assert_eq!(Suspect::from_row_key(&suspect.row_key()), Some(suspect));
    }
    assert_eq!(Suspect::from_row_key("withheld/part-x"), None);
    assert_eq!(Suspect::from_row_key("other/1"), None);
}
