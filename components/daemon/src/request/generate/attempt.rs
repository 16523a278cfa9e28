//! One attempt at an engine.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use endpoint::engine::{Engine, Frames};

use crate::process::{gates::Id, pool::Grant};

/// How long a cancellation is tried.
const CANCEL: Duration = Duration::from_secs(2);
/// An attempt that is running.
pub(super) struct Live {
    pub(super) grant: Grant,
    pub(super) frames: Frames,
    pub(super) at: (Id, SocketAddr),
    pub(super) sent: Instant,
    pub(super) last: Instant,
    pub(super) cancel: Cancel,
}

/// Cancels an attempt at its engine when it is dropped before the attempt has ended.
pub(super) struct Cancel {
    pub(super) engine: Engine,
    pub(super) address: SocketAddr,
    pub(super) attempt: u64,
    pub(super) ended: bool,
}

impl Drop for Cancel {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let engine = self.engine.clone();
        let (address, attempt) = (self.address, self.attempt);
        tokio::spawn(async move {
            // an engine that can't be reached ends the attempt by its broken stream
            let _ = engine.cancel(address, attempt, CANCEL).await;
        });
    }
}
