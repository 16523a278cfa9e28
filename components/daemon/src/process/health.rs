//! Reads the VM list and the endpoints' reports.

use std::{sync::Arc, time::Duration};

use cloud::vms::{Kind as VmKind, State};
use settings::tree::resolve::ServiceKind;
use telemetry::timeline::Kind;

use super::{Process, pool::Entry, pool::Pool};

/// Longest wait for one report.
const REPORT_WAIT: Duration = Duration::from_millis(500);
/// How many reports are asked for at once.
const REPORTS: usize = 32;

/// Reads the VM list as long as the process lives.
pub async fn list(process: Arc<Process>) {
    let pause: Duration = process.settings.control.vm_poll.into();
    loop {
        if let Ok(vms) = process.vms.read().await {
            for pool in process.all_pools() {
                for entry in pool.snapshot() {
                    let leaving = vms.iter().any(|vm| {
                        vm.address == entry.endpoint.address && vm.state == State::Leaving
                    });
                    pool.with(&entry.id, |entry| entry.leaving = leaving);
                }
            }
            let entry = vms.into_iter().filter(|vm| vm.kind == VmKind::Entry);
            process.members.list(entry.collect());
        }
        let jitter = rand::random_range(0.8..1.2);
        tokio::time::sleep(pause.mul_f64(jitter)).await;
    }
}

/// Asks all engines for their reports as long as the process lives.
pub async fn reports(process: Arc<Process>) {
    use futures::StreamExt;

    let pause: Duration = process.settings.control.report_poll.into();
    loop {
        let asked = engines(&process)
            .into_iter()
            .map(|(pool, entry)| ask(Arc::clone(&process), pool, entry));
        futures::stream::iter(asked)
            .for_each_concurrent(REPORTS, |ask| ask)
            .await;
        tokio::time::sleep(pause).await;
    }
}

fn engines(process: &Process) -> Vec<(Arc<Pool>, Entry)> {
    let Some(current) = process.current.get() else {
        return Vec::new();
    };
    let with_engines = |pool: &Arc<Pool>| {
        let service = current.resolved.service(&pool.service);
        service.is_some_and(|service| service.kind == ServiceKind::Engines)
    };
    process
        .all_pools()
        .into_iter()
        .filter(with_engines)
        .flat_map(|pool| {
            let entries = pool.snapshot();
            entries
                .into_iter()
                .map(move |entry| (Arc::clone(&pool), entry))
        })
        .collect()
}

async fn ask(process: Arc<Process>, pool: Arc<Pool>, entry: Entry) {
    let address = entry.endpoint.address;
    match process.engine.report(address, REPORT_WAIT).await {
        Ok(report) => {
            let back = pool.with(&entry.id, |entry| entry.reported(report));
            if back == Some(true) {
                process
                    .timeline
                    .record(Kind::EndpointUp, entry.id.to_string(), "");
                pool.wake();
            }
        }
        Err(_) => {
            pool.with(&entry.id, Entry::failed);
        }
    }
    let behind = pool.with(&entry.id, |entry| entry.cache_behind()).flatten();
    if let Some(after) = behind
        && let Ok(events) = process
            .engine
            .cache_events(address, after, REPORT_WAIT)
            .await
    {
        pool.with(&entry.id, |entry| entry.cache_events(&events));
    }
}
