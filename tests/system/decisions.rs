//! The decisions as real daemons make them: a change of role, a refusal for want of time, shares.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicUsize, Ordering},
};

use protocol::order::Role;
use standin::{batch::Speed, engine::Setup};

use crate::fleet::{ALARM_KEY, Caller, Fleet, KEY, completion, eventually, setup, streamed};

#[tokio::test(flavor = "multi_thread")]
async fn a_steward_moves_an_engine_to_the_phase_that_lacks_it() {
    let engines = vec![
        setup(Role::Prefill, false),
        setup(Role::Decode, false),
        setup(Role::Decode, false),
    ];
    let fleet = Fleet::start(engines, 2).await;
    let (code, text) = fleet.operate(0, &["set", "--wait", "fleet/roles", "roles=adaptive"]);
    assert_eq!(code, 0, "{text}");
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..6)
        .map(|nth| {
            let address = fleet.daemons[nth % 2].callers;
            let stop = Arc::clone(&stop);
            tokio::spawn(async move {
                let caller = Caller::new();
                // half a second of reading for the quick engine, and hardly any writing
                let prompt = format!("{nth} {}", "dossier ".repeat(120_000));
                while !stop.load(Ordering::Relaxed) {
                    let answer = caller.complete(address, &prompt, 2, true).await;
                    let answer = answer.expect("an answer");
                    let refused = answer.run() == Some("not-run");
                    assert!(refused || streamed(&answer.body).1, "{:?}", answer.status);
                }
            })
        })
        .collect();
    eventually("a writer becomes a reader", async || {
        let readers = fleet
            .engines
            .iter()
            .filter(|e| e.holds().role == Role::Prefill);
        readers.count() == 2
    })
    .await;
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.expect("no answer was cut");
    }
    assert!(
        fleet
            .engines
            .iter()
            .all(|engine| engine.counts().interrupted == 0)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn what_cannot_come_in_time_is_refused_as_not_run() {
    let fleet = Fleet::start(vec![setup(Role::Mixed, false)], 1).await;
    let bearer = format!("Bearer {KEY}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("x-wrenramp-deadline-ms", "20"),
    ];
    let body = completion("long", 100_000, true);
    let answer = Caller::new()
        .ask(fleet.daemons[0].callers, "/v1/completions", &headers, &body)
        .await
        .expect("a refusal");
    assert_eq!(
        (answer.status.as_u16(), answer.run()),
        (429, Some("not-run"))
    );
    assert!(answer.headers.contains_key("retry-after"));
    assert_eq!(fleet.engines[0].counts().attempts, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn groups_that_flood_get_their_shares() {
    let slow = Setup {
        speed: Speed {
            step_us: 10_000,
            ..Speed::quick()
        },
        ..Setup::default()
    };
    let fleet = Fleet::start(vec![slow], 1).await;
    // both below the priority that passes the queue
    for change in [
        ["set", "--wait", "group/alarm", "priority=4", "share=1"],
        ["set", "--wait", "group/field", "priority=4", "share=3"],
    ] {
        let (code, text) = fleet.operate(0, &change);
        assert_eq!(code, 0, "{text}");
    }
    let done = Arc::new([AtomicUsize::new(0), AtomicUsize::new(0)]);
    let callers: Vec<_> = (0..300)
        .map(|nth| {
            let done = Arc::clone(&done);
            let address = fleet.daemons[0].callers;
            tokio::spawn(async move {
                let caller = Caller::new();
                let key = [KEY, ALARM_KEY][nth % 2];
                let bearer = format!("Bearer {key}");
                let headers = [("authorization", bearer.as_str())];
                let body = completion("share", 20, true);
                loop {
                    let answer = caller
                        .ask(address, "/v1/completions", &headers, &body)
                        .await;
                    if answer.is_none_or(|answer| !answer.status.is_success()) {
                        return;
                    }
                    done[nth % 2].fetch_add(1, Ordering::Relaxed);
                }
            })
        })
        .collect();
    // the first ones were served before there was a queue
    eventually("the queue has formed", async || {
        done[0].load(Ordering::Relaxed) > 100
    })
    .await;
    let before = [0, 1].map(|at: usize| done[at].load(Ordering::Relaxed));
    eventually("enough were served", async || {
        done[0].load(Ordering::Relaxed) + done[1].load(Ordering::Relaxed)
            > before[0] + before[1] + 600
    })
    .await;
    let served = [0, 1].map(|at: usize| done[at].load(Ordering::Relaxed) - before[at]);
    callers.iter().for_each(tokio::task::JoinHandle::abort);
    // three to one, give or take what was in flight at either end
    assert!(
        served[0] > 2 * served[1] && served[0] < 5 * served[1],
        "{served:?}"
    );
}
