//! Logs as JSON lines on standard output, bounded and never blocking.
//!
//! A line is put into a queue that a thread of its own writes out. When the queue is full, or lines
//! come faster than the bound, they are dropped and counted, and the count is told once there is room
//! again: a reader that doesn't read must not stop what is logged about.

mod line;
mod queue;

use derive_more::{Display, Error, From};

use queue::Queue;

/// The log could not be started: one is running already.
#[derive(Debug, Display, Error, From)]
#[display("the log is running already")]
pub struct Running(log::SetLoggerError);

/// The crates whose lines are written at the level asked for; the rest only warn.
const OWN: &[&str] = &["daemon", "gateway", "platform", "wrenrampd"];

/// Starts to write JSON lines for a process.
///
/// # Errors
///
/// [`Running`] when the process has a log already.
pub fn start(process: &str, level: log::LevelFilter) -> Result<(), Running> {
    let process = process.to_owned();
    let queue = Queue::start(std::io::stdout());
    let mut dispatch = fern::Dispatch::new().level(log::LevelFilter::Warn);
    for own in OWN {
        dispatch = dispatch.level_for(*own, level);
    }
    let output = fern::Output::call(move |record| queue.push(line::json(&process, record)));
    dispatch.chain(output).apply()?;
    Ok(())
}

/// Milliseconds since 1970 by the wall clock, for reading by people only.
pub use line::wall_ms;
