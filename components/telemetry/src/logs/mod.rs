//! Logs as JSON lines on standard error.

use std::time::{SystemTime, UNIX_EPOCH};

use derive_more::{Display, Error, From};
use serde::Serialize;

/// The log could not be started: one is running already.
#[derive(Debug, Display, Error, From)]
#[display("the log is running already")]
pub struct Running(log::SetLoggerError);

#[derive(Serialize)]
struct Line<'a> {
    time_ms: u64,
    level: &'a str,
    process: &'a str,
    module: &'a str,
    message: String,
}

/// Starts to write JSON lines for a process.
///
/// # Errors
///
/// [`Running`] when the process has a log already.
pub fn start(process: &str, level: log::LevelFilter) -> Result<(), Running> {
    let process = process.to_owned();
    fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("daemon", level)
        .format(move |out, message, record| {
            let line = Line {
                time_ms: wall_ms(),
                level: record.level().as_str(),
                process: &process,
                module: record.target(),
                message: message.to_string(),
            };
            // a line of plain fields always has a JSON form
            let line = serde_json::to_string(&line).unwrap_or_default();
            out.finish(format_args!("{line}"));
        })
        .chain(std::io::stderr())
        .apply()?;
    Ok(())
}

/// Milliseconds since 1970 by the wall clock, for reading by people only.
#[must_use]
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .ok()
        .and_then(|since| u64::try_from(since.as_millis()).ok())
        .unwrap_or(0)
}
