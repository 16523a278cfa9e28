//! Requests that may end the endpoints that run them.
//!
//! When an endpoint ends, each request that was under way there is a suspect: one of them may have ended it. A request
//! that only shared an endpoint is served elsewhere and is cleared by that; one that ends whatever runs it is never
//! served, and is withheld from all endpoints after the third. See `docs/DESIGN.md#requests-that-end-endpoints`.

/// Microseconds of the decider's own clock; negative before it was started.
pub type Moment = i64;

/// Endpoints that may end under a request before it is withheld: fewer would withhold requests that had the bad luck of
/// two endpoints that ended for reasons of their own, more would cost what else runs there.
pub const CRASHES_TO_WITHHOLD: usize = 3;
/// How long a request is withheld after the last endpoint ended under it: endpoints may have been mended by then. If
/// another one ends under it, it is withheld at once again.
pub const WITHHOLD_DURATION: Moment = 300 * SECOND;
/// How long a suspect is remembered after the last endpoint ended under it.
pub const RECORD_TTL: Moment = 2 * WITHHOLD_DURATION;
/// The most requests that are remembered: of some 100 bytes each.
pub const MAX_RECORDS: usize = 1_024;

const SECOND: Moment = 1_000_000;

/// An endpoint that ended while a request was under way there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The endpoint's incarnation.
    pub endpoint: u32,
    /// When it ended.
    pub at: Moment,
}

/// What is known of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    /// The endpoints that ended under it since it was served last, at most [`ENDS`] of them, the oldest first.
    pub crashes: Vec<Crash>,
    /// When it was last served.
    pub last_served: Option<Moment>,
}

impl Record {
    /// When something was last known of it.
    #[must_use]
    pub fn last_update(&self) -> Option<Moment> {
        self.crashes.last().map(|end| end.at).max(self.last_served)
    }

    /// For how much longer it is withheld; none if it isn't.
    #[must_use]
    pub fn remaining_withhold(&self, now: Moment) -> Option<Moment> {
        let last = self
            .crashes
            .last()
            .filter(|_| self.crashes.len() >= CRASHES_TO_WITHHOLD)?;
        let left = last.at + WITHHOLD_DURATION - now;
        (left > 0).then_some(left)
    }

    /// Adds what another record says of the same request. Says whether that changed anything.
    fn merge(&mut self, other: &Self) -> bool {
        let before = self.clone();
        self.last_served = self.last_served.max(other.last_served);
        for end in &other.crashes {
            match self
                .crashes
                .iter_mut()
                .find(|known| known.endpoint == end.endpoint)
            {
                // the first to tell was there
                Some(known) => known.at = known.at.min(end.at),
                None => self.crashes.push(*end),
            }
        }
        let served = self.last_served;
        self.crashes
            .retain(|end| served.is_none_or(|served| served < end.at));
        self.crashes
            .sort_unstable_by_key(|end| (end.at, end.endpoint));
        let surplus = self.crashes.len().saturating_sub(CRASHES_TO_WITHHOLD);
        self.crashes.drain(..surplus);
        *self != before
    }
}

/// All requests that are suspected, sorted by what they ask for.
#[derive(Clone, Debug, Default)]
pub struct Suspects(Vec<(u64, Record)>);

impl Suspects {
    /// What is known of a request.
    #[must_use]
    pub fn get(&self, content: u64) -> Option<&Record> {
        let at = self.find(content).ok()?;
        Some(&self.0[at].1)
    }

    /// All of them.
    #[must_use]
    pub fn records(&self) -> &[(u64, Record)] {
        &self.0
    }

    /// Adds what is newly known of a request, here or elsewhere. Says whether that changed anything.
    pub fn add(&mut self, content: u64, told: &Record, now: Moment) -> bool {
        self.evict_expired(now);
        let is_old = told
            .last_update()
            .is_none_or(|last| now - last >= RECORD_TTL);
        match self.find(content) {
            _ if is_old => false,
            Ok(at) => self.0[at].1.merge(told),
            // that it was served says nothing of one that nobody suspects
            Err(_) if told.crashes.is_empty() => false,
            Err(_) => {
                self.evict_if_full();
                let at = self.find(content).unwrap_or_else(|at| at);
                let mut record = Record::default();
                let added = record.merge(told);
                self.0.insert(at, (content, record));
                added
            }
        }
    }

    /// Forgets those of which nothing was known for a while.
    pub fn evict_expired(&mut self, now: Moment) {
        let fresh = |record: &Record| {
            record
                .last_update()
                .is_some_and(|last| now - last < RECORD_TTL)
        };
        self.0.retain(|(_, record)| fresh(record));
    }

    /// Forgets the one that least is known of, if there are as many as may be.
    fn evict_if_full(&mut self) {
        if self.0.len() < MAX_RECORDS {
            return;
        }
        let records = self.0.iter().enumerate();
        let least =
            records.min_by_key(|(_, (_, record))| (record.crashes.len(), record.last_update()));
        if let Some((at, _)) = least {
            self.0.remove(at);
        }
    }

    fn find(&self, content: u64) -> Result<usize, usize> {
        self.0
            .binary_search_by_key(&content, |(content, _)| *content)
    }
}
