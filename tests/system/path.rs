//! The whole path: a caller's request, a settings change, and an operator's command.

use hyper::StatusCode;
use protocol::order::Role;
use standin::engine::expected_text;

use crate::fleet::{ALARM_KEY, Caller, Fleet, KEY, eventually, setup, streamed};

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_served_whole_through_each_daemon() {
    let fleet = Fleet::start(vec![setup(Role::Mixed, false)], 3).await;
    let caller = Caller::new();
    for daemon in &fleet.daemons {
        let answer = caller
            .complete(daemon.callers, "is it dense enough", 40, true)
            .await
            .expect("an answer");
        assert_eq!(answer.status, StatusCode::OK);
        let (text, whole) = streamed(&answer.body);
        assert!(whole);
        assert_eq!(text, expected_text("is it dense enough", 0, 40));
        let answer = caller
            .complete(daemon.callers, "again", 7, false)
            .await
            .expect("an answer");
        let json: serde_json::Value = serde_json::from_str(&answer.body).expect("JSON");
        assert_eq!(json["choices"][0]["text"], expected_text("again", 0, 7));
        assert_eq!(json["usage"]["completion_tokens"], 7);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn prefill_and_decode_engines_serve_a_request_together() {
    let engines = vec![setup(Role::Prefill, false), setup(Role::Decode, false)];
    let fleet = Fleet::start(engines, 1).await;
    let caller = Caller::new();
    let daemon = fleet.daemons[0].callers;
    // until the first reports have come, the daemon takes both engines for mixed ones
    eventually("both engines have a part", async || {
        let answer = caller.complete(daemon, "split", 9, true).await;
        let (text, whole) = streamed(&answer.expect("an answer").body);
        assert!(whole);
        assert_eq!(text, expected_text("split", 0, 9));
        fleet
            .engines
            .iter()
            .all(|engine| engine.counts().attempts > 0)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_in_all_daemons() {
    let fleet = Fleet::start(vec![setup(Role::Mixed, false)], 3).await;
    let (code, text) = fleet.operate(0, &["set", "--wait", "group/field", "share=3"]);
    assert_eq!(
        (code, text.contains("in force in all 3")),
        (0, true),
        "{text}"
    );
    for daemon in 0..3 {
        let (code, text) = fleet.operate(daemon, &["get", "group/field", "share"]);
        assert_eq!((code, text.trim()), (0, "3"));
    }
    let (code, text) = fleet.operate(1, &["set", "group/field", "share=0"]);
    assert_eq!(code, 1, "{text}");
    assert!(text.contains("a whole number from 1"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_keyed_reading_runs_once_and_its_answer_is_given_again() {
    let fleet = Fleet::start(vec![setup(Role::Mixed, false)], 2).await;
    let caller = Caller::new();
    let bearer = format!("Bearer {KEY}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", "probe-7/12"),
    ];
    let mut bodies = Vec::new();
    for daemon in [0, 1, 0] {
        let address = fleet.daemons[daemon].callers;
        eventually("the answer is recorded", async || {
            let answer = caller
                .ask(address, "/services/readings/load", &headers, "9.7 kN")
                .await
                .expect("an answer");
            let known = answer.status == StatusCode::OK;
            assert!(known || answer.run() == Some("unknown"), "{answer:?}");
            if known {
                bodies.push(answer.body);
            }
            known
        })
        .await;
    }
    assert_eq!(fleet.service.runs("9.7 kN"), 1);
    assert!(bodies.iter().all(|body| *body == bodies[0]));
    let other = caller
        .ask(
            fleet.daemons[0].callers,
            "/services/readings/load",
            &headers,
            "9.8 kN",
        )
        .await
        .expect("an answer");
    assert_eq!(other.run(), Some("not-run"));
    assert_eq!(fleet.service.runs("9.8 kN"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_wrong_key_is_refused_as_not_run() {
    let fleet = Fleet::start(vec![setup(Role::Mixed, false)], 1).await;
    let caller = Caller::new();
    let address = fleet.daemons[0].callers;
    for key in ["", "Bearer ", "Bearer nobody", "Basic x"] {
        let answer = caller
            .ask(address, "/v1/models", &[("authorization", key)], "")
            .await
            .expect("an answer");
        assert_eq!(answer.status, StatusCode::UNAUTHORIZED);
        assert_eq!(answer.run(), Some("not-run"));
    }
    let bearer = format!("Bearer {ALARM_KEY}");
    let answer = caller
        .ask(address, "/v1/nothing", &[("authorization", &bearer)], "")
        .await
        .expect("an answer");
    assert_eq!(answer.status, StatusCode::NOT_FOUND);
}
