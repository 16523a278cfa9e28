//! Which builds serve each service, and which have served it lately.
//!
//! While there has been only one, every stream of the service began at it, so nothing else need be known. See
//! `docs/DESIGN.md#streams-and-builds`.

use std::{sync::Arc, time::Duration};

use clock::Instant;
use parking_lot::RwLock;

use super::{Build, Target};

/// How long a build counts after its last endpoint has left the list. Twice as long as a caller without a deadline of its
/// own is served, and so more than it may take to resume a stream.
pub const RETENTION: Duration = Duration::from_secs(120);
/// Maximum number of builds of one service that are remembered after they have left the list.
const MAX_DELISTED: usize = 64;

/// A build of a service.
#[derive(Clone, Debug)]
struct Record {
    build: Build,
    /// When its last endpoint left the list; `None` while one is listed.
    delisted: Option<Instant>,
}

impl Record {
    fn counts(&self, now: Instant) -> bool {
        self.delisted
            .is_none_or(|delisted| now.saturating_duration_since(delisted) < RETENTION)
    }
}

/// The builds of each service, sorted by the service's name.
#[derive(Debug, Default)]
pub struct Builds(RwLock<Vec<(Arc<str>, Vec<Record>)>>);

impl Builds {
    /// Returns the builds that serve a service or have lately, sorted.
    #[must_use]
    pub fn of(&self, service: &str) -> Vec<Build> {
        let now = Instant::now();
        let services = self.0.read();
        let index = services.binary_search_by(|(name, _)| (**name).cmp(service));
        index.map_or_else(|_| Vec::new(), |index| counting(&services[index].1, now))
    }

    /// Returns all services and builds that serve them or have lately.
    #[must_use]
    pub fn all(&self) -> Vec<(Arc<str>, Build)> {
        let now = Instant::now();
        let services = self.0.read();
        let of_service = |(service, records): &(Arc<str>, Vec<Record>)| {
            let service = Arc::clone(service);
            let builds = counting(records, now).into_iter();
            builds.map(move |build| (Arc::clone(&service), build))
        };
        services.iter().flat_map(of_service).collect()
    }

    /// Returns the services that several builds serve or have served lately, with these builds.
    #[must_use]
    pub fn mixed(&self) -> Vec<(Arc<str>, Vec<Build>)> {
        let now = Instant::now();
        let services = self.0.read();
        let builds = services
            .iter()
            .map(|(service, records)| (Arc::clone(service), counting(records, now)));
        builds.filter(|(_, builds)| builds.len() > 1).collect()
    }

    /// Whether several builds serve some service, or have lately.
    #[must_use]
    pub fn is_mixed(&self) -> bool {
        let now = Instant::now();
        let services = self.0.read();
        let is_mixed =
            |records: &[Record]| records.iter().filter(|record| record.counts(now)).count() > 1;
        services.iter().any(|(_, records)| is_mixed(records))
    }

    /// Records that a build has served a service until now.
    pub fn record_earlier(&self, service: &str, build: Build) {
        let mut services = self.0.write();
        let records = records_of(&mut services, service);
        if let Err(index) = records.binary_search_by(|record| record.build.cmp(&build)) {
            let delisted = Some(Instant::now());
            records.insert(index, Record { build, delisted });
        }
    }

    /// Records which endpoints are listed now.
    pub(super) fn update(&self, targets: &[Arc<Target>]) {
        let now = Instant::now();
        let mut services = self.0.write();
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
            match records.binary_search_by(|record| record.build.cmp(&build)) {
                Ok(index) => records[index].delisted = None,
                Err(index) => records.insert(
                    index,
                    Record {
                        build,
                        delisted: None,
                    },
                ),
            }
        }
        for (service, records) in services.iter_mut() {
            records.retain(|record| record.counts(now));
            forget_oldest(service, records);
        }
        services.retain(|(_, records)| !records.is_empty());
    }
}

fn counting(records: &[Record], now: Instant) -> Vec<Build> {
    let counting = records.iter().filter(|record| record.counts(now));
    counting.map(|record| record.build.clone()).collect()
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
