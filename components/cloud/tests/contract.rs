//! What the daemon relies on of a table service and a VM list. Any adapter and its service must pass.

use std::{net::SocketAddr, time::Duration};

use cloud::{
    table::{Error, Http, Read, Table, Transaction},
    vms::{self, Kind, List, State, Vm},
};
use standin::{
    contract::{self, Pair},
    platform::{Faults, Platform},
};

const TIMEOUT: Duration = Duration::from_millis(200);

async fn pair() -> (Platform, Http) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = Platform::start(any).await.expect("platform");
    let table = Http::new(platform.address(), TIMEOUT);
    (platform, table)
}

struct Own {
    platform: Platform,
    table: Http,
}

impl Pair for Own {
    async fn start() -> Self {
        let (platform, table) = pair().await;
        Self { platform, table }
    }

    fn table(&self) -> &dyn Table {
        &self.table
    }

    fn timeout(&self) -> Duration {
        TIMEOUT
    }

    fn fail(&self, faults: Faults) {
        self.platform.fail(faults);
    }

    fn stored(&self, key: &str) -> Option<String> {
        let read = Read {
            keys: vec![key.to_owned()],
            prefixes: Vec::new(),
        };
        let rows = self.platform.read(&read);
        rows.into_iter().next().map(|row| row.value)
    }
}

#[tokio::test]
async fn a_transaction_is_whole_and_compares_versions() {
    contract::transaction_is_whole::<Own>().await;
}

#[tokio::test]
async fn a_prefix_reads_its_rows_sorted_and_no_others() {
    contract::prefix_reads_its_rows::<Own>().await;
}

#[tokio::test]
async fn each_failure_says_truly_whether_it_may_have_taken_effect() {
    contract::failures_are_told_truly::<Own>().await;
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
