//! Timers that fire also if the time until then was spent suspended.

use std::{future::Future, pin::pin, time::Duration};

use super::{Instant, suspension::RESUMED};

/// The time was over first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

/// Waits until a moment.
pub async fn sleep_until(until: Instant) {
    loop {
        let resumed = RESUMED.notified();
        let remaining = until.duration_since(Instant::now());
        if remaining.is_zero() {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(remaining) => {}
            () = resumed => {}
        }
    }
}

/// Waits for so long from the call on.
pub fn sleep(span: Duration) -> impl Future<Output = ()> {
    sleep_until(Instant::now() + span)
}

/// Waits for something, until a moment at most.
///
/// # Errors
///
/// [`Elapsed`] if the time was over first.
pub async fn timeout_at<F: Future>(until: Instant, future: F) -> Result<F::Output, Elapsed> {
    let mut future = pin!(future);
    tokio::select! {
        biased;
        done = &mut future => Ok(done),
        () = sleep_until(until) => Err(Elapsed),
    }
}

/// Waits for something, for so long from the call on at most.
///
/// # Errors
///
/// [`Elapsed`] if the time was over first.
pub fn timeout<F: Future>(
    span: Duration,
    future: F,
) -> impl Future<Output = Result<F::Output, Elapsed>> {
    timeout_at(Instant::now() + span, future)
}
