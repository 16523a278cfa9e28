//! Connections to an endpoint, and checks whether it can be reached and whether it has crashed.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use clock::Instant;
use derive_more::Display;

use super::Target;
use crate::{
    crashes::InFlight,
    endpoint::{ConnectError, Connection, IdleConnection, State, connection, path},
};

/// Minimum time between the beginnings of two checks of an endpoint's path, as each opens a
/// connection.
const MIN_PATH_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// A check whether an endpoint still listens.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListenCheck {
    began: Instant,
    listening: Listening,
    /// What a refusal means; `None` if it was not refused.
    refusal: Option<Refusal>,
}

/// Why an endpoint refuses connections of this process.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Refusal {
    /// It has crashed.
    #[display("it has crashed")]
    Crashed,
    /// Only the path to it is lost: others reach it, or its successor at the same address.
    #[display("others reach it")]
    PathLost,
    /// It may have crashed, or all paths to it are lost.
    #[display("it has crashed, or all paths to it are lost")]
    Unclear,
}

/// Which connections a request may be sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// An open one that has been idle for at most this long, or a new one.
    Idle(Duration),
    /// Only a new one, on which no response to an earlier request can arrive.
    Never,
}

/// Whether an endpoint accepts connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listening {
    /// It accepted a connection.
    Accepts,
    /// It refused a connection.
    Refuses,
    /// It is shutting down or no longer listed, or did not answer.
    Unknown,
}

/// What a check for a crash of an endpoint showed.
#[derive(Clone, Debug)]
pub enum CrashCheck {
    /// It has not crashed: it accepts connections.
    Listens,
    /// It has not crashed, as far as can be known.
    NotCrashed,
    /// It refuses connections of this process, and others reach it. The requests that were left unanswered are returned.
    PathLost(Vec<InFlight>),
    /// It may have crashed. The requests that were left unanswered are returned.
    Unclear(Vec<InFlight>),
    /// It has crashed. One of the requests may be the cause; only the first check that finds the crash
    /// returns them.
    Crashed(Vec<InFlight>),
}

impl Target {
    /// Returns an idle connection if `reuse` allows one, else opens one. At most `max_open`
    /// connections are open at a time.
    ///
    /// # Errors
    ///
    /// [`ConnectError`]: no connection is available, and nothing was sent.
    pub async fn connect(
        self: &Arc<Self>,
        reuse: Reuse,
        max_open: usize,
    ) -> Result<Connection, ConnectError> {
        let now = Instant::now();
        let is_usable = |idle: &IdleConnection| match reuse {
            Reuse::Idle(max_idle) => idle.is_usable(now, max_idle),
            Reuse::Never => false,
        };
        let found = self.with(|state| {
            let index = state.idle.iter().position(is_usable);
            index.map(|index| state.idle.remove(index))
        });
        if let Some(idle) = found {
            return Ok(idle.connection);
        }
        if let Some(error) = self.with(|state| state.path.error()) {
            return Err(error);
        }
        if self.open_connections.load(Ordering::Relaxed) >= max_open {
            // idle connections that this request can't use count towards the limit too; the most
            // recent one is closed
            let removed = self.with(|state| state.idle.pop().is_some());
            if !removed {
                return Err(ConnectError::Full);
            }
        }
        self.open_connection().await
    }

    /// Opens a connection, and records whether that worked.
    async fn open_connection(self: &Arc<Self>) -> Result<Connection, ConnectError> {
        let address = self.with(|state| state.profile.address);
        let opened = connection::open(address, &self.open_connections).await;
        let result = opened.as_ref().map(|_| ()).map_err(|error| *error);
        let (change, service) = self.with(|state| {
            let change = state.path.record(result, Instant::now());
            if result == Err(ConnectError::Silent) {
                // what can't be reached by a new connection can't be by an open one
                state.idle.clear();
            }
            (change, Arc::clone(&state.profile.service))
        });
        let (endpoint, service) = (&*self.id.0, &*service);
        match change {
            Some(path::Change::Lost(error)) => {
                log::info!(endpoint, service, address:%, error:%; "the path to an endpoint is lost");
                self.lost_paths.add(self);
            }
            Some(path::Change::Regained(after)) => {
                let after_ms = policy::micros(after) / 1_000;
                log::info!(endpoint, service, address:%, after_ms; "the path to an endpoint is back");
            }
            None => {}
        }
        opened
    }

    /// Whether no new connection can be opened from here, as far as is known.
    #[must_use]
    pub fn is_path_lost(&self) -> bool {
        self.with(|state| state.path.error().is_some())
    }

    /// Whether several attempts in a row to open a connection got no answer, so that nothing that is sent from here arrives.
    #[must_use]
    pub fn is_unreachable(&self) -> bool {
        self.with(|state| state.path.is_unanswered())
    }

    /// Returns for how long no new connection could be opened from here; `None` as long as one can.
    #[must_use]
    pub fn path_lost_for(&self) -> Option<Duration> {
        self.with(|state| state.path.lost_for(Instant::now()))
    }

    /// Whether an attempt to reconnect over a lost path is due.
    #[must_use]
    pub fn is_reconnect_due(&self, now: Instant) -> bool {
        self.with(|state| state.path.next_reconnect().is_some_and(|at| at <= now))
    }

    /// Whether the path has not been checked just before. Lost paths are reconnected at intervals of their own.
    #[must_use]
    pub fn may_check_path(&self, now: Instant) -> bool {
        self.with(|state| {
            let checked = state.path_checked;
            state.path.error().is_none()
                && checked
                    .is_none_or(|at| now.saturating_duration_since(at) >= MIN_PATH_CHECK_INTERVAL)
        })
    }

    /// Checks whether a connection can be opened, and keeps it for a later request.
    pub async fn check_path(self: &Arc<Self>) {
        self.with(|state| {
            state.path_checked = Some(Instant::now());
            state.path.postpone_reconnect(Instant::now());
        });
        if let Ok(connection) = self.open_connection().await {
            self.put_back_connection(connection);
        }
    }

    /// Checks whether the endpoint accepts connections.
    ///
    /// One that closes or resets connections still accepts new ones, one that has crashed refuses them.
    /// One that is draining or no longer listed may exit after its last response, so it is not checked.
    pub async fn check_listening(self: &Arc<Self>) -> Listening {
        let stays = self.with(|state| state.listed && state.profile.state == State::Ready);
        if !stays {
            return Listening::Unknown;
        }
        match self.open_connection().await {
            Ok(connection) => {
                self.put_back_connection(connection);
                Listening::Accepts
            }
            Err(ConnectError::Refused) => Listening::Refuses,
            Err(ConnectError::Silent | ConnectError::Full) => Listening::Unknown,
        }
    }

    /// Whether it may have crashed under a request that was left unanswered, without a connection of this process that
    /// would have shown it since.
    #[must_use]
    pub fn needs_crash_check(&self) -> bool {
        let now = Instant::now();
        self.with(|state| {
            let idle = state.idle.iter();
            let is_connected = self.open_connections.load(Ordering::Relaxed) > state.idle.len()
                || idle.filter(|idle| idle.is_open(now)).count() > 0;
            let is_checked = state.last_check.is_some_and(|last| {
                let interrupted = state.requests.last_interruption();
                last.listening != Listening::Accepts
                    && interrupted.is_none_or(|interrupted| interrupted <= last.began)
            });
            !is_connected && !is_checked && state.requests.has_unanswered(now)
        }) && self.listen_check.try_lock().is_ok()
    }

    /// Checks whether the endpoint has crashed, unless a check that began at `since` or later has shown
    /// it. If it refuses connections, `explain` decides why.
    pub async fn check_for_crash(
        self: &Arc<Self>,
        since: Instant,
        explain: impl AsyncFnOnce() -> Refusal,
    ) -> CrashCheck {
        let _listen_check = self.listen_check.lock().await;
        let last = self.with(|state| state.last_check);
        let last = last.filter(|last| last.began >= since);
        match last.map(|last| (last.refusal, last.listening)) {
            Some((Some(Refusal::Crashed), _)) => return CrashCheck::Crashed(Vec::new()),
            Some((Some(refusal), _)) => return self.refused(refusal, Instant::now()),
            Some((None, Listening::Accepts)) => return CrashCheck::Listens,
            Some((None, Listening::Refuses | Listening::Unknown)) => return CrashCheck::NotCrashed,
            None => {}
        }
        let began = Instant::now();
        let listening = self.check_listening().await;
        let refusal = match listening {
            Listening::Refuses => Some(explain().await),
            Listening::Accepts | Listening::Unknown => None,
        };
        self.with(|state| {
            state.last_check = Some(ListenCheck {
                began,
                listening,
                refusal,
            });
        });
        match (refusal, listening) {
            (Some(refusal), _) => self.refused(refusal, began),
            (None, Listening::Accepts) => CrashCheck::Listens,
            (None, Listening::Refuses | Listening::Unknown) => CrashCheck::NotCrashed,
        }
    }

    fn refused(&self, refusal: Refusal, now: Instant) -> CrashCheck {
        self.with(|state| match refusal {
            Refusal::Crashed => CrashCheck::Crashed(state.requests.take_all(now)),
            Refusal::PathLost => CrashCheck::PathLost(state.requests.take_unanswered(now)),
            Refusal::Unclear => CrashCheck::Unclear(state.requests.take_unanswered(now)),
        })
    }
}
