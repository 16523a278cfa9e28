//! Which builds serve each service, which have served it lately, and at which of them streams may have begun.
//!
//! While there has been only one, every stream of the service began at it, so nothing else need be known. A stream begins
//! only at a build whose row is in the store, so that gateways that start know at which builds earlier ones may have begun
//! streams. See `docs/DESIGN.md#streams-and-builds`.

use std::{sync::Arc, time::Duration};

use clock::Instant;
use parking_lot::RwLock;
use tokio::sync::watch;

use super::{Build, Target};

/// How long a build counts after its last endpoint has left the list. Twice as long as a caller without a deadline of its
/// own is served, and so more than it may take to resume a stream.
pub const RETENTION: Duration = Duration::from_secs(120);
/// Maximum number of builds of one service that are remembered after they have left the list.
const MAX_DELISTED: usize = 64;

/// Time after which a build that has left the list needs a new row before streams may begin at it again; well before its
/// row is removed by a gateway whose list is older.
const LAPSE: Duration = Duration::from_secs(60);

/// Whether streams may begin at a build, or may have begun there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Admission {
    /// No gateway has begun a stream there as far as this process knows, and none may.
    Waiting,
    /// Streams may begin there, though no row says so: the store has been away for too long.
    Unrecorded,
    /// A row says that streams may have begun there.
    Admitted,
    /// Streams may have begun there, and its row may be removed.
    Lapsed,
}

/// A build of a service.
#[derive(Clone, Debug)]
struct Record {
    build: Build,
    /// When its last endpoint left the list; `None` while one is listed.
    delisted: Option<Instant>,
    admission: Admission,
}

impl Record {
    fn new(build: Build, delisted: Option<Instant>) -> Self {
        Self {
            build,
            delisted,
            admission: Admission::Waiting,
        }
    }

    /// Whether streams may have begun there.
    fn is_used(&self) -> bool {
        self.admission != Admission::Waiting
    }

    /// Whether new streams may begin there.
    fn is_admitted(&self) -> bool {
        matches!(self.admission, Admission::Admitted | Admission::Unrecorded)
    }

    /// Whether it serves and has no row.
    fn needs_row(&self) -> bool {
        self.delisted.is_none() && self.admission != Admission::Admitted
    }

    fn relist(&mut self, now: Instant) {
        let lapsed = self
            .delisted
            .is_some_and(|delisted| now.saturating_duration_since(delisted) >= LAPSE);
        if lapsed && self.is_used() {
            self.admission = Admission::Lapsed;
        }
        self.delisted = None;
    }

    fn counts(&self, now: Instant) -> bool {
        self.delisted
            .is_none_or(|delisted| now.saturating_duration_since(delisted) < RETENTION)
    }
}

/// The builds of each service.
#[derive(Debug, Default)]
pub struct Builds {
    /// Sorted by the service's name.
    services: RwLock<Vec<(Arc<str>, Vec<Record>)>>,
    /// Changes with each update of the list.
    updates: watch::Sender<()>,
}

impl Builds {
    /// Returns the builds that serve a service or have lately, sorted.
    #[must_use]
    pub fn of(&self, service: &str) -> Vec<Build> {
        let now = Instant::now();
        let services = self.services.read();
        let index = services.binary_search_by(|(name, _)| (**name).cmp(service));
        index.map_or_else(|_| Vec::new(), |index| counting(&services[index].1, now))
    }

    /// Returns all services and builds that serve them or have lately.
    #[must_use]
    pub fn all(&self) -> Vec<(Arc<str>, Build)> {
        let now = Instant::now();
        let services = self.services.read();
        let of_service = |(service, records): &(Arc<str>, Vec<Record>)| {
            let service = Arc::clone(service);
            let builds = counting(records, now).into_iter();
            builds.map(move |build| (Arc::clone(&service), build))
        };
        services.iter().flat_map(of_service).collect()
    }

    /// Returns the builds of a service at which streams may have begun, sorted.
    #[must_use]
    pub fn used(&self, service: &str) -> Vec<Build> {
        let now = Instant::now();
        let is_used = |record: &&Record| record.counts(now) && record.is_used();
        self.select(service, is_used)
    }

    /// Returns the builds of a service that serve and have no row, so that new streams may not begin there, sorted.
    #[must_use]
    pub fn without_row(&self, service: &str) -> Vec<Build> {
        self.select(service, |record| record.needs_row())
    }

    /// Whether new streams of a service may begin at a build.
    #[must_use]
    pub fn is_admitted(&self, service: &str, build: &Build) -> bool {
        self.with_record(service, build, Record::is_admitted)
            .unwrap_or(false)
    }

    /// Whether new streams of a service begin at a build of which the store has no row.
    #[must_use]
    pub fn has_unrecorded(&self, service: &str) -> bool {
        let is_unrecorded = |record: &&Record| record.admission == Admission::Unrecorded;
        !self.select(service, is_unrecorded).is_empty()
    }

    /// Whether streams of a service may have begun at a build.
    #[must_use]
    pub fn is_used(&self, service: &str, build: &Build) -> bool {
        self.with_record(service, build, Record::is_used)
            .unwrap_or(false)
    }

    /// Records that a row names a build. Returns whether streams may begin there from now on that could not before.
    pub fn record_row(&self, service: &str, build: Build) -> bool {
        self.set_admission(service, build, Admission::Admitted)
    }

    /// Lets streams begin at a build that serves though no row names it. Returns whether they could not before.
    pub fn admit_without_row(&self, service: &str, build: Build) -> bool {
        self.set_admission(service, build, Admission::Unrecorded)
    }

    fn set_admission(&self, service: &str, build: Build, admission: Admission) -> bool {
        let mut services = self.services.write();
        let records = records_of(&mut services, service);
        let index = index_of(records, build, Some(Instant::now()));
        let record = &mut records[index];
        let was_admitted = record.is_admitted();
        record.admission = match (record.delisted, record.admission, admission) {
            (None, Admission::Admitted, _) => Admission::Admitted,
            (None, _, admission) => admission,
            // another gateway whose list is older may be about to remove the row
            (Some(_), Admission::Waiting, _) => Admission::Lapsed,
            (Some(_), known, _) => known,
        };
        !was_admitted && record.is_admitted()
    }

    fn select(&self, service: &str, is_selected: impl Fn(&&Record) -> bool) -> Vec<Build> {
        let services = self.services.read();
        let index = services.binary_search_by(|(name, _)| (**name).cmp(service));
        let records = index.map_or(&[][..], |index| &services[index].1);
        let selected = records.iter().filter(is_selected);
        selected.map(|record| record.build.clone()).collect()
    }

    fn with_record<T>(
        &self,
        service: &str,
        build: &Build,
        get: impl FnOnce(&Record) -> T,
    ) -> Option<T> {
        let services = self.services.read();
        let index = services.binary_search_by(|(name, _)| (**name).cmp(service));
        let records = &services[index.ok()?].1;
        let index = records.binary_search_by(|record| record.build.cmp(build));
        index.ok().map(|index| get(&records[index]))
    }

    /// Whether several builds serve some service, or have lately.
    #[must_use]
    pub fn is_mixed(&self) -> bool {
        let now = Instant::now();
        let services = self.services.read();
        let is_mixed =
            |records: &[Record]| records.iter().filter(|record| record.counts(now)).count() > 1;
        services.iter().any(|(_, records)| is_mixed(records))
    }

    /// Returns a receiver that changes with each update of the list of endpoints.
    #[must_use]
    pub fn updates(&self) -> watch::Receiver<()> {
        self.updates.subscribe()
    }

    /// Records that a build has served a service until now.
    pub fn record_earlier(&self, service: &str, build: Build) {
        let mut services = self.services.write();
        let records = records_of(&mut services, service);
        index_of(records, build, Some(Instant::now()));
    }

    /// Records which endpoints are listed now.
    pub(super) fn update(&self, targets: &[Arc<Target>]) {
        let now = Instant::now();
        let mut services = self.services.write();
        for (_, records) in services.iter_mut() {
            for record in records.iter_mut() {
                record.delisted.get_or_insert(now);
            }
        }
        for target in targets {
            let (service, build) = target.with(|state| {
                (
                    Arc::clone(&state.profile.service),
                    state.profile.build.clone(),
                )
            });
            let records = records_of(&mut services, &service);
            let index = index_of(records, build, None);
            records[index].relist(now);
        }
        for (service, records) in services.iter_mut() {
            records.retain(|record| record.counts(now));
            forget_oldest(service, records);
        }
        services.retain(|(_, records)| !records.is_empty());
        drop(services);
        self.updates.send_replace(());
    }
}

fn counting(records: &[Record], now: Instant) -> Vec<Build> {
    let counting = records.iter().filter(|record| record.counts(now));
    counting.map(|record| record.build.clone()).collect()
}

/// Returns the index of a build's record, which is added if it is missing.
fn index_of(records: &mut Vec<Record>, build: Build, delisted: Option<Instant>) -> usize {
    match records.binary_search_by(|record| record.build.cmp(&build)) {
        Ok(index) => index,
        Err(index) => {
            records.insert(index, Record::new(build, delisted));
            index
        }
    }
}

fn records_of<'a>(
    services: &'a mut Vec<(Arc<str>, Vec<Record>)>,
    service: &str,
) -> &'a mut Vec<Record> {
    let index = match services.binary_search_by(|(name, _)| (**name).cmp(service)) {
        Ok(index) => index,
        Err(index) => {
            services.insert(index, (Arc::from(service), Vec::new()));
            index
        }
    };
    &mut services[index].1
}

/// Forgets the builds that left the list first, beyond [`MAX_DELISTED`] of them.
fn forget_oldest(service: &str, records: &mut Vec<Record>) {
    let mut delisted: Vec<Instant> = records
        .iter()
        .filter_map(|record| record.delisted)
        .collect();
    if delisted.len() <= MAX_DELISTED {
        return;
    }
    delisted.sort_unstable();
    let oldest = delisted[delisted.len() - MAX_DELISTED];
    records.retain(|record| record.delisted.is_none_or(|delisted| delisted >= oldest));
    log::warn!(service, kept = records.len(); "too many builds of a service; forgetting the oldest ones");
}
