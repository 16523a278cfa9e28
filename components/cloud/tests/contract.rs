//! What the daemon relies on of a table service and a VM list. Any adapter and its service must pass.

use std::{net::SocketAddr, time::Duration};

use cloud::{
    table::{Error, Http, Outcome, Read, Table, Transaction},
    vms::{self, Kind, List, State, Vm},
};
use standin::platform::{Faults, Platform};

const TIMEOUT: Duration = Duration::from_millis(200);

async fn pair() -> (Platform, Http) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = Platform::start(any).await.expect("platform");
    let table = Http::new(platform.address(), TIMEOUT);
    (platform, table)
}

fn one(key: &str) -> Read {
    Read {
        keys: vec![key.to_owned()],
        prefixes: Vec::new(),
    }
}

#[tokio::test]
async fn a_transaction_is_whole_and_compares_versions() {
    let (_platform, table) = pair().await;
    let first = Transaction::default()
        .check("a", 0)
        .write("a", "1".to_owned());
    let Ok(Outcome::Committed(version)) = table.commit(first.clone()).await else {
        panic!("an absent row has version 0");
    };
    let Ok(Outcome::Conflict(rows)) = table.commit(first).await else {
        panic!("the row is there now");
    };
    assert_eq!((rows[0].version, rows[0].value.as_str()), (version, "1"));
    let both = Transaction::default()
        .check("a", version)
        .check("b", 7)
        .write("a", "2".to_owned())
        .write("b", "2".to_owned());
    assert!(matches!(table.commit(both).await, Ok(Outcome::Conflict(_))));
    let rows = table.read(one("a")).await.expect("read");
    assert_eq!(rows[0].value, "1", "all writes or none");
    let remove = Transaction::default().check("a", version).remove("a");
    assert!(matches!(
        table.commit(remove).await,
        Ok(Outcome::Committed(_))
    ));
    assert_eq!(table.read(one("a")).await, Ok(Vec::new()));
}

#[tokio::test]
async fn a_prefix_reads_its_rows_sorted_and_no_others() {
    let (_platform, table) = pair().await;
    let all = ["p/b", "q", "p/a", "o"]
        .iter()
        .fold(Transaction::default(), |all, key| {
            all.write(key, (*key).to_owned())
        });
    table.commit(all).await.expect("committed");
    let read = Read {
        keys: vec!["q".to_owned()],
        prefixes: vec!["p/".to_owned()],
    };
    let rows = table.read(read).await.expect("read");
    let keys: Vec<&str> = rows.iter().map(|row| row.key.as_str()).collect();
    assert_eq!(keys, ["p/a", "p/b", "q"]);
}

#[tokio::test]
async fn each_failure_says_truly_whether_it_may_have_taken_effect() {
    // fault, what the adapter says, whether the write is there afterwards
    let cases = [
        (Faults::Down, Error::Refused, false),
        (Faults::LostAnswers, Error::Unclear, true),
        (Faults::LostWrites, Error::Unclear, false),
        (Faults::Slow(TIMEOUT * 2), Error::Unclear, true),
        (Faults::Garbage, Error::Unclear, false),
    ];
    for (fault, told, there) in cases {
        let (platform, table) = pair().await;
        platform.fail(fault);
        let write = Transaction::default().write("k", "v".to_owned());
        assert_eq!(table.commit(write).await, Err(told), "{fault:?}");
        // a slow one takes effect after its time-out
        let mut rows = platform.read(&one("k"));
        for _ in 0..100 {
            if !there || !rows.is_empty() {
                break;
            }
            tokio::time::sleep(TIMEOUT / 10).await;
            rows = platform.read(&one("k"));
        }
        assert_eq!(!rows.is_empty(), there, "{fault:?}");
    }
}

#[tokio::test]
async fn a_service_that_is_not_there_had_no_effect() {
    let (platform, table) = pair().await;
    drop(platform);
    tokio::time::sleep(TIMEOUT).await;
    let write = Transaction::default().write("k", "v".to_owned());
    assert_eq!(table.commit(write).await, Err(Error::Refused));
}

#[tokio::test]
async fn the_vm_list_tells_who_leaves() {
    let (platform, _) = pair().await;
    let list = vms::Http::new(platform.address(), TIMEOUT);
    assert_eq!(list.read().await, Ok(Vec::new()));
    let vm = Vm {
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        data_centre: "hraun".to_owned(),
        kind: Kind::Endpoint,
        state: State::Live,
    };
    platform.list(vm.clone());
    assert_eq!(list.read().await, Ok(vec![vm.clone()]));
    platform.leave(vm.address);
    assert_eq!(list.read().await.expect("read")[0].state, State::Leaving);
    platform.unlist(vm.address);
    assert_eq!(list.read().await, Ok(Vec::new()));
    drop(platform);
    tokio::time::sleep(TIMEOUT).await;
    assert_eq!(list.read().await, Err(vms::Unread));
}
