//! A timeline of events with hybrid logical times, which each process keeps in memory.
//!
//! `wrenramp timeline` merges the timelines of all daemons. An event that is caused by a message from another daemon has
//! a later time than the event that sent it, even if the clocks of the two machines disagree.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use derive_more::Display;
use serde::Serialize;

use crate::logs::wall_ms;

/// Maximum number of events that a process keeps; the oldest are discarded.
pub const MAX_EVENTS: usize = 16_384;

/// A hybrid logical time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct HybridTime {
    /// Milliseconds since 1970; the highest value that this process has seen, including those in messages.
    pub physical_ms: u64,
    /// Orders events with the same `physical_ms`.
    pub logical: u32,
}

impl HybridTime {
    /// Returns the time of the next event, given the wall-clock time and the time of the previous event.
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

/// Kind of an event.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum Kind {
    /// The process started.
    Started,
    /// A graceful shutdown began.
    Stopping,
    /// A request was admitted.
    Admitted,
    /// A request was refused.
    Refused,
    /// An attempt was sent to an endpoint.
    Dispatched,
    /// An attempt failed and the request is retried.
    Retried,
    /// An interrupted stream continues on another engine.
    Resumed,
    /// The answer was received: completely from an engine, at least its head from a plain service.
    Finished,
    /// The answer could not be completed.
    Broken,
    /// The caller disconnected.
    Cancelled,
    /// A claim was written.
    Claimed,
    /// This daemon closed an endpoint: it takes no new requests.
    Closed,
    /// This daemon opened an endpoint again.
    Opened,
    /// This daemon became a steward.
    StewardTaken,
    /// This daemon is no longer a steward.
    StewardLost,
    /// An engine is being closed for an order.
    OrderClosing,
    /// Closing an engine was abandoned; it was opened again.
    OrderReopened,
    /// The intent of an order was committed.
    OrderIntent,
    /// The outcome of an order was committed.
    OrderDone,
    /// An order failed.
    OrderFailed,
    /// A settings version came into force.
    SettingsApplied,
    /// This daemon accepted a settings change.
    SettingsAccepted,
    /// A peer became reachable.
    PeerUp,
    /// A peer became unreachable.
    PeerDown,
    /// The table service became available.
    StoreUp,
    /// The table service became unavailable.
    StoreDown,
    /// An endpoint became unreachable; the daemon does not record this at present.
    EndpointDown,
    /// An endpoint became reachable.
    EndpointUp,
}

/// One event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Event {
    /// When it happened.
    pub time: HybridTime,
    /// What happened.
    pub kind: Kind,
    /// The request, order or endpoint that the event belongs to, such as `request/1f00`.
    pub subject: String,
    /// Short description.
    pub detail: String,
}

#[derive(Debug, Default)]
struct State {
    time: HybridTime,
    events: VecDeque<Event>,
}

/// The timeline of one process.
#[derive(Clone, Debug, Default)]
pub struct Timeline(Arc<Mutex<State>>);

impl Timeline {
    /// Records an event.
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

    /// Returns the time to send with a message.
    #[must_use]
    pub fn now(&self) -> HybridTime {
        self.lock().time.next(wall_ms())
    }

    /// Advances the time to one received with a message.
    pub fn observe(&self, time: HybridTime) {
        let mut state = self.lock();
        state.time = state.time.max(time);
    }

    /// Returns the events since a wall-clock time, restricted to one subject if given.
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
