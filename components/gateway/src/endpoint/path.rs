//! Whether this process can open connections to an endpoint.
//!
//! A path may fail although the endpoint is sound, and peers may still reach it. It is therefore kept
//! apart from the endpoint's health. See `docs/DESIGN.md#paths-to-endpoints`.

use std::time::Duration;

use clock::Instant;

use super::ConnectError;

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
                self.loss = Some(Loss { since: now, error });
                Some(Change::Lost(error))
            }
            (Err(error), Some(loss)) => {
                self.loss = Some(Loss { error, ..loss });
                None
            }
        }
    }

    /// Returns why new connections fail; `None` as long as they succeed.
    #[must_use]
    pub fn error(&self) -> Option<ConnectError> {
        self.loss.map(|loss| loss.error)
    }
}
