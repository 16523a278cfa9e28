//! Logs as JSON lines on standard output, bounded and never blocking.
//!
//! A line is put into a queue that a thread of its own writes out. When the queue is full, or lines
//! come faster than the bound, they are dropped and counted, and the count is told once there is room
//! again: a reader that doesn't read must not stop what is logged about.

mod line;
mod panics;
mod queue;

use std::time::Duration;

use derive_more::{Display, Error, From};

use queue::Queue;

/// The log could not be started: one is running already.
#[derive(Debug, Display, Error, From)]
#[display("the log is running already")]
pub struct AlreadyRunning(log::SetLoggerError);

/// The crates whose lines are written at the level asked for; the rest only warn.
const OWN_CRATES: &[&str] = &["daemon", "gateway", "platform", "telemetry", "wrenrampd"];
/// How long a process that ends waits for its last lines to be written: a planned stop leaves more than this before the
/// process would be killed.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(150);

/// The log of a process. When it is dropped, what was logged so far is written out.
#[derive(Debug)]
pub struct Guard(Queue);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.flush(FLUSH_TIMEOUT);
    }
}

/// Starts to write JSON lines for a process, its panics among them. Keep the guard until the process ends.
///
/// # Errors
///
/// [`AlreadyRunning`] when the process has a log already.
pub fn start(process: &str, level: log::LevelFilter) -> Result<Guard, AlreadyRunning> {
    let process = process.to_owned();
    let queue = Queue::start(std::io::stdout());
    let mut dispatch = fern::Dispatch::new().level(log::LevelFilter::Warn);
    for name in OWN_CRATES {
        dispatch = dispatch.level_for(*name, level);
    }
    let guard = Guard(queue.clone());
    let output = fern::Output::call(move |record| queue.push(line::json(&process, record)));
    dispatch.chain(output).apply()?;
    panics::install_hook();
    Ok(guard)
}

/// Milliseconds since 1970 by the wall clock, for reading by people only.
pub use line::wall_ms;
