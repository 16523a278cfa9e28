//! Requests that may crash the endpoints that run them.
//!
//! When an endpoint crashes, each request in flight there becomes a suspect, as one of them may have
//! caused the crash. A request that merely shared the endpoint is served elsewhere, which clears it. One
//! that crashes every endpoint is never served, and is withheld from all endpoints after the third crash.
//! See `docs/DESIGN.md#requests-that-end-endpoints`.

/// A point in time on the monotonic clock of the code that uses this crate, negative for times before
/// the clock started, or a duration, in microseconds.
pub type SignedMicros = i64;

/// Number of crashes after which a request is withheld. Fewer would withhold requests that happened to
/// be in flight during two unrelated crashes; more would cost the other requests on those endpoints.
pub const CRASHES_TO_WITHHOLD: usize = 3;
/// How long a request is withheld after the last crash; the endpoints may have been fixed by then. If
/// another endpoint crashes while running it, it is withheld again at once, and for longer.
pub const WITHHOLD_DURATION: SignedMicros = 300 * SECOND;
/// How many times longer a request is withheld after another crash than it was before.
pub const WITHHOLD_GROWTH: SignedMicros = 4;
/// The longest time for which a request is withheld after a crash.
pub const MAX_WITHHOLD_DURATION: SignedMicros = 24 * 3_600 * SECOND;
/// How long a suspect is remembered after the last update, if it is not withheld for longer.
pub const RECORD_TTL: SignedMicros = 2 * WITHHOLD_DURATION;
/// Maximum number of remembered requests, of about 100 bytes each.
pub const MAX_RECORDS: usize = 1_024;

const SECOND: SignedMicros = 1_000_000;

/// A crash of an endpoint while a request was in flight there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The endpoint's incarnation.
    pub endpoint: u32,
    /// When it crashed.
    pub at: SignedMicros,
}

/// What is known of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    /// Crashes since the request was last served, the oldest first; at most [`CRASHES_TO_WITHHOLD`].
    pub crashes: Vec<Crash>,
    /// When the request was last served.
    pub last_served: Option<SignedMicros>,
}

impl Record {
    /// Returns the time of the latest crash or answer.
    #[must_use]
    pub fn last_update(&self) -> Option<SignedMicros> {
        self.crashes
            .last()
            .map(|crash| crash.at)
            .max(self.last_served)
    }

    /// Returns for how much longer the request is withheld; `None` if it isn't.
    #[must_use]
    pub fn remaining_withhold(&self, now: SignedMicros) -> Option<SignedMicros> {
        let last = self
            .crashes
            .last()
            .filter(|_| self.crashes.len() >= CRASHES_TO_WITHHOLD)?;
        let remaining = last.at + self.withhold_duration() - now;
        (remaining > 0).then_some(remaining)
    }

    /// Whether enough endpoints have crashed that the request is withheld, or was until its time was over.
    #[must_use]
    pub fn is_convicted(&self) -> bool {
        self.crashes.len() >= CRASHES_TO_WITHHOLD
    }

    /// Returns for how long the time is over for which the request was withheld; zero if it is not.
    #[must_use]
    pub fn over_for(&self, now: SignedMicros) -> SignedMicros {
        let ended = |last: &Crash| last.at + self.withhold_duration();
        let ended = self.crashes.last().map(ended);
        ended.map_or(0, |ended| (now - ended).max(0))
    }

    /// Returns for how long the request is withheld after the last crash. A crash that comes after the time was over is
    /// recognised by its distance from the one before.
    fn withhold_duration(&self) -> SignedMicros {
        let gap = match self.crashes.as_slice() {
            [.., before, last] => last.at - before.at,
            [] | [_] => 0,
        };
        if gap < WITHHOLD_DURATION {
            return WITHHOLD_DURATION;
        }
        (gap * WITHHOLD_GROWTH).min(MAX_WITHHOLD_DURATION)
    }

    /// Whether the record is no longer of use.
    fn is_expired(&self, now: SignedMicros) -> bool {
        let ttl = if self.is_convicted() {
            RECORD_TTL.max(2 * self.withhold_duration())
        } else {
            RECORD_TTL
        };
        self.last_update().is_none_or(|last| now - last >= ttl)
    }

    /// Merges another record of the same request. Returns whether that changed anything.
    fn merge(&mut self, other: &Self) -> bool {
        let previous = self.clone();
        self.last_served = self.last_served.max(other.last_served);
        for crash in &other.crashes {
            match self
                .crashes
                .iter_mut()
                .find(|known| known.endpoint == crash.endpoint)
            {
                // The earliest report comes from the process that observed the crash.
                Some(known) => known.at = known.at.min(crash.at),
                None => self.crashes.push(*crash),
            }
        }
        let last_served = self.last_served;
        self.crashes
            .retain(|crash| last_served.is_none_or(|last_served| last_served < crash.at));
        self.crashes
            .sort_unstable_by_key(|crash| (crash.at, crash.endpoint));
        let surplus = self.crashes.len().saturating_sub(CRASHES_TO_WITHHOLD);
        self.crashes.drain(..surplus);
        *self != previous
    }
}

/// All suspects, sorted by the fingerprint of the request.
#[derive(Clone, Debug, Default)]
pub struct Suspects(Vec<(u64, Record)>);

impl Suspects {
    /// Returns what is known of a request.
    #[must_use]
    pub fn get(&self, fingerprint: u64) -> Option<&Record> {
        let index = self.find(fingerprint).ok()?;
        Some(&self.0[index].1)
    }

    /// Returns all records.
    #[must_use]
    pub fn records(&self) -> &[(u64, Record)] {
        &self.0
    }

    /// Merges a record from this process or another source. Returns whether that changed anything.
    pub fn add(&mut self, fingerprint: u64, received: &Record, now: SignedMicros) -> bool {
        self.evict_expired(now);
        match self.find(fingerprint) {
            _ if received.is_expired(now) => false,
            Ok(index) => self.0[index].1.merge(received),
            // Success of a request that is not suspected needs no record.
            Err(_) if received.crashes.is_empty() => false,
            Err(_) => {
                self.evict_if_full();
                let index = self.find(fingerprint).unwrap_or_else(|index| index);
                let mut record = Record::default();
                let changed = record.merge(received);
                self.0.insert(index, (fingerprint, record));
                changed
            }
        }
    }

    /// Drops records without an update for a long time.
    pub fn evict_expired(&mut self, now: SignedMicros) {
        self.0.retain(|(_, record)| !record.is_expired(now));
    }

    /// If the table is full, drops the record with the fewest crashes, and of these the oldest.
    fn evict_if_full(&mut self) {
        if self.0.len() < MAX_RECORDS {
            return;
        }
        let records = self.0.iter().enumerate();
        let least =
            records.min_by_key(|(_, (_, record))| (record.crashes.len(), record.last_update()));
        if let Some((index, _)) = least {
            self.0.remove(index);
        }
    }

    fn find(&self, fingerprint: u64) -> Result<usize, usize> {
        self.0
            .binary_search_by_key(&fingerprint, |(fingerprint, _)| *fingerprint)
    }
}
