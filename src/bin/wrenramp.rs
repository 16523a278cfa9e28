//! The operators' client.

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::main()
}
