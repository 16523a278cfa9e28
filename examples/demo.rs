//! A complete fleet in one process: three daemons with stand-ins for the platform, for engines of all
//! roles and for a plain service.
//!
//! `cargo run --release --example demo` serves requests until it is terminated. With `-- --check` it
//! runs a fixed set of checks with real requests, prints the result of each and fails if one fails.

mod demo_parts;

use std::process::ExitCode;

use demo_parts::{checks, fleet::Fleet};

#[tokio::main]
async fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let check = match arguments.next().as_deref() {
        None => false,
        Some("--check") => true,
        Some(other) => {
            eprintln!("unknown argument {other}; the only option is --check");
            return ExitCode::from(2);
        }
    };
    let fleet = match Fleet::start().await {
        Ok(fleet) => fleet,
        Err(error) => {
            eprintln!("could not start the demo: {error}");
            return ExitCode::FAILURE;
        }
    };
    fleet.print_commands();
    if check {
        return checks::run(fleet).await;
    }
    // serves until the process is terminated
    std::future::pending().await
}
