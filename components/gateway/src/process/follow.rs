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
const READERS: usize = 2;
/// Between two looks of a follower at what it was told: a heartbeat of its peers.
const LOOK: Duration = Duration::from_millis(100);
/// How long a follower waits for a change to reach it before it asks the store, at least. Changes that
/// come in quick succession are then read together, and followers don't ask all at once.
const LEAST_WAIT: Duration = Duration::from_millis(100);
/// The longest such wait: a small part of the two seconds that operators grant a configuration and a
/// leaving endpoint (`config_ms` and `drain_ms` of the first deployments).
const LONGEST_WAIT: Duration = Duration::from_millis(500);

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
pub struct Changed {
    endpoints: AtomicU64,
    configuration: AtomicU64,
}

impl Changed {
    fn of(&self, list: List) -> &AtomicU64 {
        match list {
            List::Endpoints => &self.endpoints,
            List::Configuration => &self.configuration,
        }
    }

    /// The revision of the last change of a list that this process knows.
    pub fn get(&self, list: List) -> u64 {
        self.of(list).load(Ordering::Relaxed)
    }

    /// Notes a change; an older one changes nothing.
    pub fn note(&self, list: List, revision: u64) {
        self.of(list).fetch_max(revision, Ordering::Relaxed);
    }
}

/// Whether this process reads the lists itself: none before it, by address, does in its data centre, or
/// too few do at all.
pub fn reads(gateway: &Gateway) -> bool {
    too_few(&readers(gateway))
}

fn too_few(readers: &[Reader]) -> bool {
    readers.len() < READERS || !readers.iter().any(|reader| reader.is_local)
}

/// The processes before this one that read the lists, and those in other data centres.
fn readers(gateway: &Gateway) -> Vec<Reader> {
    let own = &gateway.settings.gateway;
    gateway.peers.readers(own.peers, &own.data_centre)
}

/// What a follower waits for.
#[derive(Debug)]
pub struct Wait {
    list: List,
    /// Since when it has been behind of what it was told, and how long it waits.
    behind: Option<(Instant, Duration)>,
    /// The readers that were heard before the list was last read here: whatever went since has been
    /// seen by each of them, and is told.
    followed: Vec<Reader>,
    /// The readers heard before the read that is under way.
    heard: Vec<Reader>,
}

/// What is to be done after a look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// Read the list and wait at the store for a change.
    Read,
    /// Ask the store once for a change that did not come.
    CatchUp,
    /// Nothing.
    Rest,
}

impl Wait {
    /// Waits for changes of a list.
    pub fn new(list: List) -> Self {
        Self {
            list,
            behind: None,
            followed: Vec::new(),
            heard: Vec::new(),
        }
    }

    /// The time until the next look.
    pub fn pause() -> Duration {
        LOOK
    }

    /// Looks at what was told; `from` is how far the list was read.
    pub fn look(&mut self, gateway: &Gateway, from: Cursor) -> Turn {
        let revision = match from {
            Cursor::Start => return Turn::Read,
            Cursor::After { revision, .. } => revision,
        };
        let readers = readers(gateway);
        if too_few(&readers) {
            self.behind = None;
            self.followed.clear();
            self.heard.clear();
            return Turn::Read;
        }
        if !self.overlaps(&readers) {
            self.heard = readers;
            return Turn::CatchUp;
        }
        if gateway.peers.latest_revision(self.list) <= revision {
            self.behind = None;
            return Turn::Rest;
        }
        let (since, wait) = *self.behind.get_or_insert_with(|| {
            let wait = rand::random_range(LEAST_WAIT..LONGEST_WAIT);
            (Instant::now(), wait)
        });
        if since.elapsed() < wait {
            return Turn::Rest;
        }
        self.behind = None;
        self.heard = readers;
        Turn::CatchUp
    }

    /// Takes that the list has been read.
    pub fn caught_up(&mut self) {
        if !self.heard.is_empty() {
            self.followed = std::mem::take(&mut self.heard);
        }
    }

    /// Whether all that goes from the list is told: one of the readers has read it before this process
    /// last did. What went earlier than a reader's first read leaves no row that it could tell of. Of the
    /// configuration nothing ever goes.
    fn overlaps(&self, readers: &[Reader]) -> bool {
        self.list == List::Configuration || readers.iter().any(|r| self.followed.contains(r))
    }
}
