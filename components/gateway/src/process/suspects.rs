//! Requests suspected of crashing endpoints, from what this process has seen and what peers have reported.
//! See `docs/DESIGN.md#requests-that-end-endpoints`.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use clock::Instant;
use derive_more::Display;
use parking_lot::Mutex;
use policy::suspect::{self, Crash, Record, SignedMicros};
use tokio::sync::Notify;

use super::Gateway;
use crate::request::Fingerprint;

/// How often suspects are resent to peers: a datagram may be lost, and a peer may have just started or been
/// unreachable.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);
/// How long after its last crash or success a request with at most one crash is resent, in microseconds;
/// those with more crashes are resent as long as they are known.
const SINGLE_CRASH_RESEND_PERIOD_US: SignedMicros = 5_000_000;
/// Maximum number of suspects that are queued to be resent at once, the most recent first. One digest
/// contains at most 24 of them, so that a datagram fits into a packet; the rest waits for the next ones.
const MAX_RESENT: usize = 32;

/// Number of gateways, lowest addresses first, that write to the store a request that became withheld by a
/// peer's report, as no single gateway may have observed all its crashes. More than one, since one of them
/// may have just failed.
const STORE_WRITERS: usize = 2;

/// The source of a report that an endpoint crashed while running a request, or that the request was served.
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
}

/// The requests that endpoints were running when they crashed, as far as this process knows.
#[derive(Debug, Default)]
pub struct Suspects {
    known: Mutex<suspect::Suspects>,
    /// Whether there are any. Most of the time there are none, and every request checks.
    any: AtomicBool,
    updates: Mutex<Updates>,
    /// Withheld requests that this process has yet to write to the store.
    to_store: Mutex<Vec<Fingerprint>>,
    /// Notified when a request is added to `to_store`.
    to_store_added: Notify,
    /// Whether the withheld requests have been read from the store.
    loaded: AtomicBool,
}

impl Suspects {
    /// Records that the withheld requests have been read from the store.
    pub fn set_loaded(&self) {
        self.loaded.store(true, Ordering::Relaxed);
    }

    /// Whether the withheld requests have been read from the store.
    pub fn is_loaded(&self) -> bool {
        self.loaded.load(Ordering::Relaxed)
    }

    /// Waits for the next withheld request that this process has to write to the store.
    pub async fn next_to_store(&self) -> Fingerprint {
        loop {
            let added = self.to_store_added.notified();
            if let Some(fingerprint) = self.to_store.lock().pop() {
                return fingerprint;
            }
            added.await;
        }
    }
}

#[derive(Debug, Default)]
struct Updates {
    /// Records that have not been sent to peers yet.
    records: Vec<(Fingerprint, Record)>,
    /// When the known suspects were last resent.
    resent_at: Option<Instant>,
}

impl Gateway {
    /// Whether an endpoint has crashed while running a request since the request was last served.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.suspect(fingerprint)
            .is_some_and(|record| !record.crashes.is_empty())
    }

    /// Returns how much longer a request is withheld from all endpoints; `None` if it is not withheld.
    pub fn withheld_for(&self, fingerprint: Fingerprint) -> Option<Duration> {
        let left = self
            .suspect(fingerprint)?
            .remaining_withhold(self.moment())?;
        u64::try_from(left).ok().map(Duration::from_micros)
    }

    /// Returns the record of a suspected request.
    pub fn suspect(&self, fingerprint: Fingerprint) -> Option<Record> {
        let any = self.suspects.any.load(Ordering::Relaxed);
        any.then(|| self.suspects.known.lock().get(fingerprint.into()).cloned())
            .flatten()
    }

    /// Returns the records of all suspected requests.
    pub fn all_suspects(&self) -> Vec<(Fingerprint, Record)> {
        let known = self.suspects.known.lock();
        let records = known.records().iter();
        records
            .map(|(fingerprint, record)| (Fingerprint::from(*fingerprint), record.clone()))
            .collect()
    }

    /// Suspects all requests that were in flight at an endpoint that crashed.
    pub fn suspect_all(&self, endpoint: u32, fingerprints: &[Fingerprint]) {
        let at = self.moment();
        for fingerprint in fingerprints {
            let record = Record {
                crashes: vec![Crash { endpoint, at }],
                last_served: None,
            };
            self.record_suspect(*fingerprint, &record);
        }
    }

    /// Records that a request was served, which clears it of earlier crashes.
    pub fn record_served(&self, fingerprint: Fingerprint) {
        if self.is_suspect(fingerprint) {
            let record = Record {
                crashes: Vec::new(),
                last_served: Some(self.moment()),
            };
            self.record_suspect(fingerprint, &record);
        }
    }

    /// Adds what this process observed itself, and queues it for the peers if it is new.
    fn record_suspect(&self, fingerprint: Fingerprint, record: &Record) {
        if self.merge_suspect(fingerprint, record, Source::Own) {
            let known = self.suspect(fingerprint).unwrap_or_default();
            self.suspects
                .updates
                .lock()
                .records
                .push((fingerprint, known));
        }
    }

    /// Merges a record of a request into what is known. Returns whether it added anything.
    pub fn merge_suspect(&self, fingerprint: Fingerprint, record: &Record, source: Source) -> bool {
        let now = self.moment();
        let before = self.withheld_for(fingerprint).is_some();
        let is_new = {
            let mut known = self.suspects.known.lock();
            let is_new = known.add(fingerprint.into(), record, now);
            let any = !known.records().is_empty();
            self.suspects.any.store(any, Ordering::Relaxed);
            is_new
        };
        let after = self.suspect(fingerprint).unwrap_or_default();
        match (before, after.remaining_withhold(now)) {
            (false, Some(left)) => {
                log::warn!(
                    content:% = fingerprint, source:%, ends = crash_list(&after), lapses_ms = left / 1_000;
                    "a request is withheld from endpoints"
                );
                self.store_withheld(fingerprint, source);
            }
            (true, None) => {
                log::info!(content:% = fingerprint, source:%; "a request is no longer withheld");
            }
            (false, None) | (true, Some(_)) => {}
        }
        is_new
    }

    /// Queues a request that has just become withheld to be written to the store, if this process is
    /// responsible: it observed the last crash itself, or a peer reported it and this process is one of the
    /// first [`STORE_WRITERS`] gateways.
    fn store_withheld(&self, fingerprint: Fingerprint, source: Source) {
        let writes = match source {
            Source::Own => true,
            Source::Peer(_) => self.peers.address_rank(self.settings.gateway.peers) < STORE_WRITERS,
            Source::Store => false,
        };
        if writes {
            self.suspects.to_store.lock().push(fingerprint);
            self.suspects.to_store_added.notify_one();
        }
    }

    /// Evicts requests whose last crash or success was long ago.
    pub fn evict_expired_suspects(&self) {
        let mut known = self.suspects.known.lock();
        known.evict_expired(self.moment());
        let any = !known.records().is_empty();
        self.suspects.any.store(any, Ordering::Relaxed);
    }

    /// Returns the records to send to peers now.
    pub fn suspects_to_send(&self) -> Vec<(Fingerprint, Record)> {
        let mut updates = self.suspects.updates.lock();
        let mut records = std::mem::take(&mut updates.records);
        if updates
            .resent_at
            .is_none_or(|resent_at| resent_at.elapsed() >= RESEND_INTERVAL)
        {
            updates.resent_at = Some(Instant::now());
            records.extend(self.suspects_to_resend());
        }
        records
    }

    fn suspects_to_resend(&self) -> Vec<(Fingerprint, Record)> {
        if !self.suspects.any.load(Ordering::Relaxed) {
            return Vec::new();
        }
        let now = self.moment();
        let mut records = self.all_suspects();
        let is_recent = |record: &Record| {
            record
                .last_update()
                .is_some_and(|last| now - last < SINGLE_CRASH_RESEND_PERIOD_US)
        };
        records.retain(|(_, record)| record.crashes.len() > 1 || is_recent(record));
        records.sort_by_key(|(_, record)| std::cmp::Reverse(record.last_update()));
        records.truncate(MAX_RESENT);
        records
    }

    /// Returns the current time on the clock of suspects.
    pub fn moment(&self) -> SignedMicros {
        SignedMicros::try_from(self.micros()).unwrap_or(SignedMicros::MAX)
    }
}

/// Returns the crashed endpoints of a record, by short id, for a log line.
fn crash_list(record: &Record) -> String {
    let crashes: Vec<String> = record
        .crashes
        .iter()
        .map(|crash| format!("{:08x}", crash.endpoint))
        .collect();
    crashes.join(" ")
}
