//! An attempt to generate an answer on an engine.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use endpoint::engine::{EngineClient, Frames};

use crate::process::{gates::Id, pool::Grant};

/// Time limit for the cancellation of an attempt at its engine.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
/// An attempt in flight.
pub(super) struct Attempt {
    pub(super) grant: Grant,
    pub(super) frames: Frames,
    pub(super) endpoint: (Id, SocketAddr),
    pub(super) sent_at: Instant,
    pub(super) last_frame_at: Instant,
    pub(super) cancel: CancelGuard,
}

/// Cancels an attempt at its engine if it is dropped before the attempt has finished.
pub(super) struct CancelGuard {
    pub(super) engine: EngineClient,
    pub(super) address: SocketAddr,
    pub(super) attempt: u64,
    pub(super) finished: bool,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        let engine = self.engine.clone();
        let (address, attempt) = (self.address, self.attempt);
        tokio::spawn(async move {
            // an engine that can't be reached ends the attempt when its stream breaks
            let _ = engine.cancel(address, attempt, CANCEL_TIMEOUT).await;
        });
    }
}
