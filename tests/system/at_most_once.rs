//! Requests that may not be retried run at most once under any failure, and the reported outcome is correct.

use std::time::Duration;

use hyper::StatusCode;
use standin::{platform::Fault as TableFault, service::Fault};

use crate::fleet::{Caller, FIELD_KEY, Fleet, Response, eventually};

async fn send_reading(
    caller: &Caller,
    fleet: &Fleet,
    daemon: usize,
    key: Option<&str>,
    body: &str,
) -> Option<Response> {
    let bearer = format!("Bearer {FIELD_KEY}");
    let mut headers = vec![("authorization", bearer.as_str())];
    headers.extend(key.map(|key| ("idempotency-key", key)));
    let address = fleet.daemons[daemon].caller_address;
    caller
        .request(address, "/services/readings/load", &headers, body)
        .await
}

/// Checks that a request ran at most once and that the reported outcome is correct: `not-run` only if it did not run,
/// success only if it did.
fn check_outcome(fleet: &Fleet, response: Option<&Response>, body: &str) {
    let runs = fleet.service.runs(body);
    assert!(runs <= 1, "{body} ran {runs} times");
    if response.and_then(Response::run_header) == Some("not-run") {
        assert_eq!(runs, 0, "{body}: {response:?}");
    }
    if response.is_some_and(|response| response.status == StatusCode::OK) {
        assert_eq!(runs, 1, "{body}: {response:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn service_faults_cause_at_most_one_run() {
    let fleet = Fleet::start(Vec::new(), 2).await;
    let caller = Caller::new();
    let faults = [
        Fault::None,
        Fault::Refuse,
        Fault::ResetBefore,
        Fault::ResetAfter,
        Fault::Slow(Duration::from_millis(300)),
    ];
    for (nth, fault) in faults.into_iter().enumerate() {
        for key in [None, Some(format!("key {nth}"))] {
            let body = format!("{fault:?} {key:?}");
            fleet.service.set_fault(fault);
            // after a lost response the daemon sends the endpoint no requests for a short time
            eventually("the endpoint is open", async || {
                let (_, text) = fleet.run_client(0, &["status"]);
                text.contains("readings mixed open")
            })
            .await;
            let response = send_reading(&caller, &fleet, 0, key.as_deref(), &body).await;
            check_outcome(&fleet, response.as_ref(), &body);
            fleet.service.set_fault(Fault::None);
            if key.is_some() {
                for daemon in [0, 1] {
                    let again = send_reading(&caller, &fleet, daemon, key.as_deref(), &body).await;
                    check_outcome(&fleet, again.as_ref(), &body);
                }
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn table_faults_cause_at_most_one_run_per_key() {
    let fleet = Fleet::start(Vec::new(), 2).await;
    let caller = Caller::new();
    let faults = [
        TableFault::Unavailable,
        TableFault::LostResponses,
        TableFault::LostWrites,
        TableFault::Slow(Duration::from_millis(900)),
        TableFault::MalformedResponse,
    ];
    for (nth, fault) in faults.into_iter().enumerate() {
        let body = format!("{fault:?}");
        let key = format!("table key {nth}");
        fleet.platform.set_fault(fault);
        for daemon in [0, 1, 0] {
            let response = send_reading(&caller, &fleet, daemon, Some(&key), &body).await;
            check_outcome(&fleet, response.as_ref(), &body);
            let refused = response.as_ref().and_then(Response::run_header);
            assert_ne!(refused, Some("not-run"), "an earlier attempt may have run");
        }
        fleet.platform.set_fault(TableFault::None);
        eventually(
            "the request succeeds, or its outcome is reported as unknown",
            async || {
                let response = send_reading(&caller, &fleet, 0, Some(&key), &body).await;
                check_outcome(&fleet, response.as_ref(), &body);
                let response = response.expect("a response");
                response.status == StatusCode::OK || response.body.contains("outcome_unknown")
            },
        )
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_without_a_key_runs_during_a_table_outage() {
    let fleet = Fleet::start(Vec::new(), 1).await;
    fleet.platform.set_fault(TableFault::Unavailable);
    let response = send_reading(&Caller::new(), &fleet, 0, None, "no key").await;
    assert_eq!(response.expect("a response").status, StatusCode::OK);
    assert_eq!(fleet.service.runs("no key"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_requests_with_one_key_at_all_daemons_run_once() {
    let fleet = Fleet::start(Vec::new(), 3).await;
    fleet
        .service
        .set_fault(Fault::Slow(Duration::from_millis(50)));
    let caller = Caller::new();
    let requests =
        (0..30).map(|nth| send_reading(&caller, &fleet, nth % 3, Some("burst"), "alarm"));
    let responses = futures::future::join_all(requests).await;
    assert_eq!(fleet.service.runs("alarm"), 1);
    let outcomes = responses.iter().flatten().filter_map(Response::run_header);
    assert!(outcomes.into_iter().all(|run| run == "unknown"));
    assert!(
        responses
            .iter()
            .flatten()
            .any(|response| response.status == StatusCode::OK)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_of_a_killed_daemon_is_never_run_again() {
    let mut fleet = Fleet::start(Vec::new(), 2).await;
    fleet
        .service
        .set_fault(Fault::Slow(Duration::from_millis(400)));
    let caller = Caller::new();
    let bearer = format!("Bearer {FIELD_KEY}");
    let address = fleet.daemons[0].caller_address;
    let interrupted = tokio::spawn({
        let caller = caller.clone();
        async move {
            let headers = [("authorization", bearer.as_str()), ("idempotency-key", "k")];
            caller
                .request(address, "/services/readings/load", &headers, "killed")
                .await
        }
    });
    eventually("the claim is written", async || {
        let read = cloud::table::Read {
            keys: Vec::new(),
            prefixes: vec!["claim/".to_owned()],
        };
        !fleet.platform.read(&read).is_empty()
    })
    .await;
    fleet.daemons[0].child.kill().expect("killed");
    assert!(interrupted.await.expect("the caller task").is_none());
    fleet.service.set_fault(Fault::None);
    eventually(
        "the daemon with the claim is known to be gone",
        async || {
            let response = send_reading(&caller, &fleet, 1, Some("k"), "killed").await;
            let response = response.expect("a response");
            assert_eq!(response.run_header(), Some("unknown"));
            response.body.contains("outcome_unknown")
        },
    )
    .await;
    assert!(fleet.service.runs("killed") <= 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_of_a_paused_daemon_is_not_run_by_another() {
    let fleet = Fleet::start(Vec::new(), 2).await;
    fleet
        .service
        .set_fault(Fault::Slow(Duration::from_millis(300)));
    let caller = Caller::new();
    let first = send_reading(&caller, &fleet, 0, Some("p"), "paused");
    let others = async {
        eventually("the claim is written", async || {
            let read = cloud::table::Read {
                keys: Vec::new(),
                prefixes: vec!["claim/".to_owned()],
            };
            !fleet.platform.read(&read).is_empty()
        })
        .await;
        fleet.daemons[0].signal("STOP");
        for _ in 0..5 {
            let response = send_reading(&caller, &fleet, 1, Some("p"), "paused").await;
            assert_eq!(response.expect("a response").run_header(), Some("unknown"));
        }
        fleet.daemons[0].signal("CONT");
    };
    let (response, ()) = tokio::join!(first, others);
    check_outcome(&fleet, response.as_ref(), "paused");
}
