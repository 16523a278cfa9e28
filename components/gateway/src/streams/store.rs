//! The streams of a gateway as its row in the store holds them: gateways know them in memory only, which is lost when all
//! that know a stream are killed together.

use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use base64::{Engine as _, engine::general_purpose::STANDARD_NO_PAD};
use clock::Instant;
use serde::{Deserialize, Serialize};

use super::{Begun, Key, MAX_LIFETIME, table::Owner};
use crate::{endpoint::Build, process::Gateway};

/// The prefix of the keys of rows.
pub const ROW_PREFIX: &str = "stream/";
/// Bytes of a stream in a row: its key, and until when it may be resumed in seconds after the time of the row.
const PACKED_BYTES: usize = 8 + 2;
/// Bytes that a stream adds to a row at most, in base64.
const ENTRY_BYTES: usize = PACKED_BYTES * 4 / 3 + 1;
/// Bytes of a row without streams, and of a build besides its name, at most.
const FRAME_BYTES: usize = 64;

/// A stream in a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Identifies the stream.
    pub key: Key,
    /// The build that began it.
    pub begun: Begun,
    /// Until when its caller may resume it, in Unix seconds: no monotonic clock survives a restart of all processes.
    pub expires_s: u64,
}

#[derive(Debug, Default, Serialize, Deserialize)]
struct Row {
    /// The time of the row in Unix seconds.
    at_s: u64,
    builds: Vec<Group>,
}

/// The streams of one build.
#[derive(Debug, Serialize, Deserialize)]
struct Group {
    /// Empty for streams whose build is ambiguous.
    build: String,
    /// Packed, in base64.
    streams: String,
}

impl Entry {
    /// Whether its caller may no longer resume it.
    pub fn is_expired(&self) -> bool {
        self.expires_s <= unix_seconds()
    }

    /// Whether an entry of the same stream in a row needs no change. The times of one stream may differ by a second.
    pub fn is_stored_as(&self, stored: &Self) -> bool {
        self.key == stored.key
            && self.begun == stored.begun
            && self.expires_s <= stored.expires_s.saturating_add(1)
    }

    fn build(&self) -> &str {
        match &self.begun {
            Begun::At(Build(build)) => build,
            Begun::Ambiguous => "",
        }
    }

    fn pack(&self, at_s: u64) -> [u8; PACKED_BYTES] {
        let left_s = u16::try_from(self.expires_s.saturating_sub(at_s)).unwrap_or(u16::MAX);
        let mut packed = [0; PACKED_BYTES];
        packed[..8].copy_from_slice(&self.key.0.to_be_bytes());
        packed[8..].copy_from_slice(&left_s.to_be_bytes());
        packed
    }

    fn unpack(packed: &[u8], begun: &Begun, at_s: u64) -> Option<Self> {
        let (key, left_s) = packed.split_first_chunk()?;
        let left_s = u16::from_be_bytes(left_s.try_into().ok()?);
        Some(Self {
            key: Key(u64::from_be_bytes(*key)),
            begun: begun.clone(),
            expires_s: at_s.saturating_add(u64::from(left_s)),
        })
    }
}

/// Returns the entries that fit into a row of `max_bytes`, sorted by key: those that may be resumed for longest.
pub fn select(mut entries: Vec<Entry>, max_bytes: usize) -> Vec<Entry> {
    entries.sort_unstable_by_key(|entry| std::cmp::Reverse(entry.expires_s));
    let mut builds: Vec<String> = Vec::new();
    let mut bytes = FRAME_BYTES;
    entries.retain(|entry| {
        let is_new = !builds.iter().any(|build| build == entry.build());
        // a character may be escaped
        let group_bytes = if is_new {
            FRAME_BYTES + 6 * entry.build().len()
        } else {
            0
        };
        let fits = bytes + group_bytes + ENTRY_BYTES <= max_bytes;
        if fits {
            bytes += group_bytes + ENTRY_BYTES;
        }
        if fits && is_new {
            builds.push(entry.build().to_owned());
        }
        fits
    });
    entries.sort_unstable_by_key(|entry| entry.key);
    entries
}

/// Returns the value of a row.
pub fn encode(entries: &[Entry]) -> String {
    let at_s = unix_seconds();
    let mut sorted: Vec<&Entry> = entries.iter().collect();
    sorted.sort_by_key(|entry| entry.build());
    let of_build = sorted.chunk_by(|first, second| first.build() == second.build());
    let groups = of_build.map(|entries| Group {
        build: entries[0].build().to_owned(),
        streams: STANDARD_NO_PAD.encode(
            entries
                .iter()
                .flat_map(|entry| entry.pack(at_s))
                .collect::<Vec<u8>>(),
        ),
    });
    let row = Row {
        at_s,
        builds: groups.collect(),
    };
    // a row of plain fields always has a JSON form
    serde_json::to_string(&row).unwrap_or_default()
}

/// Returns the entries of a row, or `None` if it can't be parsed.
pub fn decode(value: &str) -> Option<Vec<Entry>> {
    let row: Row = serde_json::from_str(value).ok()?;
    let mut entries = Vec::new();
    for group in &row.builds {
        let begun = match group.build.as_str() {
            "" => Begun::Ambiguous,
            build => Begun::At(Build(Arc::from(build))),
        };
        let packed = STANDARD_NO_PAD.decode(&group.streams).ok()?;
        for stream in packed.chunks(PACKED_BYTES) {
            entries.push(Entry::unpack(stream, &begun, row.at_s)?);
        }
    }
    entries.sort_unstable_by_key(|entry| entry.key);
    Some(entries)
}

impl Gateway {
    /// Returns the streams whose copies this process sends.
    pub fn own_streams(&self) -> Vec<Entry> {
        let (now, now_ms) = (Instant::now(), unix_time().as_millis());
        let mut entries = Vec::new();
        self.streams.table.for_each(now, None, |record| {
            if record.owner == Owner::This {
                let left = record.expires.saturating_duration_since(now);
                let expires_s = (now_ms + left.as_millis()).div_ceil(1_000);
                entries.push(Entry {
                    key: record.key,
                    begun: record.begun.clone(),
                    expires_s: u64::try_from(expires_s).unwrap_or(u64::MAX),
                });
            }
        });
        entries
    }

    /// Records the streams of a row: as this process's own if it is its predecessor's, as then nobody else writes them.
    pub fn restore_streams(&self, entries: &[Entry], is_own: bool) {
        let owner = if is_own { Owner::This } else { Owner::Store };
        let (now, now_s) = (Instant::now(), unix_seconds());
        for entry in entries.iter().filter(|entry| entry.expires_s > now_s) {
            let left = Duration::from_secs(entry.expires_s - now_s).min(MAX_LIFETIME);
            let begun = entry.begun.clone();
            let dropped = self
                .streams
                .table
                .record(entry.key, begun, now + left, owner);
            self.count_dropped_stream(dropped);
        }
    }
}

fn unix_time() -> Duration {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default()
}

fn unix_seconds() -> u64 {
    unix_time().as_secs()
}
