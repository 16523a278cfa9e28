//! End to end without failures: callers' requests, settings changes and operators' commands.

use hyper::StatusCode;
use protocol::order::Role;
use standin::engine::expected_text;

use crate::fleet::{ALARM_KEY, Caller, FIELD_KEY, Fleet, engine_setup, eventually, parse_stream};

#[tokio::test(flavor = "multi_thread")]
async fn each_daemon_serves_complete_responses() {
    let fleet = Fleet::start(vec![engine_setup(Role::Mixed, false)], 3).await;
    let caller = Caller::new();
    for daemon in &fleet.daemons {
        let response = caller
            .complete(daemon.caller_address, "is it dense enough", 40, true)
            .await
            .expect("a response");
        assert_eq!(response.status, StatusCode::OK);
        let (text, complete) = parse_stream(&response.body);
        assert!(complete);
        assert_eq!(text, expected_text("is it dense enough", 0, 40));
        let response = caller
            .complete(daemon.caller_address, "again", 7, false)
            .await
            .expect("a response");
        let json: serde_json::Value = serde_json::from_str(&response.body).expect("JSON");
        assert_eq!(json["choices"][0]["text"], expected_text("again", 0, 7));
        assert_eq!(json["usage"]["completion_tokens"], 7);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn prefill_and_decode_engines_serve_a_request_together() {
    let engines = vec![
        engine_setup(Role::Prefill, false),
        engine_setup(Role::Decode, false),
    ];
    let fleet = Fleet::start(engines, 1).await;
    let caller = Caller::new();
    let address = fleet.daemons[0].caller_address;
    // until the first reports arrive, the daemon treats both engines as mixed
    eventually("both engines take part", async || {
        let response = caller.complete(address, "split", 9, true).await;
        let (text, complete) = parse_stream(&response.expect("a response").body);
        assert!(complete);
        assert_eq!(text, expected_text("split", 0, 9));
        fleet
            .engines
            .iter()
            .all(|engine| engine.counts().attempts > 0)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_settings_change_takes_effect_in_all_daemons() {
    let fleet = Fleet::start(vec![engine_setup(Role::Mixed, false)], 3).await;
    let (code, text) = fleet.run_client(0, &["set", "--wait", "group/field", "share=3"]);
    assert_eq!(
        (code, text.contains("in force in all 3")),
        (0, true),
        "{text}"
    );
    for daemon in 0..3 {
        let (code, text) = fleet.run_client(daemon, &["get", "group/field", "share"]);
        assert_eq!((code, text.trim()), (0, "3"));
    }
    let (code, text) = fleet.run_client(1, &["set", "group/field", "share=0"]);
    assert_eq!(code, 1, "{text}");
    assert!(text.contains("a whole number from 1"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_with_a_key_runs_once_and_its_response_is_replayed() {
    let fleet = Fleet::start(vec![engine_setup(Role::Mixed, false)], 2).await;
    let caller = Caller::new();
    let bearer = format!("Bearer {FIELD_KEY}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", "probe-7/12"),
    ];
    let mut bodies = Vec::new();
    for daemon in [0, 1, 0] {
        let address = fleet.daemons[daemon].caller_address;
        eventually("the response is recorded", async || {
            let response = caller
                .request(address, "/services/readings/load", &headers, "9.7 kN")
                .await
                .expect("a response");
            let succeeded = response.status == StatusCode::OK;
            assert!(
                succeeded || response.run_header() == Some("unknown"),
                "{response:?}"
            );
            if succeeded {
                bodies.push(response.body);
            }
            succeeded
        })
        .await;
    }
    assert_eq!(fleet.service.runs("9.7 kN"), 1);
    assert!(bodies.iter().all(|body| *body == bodies[0]));
    let other = caller
        .request(
            fleet.daemons[0].caller_address,
            "/services/readings/load",
            &headers,
            "9.8 kN",
        )
        .await
        .expect("a response");
    assert_eq!(other.run_header(), Some("not-run"));
    assert_eq!(fleet.service.runs("9.8 kN"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_wrong_key_is_refused_as_not_run() {
    let fleet = Fleet::start(vec![engine_setup(Role::Mixed, false)], 1).await;
    let caller = Caller::new();
    let address = fleet.daemons[0].caller_address;
    for key in ["", "Bearer ", "Bearer nobody", "Basic x"] {
        let response = caller
            .request(address, "/v1/models", &[("authorization", key)], "")
            .await
            .expect("a response");
        assert_eq!(response.status, StatusCode::UNAUTHORIZED);
        assert_eq!(response.run_header(), Some("not-run"));
    }
    let bearer = format!("Bearer {ALARM_KEY}");
    let response = caller
        .request(address, "/v1/nothing", &[("authorization", &bearer)], "")
        .await
        .expect("a response");
    assert_eq!(response.status, StatusCode::NOT_FOUND);
}
