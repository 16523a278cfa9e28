//! Which endpoints a process knows, and which of them it uses.

use std::{net::SocketAddr, sync::Arc};

use gateway::{
    adapters::Change,
    endpoint::{Build, DecodeGuard, Id, Load, Profile, Registry, Stage, State, Target, short_id},
};

/// The data centres over which the endpoints are spread.
const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];

fn endpoint(n: usize) -> Change {
    Change::Present(Profile {
        id: Id(Arc::from(format!("e{n:04}"))),
        service: Arc::from("engines"),
        build: Build(Arc::from("v1")),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: Arc::from(DATA_CENTRES[n % DATA_CENTRES.len()]),
        state: State::Ready,
        slots: 16,
        stage: Some(Stage::Decode),
        revocable: false,
        started: None,
    })
}

fn registry(process: &str, endpoints: usize) -> Registry {
    let registry = Registry::new(process, "a");
    let changes: Vec<Change> = (0..endpoints).map(endpoint).collect();
    registry.apply(&changes, true);
    registry
}

fn used(registry: &Registry) -> Vec<Id> {
    let fleet = registry.fleet("engines");
    fleet
        .subset()
        .iter()
        .map(|target| target.id.clone())
        .collect()
}

#[test]
fn all_endpoints_of_a_small_fleet_are_used() {
    let registry = registry("g1", 60);
    assert_eq!(used(&registry).len(), 60);
}

#[test]
fn a_bounded_and_mostly_local_subset_of_a_large_fleet_is_used() {
    let registry = registry("g1", 3_000);
    let fleet = registry.fleet("engines");
    assert_eq!(fleet.targets().len(), 3_000);
    assert_eq!(fleet.subset().len(), 96);
    let local = fleet
        .subset()
        .iter()
        .filter(|target| target.with(|state| &*state.profile.data_centre == "a"));
    assert_eq!(local.count(), 64);
}

#[test]
fn removing_one_used_endpoint_keeps_all_others_in_use() {
    let registry = registry("g1", 3_000);
    let before = used(&registry);
    registry.apply(&[Change::Gone(before[10].clone())], false);
    let after = used(&registry);
    assert_eq!(after.len(), before.len());
    let kept = after.iter().filter(|id| before.contains(id)).count();
    assert_eq!(kept, before.len() - 1);
}

#[test]
fn many_processes_use_local_endpoints_about_equally_often() {
    let mut counts = vec![0_usize; 900];
    for process in 0..100 {
        for id in used(&registry(&format!("g{process}"), counts.len())) {
            let n: usize = id.0[1..].parse().expect("a number");
            counts[n] += 1;
        }
    }
    let local: Vec<usize> = counts.iter().copied().step_by(DATA_CENTRES.len()).collect();
    // each of 100 processes uses 64 of the 300 endpoints in its data centre, so 21 use an endpoint
    // on average
    assert!(
        local.iter().all(|count| (6..=40).contains(count)),
        "{local:?}"
    );
}

#[test]
fn endpoints_are_found_by_their_short_ids() {
    let registry = registry("g1", 200);
    for target in registry.all().iter() {
        let found = registry.find(target.short_id).expect("an endpoint");
        assert_eq!(found.id, target.id);
    }
    registry.apply(&[Change::Gone(Id(Arc::from("e0007")))], false);
    assert!(registry.find(short_id("e0007")).is_none());
}

/// The only endpoint, with the given start time.
fn started(at: Option<u64>) -> Change {
    let Change::Present(profile) = endpoint(0) else {
        panic!("an endpoint is present");
    };
    Change::Present(Profile {
        revocable: false,
        started: at,
        ..profile
    })
}

fn only_target(registry: &Registry) -> Arc<Target> {
    let fleet = registry.fleet("engines");
    assert_eq!(fleet.targets().len(), 1);
    Arc::clone(&fleet.targets()[0])
}

#[tokio::test]
async fn a_restarted_endpoint_is_a_new_target() {
    let registry = Registry::new("g1", "a");
    registry.apply(&[started(Some(1_000))], true);
    let previous = only_target(&registry);
    let parts = [policy::prompt::Part {
        key: 1,
        tokens: 100,
    }];
    previous.with(|state| {
        state.prefix_cache = policy::prefix_cache::PrefixCache::new(1_000);
        state.prefix_cache.record_use(&parts, 0);
        state.latency = Some(policy::estimate::Latency::initial_decode());
        state.peer_load.decoding = 5;
    });
    let _in_flight = DecodeGuard::new(&previous, false);
    registry.apply(&[started(Some(2_000))], false);
    let next = only_target(&registry);
    assert!(!Arc::ptr_eq(&previous, &next));
    // requests in flight there are over
    previous.terminated().await;
    next.with(|state| {
        assert_eq!(
            (state.own_load, state.peer_load),
            (Load::default(), Load::default())
        );
        assert_eq!(
            (state.latency, state.prefix_cache.cached_tokens(&parts)),
            (None, 0)
        );
    });
    // peers that do not know of the restart yet still report the previous incarnation
    assert_ne!(previous.short_id, next.short_id);
    assert!(registry.find(previous.short_id).is_none());
}

#[test]
fn entries_without_a_later_start_change_nothing() {
    let registry = Registry::new("g1", "a");
    registry.apply(&[started(Some(2_000))], true);
    let known = only_target(&registry);
    for entry in [started(Some(1_000)), started(Some(2_000)), started(None)] {
        registry.apply(&[entry], false);
        assert!(Arc::ptr_eq(&known, &only_target(&registry)));
    }
}

#[test]
fn an_unusable_entry_removes_the_endpoint() {
    let registry = Registry::new("g1", "a");
    registry.apply(&[started(None), endpoint(1)], true);
    registry.apply(&[Change::Unusable(Id(Arc::from("e0000")))], false);
    assert_eq!(used(&registry), [Id(Arc::from("e0001"))]);
}

/// An endpoint with a build.
fn of_build(n: usize, build: &str) -> Change {
    let Change::Present(profile) = endpoint(n) else {
        panic!("an endpoint is present");
    };
    Change::Present(Profile {
        build: Build(Arc::from(build)),
        ..profile
    })
}

#[test]
fn a_build_counts_for_some_time_after_its_last_endpoint_has_left() {
    let registry = Registry::new("g1", "a");
    let builds = || {
        let builds = registry.builds().of("engines");
        builds.iter().map(ToString::to_string).collect::<Vec<_>>()
    };
    registry.apply(&[of_build(0, "v1"), of_build(1, "v1")], true);
    assert_eq!(builds(), ["v1"]);
    assert!(!registry.builds().is_mixed());
    registry.apply(&[of_build(2, "v2")], false);
    assert_eq!(builds(), ["v1", "v2"]);
    assert!(registry.builds().is_mixed());
    registry.apply(&[of_build(2, "v2")], true);
    assert_eq!(builds(), ["v1", "v2"]);
    registry.apply(&[], true);
    assert_eq!(builds(), ["v1", "v2"]);
    assert!(registry.builds().of("others").is_empty());
}
