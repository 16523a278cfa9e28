//! Builds in the store. Gateways know in memory only which builds have served a service lately; after all of them were
//! killed at once, the build that began a stream could be taken for the one that is left.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use clock::Instant;
use cloud::table::{Row, Transaction};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{Gateway, List};
use crate::endpoint::{BUILD_RETENTION, Build};

/// The prefix of the keys of builds.
pub(super) const ROW_PREFIX: &str = "build/";
/// How often the rows are compared with the builds that serve.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of rows; further builds are known only to the gateways. All of them can be replaced in one transaction
/// of the store.
const MAX_ROWS: usize = 40;

/// A build of a service that has several, or had until lately.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct StoredBuild {
    service: String,
    build: String,
}

impl StoredBuild {
    fn key(&self) -> String {
        let seed = xxh3_64(self.service.as_bytes());
        let hash = xxh3_64_with_seed(self.build.as_bytes(), seed);
        format!("{ROW_PREFIX}{hash:016x}")
    }
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
    /// The rows as this process knows them, sorted; `None` until they have been read.
    rows: Mutex<Option<Vec<StoredBuild>>>,
    /// The rows that can't be parsed; `None` if there are none.
    unparsed: Mutex<Option<Unparsed>>,
    /// Whether all rows have been read, or a peer has reported all builds.
    is_complete: AtomicBool,
    /// The latest revision of the list of endpoints whose builds a peer has reported.
    reported_revision: AtomicU64,
    /// Changes whenever more has become known.
    reading: watch::Sender<Rows>,
}

impl Default for StoredBuilds {
    fn default() -> Self {
        Self {
            rows: Mutex::default(),
            unparsed: Mutex::default(),
            is_complete: AtomicBool::new(false),
            reported_revision: AtomicU64::new(0),
            reading: watch::Sender::new(Rows::Pending),
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
    pub fn record_reported_builds(&self, builds: &[(String, Build)], revision: u64) -> bool {
        let is_later = revision > self.last_changes.revision(List::Endpoints);
        if self.knows_earlier_builds() && !is_later {
            return false;
        }
        for (service, build) in builds {
            let known = self.registry.builds();
            known.record_earlier(service, build.clone());
        }
        let stored = &self.stored_builds;
        stored
            .reported_revision
            .fetch_max(revision, Ordering::AcqRel);
        self.record_earlier_builds_known();
        true
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

/// Takes in the rows that were read at the start of the process, the last ones of those read together.
pub(super) fn restore(gateway: &Gateway, rows: &[Row]) {
    let mut stored = Vec::new();
    let mut unparsed = Vec::new();
    for row in rows {
        match serde_json::from_str::<StoredBuild>(&row.value) {
            Ok(row) => {
                let build = Build(Arc::from(row.build.as_str()));
                gateway
                    .registry
                    .builds()
                    .record_earlier(&row.service, build);
                stored.push(row);
            }
            Err(error) => {
                log::warn!(key = row.key, error:%; "could not parse the row of a build");
                unparsed.push((row.key.clone(), row.version));
            }
        }
    }
    if !stored.is_empty() {
        log::info!(builds:? = stored; "builds that served earlier were read from the store");
    }
    stored.sort_unstable();
    *gateway.stored_builds.rows.lock() = Some(stored);
    if unparsed.is_empty() {
        gateway.record_earlier_builds_known();
    } else {
        *gateway.stored_builds.unparsed.lock() = Some(Unparsed {
            rows: unparsed,
            read: Instant::now(),
        });
    }
    gateway.stored_builds.reading.send_replace(Rows::Read);
}

/// Keeps the rows up to date for the lifetime of the process, at the gateway that reads the lists first.
pub async fn run(gateway: &Gateway) {
    loop {
        clock::sleep(CHECK_INTERVAL).await;
        let Some(stored) = gateway.stored_builds.rows.lock().clone() else {
            continue;
        };
        let wanted = wanted_rows(gateway);
        let own = gateway.settings.gateway.peers;
        let is_writer = gateway.reads_lists() && !gateway.peers.has_preceding_reader(own);
        let may_write = is_writer && gateway.store_available();
        if may_write && stored != wanted {
            update(gateway, &stored, &wanted).await;
        }
        // rows that are up to date hold all builds that count
        expire_unparsed(gateway, may_write && stored == wanted).await;
    }
}

/// Takes the builds to be known once those of rows that can't be parsed no longer count, and removes the rows if it may.
async fn expire_unparsed(gateway: &Gateway, may_remove: bool) {
    let unparsed = gateway.stored_builds.unparsed.lock().clone();
    let Some(unparsed) = unparsed.filter(Unparsed::is_expired) else {
        return;
    };
    if !gateway.knows_earlier_builds() {
        log::info!("the builds of rows that could not be parsed no longer count");
        gateway.record_earlier_builds_known();
    }
    if may_remove {
        remove_unparsed(gateway, &unparsed.rows).await;
    }
}

fn wanted_rows(gateway: &Gateway) -> Vec<StoredBuild> {
    let mixed = gateway.registry.builds().mixed();
    let rows = mixed.iter().flat_map(|(service, builds)| {
        builds.iter().map(|build| StoredBuild {
            service: service.to_string(),
            build: build.to_string(),
        })
    });
    let mut rows: Vec<StoredBuild> = rows.take(MAX_ROWS).collect();
    rows.sort_unstable();
    rows
}

async fn update(gateway: &Gateway, stored: &[StoredBuild], wanted: &[StoredBuild]) {
    let missing = wanted.iter().filter(|row| !stored.contains(row));
    let expired = stored.iter().filter(|row| !wanted.contains(row));
    let mut transaction = Transaction::default();
    for row in missing {
        // a row of plain fields always has a JSON form
        let value = serde_json::to_string(row).unwrap_or_default();
        transaction = transaction.write(&row.key(), value);
    }
    for row in expired {
        transaction = transaction.remove(&row.key());
    }
    let outcome = gateway.adapters.table.commit(transaction).await;
    gateway.count_store_call("builds", outcome.is_ok());
    match outcome {
        Ok(_) => {
            log::info!(builds:? = wanted; "the builds that serve were written to the store");
            *gateway.stored_builds.rows.lock() = Some(wanted.to_vec());
        }
        Err(error) => {
            log::warn!(error:%; "failed to write the builds that serve to the store; retrying");
        }
    }
}

/// Removes rows that have not changed since they were read. One whose removal fails is left to a process that starts later.
async fn remove_unparsed(gateway: &Gateway, rows: &[(String, u64)]) {
    for (key, version) in rows.iter().take(MAX_ROWS) {
        let removal = Transaction::default().check(key, *version).remove(key);
        let outcome = gateway.adapters.table.commit(removal).await;
        gateway.count_store_call("builds", outcome.is_ok());
        match outcome {
            Ok(outcome) => {
                log::info!(key, outcome:?; "removed the row of a build unless it has changed");
            }
            Err(error) => {
                log::warn!(key, error:%; "failed to remove the row of a build that could not be parsed");
            }
        }
    }
    *gateway.stored_builds.unparsed.lock() = None;
}
