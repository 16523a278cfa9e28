//! Decides when streams may begin at a build that is listed and has no row, and writes the row first.
//!
//! As long as the rows name one build of a service, every stream that nobody knows began there. So a further build waits
//! until the streams of the one in use have been saved, and after a start until the callers of gateways that were killed have
//! come back, unless requests need its endpoints before.

use std::{sync::Arc, time::Duration};

use clock::Instant;
use cloud::table::Transaction;
use derive_more::Display;
use tokio::sync::watch;

use super::{Gateway, List, Rows, StoredBuild, read};
use crate::{
    endpoint::{Build, State},
    process::streams,
    version::ResumableService,
};

/// How often to check whether a build that waits may be used.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// How often to check whether one waits when the list of endpoints has not changed, as the routes may have.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// Time from the start of the process in which it may wait for what it needs to serve.
const STARTING_PERIOD: Duration = Duration::from_secs(5);
/// Time in which the gateways learn of a build that has been listed, and in which a call to the store usually ends.
const SAVE_SLACK: Duration = Duration::from_millis(250);
/// Time in which callers that have noticed that their gateway is gone come back.
const RESUMPTION_SLACK: Duration = Duration::from_secs(1);
/// How long callers take to notice it if the operators don't say.
const DEFAULT_SILENCE: Duration = Duration::from_secs(2);
/// The longest time for which a build waits for streams to be saved while requests find no room without it.
const MAX_SAVING_WITHOUT_ROOM: Duration = Duration::from_millis(500);
/// The longest time for which a build waits for callers to come back.
const MAX_SETTLING: Duration = Duration::from_secs(10);
/// Time without an endpoint that takes new streams after which they begin at a build that has no row.
const UNRECORDED_DELAY: Duration = Duration::from_secs(1);
/// The shortest time for which a gateway leaves a row to the one that writes first.
const MIN_YIELDING: Duration = Duration::from_millis(250);
/// Delay before a failed write is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of rows in one transaction.
const MAX_WRITES: usize = 100;
/// How often a maximum that keeps builds from being used is logged.
const LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum number of rows. Further builds wait until others have expired.
const MAX_ROWS: usize = 1_000;
/// Maximum length of the names of a service and a build together, in bytes, so that all rows can be read at once.
const MAX_NAME_BYTES: usize = 1 << 10;

/// Why streams may begin at a build.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "kebab-case")]
pub(super) enum Reason {
    /// No stream of the service has begun at any build.
    FirstUse,
    /// No endpoint of a build in use takes requests.
    NothingElse,
    /// A request has found no room at the builds in use.
    NoRoom,
    /// Several builds are in use already.
    SeveralUsed,
    /// The streams of the builds in use are saved, and callers of gateways that are gone have come back.
    Settled,
}

/// What becomes of requests at the builds of a service that are in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum InUse {
    /// No stream has begun at any build.
    None,
    /// No endpoint of them takes requests.
    Unserved,
    /// A request has found no room.
    Full,
    /// There are several, so that no stream is known to be of any by the rows.
    Several,
    /// Requests find room.
    Serving,
}

/// What is known of a service with a build that waits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Situation {
    /// What becomes of requests at the builds in use.
    pub in_use: InUse,
    /// How long the build has waited.
    pub waited: Duration,
    /// Time in which the streams of all gateways are saved.
    pub save_delay: Duration,
    /// Whether callers of gateways that are gone may still come back.
    pub is_settling: bool,
}

impl Situation {
    /// Returns why the row of the build is to be written now; `None` if it is not.
    pub fn reason(&self) -> Option<Reason> {
        let (reason, delay) = match self.in_use {
            InUse::None => (Reason::FirstUse, Duration::ZERO),
            InUse::Unserved => (Reason::NothingElse, Duration::ZERO),
            InUse::Several => (Reason::SeveralUsed, Duration::ZERO),
            InUse::Full => (Reason::NoRoom, self.save_delay.min(MAX_SAVING_WITHOUT_ROOM)),
            InUse::Serving if self.is_settling => return None,
            InUse::Serving => (Reason::Settled, self.save_delay),
        };
        (self.waited >= delay).then_some(reason)
    }
}

/// A build that is listed and has no row.
struct Waiting {
    service: Arc<str>,
    build: Build,
    since: Instant,
    /// Since when its row may be written; `None` if it may not.
    due_since: Option<Instant>,
}

/// Writes the rows of builds for the lifetime of the process.
pub(super) async fn run(gateway: &Gateway) {
    let mut waiting: Vec<Waiting> = Vec::new();
    let mut retry_at = Instant::now();
    let mut updates = gateway.registry.builds().updates();
    loop {
        until_check(gateway, &mut updates, !waiting.is_empty()).await;
        update(gateway, &mut waiting);
        let gauge = &gateway.metrics.streams.waiting_builds;
        gauge.set(i64::try_from(waiting.len()).unwrap_or(i64::MAX));
        let may_write = *gateway.earlier_rows().borrow() == Rows::Read && gateway.store_available();
        if waiting.is_empty() || !may_write || Instant::now() < retry_at {
            continue;
        }
        let due = due(gateway, &mut waiting);
        if due.is_empty() {
            continue;
        }
        if gateway.stored_builds.rows.lock().len() + due.len() > MAX_ROWS {
            log::warn!(builds = due.len(); "too many builds; no stream begins at further ones until others have expired");
            retry_at = Instant::now() + LOG_INTERVAL;
        } else if !write(gateway, &due).await {
            retry_at = Instant::now() + RETRY_DELAY;
        }
    }
}

/// Lets streams begin at builds without a row where the store has been away for too long and nothing else is left, for the
/// lifetime of the process.
pub(super) async fn run_without_rows(gateway: &Gateway) {
    let mut unserved: Vec<(Arc<str>, Instant)> = Vec::new();
    let mut updates = gateway.registry.builds().updates();
    loop {
        let is_any_waiting = is_any_waiting(gateway);
        until_check(gateway, &mut updates, is_any_waiting).await;
        let now = Instant::now();
        let services = services(gateway);
        let names = services.iter().map(|service| &service.name);
        let is_unserved = |name: &&Arc<str>| is_unserved(gateway, name, Reach::Own);
        let without: Vec<&Arc<str>> = names.filter(is_unserved).collect();
        unserved.retain(|(name, _)| without.contains(&name));
        for name in without {
            let known = unserved.iter().find(|(other, _)| other == name);
            let since = known.map_or(now, |(_, since)| *since);
            if known.is_none() {
                unserved.push((Arc::clone(name), now));
            }
            if now.saturating_duration_since(since) >= UNRECORDED_DELAY {
                admit_without_rows(gateway, name);
            }
        }
        if !unserved.is_empty() && !gateway.store_available() {
            gateway.ask_which_builds();
        }
    }
}

/// Waits until it is time to check whether builds may be used.
async fn until_check(gateway: &Gateway, updates: &mut watch::Receiver<()>, is_any_waiting: bool) {
    if is_any_waiting || gateway.started.elapsed() < STARTING_PERIOD {
        clock::sleep(CHECK_INTERVAL).await;
        return;
    }
    // the sender lives as long as the process, and a check too many does no harm
    let _ = clock::timeout_at(Instant::now() + IDLE_INTERVAL, updates.changed()).await;
}

/// Whether a build of a resumable service is listed and waits for its row.
pub(super) fn is_any_waiting(gateway: &Gateway) -> bool {
    let builds = gateway.registry.builds();
    services(gateway).iter().any(|service| {
        let waiting = builds.without_row(&service.name);
        waiting
            .iter()
            .any(|build| may_have_row(&service.name, build))
    })
}

/// Whether the names of a build and its service are short enough for a row.
fn may_have_row(service: &str, build: &Build) -> bool {
    service.len() + build.0.len() <= MAX_NAME_BYTES
}

impl Gateway {
    /// Whether streams may begin somewhere at each service that has endpoints and whose streams can be resumed.
    pub fn may_begin_streams(&self) -> bool {
        let services = services(self);
        services.iter().all(|service| {
            let builds = self.registry.builds();
            let waiting = builds.without_row(&service.name);
            waiting.is_empty() || has_admitted(self, &service.name, Reach::Listed)
        })
    }

    /// Whether a build of a service waits for its row, and no endpoint of another one takes requests.
    pub fn awaits_build(&self, service: &Arc<str>) -> bool {
        is_unserved(self, service, Reach::Listed)
    }

    /// Whether an endpoint of a build is listed that takes new streams.
    pub fn serves_build(&self, service: &str, build: &Build) -> bool {
        has_endpoint(self, service, Reach::Listed, |other| other == build)
    }
}

/// Returns the services whose streams callers may resume.
fn services(gateway: &Gateway) -> Vec<ResumableService> {
    let configuration = gateway.configuration();
    configuration.map_or_else(Vec::new, |configuration| {
        configuration.resumable_services().to_vec()
    })
}

/// Updates the builds that wait, sorted by service and build.
fn update(gateway: &Gateway, waiting: &mut Vec<Waiting>) {
    let now = Instant::now();
    let builds = gateway.registry.builds();
    let mut still = Vec::new();
    for service in services(gateway) {
        for build in builds.without_row(&service.name) {
            let order = |known: &Waiting| {
                let names = (&known.service, &known.build);
                names.cmp(&(&service.name, &build))
            };
            let known = waiting.binary_search_by(order).ok();
            let known = known.map(|index| &waiting[index]);
            if known.is_none() {
                log_waiting(gateway, &service.name, &build);
            }
            still.push(Waiting {
                service: Arc::clone(&service.name),
                since: known.map_or(now, |known| known.since),
                due_since: known.and_then(|known| known.due_since),
                build,
            });
        }
    }
    *waiting = still;
    let mut without_room = gateway.stored_builds.without_room.lock();
    without_room.retain(|name| waiting.iter().any(|waiting| waiting.service == *name));
}

fn log_waiting(gateway: &Gateway, service: &Arc<str>, build: &Build) {
    let used = gateway.registry.builds().used(service);
    let used: Vec<String> = used.iter().map(Build::to_string).collect();
    log::info!(
        service = &**service, build:% = build, in_use:? = used, up_ms = gateway.micros() / 1_000;
        "a build waits until its row has been written"
    );
    if !may_have_row(service, build) {
        log::warn!(
            service_bytes = service.len(), build_bytes = build.0.len();
            "the name of a build is too long for a row; no stream begins there"
        );
    }
}

/// Returns the builds whose rows are to be written now, with the reasons.
fn due<'a>(gateway: &Gateway, waiting: &'a mut [Waiting]) -> Vec<(&'a Waiting, Reason)> {
    let now = Instant::now();
    let own = gateway.settings.gateway.peers;
    let is_writer = gateway.reads_lists() && !gateway.peers.has_preceding_reader(own);
    // another gateway writes first
    let yields_for = if is_writer {
        Duration::ZERO
    } else {
        read::interval(gateway).max(MIN_YIELDING)
    };
    let mut due = Vec::new();
    for waiting in waiting {
        let reason = reason(gateway, waiting, now);
        let since = reason.map(|_| waiting.due_since.unwrap_or(now));
        waiting.due_since = since;
        let is_due = since.is_some_and(|since| now.saturating_duration_since(since) >= yields_for);
        if let Some(reason) = reason.filter(|_| is_due) {
            due.push((&*waiting, reason));
        }
    }
    due.truncate(MAX_WRITES);
    due
}

fn reason(gateway: &Gateway, waiting: &Waiting, now: Instant) -> Option<Reason> {
    let name = &waiting.service;
    let configuration = gateway.configuration()?;
    let mut services = configuration.resumable_services().iter();
    let service = services.find(|service| service.name == *name)?;
    if !may_have_row(name, &waiting.build) {
        return None;
    }
    let waited = now.saturating_duration_since(waiting.since);
    let situation = Situation {
        in_use: in_use(gateway, name),
        waited,
        save_delay: streams::interval(gateway) + SAVE_SLACK,
        is_settling: waited < MAX_SETTLING && is_settling(gateway, service),
    };
    situation.reason()
}

fn in_use(gateway: &Gateway, service: &Arc<str>) -> InUse {
    let without_room = gateway.stored_builds.without_room.lock();
    let used = gateway.registry.builds().used(service);
    if used.is_empty() {
        InUse::None
    } else if !has_admitted(gateway, service, Reach::Listed) {
        InUse::Unserved
    } else if used.len() > 1 {
        InUse::Several
    } else if without_room.binary_search(service).is_ok() {
        InUse::Full
    } else {
        InUse::Serving
    }
}

/// Whether callers of gateways that are gone may still come back.
fn is_settling(gateway: &Gateway, service: &ResumableService) -> bool {
    let silence = service.max_silence.unwrap_or(DEFAULT_SILENCE);
    let period = silence.saturating_add(RESUMPTION_SLACK);
    gateway.started.elapsed() < period
        || gateway.peers.has_just_lost(period)
        || gateway.peers.has_just_started(period)
}

/// Which endpoints count as taking requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reach {
    /// Those that are listed as ready; peers may reach them where this process does not.
    Listed,
    /// Those that this process reaches.
    Own,
}

/// Whether an endpoint of a service takes new streams.
fn has_admitted(gateway: &Gateway, service: &str, reach: Reach) -> bool {
    let builds = gateway.registry.builds();
    let is_admitted = |build: &Build| builds.is_admitted(service, build);
    has_endpoint(gateway, service, reach, is_admitted)
}

/// Whether no endpoint of a service takes new streams, and one would whose build has no row. Those that only peers reach
/// take streams, which are forwarded to these peers.
fn is_unserved(gateway: &Gateway, service: &Arc<str>, reach: Reach) -> bool {
    let builds = gateway.registry.builds();
    !builds.without_row(service).is_empty()
        && !has_admitted(gateway, service, reach)
        && has_endpoint(gateway, service, reach, |_| true)
        && (reach == Reach::Listed || !gateway.lacks_paths(service))
}

/// Whether an endpoint of a build that takes requests is listed.
fn has_endpoint(
    gateway: &Gateway,
    service: &str,
    reach: Reach,
    is_counted: impl Fn(&Build) -> bool,
) -> bool {
    let fleet = gateway.registry.fleet(service);
    fleet.targets().iter().any(|target| {
        let build = target.with(|state| {
            let is_reached = reach == Reach::Listed || state.path.error().is_none();
            let is_ready = state.profile.state == State::Ready && is_reached;
            is_ready.then(|| state.profile.build.clone())
        });
        build.is_some_and(|build| is_counted(&build))
    })
}

/// Writes rows. Returns whether the store accepted them.
async fn write(gateway: &Gateway, due: &[(&Waiting, Reason)]) -> bool {
    let endpoints_changed = gateway.last_changes.revision(List::Endpoints);
    let rows = due.iter().map(|(waiting, _)| StoredBuild {
        service: waiting.service.to_string(),
        build: waiting.build.to_string(),
        endpoints_changed,
        writer: gateway.incarnation,
    });
    let transaction = rows.fold(Transaction::default(), |transaction, row| {
        // a row of plain fields always has a JSON form
        let value = serde_json::to_string(&row).unwrap_or_default();
        transaction.write(&row.key(), value)
    });
    let outcome = gateway.adapters.table.commit(transaction).await;
    gateway.count_store_call("builds", outcome.is_ok());
    if let Err(error) = outcome {
        log::warn!(error:%; "failed to write the rows of builds; retrying");
        let outcomes = &gateway.metrics.streams.admitted;
        outcomes.with_label_values(&["failed"]).inc();
        return false;
    }
    for (waiting, reason) in due {
        record_written(gateway, waiting, *reason);
    }
    gateway.stored_builds.admissions.send_replace(());
    gateway.report_builds();
    true
}

fn record_written(gateway: &Gateway, waiting: &Waiting, reason: Reason) {
    let Waiting {
        service,
        build,
        since,
        ..
    } = waiting;
    let builds = gateway.registry.builds();
    builds.record_row(service, build.clone());
    let mut rows = gateway.stored_builds.rows.lock();
    let row = (service.to_string(), build.clone());
    if let Err(index) = rows.binary_search(&row) {
        rows.insert(index, row);
    }
    log::info!(
        service = &**service, build:% = build, reason:%, waited_ms = policy::micros(since.elapsed()) / 1_000;
        "wrote the row of a build; streams may begin there"
    );
    let outcomes = &gateway.metrics.streams.admitted;
    outcomes.with_label_values(&["written"]).inc();
}

fn admit_without_rows(gateway: &Gateway, service: &Arc<str>) {
    let builds = gateway.registry.builds();
    for build in builds.without_row(service) {
        if builds.admit_without_row(service, build.clone()) {
            log::warn!(
                service = &**service, build:% = build, rows:? = *gateway.earlier_rows().borrow();
                "streams begin at a build without a row, as the store is away and no other build serves"
            );
            let outcomes = &gateway.metrics.streams.admitted;
            outcomes.with_label_values(&["without-row"]).inc();
        }
    }
    gateway.stored_builds.admissions.send_replace(());
}
