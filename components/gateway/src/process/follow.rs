//! Who reads the operators' lists in the store, and when the others do.
//!
//! Each call to the store is paid for, so a few gateways of a data centre read the lists and tell the
//! rest what changed. A gateway reads a list itself when it hears too few of those, or when it was told
//! of a change that did not reach it. See `docs/PLATFORM.md#who-reads-the-lists`.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use clock::Instant;

use super::Gateway;
use crate::{edge::Cursor, peer::Reader};

/// Gateways that read the lists, at least: one may fail without anything becoming older. One of them is in
/// the own data centre, so that it knows of changes also when it is cut off.
const MIN_READERS: usize = 2;
/// Between two looks of a follower at what it was told: a heartbeat of its peers.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How long a follower waits for a change to reach it before it asks the store, at least. Changes that
/// come in quick succession are then read together, and followers don't ask all at once.
const MIN_CATCH_UP_DELAY: Duration = Duration::from_millis(100);
/// The longest such wait: a small part of the two seconds that operators grant a configuration and a
/// leaving endpoint (`config_ms` and `drain_ms` of the first deployments).
const MAX_CATCH_UP_DELAY: Duration = Duration::from_millis(500);

/// An operators' list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum List {
    /// The endpoints.
    Endpoints,
    /// The configuration.
    Configuration,
}

/// The revisions of the last changes of each list.
#[derive(Debug, Default)]
pub struct LastChanges {
    endpoints: AtomicU64,
    configuration: AtomicU64,
}

impl LastChanges {
    fn counter(&self, list: List) -> &AtomicU64 {
        match list {
            List::Endpoints => &self.endpoints,
            List::Configuration => &self.configuration,
        }
    }

    /// The revision of the last change of a list that this process knows.
    pub fn revision(&self, list: List) -> u64 {
        self.counter(list).load(Ordering::Relaxed)
    }

    /// Notes a change; an older one changes nothing.
    pub fn record(&self, list: List, revision: u64) {
        self.counter(list).fetch_max(revision, Ordering::Relaxed);
    }
}

/// Whether this process reads the lists itself: none before it, by address, does in its data centre, or
/// too few do at all.
pub fn reads_lists(gateway: &Gateway) -> bool {
    too_few_readers(&readers(gateway))
}

fn too_few_readers(readers: &[Reader]) -> bool {
    readers.len() < MIN_READERS || !readers.iter().any(|reader| reader.is_local)
}

/// The processes before this one that read the lists, and those in other data centres.
fn readers(gateway: &Gateway) -> Vec<Reader> {
    let own = &gateway.settings.gateway;
    gateway.peers.readers(own.peers, &own.data_centre)
}

/// What a follower waits for.
#[derive(Debug)]
pub struct Follower {
    list: List,
    /// Since when it has been behind of what it was told, and how long it waits.
    behind: Option<(Instant, Duration)>,
    /// The readers that were heard before the list was last read here: whatever went since has been
    /// seen by each of them, and is told.
    previous_readers: Vec<Reader>,
    /// The readers heard before the read that is under way.
    current_readers: Vec<Reader>,
}

/// What is to be done after a look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the list and wait at the store for a change.
    Read,
    /// Ask the store once for a change that did not come.
    CatchUp,
    /// Nothing.
    Wait,
}

impl Follower {
    /// Waits for changes of a list.
    pub fn new(list: List) -> Self {
        Self {
            list,
            behind: None,
            previous_readers: Vec::new(),
            current_readers: Vec::new(),
        }
    }

    /// The time until the next look.
    pub fn poll_interval() -> Duration {
        POLL_INTERVAL
    }

    /// Looks at what was told; `from` is how far the list was read.
    pub fn next_action(&mut self, gateway: &Gateway, from: Cursor) -> Action {
        let revision = match from {
            Cursor::Start => return Action::Read,
            Cursor::After { revision, .. } => revision,
        };
        let readers = readers(gateway);
        if too_few_readers(&readers) {
            self.behind = None;
            self.previous_readers.clear();
            self.current_readers.clear();
            return Action::Read;
        }
        if !self.readers_overlap(&readers) {
            self.current_readers = readers;
            return Action::CatchUp;
        }
        if gateway.peers.latest_revision(self.list) <= revision {
            self.behind = None;
            return Action::Wait;
        }
        let (since, delay) = *self.behind.get_or_insert_with(|| {
            let delay = rand::random_range(MIN_CATCH_UP_DELAY..MAX_CATCH_UP_DELAY);
            (Instant::now(), delay)
        });
        if since.elapsed() < delay {
            return Action::Wait;
        }
        self.behind = None;
        self.current_readers = readers;
        Action::CatchUp
    }

    /// Takes that the list has been read.
    pub fn caught_up(&mut self) {
        if !self.current_readers.is_empty() {
            self.previous_readers = std::mem::take(&mut self.current_readers);
        }
    }

    /// Whether all that goes from the list is told: one of the readers has read it before this process
    /// last did. What went earlier than a reader's first read leaves no row that it could tell of. Of the
    /// configuration nothing ever goes.
    fn readers_overlap(&self, readers: &[Reader]) -> bool {
        self.list == List::Configuration
            || readers.iter().any(|r| self.previous_readers.contains(r))
    }
}
