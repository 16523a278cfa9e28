//! Builds in the store: one row for each build at which streams may have begun, written before the first of them begins.
//! Gateways know in memory only which builds have served a service lately; after all of them were killed at once, the
//! build that began a stream could be taken for another one.

mod admission;
mod cleanup;
mod read;
mod sole;
#[cfg(test)]
mod tests;

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use clock::Instant;
use cloud::table::Row;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, watch};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{Gateway, List};
use crate::endpoint::{BUILD_RETENTION, Build};
use sole::Soles;

/// The prefix of the keys of builds.
pub(super) const ROW_PREFIX: &str = "build/";

/// A build of a service at which streams may have begun.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct StoredBuild {
    service: String,
    build: String,
    /// The revision of the list of endpoints that its writer knew; a gateway with an older list does not remove the row.
    #[serde(default)]
    endpoints_changed: u64,
    /// The incarnation of its writer; zero if that is not known.
    #[serde(default)]
    writer: u64,
}

impl StoredBuild {
    fn key(&self) -> String {
        let seed = xxh3_64(self.service.as_bytes());
        let hash = xxh3_64_with_seed(self.build.as_bytes(), seed);
        format!("{ROW_PREFIX}{hash:016x}")
    }
}

/// A build as a peer reports it.
#[derive(Clone, Debug)]
pub struct Reported {
    /// The service.
    pub service: String,
    /// The build.
    pub build: Build,
    /// Whether a row of the store says that streams may have begun at it.
    pub is_used: bool,
}

/// When the rows were last read, successfully and not.
#[derive(Clone, Copy, Debug, Default)]
struct Reads {
    /// When the last read that succeeded began.
    succeeded: Option<Instant>,
    /// When the last read that failed began.
    failed: Option<Instant>,
}

/// Whether this process has read the rows of earlier processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rows {
    /// They are yet to be read.
    Pending,
    /// The store did not answer; a later attempt may succeed.
    Unavailable,
    /// They have been read.
    Read,
}

/// Rows that can't be parsed, such as those of a later version of the gateway, so that builds are unknown.
#[derive(Clone, Debug)]
struct Unparsed {
    /// The keys of the rows with their versions.
    rows: Vec<(String, u64)>,
    read: Instant,
}

impl Unparsed {
    /// Whether their builds no longer count, unless they are in the list of endpoints.
    fn is_expired(&self) -> bool {
        self.read.elapsed() >= BUILD_RETENTION
    }
}

/// The builds in the store.
#[derive(Debug)]
pub struct StoredBuilds {
    /// The services and builds that rows name as far as this process knows, sorted.
    rows: Mutex<Vec<(String, Build)>>,
    /// The rows that can't be parsed; `None` if there are none.
    unparsed: Mutex<Option<Unparsed>>,
    /// Whether all rows have been read, or a peer has reported all builds.
    is_complete: AtomicBool,
    /// The latest revision of the list of endpoints whose builds a peer has reported.
    reported_revision: AtomicU64,
    /// Changes whenever more has become known.
    reading: watch::Sender<Rows>,
    reads: Mutex<Reads>,
    /// Until when streams can have begun at one build only.
    soles: Soles,
    /// Notified when a search needs the rows to be read again.
    read_wanted: Notify,
    /// The services whose requests find no room at the builds in use, while another one waits for its row.
    without_room: Mutex<Vec<Arc<str>>>,
    /// Changes when streams may begin at a further build.
    admissions: watch::Sender<()>,
}

impl Default for StoredBuilds {
    fn default() -> Self {
        Self {
            rows: Mutex::default(),
            unparsed: Mutex::default(),
            is_complete: AtomicBool::new(false),
            reported_revision: AtomicU64::new(0),
            reading: watch::Sender::new(Rows::Pending),
            reads: Mutex::default(),
            soles: Soles::default(),
            read_wanted: Notify::new(),
            without_room: Mutex::default(),
            admissions: watch::Sender::new(()),
        }
    }
}

impl Gateway {
    /// Whether this process knows which builds served before it started.
    pub fn knows_earlier_builds(&self) -> bool {
        self.stored_builds.is_complete.load(Ordering::Acquire)
    }

    /// Returns whether the rows of earlier processes have been read, now and in future. It changes also when the earlier
    /// builds become known.
    pub fn earlier_rows(&self) -> watch::Receiver<Rows> {
        self.stored_builds.reading.subscribe()
    }

    /// Records that all builds that served before the start of this process are known.
    pub fn record_earlier_builds_known(&self) {
        let stored = &self.stored_builds;
        stored.is_complete.store(true, Ordering::Release);
        stored.reading.send_modify(|_| {});
    }

    /// Whether a live peer knows a later list of endpoints than this process, which may hold further builds.
    pub fn has_old_endpoints(&self) -> bool {
        self.last_changes.revision(List::Endpoints) < self.peers.latest_revision(List::Endpoints)
    }

    /// Whether this process knows all builds that serve, from its own list of endpoints or from a peer with a later one.
    pub fn knows_listed_builds(&self) -> bool {
        let reported = self.stored_builds.reported_revision.load(Ordering::Acquire);
        let own = self.last_changes.revision(List::Endpoints);
        own.max(reported) >= self.peers.latest_revision(List::Endpoints)
    }

    /// Takes over the builds that a peer knows, all that served up to this revision of the list of endpoints. Returns
    /// whether it knows more than this process.
    pub fn record_reported_builds(&self, reported: &[Reported], revision: u64) -> bool {
        let builds = self.registry.builds();
        for used in reported.iter().filter(|reported| reported.is_used) {
            if builds.record_row(&used.service, used.build.clone()) {
                log::info!(service = used.service, build:% = used.build; "a peer reported that streams may begin at a build");
                let outcomes = &self.metrics.streams.admitted;
                outcomes.with_label_values(&["reported"]).inc();
                self.stored_builds.admissions.send_replace(());
            }
        }
        let is_later = revision > self.last_changes.revision(List::Endpoints);
        if self.knows_earlier_builds() && !is_later {
            return false;
        }
        for reported in reported {
            builds.record_earlier(&reported.service, reported.build.clone());
        }
        let stored = &self.stored_builds;
        stored
            .reported_revision
            .fetch_max(revision, Ordering::AcqRel);
        self.record_earlier_builds_known();
        true
    }

    /// Asks for the rows to be read again, and for what began after `since` to be known by then.
    pub fn want_rows_of_builds(&self) {
        self.stored_builds.read_wanted.notify_one();
    }

    /// Returns whether a read of the rows that began at `since` or later has succeeded, `None` if the last one has failed.
    pub fn confirmed_builds(&self, since: Instant) -> Option<bool> {
        let reads = *self.stored_builds.reads.lock();
        let is_confirmed = reads.succeeded.is_some_and(|began| began >= since);
        let has_failed = reads.failed.is_some_and(|began| began >= since);
        (is_confirmed || !has_failed).then_some(is_confirmed)
    }

    /// Returns when the last read of the rows that succeeded began.
    pub fn builds_read(&self) -> Option<Instant> {
        self.stored_builds.reads.lock().succeeded
    }

    /// Whether rows of builds that can't be parsed may name builds at which streams have begun.
    pub fn has_unparsed_builds(&self) -> bool {
        let unparsed = self.stored_builds.unparsed.lock();
        unparsed.as_ref().is_some_and(|rows| !rows.is_expired())
    }

    /// Records that a request has found no room at the builds of its service in use.
    pub fn record_no_room_at_builds(&self, service: &Arc<str>) {
        let mut services = self.stored_builds.without_room.lock();
        if let Err(index) = services.binary_search(service) {
            services.insert(index, Arc::clone(service));
        }
    }

    /// Returns a receiver that changes when streams may begin at a further build.
    pub fn admissions(&self) -> watch::Receiver<()> {
        self.stored_builds.admissions.subscribe()
    }

    /// Records that the store did not answer a call that has to succeed before the rows are read.
    pub fn record_rows_unavailable(&self) {
        self.stored_builds.reading.send_if_modified(|reading| {
            let was_pending = *reading == Rows::Pending;
            if was_pending {
                *reading = Rows::Unavailable;
            }
            was_pending
        });
    }
}

/// Takes in the rows that were read at the start of the process. `began` is when the read began.
pub(super) fn restore(gateway: &Gateway, rows: &[Row], began: Instant) {
    let stored = read::take_in(gateway, rows, began);
    log::info!(builds:? = stored; "builds at which streams may have begun were read from the store");
    if gateway.stored_builds.unparsed.lock().is_none() {
        gateway.record_earlier_builds_known();
    }
    gateway.stored_builds.reading.send_replace(Rows::Read);
}

/// Reads, writes and removes rows for the lifetime of the process.
pub async fn run(gateway: &Gateway) {
    tokio::join!(
        read::run(gateway),
        admission::run(gateway),
        admission::run_without_rows(gateway),
        cleanup::run(gateway)
    );
}
