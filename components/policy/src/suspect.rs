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
/// How long a crash that is not certain counts. It is certain once a successor of the endpoint is listed, which takes its
/// restart and a few heartbeats.
pub const PENDING_TTL: SignedMicros = 10 * SECOND;
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
    /// Crashes since then that are not certain, as the path to the endpoint may be lost instead; the oldest first, at
    /// most [`CRASHES_TO_WITHHOLD`].
    pub pending: Vec<Crash>,
    /// When the request was last served.
    pub last_served: Option<SignedMicros>,
}

impl Record {
    /// Returns the record of a request that was in flight during one crash.
    #[must_use]
    pub fn of_crash(crash: Crash) -> Self {
        Self {
            crashes: vec![crash],
            ..Self::default()
        }
    }

    /// Returns the record of a request that was in flight at an endpoint that may have crashed.
    #[must_use]
    pub fn of_pending(crash: Crash) -> Self {
        Self {
            pending: vec![crash],
            ..Self::default()
        }
    }

    /// Returns the record of a request that was served.
    #[must_use]
    pub fn of_answer(at: SignedMicros) -> Self {
        Self {
            last_served: Some(at),
            ..Self::default()
        }
    }

    /// Whether an endpoint has crashed, or may have, while running the request since it was last served.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        !self.crashes.is_empty() || !self.pending.is_empty()
    }

    /// Returns the time of the latest crash or answer.
    #[must_use]
    pub fn last_update(&self) -> Option<SignedMicros> {
        let crashes = [self.crashes.last(), self.pending.last()];
        let crashes = crashes.into_iter().flatten().map(|crash| crash.at);
        crashes.max().max(self.last_served)
    }

    /// Returns for how much longer the request is held back because of crashes that are not certain; `None` if it isn't.
    /// It is held back if it would be withheld once they are.
    #[must_use]
    pub fn remaining_hold(&self, now: SignedMicros) -> Option<SignedMicros> {
        let missing = CRASHES_TO_WITHHOLD
            .saturating_sub(self.crashes.len())
            .max(1);
        let decisive = self.pending.iter().rev().nth(missing - 1)?;
        let remaining = decisive.at + PENDING_TTL - now;
        (remaining > 0).then_some(remaining)
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
        merge_crashes(&mut self.crashes, &other.crashes, self.last_served);
        let is_certain = |pending: &Crash| {
            self.crashes
                .iter()
                .any(|crash| crash.endpoint == pending.endpoint)
        };
        let mut pending = other.pending.clone();
        pending.retain(|crash| !is_certain(crash));
        self.pending.retain(|crash| !is_certain(crash));
        merge_crashes(&mut self.pending, &pending, self.last_served);
        *self != previous
    }

    /// Drops crashes that have not become certain in time.
    fn drop_expired_pending(&mut self, now: SignedMicros) {
        self.pending.retain(|crash| now - crash.at < PENDING_TTL);
    }
}

/// Merges crashes, and keeps the latest ones since the request was last served.
fn merge_crashes(known: &mut Vec<Crash>, received: &[Crash], last_served: Option<SignedMicros>) {
    for crash in received {
        match known
            .iter_mut()
            .find(|known| known.endpoint == crash.endpoint)
        {
            // The earliest report comes from the process that observed the crash.
            Some(known) => known.at = known.at.min(crash.at),
            None => known.push(*crash),
        }
    }
    known.retain(|crash| last_served.is_none_or(|last_served| last_served < crash.at));
    known.sort_unstable_by_key(|crash| (crash.at, crash.endpoint));
    let surplus = known.len().saturating_sub(CRASHES_TO_WITHHOLD);
    known.drain(..surplus);
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
            Err(_) if !received.is_suspect() => false,
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
        for (_, record) in &mut self.0 {
            record.drop_expired_pending(now);
        }
        self.0.retain(|(_, record)| !record.is_expired(now));
    }

    /// Drops crashes of an endpoint that are not certain, up to `at`, as it has not crashed then. Returns whether there were
    /// any.
    pub fn retract_pending(&mut self, endpoint: u32, at: SignedMicros) -> bool {
        let is_refuted = |crash: &mut Crash| crash.endpoint == endpoint && crash.at <= at;
        let mut any = false;
        for (_, record) in &mut self.0 {
            any |= record.pending.extract_if(.., is_refuted).count() > 0;
        }
        any
    }

    /// Returns the endpoints that may have crashed, sorted.
    #[must_use]
    pub fn pending_endpoints(&self) -> Vec<u32> {
        let pending = self.0.iter().flat_map(|(_, record)| &record.pending);
        let mut endpoints: Vec<u32> = pending.map(|crash| crash.endpoint).collect();
        endpoints.sort_unstable();
        endpoints.dedup();
        endpoints
    }

    /// Returns the requests for which a crash of an endpoint is not certain, with that crash.
    #[must_use]
    pub fn pending_crashes(&self, endpoint: u32) -> Vec<(u64, Crash)> {
        let pending = self.0.iter().flat_map(|(fingerprint, record)| {
            let crashes = record.pending.iter();
            crashes.map(move |crash| (*fingerprint, *crash))
        });
        pending
            .filter(|(_, crash)| crash.endpoint == endpoint)
            .collect()
    }

    /// Whether an endpoint has crashed while running a request that has not been served since.
    #[must_use]
    pub fn has_crashed(&self, endpoint: u32) -> bool {
        let mut crashes = self.0.iter().flat_map(|(_, record)| &record.crashes);
        crashes.any(|crash| crash.endpoint == endpoint)
    }

    /// If the table is full, drops the record with the fewest crashes, and of these the oldest.
    fn evict_if_full(&mut self) {
        if self.0.len() < MAX_RECORDS {
            return;
        }
        let records = self.0.iter().enumerate();
        let least = records.min_by_key(|(_, (_, record))| {
            let crashes = record.crashes.len();
            (crashes, record.pending.len(), record.last_update())
        });
        if let Some((index, _)) = least {
            self.0.remove(index);
        }
    }

    fn find(&self, fingerprint: u64) -> Result<usize, usize> {
        self.0
            .binary_search_by_key(&fingerprint, |(fingerprint, _)| *fingerprint)
    }
}
