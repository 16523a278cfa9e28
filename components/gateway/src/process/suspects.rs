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
use crate::request::Content;

/// Peers are told again of a request this often: a datagram may be lost, and a peer may start or have been cut off.
const AGAIN: Duration = Duration::from_secs(1);
/// For how long they are told again of a request that one endpoint ended under; of others as long as they are known.
const FRESH: Moment = 5_000_000;
/// The most requests that they are told again of at once, the last ones first: a datagram stays within a packet.
const MOST_AGAIN: usize = 32;

/// Gateways, by address, that put a request into the store which is withheld by what several of them saw: more than one, as
/// that one may just have ended.
const KEEPERS: usize = 2;

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
    news: Mutex<News>,
    /// Requests that are withheld and that this process puts into the store, until it has.
    withheld: Mutex<Vec<Content>>,
    /// Notified when there is one more.
    withheld_more: Notify,
    /// Whether the requests that the store keeps have been read.
    read: AtomicBool,
}

impl Suspects {
    /// Notes that the requests that the store keeps have been read.
    pub fn note_read(&self) {
        self.read.store(true, Ordering::Relaxed);
    }

    /// Whether they have been.
    pub fn are_read(&self) -> bool {
        self.read.load(Ordering::Relaxed)
    }

    /// Waits for a withheld request that this process puts into the store.
    pub async fn newly_withheld(&self) -> Content {
        loop {
            let more = self.withheld_more.notified();
            if let Some(content) = self.withheld.lock().pop() {
                return content;
            }
            more.await;
        }
    }
}

#[derive(Debug, Default)]
struct News {
    /// What peers have not been told yet.
    records: Vec<(Content, Record)>,
    /// When they were last told again.
    told: Option<Instant>,
}

impl Gateway {
    /// Whether an endpoint ended under a request since it was last served.
    pub fn is_suspect(&self, content: Content) -> bool {
        self.suspect(content)
            .is_some_and(|record| !record.crashes.is_empty())
    }

    /// For how much longer a request gets to no endpoint; none if it may.
    pub fn withheld(&self, content: Content) -> Option<Duration> {
        let left = self.suspect(content)?.remaining_withhold(self.moment())?;
        u64::try_from(left).ok().map(Duration::from_micros)
    }

    /// What is known of a request that endpoints ended under.
    pub fn suspect(&self, content: Content) -> Option<Record> {
        let any = self.suspects.any.load(Ordering::Relaxed);
        any.then(|| self.suspects.known.lock().get(content.into()).cloned())
            .flatten()
    }

    /// All requests that endpoints ended under.
    pub fn all_suspects(&self) -> Vec<(Content, Record)> {
        let known = self.suspects.known.lock();
        let records = known.records().iter();
        records
            .map(|(content, record)| (Content::from(*content), record.clone()))
            .collect()
    }

    /// Suspects all requests that were under way at an endpoint that ended.
    pub fn suspect_all(&self, endpoint: u32, contents: &[Content]) {
        let at = self.moment();
        for content in contents {
            let record = Record {
                crashes: vec![Crash { endpoint, at }],
                last_served: None,
            };
            self.learn_suspect(*content, &record);
        }
    }

    /// Notes that a request was served.
    pub fn note_served(&self, content: Content) {
        if self.is_suspect(content) {
            let record = Record {
                crashes: Vec::new(),
                last_served: Some(self.moment()),
            };
            self.learn_suspect(content, &record);
        }
    }

    /// Takes what this process saw itself.
    fn learn_suspect(&self, content: Content, record: &Record) {
        if self.add_suspect(content, record, Source::Own) {
            let known = self.suspect(content).unwrap_or_default();
            self.suspects.news.lock().records.push((content, known));
        }
    }

    /// Takes what is known of a request, and says whether it is news.
    pub fn add_suspect(&self, content: Content, record: &Record, source: Source) -> bool {
        let now = self.moment();
        let before = self.withheld(content).is_some();
        let news = {
            let mut known = self.suspects.known.lock();
            let news = known.add(content.into(), record, now);
            let any = !known.records().is_empty();
            self.suspects.any.store(any, Ordering::Relaxed);
            news
        };
        let after = self.suspect(content).unwrap_or_default();
        match (before, after.remaining_withhold(now)) {
            (false, Some(left)) => {
                log::warn!(
                    content:%, source:%, ends = ends(&after), lapses_ms = left / 1_000;
                    "a request is withheld from endpoints"
                );
                self.keep_withheld(content, source);
            }
            (true, None) => log::info!(content:%, source:%; "a request is no longer withheld"),
            (false, None) | (true, Some(_)) => {}
        }
        news
    }

    /// Has a request that is withheld from now on put into the store, if that falls to this process: it saw the last
    /// endpoint end, or is one of those that do so where several saw one each.
    fn keep_withheld(&self, content: Content, source: Source) {
        let keeps = match source {
            Source::Own => true,
            Source::Peer(_) => self.peers.place(self.settings.gateway.peers) < KEEPERS,
            Source::Store => false,
        };
        if keeps {
            self.suspects.withheld.lock().push(content);
            self.suspects.withheld_more.notify_one();
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
    pub fn suspects_to_tell(&self) -> Vec<(Content, Record)> {
        let mut news = self.suspects.news.lock();
        let mut records = std::mem::take(&mut news.records);
        if news.told.is_none_or(|told| told.elapsed() >= AGAIN) {
            news.told = Some(Instant::now());
            records.extend(self.suspects_to_repeat());
        }
        records
    }

    fn suspects_to_repeat(&self) -> Vec<(Content, Record)> {
        if !self.suspects.any.load(Ordering::Relaxed) {
            return Vec::new();
        }
        let now = self.moment();
        let mut records = self.all_suspects();
        let fresh = |record: &Record| record.last_update().is_some_and(|last| now - last < FRESH);
        records.retain(|(_, record)| record.crashes.len() > 1 || fresh(record));
        records.sort_by_key(|(_, record)| std::cmp::Reverse(record.last_update()));
        records.truncate(MOST_AGAIN);
        records
    }

    /// Now, by the clock of suspects.
    pub fn moment(&self) -> Moment {
        Moment::try_from(self.micros()).unwrap_or(Moment::MAX)
    }
}

/// The endpoints of a record as a line of the log names them, by their short numbers.
fn ends(record: &Record) -> String {
    let ends: Vec<String> = record
        .crashes
        .iter()
        .map(|end| format!("{:08x}", end.endpoint))
        .collect();
    ends.join(" ")
}
