//! The time that the steady clock has missed.

use std::{
    sync::{
        OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use nix::time::{ClockId, clock_gettime};
use tokio::sync::Notify;

/// Between two looks at whether the machine was suspended: timers that fell due meanwhile fire this late.
const LOOK: Duration = Duration::from_millis(50);
/// Less than this is a difference between two readings, not a suspension.
const LEAST: Duration = Duration::from_millis(10);

/// By how much the clock that counts suspensions was ahead when it was first read, in nanoseconds.
static AHEAD: OnceLock<u64> = OnceLock::new();
/// What was missed since then, in nanoseconds.
static MISSED: AtomicU64 = AtomicU64::new(0);
/// What tests have skipped, in nanoseconds.
static SKIPPED: AtomicU64 = AtomicU64::new(0);
/// Notified after a suspension.
pub static RESUMED: Notify = Notify::const_new();

/// What the steady clock has missed since the first call; never less than before.
pub fn missed() -> Duration {
    let skipped = Duration::from_nanos(SKIPPED.load(Ordering::Relaxed));
    let Some(ahead) = ahead() else {
        return skipped + Duration::from_nanos(MISSED.load(Ordering::Relaxed));
    };
    let first = *AHEAD.get_or_init(|| ahead);
    let missed = ahead.saturating_sub(first);
    let before = MISSED.fetch_max(missed, Ordering::Relaxed);
    skipped + Duration::from_nanos(before.max(missed))
}

/// By how much the clock that counts suspensions is ahead of the steady one. The steady one is read last, so a process
/// that is delayed in between computes too little, and the largest of several values is the best.
fn ahead() -> Option<u64> {
    let counting = nanos(ClockId::CLOCK_BOOTTIME)?;
    let steady = nanos(ClockId::CLOCK_MONOTONIC)?;
    Some(counting.saturating_sub(steady))
}

/// A clock's time in nanoseconds; none if the system has no such clock.
fn nanos(clock: ClockId) -> Option<u64> {
    let time = Duration::from(clock_gettime(clock).ok()?);
    u64::try_from(time.as_nanos()).ok()
}

/// Has this process's clock go on by a span that the steady clock misses, as if the machine had been suspended. For
/// tests.
pub fn skip(span: Duration) {
    let nanos = u64::try_from(span.as_nanos()).unwrap_or(u64::MAX);
    SKIPPED.fetch_add(nanos, Ordering::Relaxed);
}

/// Looks for suspensions as long as it is polled, has timers fire that fell due meanwhile, and says how long each one
/// was. A process that uses timers runs this once.
pub async fn watch(resumed: impl Fn(Duration)) {
    let mut before = missed();
    loop {
        tokio::time::sleep(LOOK).await;
        let now = missed();
        let suspended = now.saturating_sub(before);
        before = now;
        if suspended >= LEAST {
            RESUMED.notify_waiters();
            resumed(suspended);
        }
    }
}
