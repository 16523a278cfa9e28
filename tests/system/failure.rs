//! Failures under load: kills, pauses, broken streams, planned stops.

use std::time::Duration;

use cloud::vms::{Kind, State, Vm};
use hyper::StatusCode;
use protocol::order::Role;
use standin::engine::{Engine, Fault, Setup, expected_text};

use crate::fleet::{Caller, Fleet, KEY, completion, eventually, setup, streamed};

/// Long enough to be under way while something happens, a step of the quick engine being 1 ms.
const LONG: u64 = 1_500;

fn start_streams(
    caller: &Caller,
    address: std::net::SocketAddr,
    count: usize,
) -> Vec<tokio::task::JoinHandle<Option<String>>> {
    (0..count)
        .map(|nth| {
            let caller = caller.clone();
            tokio::spawn(async move {
                let prompt = format!("dossier {nth}");
                let answer = caller.complete(address, &prompt, LONG, true).await?;
                let (text, whole) = streamed(&answer.body);
                // a part that looks whole would be a lie
                assert_eq!(whole, text == expected_text(&prompt, 0, LONG));
                whole.then_some(text)
            })
        })
        .collect()
}

async fn count_whole(streams: Vec<tokio::task::JoinHandle<Option<String>>>) -> usize {
    let mut whole = 0;
    for stream in streams {
        whole += usize::from(stream.await.expect("no lie").is_some());
    }
    whole
}

fn mixed(count: usize) -> Vec<Setup> {
    (0..count).map(|_| setup(Role::Mixed, false)).collect()
}

fn in_flight(fleet: &Fleet) -> u64 {
    fleet.engines.iter().map(|e| e.counts().attempts).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_no_stream() {
    let mut fleet = Fleet::start(mixed(2), 2).await;
    let caller = Caller::new();
    let streams = start_streams(&caller, fleet.daemons[0].callers, 12);
    eventually("all streams are under way", async || {
        in_flight(&fleet) == 12
    })
    .await;
    fleet.daemons[0].signal("TERM");
    assert_eq!(count_whole(streams).await, 12);
    let status = fleet.daemons[0].child.wait().expect("it ends");
    assert!(status.success(), "{status}");
    let answer = caller
        .complete(fleet.daemons[1].callers, "on", 5, true)
        .await;
    assert!(streamed(&answer.expect("an answer").body).1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_daemon_ends_no_stream_as_if_whole() {
    let mut fleet = Fleet::start(mixed(2), 2).await;
    let caller = Caller::new();
    let lost = start_streams(&caller, fleet.daemons[0].callers, 6);
    let kept = start_streams(&caller, fleet.daemons[1].callers, 6);
    eventually("all streams are under way", async || {
        in_flight(&fleet) == 12
    })
    .await;
    fleet.daemons[0].child.kill().expect("killed");
    assert_eq!(count_whole(lost).await, 0);
    assert_eq!(count_whole(kept).await, 6);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_goes_on_at_another_engine_when_its_engine_crashes() {
    let mut fleet = Fleet::start(mixed(3), 1).await;
    let caller = Caller::new();
    let streams = start_streams(&caller, fleet.daemons[0].callers, 9);
    eventually("all streams are under way", async || in_flight(&fleet) == 9).await;
    drop(fleet.engines.remove(0));
    assert_eq!(count_whole(streams).await, 9);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_broken_frame_never_reaches_a_caller() {
    // whether the answer must come out whole, or may break as long as it doesn't look whole
    let cases = [
        (Fault::ForeignFrames, true),
        (Fault::DuplicateFrames, true),
        (Fault::ResetAt(5), true),
        (Fault::CloseAt(5), true),
        (Fault::SkipAt(5), true),
        (Fault::MalformedFrames, true),
        (Fault::Refuse, true),
    ];
    for (fault, must) in cases {
        let fleet = Fleet::start(mixed(2), 1).await;
        fleet.engines[0].set_fault(fault);
        let caller = Caller::new();
        for nth in 0..6 {
            let prompt = format!("case {nth}");
            let answer = caller
                .complete(fleet.daemons[0].callers, &prompt, 12, true)
                .await
                .expect("an answer");
            let (text, whole) = streamed(&answer.body);
            assert_eq!(whole, must, "{fault:?}: {answer:?}");
            assert_eq!(text, expected_text(&prompt, 0, 12), "{fault:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_no_engine_finishes_is_never_ended_as_whole() {
    let faults = [Fault::ResetAt(5), Fault::CloseAt(5), Fault::SkipAt(5)];
    futures::future::join_all(faults.map(never_whole)).await;
}

async fn never_whole(fault: Fault) {
    let fleet = Fleet::start(mixed(1), 1).await;
    fleet.engines[0].set_fault(fault);
    let bearer = format!("Bearer {KEY}");
    let headers = [("authorization", bearer.as_str())];
    let caller = Caller::new();
    let address = fleet.daemons[0].callers;
    let path = "/v1/completions";
    let body = completion("never", 12, true);
    let streamed = caller.ask(address, path, &headers, &body).await;
    assert!(streamed.is_none(), "{fault:?}: {streamed:?}");
    let body = completion("never", 12, false);
    let whole = caller.ask(address, path, &headers, &body).await;
    let whole = whole.expect("a refusal");
    assert_ne!(whole.status, StatusCode::OK, "{fault:?}");
    assert!(whole.headers.contains_key("retry-after"), "{whole:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_hangs_up_cancels_at_the_engine() {
    let fleet = Fleet::start(mixed(1), 1).await;
    let caller = Caller::new();
    let bearer = format!("Bearer {KEY}");
    let headers = [("authorization", bearer.as_str())];
    let body = completion("gone", 100_000, true);
    let response = caller
        .send(fleet.daemons[0].callers, "/v1/completions", &headers, &body)
        .await
        .expect("a head");
    drop(response);
    eventually("the attempt is over at the engine", async || {
        let before = fleet.engines[0].counts().tokens;
        tokio::time::sleep(Duration::from_millis(50)).await;
        fleet.engines[0].counts().tokens == before
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_role_change_cuts_no_stream() {
    for fences in [false, true] {
        let engines = vec![setup(Role::Mixed, fences), setup(Role::Mixed, fences)];
        let fleet = Fleet::start(engines, 3).await;
        let caller = Caller::new();
        let mut streams = Vec::new();
        for daemon in &fleet.daemons {
            streams.extend(start_streams(&caller, daemon.callers, 4));
        }
        eventually("all streams are under way", async || {
            in_flight(&fleet) == 12
        })
        .await;
        let (code, text) = fleet.operate(1, &["role", "sala-a/1", "decode"]);
        assert_eq!(code, 0, "{text}");
        assert_eq!(count_whole(streams).await, 12);
        eventually("the engine has its role", async || {
            fleet.engines[0].holds().role == Role::Decode
        })
        .await;
        assert_eq!(fleet.engines[0].counts().interrupted, 0);
        assert_eq!(fleet.engines[0].counts().changes, 1);
        let answer = caller
            .complete(fleet.daemons[0].callers, "on", 5, true)
            .await;
        assert!(streamed(&answer.expect("an answer").body).1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_endpoint_gets_no_new_work_and_finishes_its_own() {
    let fleet = Fleet::start(mixed(2), 2).await;
    let caller = Caller::new();
    let streams = start_streams(&caller, fleet.daemons[0].callers, 8);
    eventually("all streams are under way", async || in_flight(&fleet) == 8).await;
    let (code, text) = fleet.operate(1, &["drain", "sala-a/1"]);
    assert_eq!(code, 0, "{text}");
    let before = fleet.engines[0].counts().attempts;
    for daemon in &fleet.daemons {
        for _ in 0..10 {
            let answer = caller.complete(daemon.callers, "new", 3, true).await;
            assert!(streamed(&answer.expect("an answer").body).1);
        }
    }
    assert_eq!(fleet.engines[0].counts().attempts, before);
    assert_eq!(count_whole(streams).await, 8);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_endpoint_gets_no_new_work() {
    let fleet = Fleet::start(mixed(2), 2).await;
    let caller = Caller::new();
    let vm = |state| Vm {
        address: fleet.engines[0].address(),
        data_centre: "sala-a".to_owned(),
        kind: Kind::Endpoint,
        state,
    };
    fleet.platform.add_vm(vm(State::Live));
    fleet.platform.mark_leaving(fleet.engines[0].address());
    for daemon in 0..2 {
        eventually("the daemon knows", async || {
            let (_, text) = fleet.operate(daemon, &["status"]);
            text.contains("leaving")
        })
        .await;
    }
    let before = fleet.engines[0].counts().attempts;
    for daemon in &fleet.daemons {
        for _ in 0..10 {
            let answer = caller.complete(daemon.callers, "new", 3, true).await;
            assert!(streamed(&answer.expect("an answer").body).1);
        }
    }
    assert_eq!(fleet.engines[0].counts().attempts, before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_steward_that_wakes_has_no_effect() {
    for fences in [false, true] {
        let engines = vec![setup(Role::Mixed, fences), setup(Role::Mixed, fences)];
        let fleet = Fleet::start(engines, 3).await;
        let first = steward(&fleet, 0).await;
        // the order is on its way, or nearly, when its sender stops
        let (code, _) = fleet.operate(first, &["role", "sala-a/1", "decode"]);
        assert_eq!(code, 0);
        eventually("the order is begun", async || {
            let (_, text) = fleet.operate(first, &["timeline"]);
            text.contains("order-")
        })
        .await;
        fleet.daemons[first].signal("STOP");
        let other = (first + 1) % 3;
        eventually("another daemon is steward", async || {
            steward(&fleet, other).await != first
        })
        .await;
        eventually("the endpoint serves again", async || {
            let (_, text) = fleet.operate(other, &["status"]);
            text.contains("sala-a/1 soil") && !text.contains("closed")
        })
        .await;
        fleet.daemons[first].signal("CONT");
        eventually("the order is carried out in the end", async || {
            fleet.engines[0].holds().role == Role::Decode
        })
        .await;
        let counts = fleet.engines[0].counts();
        assert_eq!((counts.conflicts, counts.interrupted), (0, 0), "{counts:?}");
        assert_eq!(counts.changes, 1, "{counts:?}");
    }
}

/// The daemon that holds the stewardship, as another one sees it.
async fn steward(fleet: &Fleet, asked: usize) -> usize {
    let mut found = None;
    eventually("there is a steward", async || {
        let (_, text) = fleet.operate(asked, &["--json", "status"]);
        let status: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
        let holder = status["stewards"][0]["holder"].clone();
        let address = status["daemons"]
            .as_array()
            .into_iter()
            .flatten()
            .find(|daemon| daemon["incarnation"] == holder)
            .and_then(|daemon| daemon["address"].as_str().map(ToOwned::to_owned));
        found = address.and_then(|address| {
            fleet
                .daemons
                .iter()
                .position(|daemon| daemon.peers.to_string() == address)
        });
        found.is_some()
    })
    .await;
    found.expect("found above")
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_crashes_in_a_change_is_replaced() {
    let mut fleet = Fleet::start(mixed(2), 2).await;
    let address = fleet.engines[0].address();
    let (code, _) = fleet.operate(0, &["role", "sala-a/1", "decode"]);
    assert_eq!(code, 0);
    eventually("the engine changes", async || {
        fleet.engines[0].counts().changes > 0
    })
    .await;
    drop(fleet.engines.remove(0));
    let mut again = None;
    eventually("its port is free again", async || {
        again = Engine::start(address, setup(Role::Mixed, false)).await.ok();
        again.is_some()
    })
    .await;
    let again = again.expect("started above");
    eventually("the new engine gets its role", async || {
        again.holds().role == Role::Decode
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_given_up_while_a_daemon_does_not_answer() {
    let fleet = Fleet::start(mixed(2), 3).await;
    let caller = Caller::new();
    let first = steward(&fleet, 0).await;
    let silent = (first + 1) % 3;
    fleet.daemons[silent].signal("STOP");
    let (code, text) = fleet.operate(first, &["role", "sala-a/1", "decode"]);
    assert_eq!(code, 0, "{text}");
    eventually("the change is given up", async || {
        let (_, text) = fleet.operate(first, &["timeline", "--engine", "sala-a/1"]);
        text.contains("order-reopened")
    })
    .await;
    assert_eq!(fleet.engines[0].counts().changes, 0);
    eventually("the engine serves meanwhile", async || {
        let before = fleet.engines[0].counts().attempts;
        let answer = caller
            .complete(fleet.daemons[first].callers, "on", 5, true)
            .await;
        assert!(streamed(&answer.expect("an answer").body).1);
        fleet.engines[0].counts().attempts > before
    })
    .await;
    fleet.daemons[silent].signal("CONT");
    eventually("the change is carried out after all", async || {
        fleet.engines[0].holds().role == Role::Decode
    })
    .await;
    assert_eq!(fleet.engines[0].counts().interrupted, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_that_race_for_an_engine_cut_nothing() {
    let fleet = Fleet::start(mixed(2), 3).await;
    let caller = Caller::new();
    let mut streams = Vec::new();
    for daemon in &fleet.daemons {
        streams.extend(start_streams(&caller, daemon.callers, 3));
    }
    std::thread::scope(|scope| {
        for nth in 0..6 {
            let fleet = &fleet;
            scope.spawn(move || {
                let role = ["decode", "prefill", "mixed"][nth % 3];
                let (code, text) = fleet.operate(nth % 3, &["role", "sala-a/1", role]);
                assert_eq!(code, 0, "{text}");
            });
        }
    });
    assert_eq!(count_whole(streams).await, 9);
    // the last wish is the one that holds in the end
    let (code, _) = fleet.operate(0, &["role", "sala-a/1", "prefill"]);
    assert_eq!(code, 0);
    eventually("the last wish holds", async || {
        fleet.engines[0].holds().role == Role::Prefill
    })
    .await;
    let counts = fleet.engines[0].counts();
    assert_eq!((counts.interrupted, counts.conflicts), (0, 0), "{counts:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_wish_that_comes_during_a_takeover_is_not_lost() {
    let slow = |role| {
        let mut setup = setup(role, false);
        setup.speed.change_ms = 3_000;
        setup
    };
    let fleet = Fleet::start(vec![slow(Role::Mixed), slow(Role::Mixed)], 3).await;
    let first = steward(&fleet, 0).await;
    let (code, _) = fleet.operate(first, &["role", "sala-a/1", "decode"]);
    assert_eq!(code, 0);
    eventually("the order has struck", async || {
        fleet.engines[0].counts().changes == 1
    })
    .await;
    fleet.daemons[first].signal("STOP");
    let other = (first + 1) % 3;
    let (code, _) = fleet.operate(other, &["role", "sala-a/1", "prefill"]);
    assert_eq!(code, 0);
    eventually("another daemon is steward", async || {
        steward(&fleet, other).await != first
    })
    .await;
    eventually("the first order's outcome is known", async || {
        let (_, text) = fleet.operate(other, &["timeline", "--engine", "sala-a/1"]);
        text.contains("order-done")
    })
    .await;
    fleet.daemons[first].signal("CONT");
    eventually("the later wish holds", async || {
        fleet.engines[0].holds().role == Role::Prefill
    })
    .await;
    assert_eq!(fleet.engines[0].counts().conflicts, 0);
}
