//! Settings: accepted changes hold everywhere and never go back, whatever fails.

use standin::{link::Link, platform::Fault};

use crate::fleet::{Caller, Fleet, eventually, ready, setup, streamed};
use protocol::order::Role;

fn version(fleet: &Fleet, daemon: usize) -> u64 {
    let (_, text) = fleet.operate(daemon, &["--json", "status"]);
    let status: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
    status["settings_version"].as_u64().unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread")]
async fn of_racing_operators_one_wins_and_the_others_are_told() {
    let fleet = Fleet::start(Vec::new(), 3).await;
    let outcomes: Vec<(i32, String)> = std::thread::scope(|scope| {
        let tries: Vec<_> = (0..6)
            .map(|nth| {
                let fleet = &fleet;
                scope.spawn(move || {
                    let share = format!("share={}", nth + 10);
                    fleet.operate(nth % 3, &["set", "--base", "1", "group/field", &share])
                })
            })
            .collect();
        tries
            .into_iter()
            .map(|one| one.join().expect("ran"))
            .collect()
    });
    let winners = outcomes.iter().filter(|(code, _)| *code == 0).count();
    assert_eq!(winners, 1, "{outcomes:?}");
    let (_, share) = fleet.operate(0, &["get", "group/field", "share"]);
    for (code, text) in &outcomes {
        if *code != 0 {
            let told = format!("group/field share={}", share.trim());
            assert!(text.contains(&told), "{text} should tell {told}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_without_a_base_all_hold() {
    let fleet = Fleet::start(Vec::new(), 3).await;
    std::thread::scope(|scope| {
        for nth in 0..6 {
            let fleet = &fleet;
            scope.spawn(move || {
                let group = format!("g{nth}");
                let (code, text) = fleet.operate(nth % 3, &["group", "add", &group]);
                assert_eq!(code, 0, "{text}");
            });
        }
    });
    for daemon in 0..3 {
        eventually("all six are in force", async || {
            version(&fleet, daemon) == 7
        })
        .await;
        let (_, tree) = fleet.operate(daemon, &["tree"]);
        for nth in 0..6 {
            assert!(tree.contains(&format!("group/g{nth}")));
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_commit_answer_is_found_out() {
    let fleet = Fleet::start(Vec::new(), 2).await;
    fleet.platform.set_fault(Fault::LostResponses);
    let (code, text) = fleet.operate(0, &["set", "group/field", "share=5"]);
    assert_eq!(code, 0, "{text}");
    fleet.platform.set_fault(Fault::LostWrites);
    let (code, text) = fleet.operate(0, &["set", "group/field", "share=6"]);
    assert_eq!(code, 3, "{text}");
    fleet.platform.set_fault(Fault::None);
    eventually("the accepted one is in force", async || {
        version(&fleet, 1) == 2
    })
    .await;
    let (_, share) = fleet.operate(1, &["get", "group/field", "share"]);
    assert_eq!(share.trim(), "5");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_starts_in_an_outage_takes_the_newest_version_of_its_peers() {
    let mut fleet = Fleet::start(vec![setup(Role::Mixed, false)], 2).await;
    let (code, text) = fleet.operate(0, &["set", "--wait", "group/field", "share=4"]);
    assert_eq!(code, 0, "{text}");
    fleet.platform.set_fault(Fault::Unavailable);
    fleet.add_daemon();
    ready(&fleet.daemons[2]).await;
    assert_eq!(version(&fleet, 2), 2);
    let caller = Caller::new();
    for daemon in &fleet.daemons {
        let answer = caller.complete(daemon.callers, "outage", 5, true).await;
        assert!(streamed(&answer.expect("an answer").body).1);
    }
    let (code, text) = fleet.operate(2, &["set", "group/field", "share=5"]);
    assert_eq!(code, 1, "{text}");
    assert!(text.contains("nothing was changed"), "{text}");
    fleet.platform.set_fault(Fault::None);
    eventually("changes are taken again", async || {
        fleet.operate(2, &["set", "group/field", "share=6"]).0 == 0
    })
    .await;
    for daemon in 0..3 {
        eventually("it is in force", async || version(&fleet, daemon) == 3).await;
    }
}

/// Groups of the size that the system is designed for, 5.6 MB as a peer sends them.
const GROUPS: usize = 45_000;

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_starts_in_an_outage_takes_a_great_many_groups_of_its_peers() {
    let mut fleet = Fleet::start(Vec::new(), 0).await;
    // a debug build's stand-in takes longer to write so many rows than others grant it
    fleet.table_timeout = "10s";
    fleet.grow(GROUPS);
    fleet.add_daemon();
    ready(&fleet.daemons[0]).await;
    fleet.platform.set_fault(Fault::Unavailable);
    fleet.add_daemon();
    ready(&fleet.daemons[1]).await;
    assert_eq!(version(&fleet, 1), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn without_peers_or_table_a_daemon_is_not_ready() {
    let mut fleet = Fleet::start(Vec::new(), 0).await;
    fleet.platform.set_fault(Fault::Unavailable);
    fleet.add_daemon();
    let caller = Caller::new();
    let answer = caller
        .complete(fleet.daemons[0].callers, "who", 5, true)
        .await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.run(), Some("not-run"));
    fleet.platform.set_fault(Fault::None);
    ready(&fleet.daemons[0]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_cut_from_the_table_hears_changes_from_its_peers_and_heals() {
    let mut fleet = Fleet::start(vec![setup(Role::Mixed, false)], 1).await;
    let link = Link::start(fleet.platform.address()).await.expect("link");
    fleet.through = Some(link.address());
    fleet.add_daemon();
    ready(&fleet.daemons[1]).await;
    link.cut(true);
    eventually("the cut one knows", async || {
        let (_, text) = fleet.operate(1, &["status"]);
        text.contains("does not answer")
    })
    .await;
    let (code, text) = fleet.operate(0, &["set", "--wait", "group/field", "share=9"]);
    assert_eq!(code, 0, "{text}");
    let (_, share) = fleet.operate(1, &["get", "group/field", "share"]);
    assert_eq!(share.trim(), "9");
    let answer = Caller::new()
        .complete(fleet.daemons[1].callers, "cut off", 5, true)
        .await;
    assert!(streamed(&answer.expect("an answer").body).1);
    let (code, _) = fleet.operate(1, &["set", "group/field", "share=2"]);
    assert_eq!(code, 1, "without the table nothing is accepted");
    link.cut(false);
    eventually("changes are taken here again", async || {
        fleet.operate(1, &["set", "group/field", "share=10"]).0 == 0
    })
    .await;
    eventually("and hold everywhere", async || version(&fleet, 0) == 3).await;
}
