//! The loads reported to peers match the requests in flight, also when an endpoint becomes idle and
//! busy again between two reports.

use std::sync::Arc;

use gateway::{
    adapters::Change,
    endpoint::{Build, DecodeGuard, Id, Load, PrefillGuard, Profile, Registry, State},
};

fn profile(name: &str) -> Profile {
    Profile {
        id: Id(Arc::from(name)),
        service: Arc::from("engines"),
        build: Build(Arc::from("v1")),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: Arc::from("here"),
        state: State::Ready,
        slots: 4,
        stage: None,
        revocable: false,
        started: None,
    }
}

fn registry(names: &[&str]) -> Registry {
    let registry = Registry::new("g1", "here");
    let changes: Vec<Change> = names
        .iter()
        .map(|name| Change::Present(profile(name)))
        .collect();
    registry.apply(&changes, true);
    registry
}

fn decoding(count: u64) -> Load {
    Load {
        decoding: count,
        ..Load::default()
    }
}

#[test]
fn loads_match_the_requests_in_flight() {
    let registry = registry(&["e1", "e2", "e3"]);
    let short_id = |name: &str| profile(name).short_id();
    let target = |name: &str| registry.find(short_id(name)).expect("listed");
    assert_eq!(registry.busy().loads(), []);

    let first = DecodeGuard::new(&target("e1"), false);
    let second = DecodeGuard::new(&target("e1"), false);
    let other = PrefillGuard::new(&target("e3"), 50, false);
    let mut expected = vec![
        (short_id("e1"), decoding(2)),
        (
            short_id("e3"),
            Load {
                prefill_work: 50,
                prompts: 1,
                ..Load::default()
            },
        ),
    ];
    expected.sort_unstable_by_key(|(short_id, _)| *short_id);
    assert_eq!(registry.busy().loads(), expected);

    drop((first, other));
    assert_eq!(registry.busy().loads(), [(short_id("e1"), decoding(1))]);
    drop(second);
    // the endpoint becomes busy again before the loads have been read
    let third = DecodeGuard::new(&target("e1"), false);
    assert_eq!(registry.busy().loads(), [(short_id("e1"), decoding(1))]);
    drop(third);
    assert_eq!(registry.busy().loads(), []);
    let fourth = DecodeGuard::new(&target("e1"), false);
    assert_eq!(registry.busy().loads(), [(short_id("e1"), decoding(1))]);
    drop(fourth);
}

#[test]
fn a_removed_endpoint_still_counts_while_it_answers() {
    let registry = registry(&["e1"]);
    let short_id = profile("e1").short_id();
    let target = registry.find(short_id).expect("listed");
    let answer = DecodeGuard::new(&target, false);
    registry.apply(&[Change::Gone(target.id.clone())], false);
    assert_eq!(registry.busy().loads(), [(short_id, decoding(1))]);
    drop(answer);
    assert_eq!(registry.busy().loads(), []);
}
