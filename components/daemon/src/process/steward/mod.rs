//! Stewardships: which daemon gives orders to the engines of a service in a data centre.
//!
//! Any registered daemon may hold one. See `docs/DESIGN.md#stewardship`.

mod roles;

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use cloud::table::{Outcome, Read, Row, Transaction};
use protocol::{
    lease::{self, Lease, Renewal, Watch},
    millis,
};
use settings::tree::resolve::ServiceKind;
use telemetry::timeline::Kind;

use super::{
    Phase, Process, lock, orders, registration,
    store::{self, find},
};
use roles::Planner;

/// The lease under which a steward commits: a transaction that checks its row can't be committed by
/// a former steward.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// Key of the lease row.
    pub key: String,
    /// Version of the lease row, which changes only with its holder.
    pub version: u64,
    /// The epoch.
    pub epoch: u64,
    /// The service.
    pub service: String,
    /// The data centre.
    pub data_centre: String,
}

/// What a daemon knows of one stewardship.
struct Seat {
    service: String,
    watch: Option<Watch>,
    held: Option<Held>,
    /// Until when this daemon may act without another renewal.
    until: Instant,
    planner: Planner,
    /// Whether an order is being carried out.
    busy: Arc<tokio::sync::Semaphore>,
    seen: Option<Lease>,
}

/// The stewardships of this daemon's data centre.
#[derive(Default)]
pub struct Stewardships(Mutex<Vec<Seat>>);

/// What is told of a stewardship.
pub struct Report {
    /// The service.
    pub service: String,
    /// The lease as last read.
    pub lease: Option<Lease>,
}

impl Stewardships {
    /// What is known of each stewardship.
    pub fn reports(&self) -> Vec<Report> {
        lock(&self.0)
            .iter()
            .map(|seat| Report {
                service: seat.service.clone(),
                lease: seat.seen,
            })
            .collect()
    }
}

/// How often in a term a holder renews.
const RENEWALS: u32 = 4;

/// Takes, renews and uses stewardships as long as the process lives.
pub async fn keep(process: Arc<Process>) {
    let term: Duration = process.settings.control.lease_term.into();
    loop {
        let jitter = rand::random_range(0.8..1.2);
        tokio::time::sleep((term / RENEWALS).mul_f64(jitter)).await;
        let may = *process.registration.borrow() == registration::State::Registered
            && *process.phase.borrow() == Phase::Serving;
        if may {
            for service in services(&process) {
                visit(&process, &service).await;
            }
        }
    }
}

/// Services with engines in this daemon's data centre.
fn services(process: &Process) -> Vec<String> {
    let Some(current) = process.current.get() else {
        return Vec::new();
    };
    let here = &process.settings.daemon.data_centre;
    let engines = |name: &str| {
        let mut endpoints = current.resolved.endpoints.iter();
        endpoints.any(|e| e.service == name && e.data_centre == *here)
    };
    current
        .resolved
        .services
        .iter()
        .filter(|service| service.kind == ServiceKind::Engines && engines(&service.name))
        .map(|service| service.name.clone())
        .collect()
}

fn lease_key(service: &str, data_centre: &str) -> String {
    format!("steward/{service}/{data_centre}")
}

fn renewal_key(service: &str, data_centre: &str) -> String {
    format!("renewal/{service}/{data_centre}")
}

async fn visit(process: &Arc<Process>, service: &str) {
    let here = process.settings.daemon.data_centre.clone();
    let lease_key = lease_key(service, &here);
    let renewal_key = renewal_key(service, &here);
    let read = Read {
        keys: vec![lease_key.clone(), renewal_key.clone()],
        prefixes: vec![
            format!("{}{here}/", orders::PREFIX),
            format!("{}{here}/", orders::REQUESTS),
            registration::PREFIX.to_owned(),
        ],
    };
    // counted from before the request was sent
    let asked = Instant::now();
    let Ok(rows) = process.store.read(read).await else {
        return;
    };
    let lease_row = find(&rows, &lease_key);
    let renewal_row = find(&rows, &renewal_key);
    let lease: Option<Lease> = store::value(lease_row);
    let renewal: Renewal = store::value(renewal_row).unwrap_or_default();
    let (held, lapsed) = look(process, service, lease, renewal);
    let versions = (store::version(lease_row), store::version(renewal_row));
    match (held, lease) {
        (Some(held), Some(lease)) if held.version == versions.0 => {
            let next = Renewal {
                epoch: lease.epoch,
                count: renewal.count + 1,
            };
            let renew = Transaction::default()
                .check(&lease_key, versions.0)
                .write(&renewal_key, store::text(&next));
            if let Ok(Outcome::Committed(_)) = process.store.commit(renew).await {
                renewed(process, service, asked);
                work(process, service, &held, &rows);
            }
        }
        (Some(_), _) => lose(process, service),
        (None, _) if lapsed => {
            take(
                process,
                service,
                (&lease_key, &renewal_key),
                lease,
                versions,
            )
            .await;
        }
        (None, _) => {}
    }
}

/// Notes what was read and says what is held and whether the holder may be replaced.
fn look(
    process: &Process,
    service: &str,
    lease: Option<Lease>,
    renewal: Renewal,
) -> (Option<Held>, bool) {
    let term: Duration = process.settings.control.lease_term.into();
    let now_ms = millis(process.started.elapsed());
    let mut seats = lock(&process.stewardships.0);
    let seat = match seats.binary_search_by(|seat| seat.service.as_str().cmp(service)) {
        Ok(at) => &mut seats[at],
        Err(at) => {
            seats.insert(at, Seat::new(service));
            &mut seats[at]
        }
    };
    seat.seen = lease;
    let watch = seat
        .watch
        .get_or_insert_with(|| Watch::new(renewal, now_ms));
    watch.observe(renewal, now_ms);
    let lapsed = watch.is_expired(lease.as_ref(), now_ms, millis(term));
    (seat.held.clone(), lapsed)
}

impl Seat {
    fn new(service: &str) -> Self {
        Self {
            service: service.to_owned(),
            watch: None,
            held: None,
            until: Instant::now(),
            planner: Planner::default(),
            busy: Arc::new(tokio::sync::Semaphore::new(1)),
            seen: None,
        }
    }
}

fn with<T>(process: &Process, service: &str, f: impl FnOnce(&mut Seat) -> T) -> Option<T> {
    let mut seats = lock(&process.stewardships.0);
    let at = seats
        .binary_search_by(|seat| seat.service.as_str().cmp(service))
        .ok()?;
    Some(f(&mut seats[at]))
}

fn renewed(process: &Process, service: &str, asked: Instant) {
    let term = millis(process.settings.control.lease_term.into());
    let until = asked + Duration::from_millis(lease::valid_until(0, term));
    with(process, service, |seat| seat.until = until);
}

async fn take(
    process: &Arc<Process>,
    service: &str,
    (lease_key, renewal_key): (&str, &str),
    lease: Option<Lease>,
    (lease_version, renewal_version): (u64, u64),
) {
    let next = lease::acquire(lease.as_ref(), process.me);
    let text = store::text(&next);
    let renewal = Renewal {
        epoch: next.epoch,
        count: 0,
    };
    let asked = Instant::now();
    // a renewal that came meanwhile wins over the take-over
    let transaction = Transaction::default()
        .check(lease_key, lease_version)
        .check(renewal_key, renewal_version)
        .write(lease_key, text.clone())
        .write(renewal_key, store::text(&renewal));
    let outcome = process
        .store
        .commit_sure(transaction, lease_key, &text)
        .await;
    let Ok(Outcome::Committed(version)) = outcome else {
        return;
    };
    let held = Held {
        key: lease_key.to_owned(),
        version,
        epoch: next.epoch,
        service: service.to_owned(),
        data_centre: process.settings.daemon.data_centre.clone(),
    };
    with(process, service, |seat| {
        seat.held = Some(held);
        seat.watch = None;
        seat.planner = Planner::default();
    });
    renewed(process, service, asked);
    let detail = format!("epoch {}", next.epoch);
    process
        .timeline
        .record(Kind::StewardTaken, format!("service/{service}"), detail);
    log::info!("steward of {service} in epoch {}", next.epoch);
}

/// Whether the lease still runs by this daemon's own clock. Safety doesn't rest on it: the epoch
/// in the table does that.
pub fn acts(process: &Process, held: &Held) -> bool {
    with(process, &held.service, |seat| {
        seat.held.as_ref() == Some(held) && Instant::now() < seat.until
    })
    .unwrap_or(false)
}

fn lose(process: &Process, service: &str) {
    with(process, service, |seat| {
        seat.held = None;
        seat.watch = None;
    });
    process
        .timeline
        .record(Kind::StewardLost, format!("service/{service}"), "");
    log::warn!("no longer steward of {service}");
}

/// Starts what has to be done with the engines, unless an order is being carried out.
fn work(process: &Arc<Process>, service: &str, held: &Held, rows: &[Row]) {
    let Some(Ok(permit)) = with(process, service, |seat| {
        Arc::clone(&seat.busy).try_acquire_owned()
    }) else {
        return;
    };
    let planned = with(process, service, |seat| {
        (Instant::now() < seat.until).then(|| seat.planner.plan(process, held, rows))
    });
    let Some(Some(task)) = planned.flatten() else {
        return;
    };
    let process = Arc::clone(process);
    let held = held.clone();
    tokio::spawn(async move {
        orders::carry_out(&process, &held, task).await;
        drop(permit);
    });
}

/// Gives all stewardships up, so that others need not wait for the term to end.
pub async fn release_all(process: &Process) {
    let held: Vec<Held> = lock(&process.stewardships.0)
        .iter_mut()
        .filter_map(|seat| seat.held.take())
        .collect();
    for held in held {
        let lease = Lease {
            epoch: held.epoch,
            holder: Some(process.me),
        };
        let transaction = Transaction::default()
            .check(&held.key, held.version)
            .write(&held.key, store::text(&lease::release(&lease)));
        // without an answer the lease lapses by itself
        let _ = process.store.commit(transaction).await;
        log::info!("gave up the stewardship of {}", held.service);
    }
}
