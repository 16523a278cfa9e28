//! The clock and its timers across a suspension that the monotonic clock does not count.

use std::time::Duration;

use clock::Instant;

const SUSPENSION: Duration = Duration::from_secs(5);

#[tokio::test]
async fn timers_and_elapsed_times_include_a_suspension() {
    let watcher = tokio::spawn(clock::watch_suspensions(|_| {}));
    let start = Instant::now();
    let monotonic_start = std::time::Instant::now();
    let sleeper = tokio::spawn(clock::sleep(SUSPENSION));
    let timeout = clock::timeout(SUSPENSION, std::future::pending::<()>());
    tokio::time::sleep(Duration::from_millis(100)).await;
    clock::simulate_suspension(SUSPENSION);
    assert!(start.elapsed() >= SUSPENSION);
    assert!(timeout.await.is_err());
    sleeper.await.expect("the sleep ends");
    assert!(
        monotonic_start.elapsed() < SUSPENSION / 2,
        "the sleep does not start over"
    );
    watcher.abort();
}
