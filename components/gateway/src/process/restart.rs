//! Starts a background task again after a panic. Without it the process would go on serving by what it knew at that
//! moment, and nobody would notice.

use std::{panic::AssertUnwindSafe, time::Duration};

use futures::FutureExt;

/// Delay before a task is started again, so that one that panics each time does not keep a processor busy.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Runs a background task for the lifetime of the process, and again after each panic. Its state must be such that it can
/// begin anew at any point.
pub async fn run_again<F: Future<Output = ()>>(task: &str, run: impl Fn() -> F) {
    // unwind-safe: what the task leaves behind is what any other interruption would leave
    while AssertUnwindSafe(run()).catch_unwind().await.is_err() {
        log::error!(task; "a background task has panicked and is started again");
        clock::sleep(RESTART_DELAY).await;
    }
}
