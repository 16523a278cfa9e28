//! What the daemon relies on in a table service and a VM list. Every adapter and its service must pass these tests.

use std::{net::SocketAddr, time::Duration};

use cloud::{
    table::{Error, HttpTable, Read, Table, Transaction},
    vms::{self, Vm, VmKind, VmList, VmState},
};
use standin::{
    contract::{self, Harness},
    platform::{Fault, Platform},
};

const TIMEOUT: Duration = Duration::from_millis(200);

async fn start_pair() -> (Platform, HttpTable) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = Platform::start(any).await.expect("platform");
    let table = HttpTable::new(platform.address(), TIMEOUT);
    (platform, table)
}

struct HttpHarness {
    platform: Platform,
    table: HttpTable,
}

impl Harness for HttpHarness {
    async fn start() -> Self {
        let (platform, table) = start_pair().await;
        Self { platform, table }
    }

    fn table(&self) -> &dyn Table {
        &self.table
    }

    fn timeout(&self) -> Duration {
        TIMEOUT
    }

    fn set_fault(&self, fault: Fault) {
        self.platform.set_fault(fault);
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
async fn a_transaction_is_atomic_and_compares_versions() {
    contract::transaction_is_atomic::<HttpHarness>().await;
}

#[tokio::test]
async fn a_prefix_read_returns_only_its_rows_in_order() {
    contract::prefix_reads_its_rows::<HttpHarness>().await;
}

#[tokio::test]
async fn each_error_says_correctly_whether_the_write_may_have_taken_effect() {
    contract::failures_report_whether_the_write_may_have_applied::<HttpHarness>().await;
}

#[tokio::test]
async fn a_write_to_an_unreachable_service_has_no_effect() {
    let (platform, table) = start_pair().await;
    drop(platform);
    tokio::time::sleep(TIMEOUT).await;
    let write = Transaction::default().write("k", "v".to_owned());
    assert_eq!(table.commit(write).await, Err(Error::NotApplied));
}

#[tokio::test]
async fn the_vm_list_reports_leaving_vms() {
    let (platform, _) = start_pair().await;
    let list = vms::HttpVmList::new(platform.address(), TIMEOUT);
    assert_eq!(list.read().await, Ok(Vec::new()));
    let vm = Vm {
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        data_centre: "hraun".to_owned(),
        kind: VmKind::Endpoint,
        state: VmState::Live,
    };
    platform.add_vm(vm.clone());
    assert_eq!(list.read().await, Ok(vec![vm.clone()]));
    platform.mark_leaving(vm.address);
    assert_eq!(list.read().await.expect("read")[0].state, VmState::Leaving);
    platform.remove_vm(vm.address);
    assert_eq!(list.read().await, Ok(Vec::new()));
    drop(platform);
    tokio::time::sleep(TIMEOUT).await;
    assert_eq!(list.read().await, Err(vms::ReadError));
}
