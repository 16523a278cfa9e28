//! The main job on embedded stand-ins: three daemons, engines of both roles, a plain service.
//!
//! `cargo run --release --example demo` serves until it is ended; with `-- --check` it sends a fixed
//! set of real requests through all of it, prints a line each and fails if one is wrong.

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
            eprintln!("{other} is not known; there is only --check");
            return ExitCode::from(2);
        }
    };
    let fleet = match Fleet::start().await {
        Ok(fleet) => fleet,
        Err(error) => {
            eprintln!("the demonstration did not start: {error}");
            return ExitCode::FAILURE;
        }
    };
    fleet.print_commands();
    if check {
        return checks::run(fleet).await;
    }
    // serves until it is ended from outside
    std::future::pending().await
}
