//! A time line of events with hybrid logical times, kept in memory by each process.
//!
//! `wrenramp timeline` merges those of all daemons. An event that another one caused has a later
//! time, whatever the clocks of the two machines say, as long as a message passed between them.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use derive_more::Display;
use serde::Serialize;

use crate::logs::wall_ms;

/// How many events a process keeps.
pub const MAX_EVENTS: usize = 16_384;

/// A hybrid logical time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Time {
    /// Milliseconds since 1970, the highest that this process has heard of.
    pub physical_ms: u64,
    /// Counts events within the same millisecond.
    pub logical: u32,
}

impl Time {
    /// The time of the next event, by the wall clock and what was before.
    #[must_use]
    pub fn next(self, wall_ms: u64) -> Self {
        if wall_ms > self.physical_ms {
            Self {
                physical_ms: wall_ms,
                logical: 0,
            }
        } else {
            Self {
                logical: self.logical + 1,
                ..self
            }
        }
    }
}

/// What happened.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum Kind {
    /// The process started.
    Started,
    /// A planned stop began.
    Stopping,
    /// A request was admitted.
    Admitted,
    /// A request was refused.
    Refused,
    /// An attempt was sent.
    Dispatched,
    /// An attempt failed and another follows.
    Retried,
    /// A broken stream goes on at another engine.
    Resumed,
    /// The whole answer was given.
    Finished,
    /// The answer could not be finished.
    Broken,
    /// The caller hung up.
    Cancelled,
    /// A claim was written.
    Claimed,
    /// An endpoint was closed here.
    Closed,
    /// An endpoint was opened here.
    Opened,
    /// This daemon became a steward.
    StewardTaken,
    /// This daemon is no longer a steward.
    StewardLost,
    /// Closing an engine began.
    OrderClosing,
    /// Closing was given up.
    OrderReopened,
    /// The intent of an order was committed.
    OrderIntent,
    /// An order's outcome was committed.
    OrderDone,
    /// An order failed.
    OrderFailed,
    /// A settings version came into force.
    SettingsApplied,
    /// A settings change was accepted here.
    SettingsAccepted,
    /// A peer answers.
    PeerUp,
    /// A peer does not answer.
    PeerDown,
    /// The table answers.
    StoreUp,
    /// The table does not answer.
    StoreDown,
    /// An endpoint stopped answering.
    EndpointDown,
    /// An endpoint answers.
    EndpointUp,
}

/// One event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Event {
    /// When.
    pub time: Time,
    /// What.
    pub kind: Kind,
    /// The request, order or endpoint it belongs to, such as `request/1f00`.
    pub subject: String,
    /// In a few words.
    pub detail: String,
}

#[derive(Debug, Default)]
struct State {
    time: Time,
    events: VecDeque<Event>,
}

/// The time line of one process.
#[derive(Clone, Debug, Default)]
pub struct Timeline(Arc<Mutex<State>>);

impl Timeline {
    /// Notes an event.
    pub fn record(&self, kind: Kind, subject: impl Into<String>, detail: impl Into<String>) {
        let mut state = self.lock();
        state.time = state.time.next(wall_ms());
        let event = Event {
            time: state.time,
            kind,
            subject: subject.into(),
            detail: detail.into(),
        };
        if state.events.len() == MAX_EVENTS {
            state.events.pop_front();
        }
        state.events.push_back(event);
    }

    /// The time to send along with a message.
    #[must_use]
    pub fn now(&self) -> Time {
        self.lock().time.next(wall_ms())
    }

    /// Takes the time that came with a message.
    pub fn observe(&self, time: Time) {
        let mut state = self.lock();
        state.time = state.time.max(time);
    }

    /// The events since a wall time whose subject is the one given, or all.
    #[must_use]
    pub fn events(&self, since_ms: u64, subject: Option<&str>) -> Vec<Event> {
        let state = self.lock();
        let matches = |event: &&Event| {
            event.time.physical_ms >= since_ms && subject.is_none_or(|s| event.subject == s)
        };
        state.events.iter().filter(matches).cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
