//! Closes new connections unread while this process has more work than it can do. Their callers can safely retry at
//! another gateway, which a request that has been read can't. See `docs/DESIGN.md#overload`.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use parking_lot::Mutex;
use policy::overload;
use tokio::time::Instant;

use crate::process::Gateway;

/// Interval of the timers that show how far behind this process is.
const TIMER_INTERVAL: Duration = Duration::from_millis(10);
/// Longest time for which no new connection is accepted: a gateway that is ready must take some.
const MAX_REFUSAL: Duration = Duration::from_millis(50);

/// Whether this process has more work than it can do.
#[derive(Debug, Default)]
pub struct Overload {
    is_overloaded: AtomicBool,
    last_accepted: Mutex<Option<Instant>>,
}

impl Overload {
    /// Whether a new connection is accepted.
    pub fn accepts(&self) -> bool {
        if !self.is_overloaded.load(Ordering::Relaxed) {
            return true;
        }
        let now = Instant::now();
        let mut last_accepted = self.last_accepted.lock();
        let is_due = last_accepted.is_none_or(|last| now - last >= MAX_REFUSAL);
        if is_due {
            *last_accepted = Some(now);
        }
        is_due
    }
}

/// Watches how late timers fire, for the lifetime of the process.
pub async fn watch(gateway: &Gateway) {
    let began = Instant::now();
    let mut state = overload::Overload::new(policy::micros(gateway.settings.overload.lag_ms));
    loop {
        let due = Instant::now() + TIMER_INTERVAL;
        tokio::time::sleep_until(due).await;
        let lag = due.elapsed();
        let overloaded = state.observe(policy::micros(began.elapsed()), policy::micros(lag));
        let before = gateway
            .overload
            .is_overloaded
            .swap(overloaded, Ordering::Relaxed);
        if before != overloaded {
            let open = *gateway.connections.borrow();
            log::warn!(
                overloaded, lag_us = policy::micros(lag), open, in_flight = *gateway.in_flight.borrow();
                "the overload of this process has begun or ended"
            );
        }
    }
}
