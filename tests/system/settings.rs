//! Settings: accepted changes take effect in all daemons and are never undone, under any failure.

use standin::{link::Link, platform::Fault};

use crate::fleet::{Caller, Fleet, engine_setup, eventually, parse_stream, wait_until_ready};
use protocol::order::Role;

fn settings_version(fleet: &Fleet, daemon: usize) -> u64 {
    let (_, text) = fleet.run_client(daemon, &["--json", "status"]);
    let status: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
    status["settings_version"].as_u64().unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread")]
async fn one_of_several_conflicting_changes_is_accepted_and_shown_to_the_others() {
    let fleet = Fleet::start(Vec::new(), 3).await;
    let outcomes: Vec<(i32, String)> = std::thread::scope(|scope| {
        let clients: Vec<_> = (0..6)
            .map(|nth| {
                let fleet = &fleet;
                scope.spawn(move || {
                    let share = format!("share={}", nth + 10);
                    fleet.run_client(nth % 3, &["set", "--base", "1", "group/field", &share])
                })
            })
            .collect();
        clients
            .into_iter()
            .map(|client| client.join().expect("the client thread"))
            .collect()
    });
    let winners = outcomes.iter().filter(|(code, _)| *code == 0).count();
    assert_eq!(winners, 1, "{outcomes:?}");
    let (_, share) = fleet.run_client(0, &["get", "group/field", "share"]);
    for (code, text) in &outcomes {
        if *code != 0 {
            let current = format!("group/field share={}", share.trim());
            assert!(text.contains(&current), "{text} should contain {current}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_without_a_base_version_all_take_effect() {
    let fleet = Fleet::start(Vec::new(), 3).await;
    std::thread::scope(|scope| {
        for nth in 0..6 {
            let fleet = &fleet;
            scope.spawn(move || {
                let group = format!("g{nth}");
                let (code, text) = fleet.run_client(nth % 3, &["group", "add", &group]);
                assert_eq!(code, 0, "{text}");
            });
        }
    });
    for daemon in 0..3 {
        eventually("all six changes are in force", async || {
            settings_version(&fleet, daemon) == 7
        })
        .await;
        let (_, tree) = fleet.run_client(daemon, &["tree"]);
        for nth in 0..6 {
            assert!(tree.contains(&format!("group/g{nth}")));
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_outcome_of_a_commit_whose_response_was_lost_is_determined() {
    let fleet = Fleet::start(Vec::new(), 2).await;
    fleet.platform.set_fault(Fault::LostResponses);
    let (code, text) = fleet.run_client(0, &["set", "group/field", "share=5"]);
    assert_eq!(code, 0, "{text}");
    fleet.platform.set_fault(Fault::LostWrites);
    let (code, text) = fleet.run_client(0, &["set", "group/field", "share=6"]);
    assert_eq!(code, 3, "{text}");
    fleet.platform.set_fault(Fault::None);
    eventually("the accepted change is in force", async || {
        settings_version(&fleet, 1) == 2
    })
    .await;
    let (_, share) = fleet.run_client(1, &["get", "group/field", "share"]);
    assert_eq!(share.trim(), "5");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_started_during_a_table_outage_gets_the_newest_settings_from_its_peers() {
    let mut fleet = Fleet::start(vec![engine_setup(Role::Mixed, false)], 2).await;
    let (code, text) = fleet.run_client(0, &["set", "--wait", "group/field", "share=4"]);
    assert_eq!(code, 0, "{text}");
    fleet.platform.set_fault(Fault::Unavailable);
    fleet.add_daemon();
    wait_until_ready(&fleet.daemons[2]).await;
    assert_eq!(settings_version(&fleet, 2), 2);
    let caller = Caller::new();
    for daemon in &fleet.daemons {
        let response = caller
            .complete(daemon.caller_address, "outage", 5, true)
            .await;
        assert!(parse_stream(&response.expect("a response").body).1);
    }
    let (code, text) = fleet.run_client(2, &["set", "group/field", "share=5"]);
    assert_eq!(code, 1, "{text}");
    assert!(text.contains("nothing was changed"), "{text}");
    fleet.platform.set_fault(Fault::None);
    eventually("changes are accepted again", async || {
        fleet.run_client(2, &["set", "group/field", "share=6"]).0 == 0
    })
    .await;
    for daemon in 0..3 {
        eventually("the change is in force", async || {
            settings_version(&fleet, daemon) == 3
        })
        .await;
    }
}

/// The number of groups that the system is designed for; 5.6 MB in the form in which a peer sends them.
const GROUPS: usize = 45_000;

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_started_during_a_table_outage_gets_45_000_groups_from_its_peers() {
    let mut fleet = Fleet::start(Vec::new(), 0).await;
    // a stand-in in a debug build takes longer to write this many rows than the default timeout allows
    fleet.table_timeout = "10s";
    fleet.add_groups(GROUPS);
    fleet.add_daemon();
    wait_until_ready(&fleet.daemons[0]).await;
    fleet.platform.set_fault(Fault::Unavailable);
    fleet.add_daemon();
    wait_until_ready(&fleet.daemons[1]).await;
    assert_eq!(settings_version(&fleet, 1), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn without_peers_or_table_a_daemon_is_not_ready() {
    let mut fleet = Fleet::start(Vec::new(), 0).await;
    fleet.platform.set_fault(Fault::Unavailable);
    fleet.add_daemon();
    let caller = Caller::new();
    let response = caller
        .complete(fleet.daemons[0].caller_address, "who", 5, true)
        .await;
    let response = response.expect("a response");
    assert_eq!(response.run_header(), Some("not-run"));
    fleet.platform.set_fault(Fault::None);
    wait_until_ready(&fleet.daemons[0]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_cut_off_from_the_table_gets_changes_from_its_peers_and_recovers() {
    let mut fleet = Fleet::start(vec![engine_setup(Role::Mixed, false)], 1).await;
    let link = Link::start(fleet.platform.address()).await.expect("link");
    fleet.platform_address_override = Some(link.address());
    fleet.add_daemon();
    wait_until_ready(&fleet.daemons[1]).await;
    link.cut(true);
    eventually("the daemon reports the table as unavailable", async || {
        let (_, text) = fleet.run_client(1, &["status"]);
        text.contains("does not answer")
    })
    .await;
    let (code, text) = fleet.run_client(0, &["set", "--wait", "group/field", "share=9"]);
    assert_eq!(code, 0, "{text}");
    let (_, share) = fleet.run_client(1, &["get", "group/field", "share"]);
    assert_eq!(share.trim(), "9");
    let response = Caller::new()
        .complete(fleet.daemons[1].caller_address, "cut off", 5, true)
        .await;
    assert!(parse_stream(&response.expect("a response").body).1);
    let (code, _) = fleet.run_client(1, &["set", "group/field", "share=2"]);
    assert_eq!(code, 1, "a change was accepted without the table");
    link.cut(false);
    eventually("the daemon accepts changes again", async || {
        fleet.run_client(1, &["set", "group/field", "share=10"]).0 == 0
    })
    .await;
    eventually("the change is in force in the other daemon", async || {
        settings_version(&fleet, 0) == 3
    })
    .await;
}
