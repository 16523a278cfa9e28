//! Stewardships: which daemon sends orders to the engines of a service in a data centre.
//!
//! Any registered daemon may be a steward. See `docs/DESIGN.md#stewardship`.

mod planner;

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use cloud::table::{Outcome, Read, Row, Transaction};
use protocol::{
    lease::{self, Lease, Renewal, RenewalWatch},
    millis,
};
use settings::tree::resolve::ServiceKind;
use telemetry::timeline::Kind;

use super::{
    Phase, Process, lock, orders, registration,
    store::{self, find},
};
use planner::Planner;

/// The lease under which a steward commits. Transactions check its row, so a former steward cannot commit
/// any more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// Key of the lease row.
    pub key: String,
    /// Version of the lease row, which changes only when the holder changes.
    pub version: u64,
    pub epoch: u64,
    pub service: String,
    pub data_centre: String,
}

/// The state of one stewardship, whether this daemon holds it or not.
struct Stewardship {
    service: String,
    watch: Option<RenewalWatch>,
    held: Option<HeldLease>,
    /// Until when this daemon may act without another renewal.
    valid_until: Instant,
    planner: Planner,
    /// Held while an order is being carried out.
    order_permit: Arc<tokio::sync::Semaphore>,
    last_lease: Option<Lease>,
}

/// The stewardships of this daemon's data centre.
#[derive(Default)]
pub struct Stewardships(Mutex<Vec<Stewardship>>);

/// The status of a stewardship, for operators.
pub struct Status {
    pub service: String,
    /// The lease as last read.
    pub lease: Option<Lease>,
}

impl Stewardships {
    /// Returns the status of each stewardship.
    pub fn statuses(&self) -> Vec<Status> {
        lock(&self.0)
            .iter()
            .map(|stewardship| Status {
                service: stewardship.service.clone(),
                lease: stewardship.last_lease,
            })
            .collect()
    }
}

/// Number of renewals per lease term.
const RENEWALS_PER_TERM: u32 = 4;

/// Takes over and renews stewardships and acts on those held.
pub async fn run(process: Arc<Process>) {
    let term: Duration = process.settings.control.lease_term.into();
    loop {
        let jitter = rand::random_range(0.8..1.2);
        tokio::time::sleep((term / RENEWALS_PER_TERM).mul_f64(jitter)).await;
        let eligible = *process.registration.borrow() == registration::State::Registered
            && *process.phase.borrow() == Phase::Serving;
        if eligible {
            for service in engine_services(&process) {
                renew_or_take_over(&process, &service).await;
            }
        }
    }
}

/// Returns the services with engines in this daemon's data centre.
fn engine_services(process: &Process) -> Vec<String> {
    let Some(current) = process.current.get() else {
        return Vec::new();
    };
    let data_centre = &process.settings.daemon.data_centre;
    let has_engines = |name: &str| {
        let mut endpoints = current.resolved.endpoints.iter();
        endpoints.any(|e| e.service == name && e.data_centre == *data_centre)
    };
    current
        .resolved
        .services
        .iter()
        .filter(|service| service.kind == ServiceKind::Engines && has_engines(&service.name))
        .map(|service| service.name.clone())
        .collect()
}

fn lease_key(service: &str, data_centre: &str) -> String {
    format!("steward/{service}/{data_centre}")
}

fn renewal_key(service: &str, data_centre: &str) -> String {
    format!("renewal/{service}/{data_centre}")
}

async fn renew_or_take_over(process: &Arc<Process>, service: &str) {
    let data_centre = process.settings.daemon.data_centre.clone();
    let lease_key = lease_key(service, &data_centre);
    let renewal_key = renewal_key(service, &data_centre);
    let read = Read {
        keys: vec![lease_key.clone(), renewal_key.clone()],
        prefixes: vec![
            format!("{}{data_centre}/", orders::PREFIX),
            format!("{}{data_centre}/", orders::REQUEST_PREFIX),
            registration::PREFIX.to_owned(),
        ],
    };
    // the lease term counts from before the request was sent
    let sent_at = Instant::now();
    let Ok(rows) = process.store.read(read).await else {
        return;
    };
    let lease_row = find(&rows, &lease_key);
    let renewal_row = find(&rows, &renewal_key);
    let lease: Option<Lease> = store::parse(lease_row);
    let renewal: Renewal = store::parse(renewal_row).unwrap_or_default();
    let (held, expired) = observe_lease(process, service, lease, renewal);
    let row_versions = (store::version_of(lease_row), store::version_of(renewal_row));
    match (held, lease) {
        (Some(held), Some(lease)) if held.version == row_versions.0 => {
            let next = Renewal {
                epoch: lease.epoch,
                count: renewal.count + 1,
            };
            let renew = Transaction::default()
                .check(&lease_key, row_versions.0)
                .write(&renewal_key, store::to_json(&next));
            if let Ok(Outcome::Committed(_)) = process.store.commit(renew).await {
                extend(process, service, sent_at);
                start_next_task(process, service, &held, &rows);
            }
        }
        (Some(_), _) => record_lost_stewardship(process, service),
        (None, _) if expired => {
            take_over(
                process,
                service,
                (&lease_key, &renewal_key),
                lease,
                row_versions,
            )
            .await;
        }
        (None, _) => {}
    }
}

/// Records a read of the lease. Returns the lease held by this daemon and whether the current holder may be
/// replaced.
fn observe_lease(
    process: &Process,
    service: &str,
    lease: Option<Lease>,
    renewal: Renewal,
) -> (Option<HeldLease>, bool) {
    let term: Duration = process.settings.control.lease_term.into();
    let now_ms = millis(process.started.elapsed());
    let mut stewardships = lock(&process.stewardships.0);
    let stewardship = match stewardships
        .binary_search_by(|stewardship| stewardship.service.as_str().cmp(service))
    {
        Ok(at) => &mut stewardships[at],
        Err(at) => {
            stewardships.insert(at, Stewardship::new(service));
            &mut stewardships[at]
        }
    };
    stewardship.last_lease = lease;
    let watch = stewardship
        .watch
        .get_or_insert_with(|| RenewalWatch::new(renewal, now_ms));
    watch.observe(renewal, now_ms);
    let expired = watch.is_expired(lease.as_ref(), now_ms, millis(term));
    (stewardship.held.clone(), expired)
}

impl Stewardship {
    fn new(service: &str) -> Self {
        Self {
            service: service.to_owned(),
            watch: None,
            held: None,
            valid_until: Instant::now(),
            planner: Planner::default(),
            order_permit: Arc::new(tokio::sync::Semaphore::new(1)),
            last_lease: None,
        }
    }
}

fn with_stewardship<T>(
    process: &Process,
    service: &str,
    f: impl FnOnce(&mut Stewardship) -> T,
) -> Option<T> {
    let mut stewardships = lock(&process.stewardships.0);
    let at = stewardships
        .binary_search_by(|stewardship| stewardship.service.as_str().cmp(service))
        .ok()?;
    Some(f(&mut stewardships[at]))
}

fn extend(process: &Process, service: &str, sent_at: Instant) {
    let term = millis(process.settings.control.lease_term.into());
    let until = sent_at + Duration::from_millis(lease::valid_until(0, term));
    with_stewardship(process, service, |stewardship| {
        stewardship.valid_until = until;
    });
}

async fn take_over(
    process: &Arc<Process>,
    service: &str,
    (lease_key, renewal_key): (&str, &str),
    lease: Option<Lease>,
    (lease_version, renewal_version): (u64, u64),
) {
    let next = lease::acquire(lease.as_ref(), process.incarnation);
    let text = store::to_json(&next);
    let renewal = Renewal {
        epoch: next.epoch,
        count: 0,
    };
    let sent_at = Instant::now();
    // a renewal by the holder in the meantime makes the take-over fail
    let transaction = Transaction::default()
        .check(lease_key, lease_version)
        .check(renewal_key, renewal_version)
        .write(lease_key, text.clone())
        .write(renewal_key, store::to_json(&renewal));
    let outcome = process
        .store
        .commit_confirmed(transaction, lease_key, &text)
        .await;
    let Ok(Outcome::Committed(version)) = outcome else {
        return;
    };
    let held = HeldLease {
        key: lease_key.to_owned(),
        version,
        epoch: next.epoch,
        service: service.to_owned(),
        data_centre: process.settings.daemon.data_centre.clone(),
    };
    with_stewardship(process, service, |stewardship| {
        stewardship.held = Some(held);
        stewardship.watch = None;
        stewardship.planner = Planner::default();
    });
    extend(process, service, sent_at);
    let detail = format!("epoch {}", next.epoch);
    process
        .timeline
        .record(Kind::StewardTaken, format!("service/{service}"), detail);
    log::info!("became steward of {service} in epoch {}", next.epoch);
}

/// Whether the lease is still valid by this daemon's own clock, which stands still while the machine is
/// suspended: after a suspension the lease seems valid for too long. Safety does not depend on this: the
/// epoch in the table ensures it.
pub fn is_lease_valid(process: &Process, held: &HeldLease) -> bool {
    with_stewardship(process, &held.service, |stewardship| {
        stewardship.held.as_ref() == Some(held) && Instant::now() < stewardship.valid_until
    })
    .unwrap_or(false)
}

fn record_lost_stewardship(process: &Process, service: &str) {
    with_stewardship(process, service, |stewardship| {
        stewardship.held = None;
        stewardship.watch = None;
    });
    process
        .timeline
        .record(Kind::StewardLost, format!("service/{service}"), "");
    log::warn!("no longer steward of {service}");
}

/// Starts the next task for the engines, unless one is in progress.
fn start_next_task(process: &Arc<Process>, service: &str, held: &HeldLease, rows: &[Row]) {
    let Some(Ok(permit)) = with_stewardship(process, service, |stewardship| {
        Arc::clone(&stewardship.order_permit).try_acquire_owned()
    }) else {
        return;
    };
    let planned = with_stewardship(process, service, |stewardship| {
        (Instant::now() < stewardship.valid_until)
            .then(|| stewardship.planner.plan(process, held, rows))
    });
    let Some(Some(task)) = planned.flatten() else {
        return;
    };
    let process = Arc::clone(process);
    let held = held.clone();
    tokio::spawn(async move {
        orders::execute(&process, &held, task).await;
        drop(permit);
    });
}

/// Releases all stewardships, so that other daemons need not wait for the term to end.
pub async fn release_all(process: &Process) {
    let held: Vec<HeldLease> = lock(&process.stewardships.0)
        .iter_mut()
        .filter_map(|stewardship| stewardship.held.take())
        .collect();
    for held in held {
        let lease = Lease {
            epoch: held.epoch,
            holder: Some(process.incarnation),
        };
        let transaction = Transaction::default()
            .check(&held.key, held.version)
            .write(&held.key, store::to_json(&lease::release(&lease)));
        // if the table is unavailable, the lease expires
        let _ = process.store.commit(transaction).await;
        log::info!("released the stewardship of {}", held.service);
    }
}
