//! Polls the VM list and the reports of engines.

use std::{sync::Arc, time::Duration};

use cloud::vms::{VmKind, VmState};
use settings::tree::resolve::ServiceKind;
use telemetry::timeline::Kind;

use super::{Process, pool::Entry, pool::Pool};

/// Timeout for one report or one read of cache events.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of reports that are requested concurrently.
const MAX_CONCURRENT_REPORTS: usize = 32;

/// Polls the VM list.
pub async fn poll_vms(process: Arc<Process>) {
    let interval: Duration = process.settings.control.vm_poll.into();
    loop {
        if let Ok(vms) = process.vms.read().await {
            for pool in process.all_pools() {
                for entry in pool.snapshot() {
                    let leaving = vms.iter().any(|vm| {
                        vm.address == entry.endpoint.address && vm.state == VmState::Leaving
                    });
                    pool.with_entry(&entry.id, |entry| entry.leaving = leaving);
                }
            }
            let entry_vms = vms.into_iter().filter(|vm| vm.kind == VmKind::Entry);
            process.members.update_vms(entry_vms.collect());
        }
        let jitter = rand::random_range(0.8..1.2);
        tokio::time::sleep(interval.mul_f64(jitter)).await;
    }
}

/// Polls the reports of all engines.
pub async fn poll_reports(process: Arc<Process>) {
    use futures::StreamExt;

    let interval: Duration = process.settings.control.report_poll.into();
    loop {
        let polls = engine_endpoints(&process)
            .into_iter()
            .map(|(pool, entry)| poll_report(Arc::clone(&process), pool, entry));
        futures::stream::iter(polls)
            .for_each_concurrent(MAX_CONCURRENT_REPORTS, |poll| poll)
            .await;
        tokio::time::sleep(interval).await;
    }
}

fn engine_endpoints(process: &Process) -> Vec<(Arc<Pool>, Entry)> {
    let Some(current) = process.current.get() else {
        return Vec::new();
    };
    let has_engines = |pool: &Arc<Pool>| {
        let service = current.resolved.service(&pool.service);
        service.is_some_and(|service| service.kind == ServiceKind::Engines)
    };
    process
        .all_pools()
        .into_iter()
        .filter(has_engines)
        .flat_map(|pool| {
            let entries = pool.snapshot();
            entries
                .into_iter()
                .map(move |entry| (Arc::clone(&pool), entry))
        })
        .collect()
}

async fn poll_report(process: Arc<Process>, pool: Arc<Pool>, entry: Entry) {
    let address = entry.endpoint.address;
    match process.engine.report(address, REPORT_TIMEOUT).await {
        Ok(report) => {
            let recovered = pool.with_entry(&entry.id, |entry| entry.record_report(report));
            if recovered == Some(true) {
                process
                    .timeline
                    .record(Kind::EndpointUp, entry.id.to_string(), "");
                pool.wake();
            }
        }
        Err(_) => {
            pool.with_entry(&entry.id, Entry::quarantine);
        }
    }
    let missing_after = pool
        .with_entry(&entry.id, |entry| entry.missing_cache_events_after())
        .flatten();
    if let Some(after) = missing_after
        && let Ok(events) = process
            .engine
            .cache_events(address, after, REPORT_TIMEOUT)
            .await
    {
        pool.with_entry(&entry.id, |entry| entry.apply_cache_events(&events));
    }
}
