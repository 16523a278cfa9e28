//! Until when streams of a service can have begun at one build only. Those that began before and that nobody knows are of
//! that build also when others are in use by now.

use clock::Instant;
use parking_lot::Mutex;

use super::{Gateway, StoredBuild};
use crate::endpoint::Build;

/// The only build of a service at which streams had begun at some time.
#[derive(Clone, Debug)]
struct Sole {
    service: String,
    build: Build,
    /// When the last read of the rows began that named no other build.
    until: Instant,
    /// The incarnations that wrote the rows of other builds, as of the last read.
    writers: Vec<u64>,
}

/// One entry for each service, sorted by name.
#[derive(Debug, Default)]
pub(super) struct Soles(Mutex<Vec<Sole>>);

impl Soles {
    /// Records the rows that a read which began at this time has returned.
    pub(super) fn record(&self, rows: &[StoredBuild], began: Instant) {
        let mut rows: Vec<&StoredBuild> = rows.iter().collect();
        rows.sort_unstable();
        let mut soles = self.0.lock();
        for of_service in rows.chunk_by(|first, second| first.service == second.service) {
            let service = &of_service[0].service;
            let known = soles.binary_search_by(|known| known.service.cmp(service));
            match (of_service, known) {
                ([only], Ok(index)) => soles[index] = Sole::new(only, began),
                ([only], Err(index)) => soles.insert(index, Sole::new(only, began)),
                (_, Ok(index)) => soles[index].record_others(of_service),
                (_, Err(_)) => {}
            }
        }
    }
}

impl Sole {
    fn new(row: &StoredBuild, until: Instant) -> Self {
        Self {
            service: row.service.clone(),
            build: Build(row.build.as_str().into()),
            until,
            writers: Vec::new(),
        }
    }

    fn record_others(&mut self, rows: &[&StoredBuild]) {
        let others = rows.iter().filter(|row| *row.build != *self.build.0);
        self.writers = others.map(|row| row.writer).collect();
    }
}

impl Gateway {
    /// Returns the build at which a stream began that neither this process nor any peer knows, if that is certain though
    /// several builds are in use: all gateways that can have begun streams at the others are still there, and would know.
    /// As of the last read of the rows.
    pub fn build_before_others(&self, service: &str) -> Option<Build> {
        let soles = self.stored_builds.soles.0.lock();
        let index = soles.binary_search_by(|known| known.service.as_str().cmp(service));
        let sole = &soles[index.ok()?];
        let ranking = self.peers.ranking();
        let is_left =
            |writer: &u64| *writer == self.incarnation || ranking.has_incarnation(*writer);
        let are_left =
            sole.writers.iter().all(is_left) && self.peers.are_all_left_since(sole.until);
        are_left.then(|| sole.build.clone())
    }
}
