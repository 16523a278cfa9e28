//! The operators' command-line client `wrenramp`.

mod cli;
mod client;
mod cmd;
mod console;
mod error;

use std::process::ExitCode;

/// Parses the arguments, runs the command and returns its exit code: 0 on success, 1 if it was refused
/// or failed, 2 for invalid arguments, 3 if it succeeded in part (some daemons lag or are unreachable, or
/// it is not known whether a change was accepted).
#[must_use]
pub fn main() -> ExitCode {
    let options = cli::options().run();
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => return console::report_error(&error::Error::Runtime(error)),
    };
    match runtime.block_on(cmd::run(&options)) {
        Ok(code) => code,
        Err(error) => console::report_error(&error),
    }
}
