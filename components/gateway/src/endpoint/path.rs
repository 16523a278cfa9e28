//! Whether this process can open connections to an endpoint.
//!
//! A path may fail although the endpoint is sound, and peers may still reach it. It is therefore kept
//! apart from the endpoint's health. See `docs/DESIGN.md#paths-to-endpoints`.

use std::{sync::Arc, time::Duration};

use clock::Instant;
use parking_lot::Mutex;
use tokio::sync::Notify;

use super::{ConnectError, Target};

/// Delay before the first attempt to reconnect; doubles with each failed one up to
/// [`MAX_RECONNECT_DELAY`].
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Maximum delay between two attempts to reconnect, so that with the connect timeout a recovered path is
/// used within the second that operators allow.
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(400);

/// How the state of a path changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// New connections no longer succeed.
    Lost(ConnectError),
    /// A new connection succeeded again, after this time.
    Regained(Duration),
}

/// The path from this process to one endpoint, as its latest attempts to connect show it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Path {
    loss: Option<Loss>,
}

#[derive(Clone, Copy, Debug)]
struct Loss {
    since: Instant,
    error: ConnectError,
    /// The number of attempts to connect in a row that got no answer.
    unanswered: u32,
    next_reconnect: Instant,
    reconnect_delay: Duration,
}

impl Path {
    /// Records an attempt to connect.
    pub fn record(&mut self, result: Result<(), ConnectError>, now: Instant) -> Option<Change> {
        match (result, self.loss) {
            // the limit of this process says nothing about the path
            (Err(ConnectError::Full), _) | (Ok(()), None) => None,
            (Ok(()), Some(loss)) => {
                self.loss = None;
                Some(Change::Regained(now.saturating_duration_since(loss.since)))
            }
            (Err(error), None) => {
                self.loss = Some(Loss {
                    since: now,
                    error,
                    unanswered: u32::from(error == ConnectError::Silent),
                    next_reconnect: now + MIN_RECONNECT_DELAY,
                    reconnect_delay: MIN_RECONNECT_DELAY,
                });
                Some(Change::Lost(error))
            }
            (Err(error), Some(loss)) => {
                let reconnect_delay = (loss.reconnect_delay * 2).min(MAX_RECONNECT_DELAY);
                let unanswered = match error {
                    ConnectError::Silent => loss.unanswered.saturating_add(1),
                    ConnectError::Refused | ConnectError::Full => 0,
                };
                self.loss = Some(Loss {
                    error,
                    unanswered,
                    next_reconnect: now + reconnect_delay,
                    reconnect_delay,
                    ..loss
                });
                None
            }
        }
    }

    /// Returns why new connections fail; `None` as long as they succeed.
    #[must_use]
    pub fn error(&self) -> Option<ConnectError> {
        self.loss.map(|loss| loss.error)
    }

    /// Whether more than one attempt to connect in a row got no answer: a single one may be due to this process. An endpoint
    /// that refuses connections may still be reached on open ones.
    #[must_use]
    pub fn is_unanswered(&self) -> bool {
        self.loss.is_some_and(|loss| loss.unanswered > 1)
    }

    /// Returns for how long new connections have failed; `None` as long as they succeed.
    #[must_use]
    pub fn lost_for(&self, now: Instant) -> Option<Duration> {
        self.loss
            .map(|loss| now.saturating_duration_since(loss.since))
    }

    /// Records that an attempt to reconnect begins.
    pub fn postpone_reconnect(&mut self, now: Instant) {
        if let Some(loss) = &mut self.loss {
            loss.next_reconnect = now + MAX_RECONNECT_DELAY;
        }
    }

    /// Returns when the next attempt to reconnect is due; `None` if the path is not lost.
    #[must_use]
    pub fn next_reconnect(&self) -> Option<Instant> {
        self.loss.map(|loss| loss.next_reconnect)
    }
}

/// The endpoints whose paths are lost.
#[derive(Debug, Default)]
pub struct LostPaths {
    targets: Mutex<Vec<Arc<Target>>>,
    added: Notify,
}

impl LostPaths {
    /// Adds an endpoint whose path was lost.
    pub(super) fn add(&self, target: &Arc<Target>) {
        self.targets.lock().push(Arc::clone(target));
        self.added.notify_one();
    }

    /// Returns the endpoints whose paths are still lost, without those no longer listed.
    #[must_use]
    pub fn current(&self) -> Vec<Arc<Target>> {
        let mut targets = self.targets.lock();
        targets.retain(|target| target.with(|state| state.listed && state.path.error().is_some()));
        // a path that was lost, regained and lost again may be in the list twice
        targets.sort_unstable_by_key(|target| target.short_id);
        targets.dedup_by(|a, b| Arc::ptr_eq(a, b));
        targets.clone()
    }

    /// Whether no path is lost.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.current().is_empty()
    }

    /// Waits until a path is lost.
    pub async fn wait_for_loss(&self) {
        self.added.notified().await;
    }
}
