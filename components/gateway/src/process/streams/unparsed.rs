//! Rows of streams that can't be parsed, such as those of a later version of the gateway during an upgrade. Their streams
//! have expired once they have not changed for longer than any stream may be resumed.

use clock::Instant;
use cloud::table::Row;

use crate::streams::MAX_LIFETIME;

/// The rows that could not be parsed when they were last read, sorted by key.
#[derive(Debug, Default)]
pub(super) struct Unparsed(Vec<Unchanged>);

#[derive(Clone, Debug)]
struct Unchanged {
    key: String,
    version: u64,
    /// When this version was first read.
    since: Instant,
}

impl Unparsed {
    /// Replaces the rows by those that have been read now.
    pub(super) fn update<'a>(&mut self, rows: impl Iterator<Item = &'a Row>, now: Instant) {
        let since = |row: &Row| {
            let earlier = self.get(&row.key);
            let unchanged = earlier.filter(|earlier| earlier.version == row.version);
            unchanged.map(|unchanged| unchanged.since)
        };
        let mut rows: Vec<Unchanged> = rows
            .map(|row| {
                let since = since(row);
                if since.is_none() {
                    log::warn!(key = row.key; "could not parse the row of a gateway's streams");
                }
                Unchanged {
                    key: row.key.clone(),
                    version: row.version,
                    since: since.unwrap_or(now),
                }
            })
            .collect();
        rows.sort_unstable_by(|first, second| first.key.cmp(&second.key));
        self.0 = rows;
    }

    /// Whether no stream in a row can still be resumed.
    pub(super) fn is_expired(&self, key: &str, now: Instant) -> bool {
        let row = self.get(key);
        row.is_some_and(|row| now.saturating_duration_since(row.since) > MAX_LIFETIME)
    }

    fn get(&self, key: &str) -> Option<&Unchanged> {
        let index = self.0.binary_search_by(|row| row.key.as_str().cmp(key));
        index.ok().map(|index| &self.0[index])
    }
}
