//! Policy decisions made by running daemons: role changes, refusals for missed deadlines, and fair shares.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicUsize, Ordering},
};

use protocol::order::Role;
use standin::{batch::Speed, engine::Setup};

use crate::fleet::{
    ALARM_KEY, Caller, FIELD_KEY, Fleet, completion_body, engine_setup, eventually, parse_stream,
};

#[tokio::test(flavor = "multi_thread")]
async fn adaptive_roles_move_an_engine_to_the_overloaded_phase() {
    let engines = vec![
        engine_setup(Role::Prefill, false),
        engine_setup(Role::Decode, false),
        engine_setup(Role::Decode, false),
    ];
    let fleet = Fleet::start(engines, 2).await;
    let (code, text) = fleet.run_client(0, &["set", "--wait", "fleet/roles", "roles=adaptive"]);
    assert_eq!(code, 0, "{text}");
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..6)
        .map(|nth| {
            let address = fleet.daemons[nth % 2].caller_address;
            let stop = Arc::clone(&stop);
            tokio::spawn(async move {
                let caller = Caller::new();
                // half a second of prefill on the fast stand-in engine, and almost no decode
                let prompt = format!("{nth} {}", "dossier ".repeat(120_000));
                while !stop.load(Ordering::Relaxed) {
                    let response = caller.complete(address, &prompt, 2, true).await;
                    let response = response.expect("a response");
                    let refused = response.run_header() == Some("not-run");
                    assert!(
                        refused || parse_stream(&response.body).1,
                        "{:?}",
                        response.status
                    );
                }
            })
        })
        .collect();
    eventually("a decode engine becomes a prefill engine", async || {
        let prefill_engines = fleet
            .engines
            .iter()
            .filter(|e| e.holds().role == Role::Prefill);
        prefill_engines.count() == 2
    })
    .await;
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.expect("an answer was cut off");
    }
    assert!(
        fleet
            .engines
            .iter()
            .all(|engine| engine.counts().interrupted == 0)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_cannot_meet_its_deadline_is_refused_as_not_run() {
    let fleet = Fleet::start(vec![engine_setup(Role::Mixed, false)], 1).await;
    let bearer = format!("Bearer {FIELD_KEY}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("x-wrenramp-deadline-ms", "20"),
    ];
    let body = completion_body("long", 100_000, true);
    let response = Caller::new()
        .request(
            fleet.daemons[0].caller_address,
            "/v1/completions",
            &headers,
            &body,
        )
        .await
        .expect("a refusal");
    assert_eq!(
        (response.status.as_u16(), response.run_header()),
        (429, Some("not-run"))
    );
    assert!(response.headers.contains_key("retry-after"));
    assert_eq!(fleet.engines[0].counts().attempts, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn saturating_groups_are_served_in_proportion_to_their_shares() {
    let slow = Setup {
        speed: Speed {
            step_us: 10_000,
            ..Speed::quick()
        },
        ..Setup::default()
    };
    let fleet = Fleet::start(vec![slow], 1).await;
    // both below the priority that bypasses the queue
    for change in [
        ["set", "--wait", "group/alarm", "priority=4", "share=1"],
        ["set", "--wait", "group/field", "priority=4", "share=3"],
    ] {
        let (code, text) = fleet.run_client(0, &change);
        assert_eq!(code, 0, "{text}");
    }
    let completed = Arc::new([AtomicUsize::new(0), AtomicUsize::new(0)]);
    let callers: Vec<_> = (0..300)
        .map(|nth| {
            let completed = Arc::clone(&completed);
            let address = fleet.daemons[0].caller_address;
            tokio::spawn(async move {
                let caller = Caller::new();
                let key = [FIELD_KEY, ALARM_KEY][nth % 2];
                let bearer = format!("Bearer {key}");
                let headers = [("authorization", bearer.as_str())];
                let body = completion_body("share", 20, true);
                loop {
                    let response = caller
                        .request(address, "/v1/completions", &headers, &body)
                        .await;
                    if response.is_none_or(|response| !response.status.is_success()) {
                        return;
                    }
                    completed[nth % 2].fetch_add(1, Ordering::Relaxed);
                }
            })
        })
        .collect();
    // the first requests are served before a queue has formed
    eventually("the queue has formed", async || {
        completed[0].load(Ordering::Relaxed) > 100
    })
    .await;
    let before = [0, 1].map(|group: usize| completed[group].load(Ordering::Relaxed));
    eventually("600 more requests are served", async || {
        completed[0].load(Ordering::Relaxed) + completed[1].load(Ordering::Relaxed)
            > before[0] + before[1] + 600
    })
    .await;
    let served =
        [0, 1].map(|group: usize| completed[group].load(Ordering::Relaxed) - before[group]);
    callers.iter().for_each(tokio::task::JoinHandle::abort);
    // three to one, within the tolerance for requests in flight at the start and end of the measurement
    assert!(
        served[0] > 2 * served[1] && served[0] < 5 * served[1],
        "{served:?}"
    );
}
