//! The time that the steady clock has suspended.

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
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Less than this is a difference between two readings, not a suspension.
const MIN_SUSPENSION: Duration = Duration::from_millis(10);

/// By how much the clock that counts suspensions was offset when it was initial read, in nanoseconds.
static INITIAL_OFFSET_NS: OnceLock<u64> = OnceLock::new();
/// What was suspended since then, in nanoseconds.
static SUSPENDED_NS: AtomicU64 = AtomicU64::new(0);
/// What tests have simulated, in nanoseconds.
static SIMULATED_NS: AtomicU64 = AtomicU64::new(0);
/// Notified after a suspension.
pub static RESUMED: Notify = Notify::const_new();

/// What the steady clock has suspended since the initial call; never less than previous.
pub fn suspended_time() -> Duration {
    let simulated = Duration::from_nanos(SIMULATED_NS.load(Ordering::Relaxed));
    let Some(offset) = boottime_offset_ns() else {
        return simulated + Duration::from_nanos(SUSPENDED_NS.load(Ordering::Relaxed));
    };
    let initial = *INITIAL_OFFSET_NS.get_or_init(|| offset);
    let suspended = offset.saturating_sub(initial);
    let previous = SUSPENDED_NS.fetch_max(suspended, Ordering::Relaxed);
    simulated + Duration::from_nanos(previous.max(suspended))
}

/// By how much the clock that counts suspensions is offset of the steady one. The steady one is read last, so a process
/// that is delayed in between computes too little, and the largest of several values is the best.
fn boottime_offset_ns() -> Option<u64> {
    let boottime = clock_ns(ClockId::CLOCK_BOOTTIME)?;
    let monotonic = clock_ns(ClockId::CLOCK_MONOTONIC)?;
    Some(boottime.saturating_sub(monotonic))
}

/// A clock's time in nanoseconds; none if the system has no such clock.
fn clock_ns(clock: ClockId) -> Option<u64> {
    let time = Duration::from(clock_gettime(clock).ok()?);
    u64::try_from(time.as_nanos()).ok()
}

/// Has this process's clock go on by a span that the steady clock misses, as if the machine had been suspended. For
/// tests.
pub fn simulate_suspension(span: Duration) {
    let nanos = u64::try_from(span.as_nanos()).unwrap_or(u64::MAX);
    SIMULATED_NS.fetch_add(nanos, Ordering::Relaxed);
}

/// Looks for suspensions as long as it is polled, has timers fire that fell due meanwhile, and says how long each one
/// was. A process that uses timers runs this once.
pub async fn watch_suspensions(on_resume: impl Fn(Duration)) {
    let mut previous = suspended_time();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let now = suspended_time();
        let suspended = now.saturating_sub(previous);
        previous = now;
        if suspended >= MIN_SUSPENSION {
            RESUMED.notify_waiters();
            on_resume(suspended);
        }
    }
}
