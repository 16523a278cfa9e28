//! Timers that include the time for which the machine was suspended.

use std::{future::Future, pin::pin, time::Duration};

use super::{Instant, suspension::AFTER_SUSPENSION};

/// The deadline passed before the future completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

/// Waits until `until`.
pub async fn sleep_until(until: Instant) {
    loop {
        let resumed = AFTER_SUSPENSION.notified();
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

/// Waits for `span` from the call on.
pub fn sleep(span: Duration) -> impl Future<Output = ()> {
    sleep_until(Instant::now() + span)
}

/// Waits for a future until `until` at the latest.
///
/// # Errors
///
/// [`Elapsed`] if the deadline passed first.
pub async fn timeout_at<F: Future>(until: Instant, future: F) -> Result<F::Output, Elapsed> {
    let mut future = pin!(future);
    tokio::select! {
        biased;
        done = &mut future => Ok(done),
        () = sleep_until(until) => Err(Elapsed),
    }
}

/// Waits for a future for at most `span` from the call on.
///
/// # Errors
///
/// [`Elapsed`] if the time ran out first.
pub fn timeout<F: Future>(
    span: Duration,
    future: F,
) -> impl Future<Output = Result<F::Output, Elapsed>> {
    timeout_at(Instant::now() + span, future)
}
