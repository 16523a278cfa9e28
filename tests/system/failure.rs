//! Failures and operations under load: killed and paused processes, broken streams, graceful shutdowns, role changes.

use std::time::Duration;

use cloud::vms::{Vm, VmKind, VmState};
use hyper::StatusCode;
use protocol::order::Role;
use standin::engine::{Engine, Fault, Setup, expected_text};
use tokio::{io::AsyncWriteExt, net::TcpStream};

use crate::fleet::{
    Caller, FIELD_KEY, Fleet, completion_body, engine_setup, eventually, parse_stream,
    wait_until_ready,
};

/// Long enough for a stream to be in flight during an action: a step of the fast stand-in engine takes 1 ms.
const LONG_ANSWER_TOKENS: u64 = 1_500;

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
                let response = caller
                    .complete(address, &prompt, LONG_ANSWER_TOKENS, true)
                    .await?;
                let (text, complete) = parse_stream(&response.body);
                // a partial answer must not end as a complete one
                assert_eq!(
                    complete,
                    text == expected_text(&prompt, 0, LONG_ANSWER_TOKENS)
                );
                complete.then_some(text)
            })
        })
        .collect()
}

async fn count_complete(streams: Vec<tokio::task::JoinHandle<Option<String>>>) -> usize {
    let mut complete = 0;
    for stream in streams {
        complete += usize::from(
            stream
                .await
                .expect("a partial answer ended as complete, or the reverse")
                .is_some(),
        );
    }
    complete
}

fn mixed_engines(count: usize) -> Vec<Setup> {
    (0..count)
        .map(|_| engine_setup(Role::Mixed, false))
        .collect()
}

fn total_attempts(fleet: &Fleet) -> u64 {
    fleet.engines.iter().map(|e| e.counts().attempts).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_shutdown_interrupts_no_stream() {
    let mut fleet = Fleet::start(mixed_engines(2), 2).await;
    let caller = Caller::new();
    let streams = start_streams(&caller, fleet.daemons[0].caller_address, 12);
    eventually("all streams are in flight", async || {
        total_attempts(&fleet) == 12
    })
    .await;
    fleet.daemons[0].signal("TERM");
    assert_eq!(count_complete(streams).await, 12);
    let status = fleet.daemons[0].child.wait().expect("the daemon exits");
    assert!(status.success(), "{status}");
    let response = caller
        .complete(fleet.daemons[1].caller_address, "on", 5, true)
        .await;
    assert!(parse_stream(&response.expect("a response").body).1);
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_killed_daemon_do_not_end_as_complete() {
    let mut fleet = Fleet::start(mixed_engines(2), 2).await;
    let caller = Caller::new();
    let lost = start_streams(&caller, fleet.daemons[0].caller_address, 6);
    let kept = start_streams(&caller, fleet.daemons[1].caller_address, 6);
    eventually("all streams are in flight", async || {
        total_attempts(&fleet) == 12
    })
    .await;
    fleet.daemons[0].child.kill().expect("killed");
    assert_eq!(count_complete(lost).await, 0);
    assert_eq!(count_complete(kept).await, 6);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_resumes_on_another_engine_after_an_engine_crash() {
    let mut fleet = Fleet::start(mixed_engines(3), 1).await;
    let caller = Caller::new();
    let streams = start_streams(&caller, fleet.daemons[0].caller_address, 9);
    eventually("all streams are in flight", async || {
        total_attempts(&fleet) == 9
    })
    .await;
    drop(fleet.engines.remove(0));
    assert_eq!(count_complete(streams).await, 9);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_broken_frame_never_reaches_a_caller() {
    // the fault, and whether the response must be complete; otherwise it may break off, but not end as complete
    let cases = [
        (Fault::ForeignFrames, true),
        (Fault::DuplicateFrames, true),
        (Fault::ResetAt(5), true),
        (Fault::CloseAt(5), true),
        (Fault::SkipAt(5), true),
        (Fault::MalformedFrames, true),
        (Fault::Refuse, true),
    ];
    for (fault, must_complete) in cases {
        let fleet = Fleet::start(mixed_engines(2), 1).await;
        fleet.engines[0].set_fault(fault);
        let caller = Caller::new();
        for nth in 0..6 {
            let prompt = format!("case {nth}");
            let response = caller
                .complete(fleet.daemons[0].caller_address, &prompt, 12, true)
                .await
                .expect("a response");
            let (text, complete) = parse_stream(&response.body);
            assert_eq!(complete, must_complete, "{fault:?}: {response:?}");
            assert_eq!(text, expected_text(&prompt, 0, 12), "{fault:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unfinished_answer_never_ends_as_complete() {
    let faults = [Fault::ResetAt(5), Fault::CloseAt(5), Fault::SkipAt(5)];
    futures::future::join_all(faults.map(check_never_complete)).await;
}

async fn check_never_complete(fault: Fault) {
    let fleet = Fleet::start(mixed_engines(1), 1).await;
    fleet.engines[0].set_fault(fault);
    let bearer = format!("Bearer {FIELD_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let caller = Caller::new();
    let address = fleet.daemons[0].caller_address;
    let path = "/v1/completions";
    let body = completion_body("never", 12, true);
    let streamed = caller.request(address, path, &headers, &body).await;
    assert!(streamed.is_none(), "{fault:?}: {streamed:?}");
    let body = completion_body("never", 12, false);
    let unstreamed = caller.request(address, path, &headers, &body).await;
    let unstreamed = unstreamed.expect("a refusal");
    assert_ne!(unstreamed.status, StatusCode::OK, "{fault:?}");
    assert!(
        unstreamed.headers.contains_key("retry-after"),
        "{unstreamed:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_disconnect_cancels_the_attempt_at_the_engine() {
    let fleet = Fleet::start(mixed_engines(1), 1).await;
    let caller = Caller::new();
    let bearer = format!("Bearer {FIELD_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let body = completion_body("gone", 100_000, true);
    let response = caller
        .send(
            fleet.daemons[0].caller_address,
            "/v1/completions",
            &headers,
            &body,
        )
        .await
        .expect("response headers");
    drop(response);
    eventually("the engine stops generating", async || {
        let before = fleet.engines[0].counts().tokens;
        tokio::time::sleep(Duration::from_millis(50)).await;
        fleet.engines[0].counts().tokens == before
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_request_reaches_an_engine_whose_caller_left_while_the_daemon_stood_still() {
    let fleet = Fleet::start(mixed_engines(1), 1).await;
    wait_until_ready(&fleet.daemons[0]).await;
    let body = completion_body("gone", 20, true);
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {FIELD_KEY}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    fleet.daemons[0].signal("STOP");
    for _ in 0..10 {
        let connecting = TcpStream::connect(fleet.daemons[0].caller_address);
        let mut stream = connecting.await.expect("connected");
        stream.write_all(request.as_bytes()).await.expect("sent");
    }
    tokio::time::sleep(Duration::from_millis(700)).await;
    fleet.daemons[0].signal("CONT");
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(fleet.engines[0].counts().attempts, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_role_change_interrupts_no_stream() {
    for fences in [false, true] {
        let engines = vec![
            engine_setup(Role::Mixed, fences),
            engine_setup(Role::Mixed, fences),
        ];
        let fleet = Fleet::start(engines, 3).await;
        let caller = Caller::new();
        let mut streams = Vec::new();
        for daemon in &fleet.daemons {
            streams.extend(start_streams(&caller, daemon.caller_address, 4));
        }
        eventually("all streams are in flight", async || {
            total_attempts(&fleet) == 12
        })
        .await;
        let (code, text) = fleet.run_client(1, &["role", "sala-a/1", "decode"]);
        assert_eq!(code, 0, "{text}");
        assert_eq!(count_complete(streams).await, 12);
        eventually("the engine has its role", async || {
            fleet.engines[0].holds().role == Role::Decode
        })
        .await;
        assert_eq!(fleet.engines[0].counts().interrupted, 0);
        assert_eq!(fleet.engines[0].counts().changes, 1);
        let response = caller
            .complete(fleet.daemons[0].caller_address, "on", 5, true)
            .await;
        assert!(parse_stream(&response.expect("a response").body).1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_endpoint_gets_no_new_work_and_finishes_its_own() {
    let fleet = Fleet::start(mixed_engines(2), 2).await;
    let caller = Caller::new();
    let streams = start_streams(&caller, fleet.daemons[0].caller_address, 8);
    eventually("all streams are in flight", async || {
        total_attempts(&fleet) == 8
    })
    .await;
    let (code, text) = fleet.run_client(1, &["drain", "sala-a/1"]);
    assert_eq!(code, 0, "{text}");
    let before = fleet.engines[0].counts().attempts;
    for daemon in &fleet.daemons {
        for _ in 0..10 {
            let response = caller.complete(daemon.caller_address, "new", 3, true).await;
            assert!(parse_stream(&response.expect("a response").body).1);
        }
    }
    assert_eq!(fleet.engines[0].counts().attempts, before);
    assert_eq!(count_complete(streams).await, 8);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_endpoint_gets_no_new_work() {
    let fleet = Fleet::start(mixed_engines(2), 2).await;
    let caller = Caller::new();
    let vm = |state| Vm {
        address: fleet.engines[0].address(),
        data_centre: "sala-a".to_owned(),
        kind: VmKind::Endpoint,
        state,
    };
    fleet.platform.add_vm(vm(VmState::Live));
    fleet.platform.mark_leaving(fleet.engines[0].address());
    for daemon in 0..2 {
        eventually("the daemon lists the endpoint as leaving", async || {
            let (_, text) = fleet.run_client(daemon, &["status"]);
            text.contains("leaving")
        })
        .await;
    }
    let before = fleet.engines[0].counts().attempts;
    for daemon in &fleet.daemons {
        for _ in 0..10 {
            let response = caller.complete(daemon.caller_address, "new", 3, true).await;
            assert!(parse_stream(&response.expect("a response").body).1);
        }
    }
    assert_eq!(fleet.engines[0].counts().attempts, before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_steward_has_no_effect_after_it_resumes() {
    for fences in [false, true] {
        let engines = vec![
            engine_setup(Role::Mixed, fences),
            engine_setup(Role::Mixed, fences),
        ];
        let fleet = Fleet::start(engines, 3).await;
        let first = find_steward(&fleet, 0).await;
        // the steward is paused when its order is in flight or about to be sent
        let (code, _) = fleet.run_client(first, &["role", "sala-a/1", "decode"]);
        assert_eq!(code, 0);
        eventually("the order has started", async || {
            let (_, text) = fleet.run_client(first, &["timeline"]);
            text.contains("order-")
        })
        .await;
        fleet.daemons[first].signal("STOP");
        let other = (first + 1) % 3;
        eventually("another daemon is the steward", async || {
            find_steward(&fleet, other).await != first
        })
        .await;
        eventually("the endpoint is open again", async || {
            let (_, text) = fleet.run_client(other, &["status"]);
            text.contains("sala-a/1 soil") && !text.contains("closed")
        })
        .await;
        fleet.daemons[first].signal("CONT");
        eventually("the order is executed eventually", async || {
            fleet.engines[0].holds().role == Role::Decode
        })
        .await;
        let counts = fleet.engines[0].counts();
        assert_eq!(
            (counts.conflicting_orders, counts.interrupted),
            (0, 0),
            "{counts:?}"
        );
        assert_eq!(counts.changes, 1, "{counts:?}");
    }
}

/// Returns the index of the daemon that is the steward, according to the status of `asked_daemon`.
async fn find_steward(fleet: &Fleet, asked_daemon: usize) -> usize {
    let mut found = None;
    eventually("there is a steward among the daemons", async || {
        let (_, text) = fleet.run_client(asked_daemon, &["--json", "status"]);
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
                .position(|daemon| daemon.peer_address.to_string() == address)
        });
        found.is_some()
    })
    .await;
    found.expect("set when the wait ended")
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_crashes_during_a_role_change_gets_the_role_after_its_restart() {
    let mut fleet = Fleet::start(mixed_engines(2), 2).await;
    let address = fleet.engines[0].address();
    let (code, _) = fleet.run_client(0, &["role", "sala-a/1", "decode"]);
    assert_eq!(code, 0);
    eventually("the engine has begun its role change", async || {
        fleet.engines[0].counts().changes > 0
    })
    .await;
    drop(fleet.engines.remove(0));
    let mut restarted = None;
    eventually("an engine can be started on the same port", async || {
        restarted = Engine::start(address, engine_setup(Role::Mixed, false))
            .await
            .ok();
        restarted.is_some()
    })
    .await;
    let restarted = restarted.expect("set when the wait ended");
    eventually("the restarted engine gets the role", async || {
        restarted.holds().role == Role::Decode
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_role_change_is_aborted_while_a_daemon_is_unresponsive() {
    let fleet = Fleet::start(mixed_engines(2), 3).await;
    let caller = Caller::new();
    let first = find_steward(&fleet, 0).await;
    let unresponsive = (first + 1) % 3;
    fleet.daemons[unresponsive].signal("STOP");
    let (code, text) = fleet.run_client(first, &["role", "sala-a/1", "decode"]);
    assert_eq!(code, 0, "{text}");
    eventually("the change is aborted", async || {
        let (_, text) = fleet.run_client(first, &["timeline", "--engine", "sala-a/1"]);
        text.contains("order-reopened")
    })
    .await;
    assert_eq!(fleet.engines[0].counts().changes, 0);
    eventually("the engine serves after the aborted change", async || {
        let before = fleet.engines[0].counts().attempts;
        let response = caller
            .complete(fleet.daemons[first].caller_address, "on", 5, true)
            .await;
        assert!(parse_stream(&response.expect("a response").body).1);
        fleet.engines[0].counts().attempts > before
    })
    .await;
    fleet.daemons[unresponsive].signal("CONT");
    eventually(
        "the change is executed once all daemons respond",
        async || fleet.engines[0].holds().role == Role::Decode,
    )
    .await;
    assert_eq!(fleet.engines[0].counts().interrupted, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_role_changes_interrupt_no_stream() {
    let fleet = Fleet::start(mixed_engines(2), 3).await;
    let caller = Caller::new();
    let mut streams = Vec::new();
    for daemon in &fleet.daemons {
        streams.extend(start_streams(&caller, daemon.caller_address, 3));
    }
    std::thread::scope(|scope| {
        for nth in 0..6 {
            let fleet = &fleet;
            scope.spawn(move || {
                let role = ["decode", "prefill", "mixed"][nth % 3];
                let (code, text) = fleet.run_client(nth % 3, &["role", "sala-a/1", role]);
                assert_eq!(code, 0, "{text}");
            });
        }
    });
    assert_eq!(count_complete(streams).await, 9);
    // the role requested last is the one that takes effect
    let (code, _) = fleet.run_client(0, &["role", "sala-a/1", "prefill"]);
    assert_eq!(code, 0);
    eventually("the role requested last takes effect", async || {
        fleet.engines[0].holds().role == Role::Prefill
    })
    .await;
    let counts = fleet.engines[0].counts();
    assert_eq!(
        (counts.interrupted, counts.conflicting_orders),
        (0, 0),
        "{counts:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_role_change_requested_during_a_takeover_is_not_lost() {
    let slow = |role| {
        let mut engine_setup = engine_setup(role, false);
        engine_setup.speed.change_ms = 3_000;
        engine_setup
    };
    let fleet = Fleet::start(vec![slow(Role::Mixed), slow(Role::Mixed)], 3).await;
    let first = find_steward(&fleet, 0).await;
    let (code, _) = fleet.run_client(first, &["role", "sala-a/1", "decode"]);
    assert_eq!(code, 0);
    eventually("the first order has reached the engine", async || {
        fleet.engines[0].counts().changes == 1
    })
    .await;
    fleet.daemons[first].signal("STOP");
    let other = (first + 1) % 3;
    let (code, _) = fleet.run_client(other, &["role", "sala-a/1", "prefill"]);
    assert_eq!(code, 0);
    eventually("another daemon is the steward", async || {
        find_steward(&fleet, other).await != first
    })
    .await;
    eventually("the first order's outcome is known", async || {
        let (_, text) = fleet.run_client(other, &["timeline", "--engine", "sala-a/1"]);
        text.contains("order-done")
    })
    .await;
    fleet.daemons[first].signal("CONT");
    eventually("the role requested later takes effect", async || {
        fleet.engines[0].holds().role == Role::Prefill
    })
    .await;
    assert_eq!(fleet.engines[0].counts().conflicting_orders, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_broken_near_its_end_is_not_refused_as_too_long_for_the_rest_of_its_time() {
    const TOKENS: u64 = 120;
    const DELIVERED: u64 = 100;
    let fleet = Fleet::start(mixed_engines(2), 1).await;
    fleet.engines[0].set_fault(Fault::ResetAt(DELIVERED));
    let caller = Caller::new();
    let bearer = format!("Bearer {FIELD_KEY}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("x-wrenramp-deadline-ms", "1180"),
    ];
    let address = fleet.daemons[0].caller_address;
    let streams = (0..8).map(async |nth| {
        let body = completion_body(&format!("late {nth}"), TOKENS, true);
        let path = "/v1/completions";
        let response = caller.request(address, path, &headers, &body).await;
        response.is_some_and(|response| parse_stream(&response.body).1)
    });
    let complete = futures::future::join_all(streams).await;
    assert!(complete.iter().all(|complete| *complete), "{complete:?}");
}
