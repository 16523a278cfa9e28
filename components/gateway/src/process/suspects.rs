//! Requests that endpoints ended under, as this process knows them from what it saw and from what peers tell. See
//! `docs/DESIGN.md#requests-that-end-endpoints`.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use clock::Instant;
use derive_more::Display;
use parking_lot::Mutex;
use policy::suspect::{self, Crash, Moment, Record};
use tokio::sync::Notify;

use super::Gateway;
use crate::request::Fingerprint;

/// Peers are told again of a request this often: a datagram may be lost, and a peer may start or have been cut off.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);
/// For how long they are told again of a request that one endpoint ended under; of others as long as they are known.
const SINGLE_CRASH_RESEND_PERIOD: Moment = 5_000_000;
/// The most requests that they are told again of at once, the last ones first: a datagram stays within a packet.
const MAX_RESENT: usize = 32;

/// Gateways, by address, that put a request into the store which is withheld by what several of them saw: more than one, as
/// that one may just have ended.
const STORE_WRITERS: usize = 2;

/// Who says that an endpoint ended under a request, or that it was served.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Source<'a> {
    /// This process saw it.
    #[display("this process")]
    Own,
    /// A peer saw it, or was told.
    #[display("{_0}")]
    Peer(&'a str),
    /// It was kept in the store.
    #[display("the store")]
    Store,
}

/// What this process knows of requests that endpoints ended under.
#[derive(Debug, Default)]
pub struct Suspects {
    known: Mutex<suspect::Suspects>,
    /// Whether there are any: most of the time there are none, and each request asks.
    any: AtomicBool,
    updates: Mutex<Updates>,
    /// Requests that are withheld and that this process puts into the store, until it has.
    to_store: Mutex<Vec<Fingerprint>>,
    /// Notified when there is one more.
    to_store_added: Notify,
    /// Whether the requests that the store keeps have been read.
    loaded: AtomicBool,
}

impl Suspects {
    /// Notes that the requests that the store keeps have been read.
    pub fn set_loaded(&self) {
        self.loaded.store(true, Ordering::Relaxed);
    }

    /// Whether they have been.
    pub fn is_loaded(&self) -> bool {
        self.loaded.load(Ordering::Relaxed)
    }

    /// Waits for a withheld request that this process puts into the store.
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
    /// What peers have not been told yet.
    records: Vec<(Fingerprint, Record)>,
    /// When they were last told again.
    resent_at: Option<Instant>,
}

impl Gateway {
    /// Whether an endpoint ended under a request since it was last served.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.suspect(fingerprint)
            .is_some_and(|record| !record.crashes.is_empty())
    }

    /// For how much longer a request gets to no endpoint; none if it may.
    pub fn withheld_for(&self, fingerprint: Fingerprint) -> Option<Duration> {
        let left = self
            .suspect(fingerprint)?
            .remaining_withhold(self.moment())?;
        u64::try_from(left).ok().map(Duration::from_micros)
    }

    /// What is known of a request that endpoints ended under.
    pub fn suspect(&self, fingerprint: Fingerprint) -> Option<Record> {
        let any = self.suspects.any.load(Ordering::Relaxed);
        any.then(|| self.suspects.known.lock().get(fingerprint.into()).cloned())
            .flatten()
    }

    /// All requests that endpoints ended under.
    pub fn all_suspects(&self) -> Vec<(Fingerprint, Record)> {
        let known = self.suspects.known.lock();
        let records = known.records().iter();
        records
            .map(|(fingerprint, record)| (Fingerprint::from(*fingerprint), record.clone()))
            .collect()
    }

    /// Suspects all requests that were under way at an endpoint that ended.
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

    /// Notes that a request was served.
    pub fn record_served(&self, fingerprint: Fingerprint) {
        if self.is_suspect(fingerprint) {
            let record = Record {
                crashes: Vec::new(),
                last_served: Some(self.moment()),
            };
            self.record_suspect(fingerprint, &record);
        }
    }

    /// Takes what this process saw itself.
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

    /// Takes what is known of a request, and says whether it is news.
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

    /// Has a request that is withheld from now on put into the store, if that falls to this process: it saw the last
    /// endpoint end, or is one of those that do so where several saw one each.
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

    /// Forgets requests of which nothing was known for a while.
    pub fn forget_old_suspects(&self) {
        let mut known = self.suspects.known.lock();
        known.evict_expired(self.moment());
        let any = !known.records().is_empty();
        self.suspects.any.store(any, Ordering::Relaxed);
    }

    /// What peers are to be told now.
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
                .is_some_and(|last| now - last < SINGLE_CRASH_RESEND_PERIOD)
        };
        records.retain(|(_, record)| record.crashes.len() > 1 || is_recent(record));
        records.sort_by_key(|(_, record)| std::cmp::Reverse(record.last_update()));
        records.truncate(MAX_RESENT);
        records
    }

    /// Now, by the clock of suspects.
    pub fn moment(&self) -> Moment {
        Moment::try_from(self.micros()).unwrap_or(Moment::MAX)
    }
}

/// The endpoints of a record as a line of the log names them, by their short numbers.
fn crash_list(record: &Record) -> String {
    let crashes: Vec<String> = record
        .crashes
        .iter()
        .map(|end| format!("{:08x}", end.endpoint))
        .collect();
    crashes.join(" ")
}
