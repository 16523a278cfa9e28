//! The time for which the machine was suspended, which the monotonic clock does not count.

use std::{
    sync::{
        OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use nix::time::{ClockId, clock_gettime};
use tokio::sync::Notify;

/// Time between two checks for a suspension; timers that came due during a suspension fire up to this much late.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Smaller differences between two readings are measurement noise, not a suspension.
const MIN_SUSPENSION: Duration = Duration::from_millis(10);

/// The offset of the boot-time clock from the monotonic clock at the first reading, in nanoseconds.
static INITIAL_OFFSET_NS: OnceLock<u64> = OnceLock::new();
/// The time suspended since then, in nanoseconds.
static SUSPENDED_NS: AtomicU64 = AtomicU64::new(0);
/// The time that tests have added, in nanoseconds.
static SIMULATED_NS: AtomicU64 = AtomicU64::new(0);
/// Notified after a suspension.
pub static AFTER_SUSPENSION: Notify = Notify::const_new();

/// Returns the time suspended since the first call; it never decreases.
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

/// Returns the offset of the boot-time clock, which counts suspensions, from the monotonic clock. The monotonic clock
/// is read last, so a delay between the two readings makes the offset too small, and the largest of several readings is
/// the most accurate.
fn boottime_offset_ns() -> Option<u64> {
    let boottime = clock_ns(ClockId::CLOCK_BOOTTIME)?;
    let monotonic = clock_ns(ClockId::CLOCK_MONOTONIC)?;
    Some(boottime.saturating_sub(monotonic))
}

/// Reads a clock in nanoseconds; `None` if the system does not have it.
fn clock_ns(clock: ClockId) -> Option<u64> {
    let time = Duration::from(clock_gettime(clock).ok()?);
    u64::try_from(time.as_nanos()).ok()
}

/// Advances this process's clock by `span` as if the machine had been suspended. For tests.
pub fn simulate_suspension(span: Duration) {
    let nanos = u64::try_from(span.as_nanos()).unwrap_or(u64::MAX);
    SIMULATED_NS.fetch_add(nanos, Ordering::Relaxed);
}

/// Checks for suspensions until it is dropped. After each one it wakes the timers, so that those that have come due
/// fire, and calls `on_resume` with the duration. A process that uses timers runs this once.
pub async fn watch_suspensions(on_resume: impl Fn(Duration)) {
    let mut previous = suspended_time();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let now = suspended_time();
        let suspended = now.saturating_sub(previous);
        previous = now;
        if suspended >= MIN_SUSPENSION {
            AFTER_SUSPENSION.notify_waiters();
            on_resume(suspended);
        }
    }
}
