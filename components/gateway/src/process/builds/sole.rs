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
            let [only] = of_service else {
                continue;
            };
            let sole = Sole {
                service: only.service.clone(),
                build: Build(only.build.as_str().into()),
                until: began,
            };
            match soles.binary_search_by(|known| known.service.cmp(&sole.service)) {
                Ok(index) => soles[index] = sole,
                Err(index) => soles.insert(index, sole),
            }
        }
    }
}

impl Gateway {
    /// Returns the build at which a stream began that neither this process nor any peer knows, if that is certain though
    /// several builds are in use: all gateways that can have begun streams at the others are still there, and would know.
    pub fn build_before_others(&self, service: &str) -> Option<Build> {
        let soles = self.stored_builds.soles.0.lock();
        let index = soles.binary_search_by(|known| known.service.as_str().cmp(service));
        let sole = &soles[index.ok()?];
        self.peers
            .are_all_left_since(sole.until)
            .then(|| sole.build.clone())
    }
}
