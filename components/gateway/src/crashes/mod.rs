//! Requests and prompt parts that crash endpoints. See `docs/DESIGN.md#requests-that-end-endpoints`.
//!
//! 1. Each endpoint has a list of what is in flight there, see [`in_flight`].
//! 2. When it crashes, the list becomes [`evidence`]. Answers speak for requests and prompt parts.
//! 3. The evidence is sent to all peers, and theirs is merged, see [`updates`] and [`wire`].
//! 4. Decisions are made from the merged evidence: [`policy::suspect`] for requests, [`policy::culprit`] for prompt parts.
//! 5. What is convicted is withheld from all endpoints, see [`withheld`], sent to all peers, and written to the store,
//!    see [`store`].
//! 6. In the end its time is over. One gateway at a time then lets a single request through.

mod evidence;
mod in_flight;
mod pending;
mod store;
#[cfg(test)]
mod tests;
mod updates;
mod wire;
mod withheld;

use std::{
    collections::VecDeque,
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use clock::Instant;
use derive_more::Display;
use parking_lot::Mutex;
use policy::{
    culprit::{Evidence, ONSET},
    suspect::{self, Crash, Record, SignedMicros},
};
use tokio::sync::Notify;

use crate::request::Fingerprint;

pub use in_flight::{InFlight, Interruption, RequestTracker};
pub use pending::{Doubt, Pending};
pub use store::{ROW_PREFIX, Row, Rows};
use updates::{MAX_REPORTED_REQUESTS, Updates};
pub use wire::Backlog;
pub use withheld::Withheld;

/// Time that an answer must have been written for until it speaks for the parts of its prompt.
pub const TIME_TO_CRASH: Duration = Duration::from_micros(ONSET.unsigned_abs());

/// What may crash endpoints.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Suspect {
    /// A request, whoever sends it.
    #[display("request {_0}")]
    Request(Fingerprint),
    /// A prompt part, whatever else a request holds.
    #[display("part {_0:x}")]
    Part(u64),
}

/// The source of a report that an endpoint crashed, or that a request was served.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Source<'a> {
    /// This process saw it.
    #[display("this process")]
    Own,
    /// A peer saw it or received the report.
    #[display("{_0}")]
    Peer(&'a str),
    /// The store holds it.
    #[display("the store")]
    Store,
    /// It follows from the list of endpoints, which all gateways have.
    #[display("the list of endpoints")]
    List,
}

/// The crashes of endpoints, what may have caused them, and what is withheld for it, as far as this process knows.
#[derive(Debug)]
pub struct Crashes {
    started: Instant,
    state: Mutex<State>,
    /// Whether it is not known of any endpoint whether it has crashed.
    any_pending: AtomicBool,
    /// Whether anything is suspected. Most of the time nothing is, and every request checks.
    any: AtomicBool,
    /// Notified when something becomes withheld.
    newly_withheld: Notify,
    rows: Rows,
}

#[derive(Debug, Default)]
struct State {
    requests: suspect::Suspects,
    /// Convicted prompt parts only.
    parts: suspect::Suspects,
    evidence: Evidence,
    /// Endpoints that may have crashed, sorted.
    pending: Vec<Pending>,
    /// Endpoints that were unlisted a short time ago without having drained, the oldest first.
    unlisted: VecDeque<pending::Unlisted>,
    /// When endpoints were reached that may have crashed before, sorted by endpoint.
    reached: Vec<Crash>,
    /// Endpoints whose crashes are explained by prompt parts, sorted.
    explained: Vec<u32>,
    probes: Vec<withheld::Probe>,
    updates: updates::Queue,
}

impl State {
    fn table(&mut self, suspect: Suspect) -> (&mut suspect::Suspects, u64) {
        match suspect {
            Suspect::Request(fingerprint) => (&mut self.requests, fingerprint.into()),
            Suspect::Part(part) => (&mut self.parts, part),
        }
    }

    /// Returns a record without the crashes that this process knows to be none, and with the last answer to the suspect that
    /// it knows of, which clears it of earlier crashes whichever of both arrives first.
    fn without_refuted(&self, suspect: Suspect, record: &Record) -> Record {
        let known = match suspect {
            Suspect::Part(part) => self.evidence.last_served(part),
            Suspect::Request(_) => None,
        };
        let mut record = Record {
            last_served: record.last_served.max(known),
            ..record.clone()
        };
        record
            .pending
            .retain(|crash| !self.was_reached_after(crash));
        record
    }

    /// Sends what is known of a suspect to the peers if the record of one of them withholds it for crashes that it has been
    /// cleared of.
    fn correct(&mut self, suspect: Suspect, received: &Record) {
        let (table, key) = self.table(suspect);
        match table.get(key).cloned() {
            Some(known) if received.is_convicted() && !known.is_convicted() => {
                self.updates.add_record(suspect, known);
            }
            Some(_) | None => {}
        }
    }

    fn records(&self) -> impl Iterator<Item = (Suspect, &Record)> {
        let parts = self.parts.records().iter();
        let parts = parts.map(|(part, record)| (Suspect::Part(*part), record));
        let requests = self.requests.records().iter();
        let request = |fingerprint: u64| Suspect::Request(Fingerprint::from(fingerprint));
        parts.chain(requests.map(move |(fingerprint, record)| (request(*fingerprint), record)))
    }
}

impl Default for Crashes {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            state: Mutex::default(),
            any: AtomicBool::default(),
            any_pending: AtomicBool::default(),
            newly_withheld: Notify::default(),
            rows: Rows::default(),
        }
    }
}

impl Crashes {
    /// Returns the current time on the clock of crashes.
    fn moment(&self) -> SignedMicros {
        let micros = policy::micros(self.started.elapsed());
        SignedMicros::try_from(micros).unwrap_or(SignedMicros::MAX)
    }

    /// Returns a point in time on the clock of crashes.
    fn moment_of(&self, at: Instant) -> SignedMicros {
        let ago = policy::micros(Instant::now().saturating_duration_since(at));
        self.moment() - SignedMicros::try_from(ago).unwrap_or(SignedMicros::MAX)
    }

    /// Returns the rows in the store.
    pub fn rows(&self) -> &Rows {
        &self.rows
    }

    /// Whether an endpoint has crashed, or may have, while running a request since the request was last served.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.record(Suspect::Request(fingerprint))
            .is_some_and(|record| record.is_suspect())
    }

    /// Whether an endpoint is known to have crashed while running a request.
    pub fn has_crashed(&self, endpoint: u32) -> bool {
        self.any.load(Ordering::Relaxed) && self.state.lock().requests.has_crashed(endpoint)
    }

    /// Returns the record of a suspect.
    pub fn record(&self, suspect: Suspect) -> Option<Record> {
        if !self.any.load(Ordering::Relaxed) {
            return None;
        }
        let mut state = self.state.lock();
        let (table, key) = state.table(suspect);
        table.get(key).cloned()
    }

    /// Merges a record of a suspect that a peer sent or the store holds.
    pub fn merge(&self, suspect: Suspect, record: &Record, source: Source) {
        let mut state = self.state.lock();
        self.merge_into(&mut state, suspect, record, source);
        state.correct(suspect, record);
    }

    /// Merges what follows from evidence. If this process observed it, it is sent to the peers.
    fn merge_from(&self, state: &mut State, suspect: Suspect, record: &Record, source: Source) {
        match source {
            Source::Own => self.merge_own(state, suspect, record),
            Source::Peer(_) | Source::Store | Source::List => {
                self.merge_into(state, suspect, record, source);
            }
        }
    }

    /// Merges what this process observed itself, and queues it for the peers if it is new.
    fn merge_own(&self, state: &mut State, suspect: Suspect, record: &Record) {
        if self.merge_into(state, suspect, record, Source::Own) {
            let (table, key) = state.table(suspect);
            let known = table.get(key).cloned().unwrap_or_default();
            state.updates.add_record(suspect, known);
        }
    }

    /// Merges a record of a suspect into what is known. Returns whether it added anything.
    fn merge_into(
        &self,
        state: &mut State,
        suspect: Suspect,
        record: &Record,
        source: Source,
    ) -> bool {
        let now = self.moment();
        let record = state.without_refuted(suspect, record);
        let (table, key) = state.table(suspect);
        let before = table.get(key).cloned().unwrap_or_default();
        let is_new = table.add(key, &record, now);
        let after = table.get(key).cloned().unwrap_or_default();
        self.any.store(true, Ordering::Relaxed);
        if before.is_convicted() && !after.is_convicted() {
            self.rows.add_cleared(suspect);
        }
        match (
            before.remaining_withhold(now),
            after.remaining_withhold(now),
        ) {
            (None, Some(left)) => {
                log::warn!(
                    suspect:%, source:%, ends = crash_list(&after.crashes), lapses_ms = left / 1_000;
                    "a suspect is withheld from endpoints"
                );
                self.rows.add(suspect, source);
                self.newly_withheld.notify_waiters();
            }
            (Some(_), None) => {
                log::info!(suspect:%, source:%; "a suspect is no longer withheld");
            }
            (None, None) | (Some(_), Some(_)) => {}
        }
        if let (None, Some(left)) = (before.remaining_hold(now), after.remaining_hold(now)) {
            log::warn!(
                suspect:%, source:%, ends = crash_list(&after.crashes), pending = crash_list(&after.pending),
                lapses_ms = left / 1_000;
                "a suspect is held back until it is known which endpoints have crashed"
            );
            self.newly_withheld.notify_waiters();
        }
        is_new
    }

    /// Evicts suspects whose last crash or success was long ago.
    pub fn evict_expired(&self) {
        let now = self.moment();
        let mut state = self.state.lock();
        state.requests.evict_expired(now);
        state.parts.evict_expired(now);
        let any = state.records().next().is_some();
        self.any.store(any, Ordering::Relaxed);
    }

    /// Returns the number of suspects, and of those that are withheld now: requests, then prompt parts.
    pub fn count(&self) -> [Counts; 2] {
        let now = self.moment();
        let state = self.state.lock();
        [&state.requests, &state.parts].map(|table| {
            let records = table.records().iter();
            let withheld = records.filter(|(_, record)| record.remaining_withhold(now).is_some());
            Counts {
                suspected: table.records().len(),
                withheld: withheld.count(),
            }
        })
    }
}

/// Numbers of suspects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Counts {
    /// All of them.
    pub suspected: usize,
    /// Those that are withheld from all endpoints.
    pub withheld: usize,
}

/// Returns the endpoints of crashes, by short id, for a log line.
fn crash_list(crashes: &[Crash]) -> String {
    let crashes: Vec<String> = crashes
        .iter()
        .map(|crash| format!("{:08x}", crash.endpoint))
        .collect();
    crashes.join(" ")
}
