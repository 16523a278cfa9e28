//! The clock and its timers when the steady clock misses seconds.

use std::time::Duration;

use clock::Instant;

const MISSED: Duration = Duration::from_secs(5);

#[tokio::test]
async fn timers_fire_and_ages_count_also_for_the_time_that_the_steady_clock_missed() {
    let watching = tokio::spawn(clock::watch(|_| {}));
    let begun = Instant::now();
    let steady = std::time::Instant::now();
    let long = tokio::spawn(clock::sleep(MISSED));
    let pending = clock::timeout(MISSED, std::future::pending::<()>());
    tokio::time::sleep(Duration::from_millis(100)).await;
    clock::skip(MISSED);
    assert!(begun.elapsed() >= MISSED);
    assert!(pending.await.is_err());
    long.await.expect("it slept");
    assert!(steady.elapsed() < MISSED / 2, "it did not wait once more");
    watching.abort();
}
