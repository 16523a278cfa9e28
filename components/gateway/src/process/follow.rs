//! Decides which gateways read the operators' lists from the store, and when the others fall back to it.
//!
//! Each call to the store is billed, so a few gateways of a data centre read the lists and send the changes
//! to the others, the followers. A follower reads a list itself if too few readers are alive, or if a peer
//! reported a revision whose change did not reach it. See `docs/PLATFORM.md#who-reads-the-lists`.

use std::{
    ops::Range,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use clock::Instant;
use derive_more::Display;
use settings::gateway::Bounds;

use super::Gateway;
use crate::{adapters::Cursor, peer::Reader};

/// The minimum number of gateways that read the lists, so that one may fail without delaying updates to the
/// others. One of them must be in this process's data centre, so that changes are known there even when no
/// other data centre is reachable.
const MIN_READERS: usize = 2;
/// How often a follower checks what its peers have reported: their heartbeat interval.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The minimum time that a follower waits for a change to reach it before it asks the store. The delay lets
/// changes in quick succession be read together, and keeps followers from asking all at once.
const MIN_CATCH_UP_DELAY: Duration = Duration::from_millis(100);
/// The maximum of that delay: a fraction of the operators' `config_ms` and `drain_ms`, the time that they
/// allow for a configuration to take effect and for an endpoint to drain, two seconds in the first
/// deployments.
const MAX_CATCH_UP_DELAY: Duration = Duration::from_millis(500);

/// Time for which a configuration may arrive at a reader before followers read it themselves; several times what a
/// usual one takes on a slow link.
const MAX_TRANSFER: Duration = Duration::from_millis(300);

/// Range of [`Follower::max_age_ratio`]: above the age at which the first reader confirms a list. The rest of the time that
/// operators allow is left for the transfer of a large configuration.
const MAX_AGE_RATIOS: Range<f64> = 0.35..0.5;

/// One of the operators' lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum List {
    /// The list of endpoints.
    Endpoints,
    /// The list of configurations.
    Configuration,
}

impl List {
    /// The number of lists.
    pub const COUNT: usize = 2;

    /// Returns the position of the list's values in an array with one value for each list.
    pub fn index(self) -> usize {
        match self {
            Self::Endpoints => 0,
            Self::Configuration => 1,
        }
    }

    /// Returns the time that operators allow for a change to take effect.
    pub fn max_delay(self, bounds: &Bounds) -> Duration {
        match self {
            Self::Endpoints => bounds.drain_ms,
            Self::Configuration => {
                let revocation = bounds.revocation_ms.unwrap_or(Duration::MAX);
                bounds.configuration_ms.min(revocation)
            }
        }
    }
}

/// The newest known revision of each list.
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

    /// The revision of the newest change of a list that this process knows.
    pub fn revision(&self, list: List) -> u64 {
        self.counter(list).load(Ordering::Acquire)
    }

    /// Records a change that has been applied; an older one has no effect.
    pub fn record(&self, list: List, revision: u64) {
        self.counter(list).fetch_max(revision, Ordering::AcqRel);
    }
}

/// Whether this process reads the lists itself: no gateway of its data centre with a lower address does, or
/// too few do at all.
pub fn reads_lists(gateway: &Gateway) -> bool {
    too_few_readers(&readers(gateway))
}

/// Whether followers can rely on this process for the lists: it reads them, and is not receiving a configuration
/// slowly. On a slow link a large one takes longer than operators allow, and followers on faster links need not
/// wait for it.
pub fn is_reliable_reader(gateway: &Gateway) -> bool {
    let receiving = gateway.adapters.directory.receiving_configuration_for();
    reads_lists(gateway) && receiving.is_none_or(|time| time < MAX_TRANSFER)
}

fn too_few_readers(readers: &[Reader]) -> bool {
    readers.len() < MIN_READERS || !readers.iter().any(|reader| reader.is_local)
}

/// Returns the reading gateways with lower addresses in the local data centre, and all those in remote ones.
fn readers(gateway: &Gateway) -> Vec<Reader> {
    let own = &gateway.settings.gateway;
    gateway.peers.readers(own.peers, &own.data_centre)
}

/// The state of a process that follows a list.
#[derive(Debug)]
pub struct Follower {
    list: List,
    /// When the process fell behind a reported change, and how long it waits for that change.
    behind: Option<(Instant, Duration)>,
    /// The readers that were alive before the list was last read here: each of them has seen, and advertises,
    /// every removal since.
    previous_readers: Vec<Reader>,
    /// The readers that were alive before the read in flight.
    current_readers: Vec<Reader>,
    /// The age of the list at which this process confirms it itself, as a fraction of the time that operators allow for a
    /// change to take effect. It differs between processes, so that the first ones confirm it for the others.
    max_age_ratio: f64,
    /// When the last read that succeeded began.
    last_read: Option<Instant>,
}

/// What to do next with a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the list and let the store wait for a change.
    Read,
    /// Ask the store once, without waiting, for changes that may have been missed.
    CatchUp(Cause),
    /// Do nothing until the next check.
    Wait,
}

/// Why a follower asks the store itself.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Cause {
    /// A peer reported a change some time ago that did not arrive.
    #[display("a reported change did not arrive")]
    Behind {
        /// When the change was first reported here.
        since: Instant,
    },
    /// Nobody has confirmed for too long that there is no newer change.
    #[display("not confirmed for too long")]
    Unconfirmed,
    /// None of the readers was one before the list was last read here.
    #[display("all readers are new")]
    NewReaders,
}

impl Cause {
    /// Returns how long ago the change that did not arrive was reported.
    pub fn behind_for(self) -> Option<Duration> {
        match self {
            Self::Behind { since } => Some(since.elapsed()),
            Self::Unconfirmed | Self::NewReaders => None,
        }
    }
}

impl Follower {
    /// Starts following a list.
    pub fn new(list: List) -> Self {
        Self {
            list,
            behind: None,
            previous_readers: Vec::new(),
            current_readers: Vec::new(),
            max_age_ratio: rand::random_range(MAX_AGE_RATIOS),
            last_read: None,
        }
    }

    /// Returns the time between two checks.
    pub fn poll_interval() -> Duration {
        POLL_INTERVAL
    }

    /// Decides what to do next; `cursor` is how far the list has been read.
    pub fn next_action(&mut self, gateway: &Gateway, cursor: Cursor) -> Action {
        let revision = match cursor {
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
        if self.list == List::Endpoints {
            gateway.confirm_endpoints(&self.previous_readers);
        }
        let cause = if !self.readers_overlap(&readers) {
            Some(Cause::NewReaders)
        } else if self.is_confirmation_overdue(gateway) {
            Some(Cause::Unconfirmed)
        } else {
            None
        };
        if let Some(cause) = cause {
            self.current_readers = readers;
            return Action::CatchUp(cause);
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
        Action::CatchUp(Cause::Behind { since })
    }

    /// Whether nobody has confirmed for so long that the list is current that a change could soon be late. What readers
    /// say of themselves does not show it: one whose path to the store went silent learns it only when its call times out.
    fn is_confirmation_overdue(&self, gateway: &Gateway) -> bool {
        let bounds = gateway.bounds.read();
        let max_age = self.list.max_delay(&bounds).mul_f64(self.max_age_ratio);
        // a slow response may already be too old when it arrives
        if self.last_read.is_some_and(|at| at.elapsed() < max_age) {
            return false;
        }
        match gateway.list_age(self.list, Instant::now()) {
            Some(age) => age > max_age,
            // the confirmations of both lists are discarded when the store's clock is set
            None if gateway.is_store_clock_known() => true,
            // the store does not send its time; keys do not count then
            None => self.list == List::Configuration && bounds.revocation_ms.is_some(),
        }
    }

    /// Records that the list has been read with a call that began at `started`.
    pub fn record_read(&mut self, started: Instant) {
        self.last_read = Some(started);
        if !self.current_readers.is_empty() {
            self.previous_readers = std::mem::take(&mut self.current_readers);
        }
    }

    /// Whether a current reader was already one before this process last read the list, so that it advertises
    /// every removal since. A removal before a reader's first read leaves no row for it to report.
    /// Configurations are never removed.
    fn readers_overlap(&self, readers: &[Reader]) -> bool {
        self.list == List::Configuration
            || readers.iter().any(|r| self.previous_readers.contains(r))
    }
}
