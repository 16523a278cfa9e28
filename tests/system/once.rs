//! Requests that may not be repeated: at most one run, and a truthful word, whatever fails.

use std::time::Duration;

use hyper::StatusCode;
use standin::{platform::Fault as Store, service::Fault};

use crate::fleet::{Answer, Caller, Fleet, KEY, eventually};

async fn report(
    caller: &Caller,
    fleet: &Fleet,
    daemon: usize,
    key: Option<&str>,
    body: &str,
) -> Option<Answer> {
    let bearer = format!("Bearer {KEY}");
    let mut headers = vec![("authorization", bearer.as_str())];
    headers.extend(key.map(|key| ("idempotency-key", key)));
    let address = fleet.daemons[daemon].callers;
    caller
        .ask(address, "/services/readings/load", &headers, body)
        .await
}

/// The word of an answer must be true: `not-run` only if it did not run.
fn truthful(fleet: &Fleet, answer: Option<&Answer>, body: &str) {
    let runs = fleet.service.runs(body);
    assert!(runs <= 1, "{body} ran {runs} times");
    if answer.and_then(Answer::run) == Some("not-run") {
        assert_eq!(runs, 0, "{body}: {answer:?}");
    }
    if answer.is_some_and(|answer| answer.status == StatusCode::OK) {
        assert_eq!(runs, 1, "{body}: {answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn whatever_the_service_does_it_runs_at_most_once() {
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
            // a daemon that lost an answer leaves the endpoint alone for a moment
            eventually("the endpoint takes requests", async || {
                let (_, text) = fleet.operate(0, &["status"]);
                text.contains("readings mixed open")
            })
            .await;
            let answer = report(&caller, &fleet, 0, key.as_deref(), &body).await;
            truthful(&fleet, answer.as_ref(), &body);
            fleet.service.set_fault(Fault::None);
            if key.is_some() {
                for daemon in [0, 1] {
                    let again = report(&caller, &fleet, daemon, key.as_deref(), &body).await;
                    truthful(&fleet, again.as_ref(), &body);
                }
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn whatever_the_table_does_a_key_runs_at_most_once() {
    let fleet = Fleet::start(Vec::new(), 2).await;
    let caller = Caller::new();
    let faults = [
        Store::Unavailable,
        Store::LostResponses,
        Store::LostWrites,
        Store::Slow(Duration::from_millis(900)),
        Store::MalformedResponse,
    ];
    for (nth, fault) in faults.into_iter().enumerate() {
        let body = format!("{fault:?}");
        let key = format!("table key {nth}");
        fleet.platform.set_fault(fault);
        for daemon in [0, 1, 0] {
            let answer = report(&caller, &fleet, daemon, Some(&key), &body).await;
            truthful(&fleet, answer.as_ref(), &body);
            let refused = answer.as_ref().and_then(Answer::run);
            assert_ne!(refused, Some("not-run"), "an earlier try may have run");
        }
        fleet.platform.set_fault(Store::None);
        eventually("the key runs, or is known never to", async || {
            let answer = report(&caller, &fleet, 0, Some(&key), &body).await;
            truthful(&fleet, answer.as_ref(), &body);
            let answer = answer.expect("an answer");
            answer.status == StatusCode::OK || answer.body.contains("outcome_unknown")
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_without_a_key_runs_in_an_outage() {
    let fleet = Fleet::start(Vec::new(), 1).await;
    fleet.platform.set_fault(Store::Unavailable);
    let answer = report(&Caller::new(), &fleet, 0, None, "no key").await;
    assert_eq!(answer.expect("an answer").status, StatusCode::OK);
    assert_eq!(fleet.service.runs("no key"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_same_key_at_all_daemons_at_once_runs_once() {
    let fleet = Fleet::start(Vec::new(), 3).await;
    fleet
        .service
        .set_fault(Fault::Slow(Duration::from_millis(50)));
    let caller = Caller::new();
    let tries = (0..30).map(|nth| report(&caller, &fleet, nth % 3, Some("burst"), "alarm"));
    let answers = futures::future::join_all(tries).await;
    assert_eq!(fleet.service.runs("alarm"), 1);
    let told = answers.iter().flatten().filter_map(Answer::run);
    assert!(told.into_iter().all(|run| run == "unknown"));
    assert!(
        answers
            .iter()
            .flatten()
            .any(|answer| answer.status == StatusCode::OK)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_of_a_killed_daemon_is_never_run_again() {
    let mut fleet = Fleet::start(Vec::new(), 2).await;
    fleet
        .service
        .set_fault(Fault::Slow(Duration::from_millis(400)));
    let caller = Caller::new();
    let bearer = format!("Bearer {KEY}");
    let address = fleet.daemons[0].callers;
    let lost = tokio::spawn({
        let caller = caller.clone();
        async move {
            let headers = [("authorization", bearer.as_str()), ("idempotency-key", "k")];
            caller
                .ask(address, "/services/readings/load", &headers, "killed")
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
    assert!(lost.await.expect("no panic").is_none());
    fleet.service.set_fault(Fault::None);
    eventually("the claimant is known to be gone", async || {
        let answer = report(&caller, &fleet, 1, Some("k"), "killed").await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.run(), Some("unknown"));
        answer.body.contains("outcome_unknown")
    })
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
    let first = report(&caller, &fleet, 0, Some("p"), "paused");
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
            let answer = report(&caller, &fleet, 1, Some("p"), "paused").await;
            assert_eq!(answer.expect("an answer").run(), Some("unknown"));
        }
        fleet.daemons[0].signal("CONT");
    };
    let (answer, ()) = tokio::join!(first, others);
    truthful(&fleet, answer.as_ref(), "paused");
}
