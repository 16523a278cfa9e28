//! Logs as JSON lines on standard output, bounded and non-blocking.
//!
//! Lines are put into a queue that a separate thread writes out. When the queue is full because lines are logged faster
//! than they can be written, further lines are dropped and counted, and the count is logged once there is room again: a
//! process must not block because nobody reads its output.

mod line;
mod panics;
mod queue;

use std::time::Duration;

use derive_more::{Display, Error, From};

use queue::Queue;

/// Logging was started before in this process.
#[derive(Debug, Display, Error, From)]
#[display("the log is running already")]
pub struct AlreadyRunning(log::SetLoggerError);

/// Crates that log at the configured level; all others log warnings and errors only.
const OWN_CRATES: &[&str] = &[
    "caller",
    "daemon",
    "gateway",
    "platform",
    "telemetry",
    "wrenrampd",
];
/// Limit on the time for which a process that exits waits until its last lines are written. A graceful shutdown leaves
/// more time than this before the process would be killed.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(150);

/// The logger of a process. Dropping it writes out the lines logged so far.
#[derive(Debug)]
pub struct LogGuard(Queue);

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.0.flush(FLUSH_TIMEOUT);
    }
}

/// Starts logging JSON lines for a process, including its panics. Keep the guard until the process exits.
///
/// # Errors
///
/// [`AlreadyRunning`] when logging was started before.
pub fn start(process: &str, level: log::LevelFilter) -> Result<LogGuard, AlreadyRunning> {
    let process = process.to_owned();
    let queue = Queue::start(std::io::stdout());
    let mut dispatch = fern::Dispatch::new().level(log::LevelFilter::Warn);
    for name in OWN_CRATES {
        dispatch = dispatch.level_for(*name, level);
    }
    let guard = LogGuard(queue.clone());
    let output = fern::Output::call(move |record| queue.push(line::json(&process, record)));
    dispatch.chain(output).apply()?;
    panics::install_hook();
    Ok(guard)
}

/// Returns the wall-clock time in milliseconds since 1970, for display only.
pub use line::wall_ms;
