//! The daemon.

use std::{path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use settings::process::Settings;
use tokio::signal::unix::{SignalKind, signal};

/// Serves callers, peers and operators on one entry VM.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// The settings file
    #[bpaf(short('c'), long, argument("FILE"))]
    config: PathBuf,
    /// Check the settings file and end
    check: bool,
    /// How much to log: error, warn, info or debug
    #[bpaf(argument("LEVEL"), fallback(log::LevelFilter::Info))]
    log: log::LevelFilter,
}

fn main() -> ExitCode {
    let options = options().run();
    let settings = match Settings::load(&options.config) {
        Ok(settings) => settings,
        Err(error) => return fail(&error),
    };
    if options.check {
        println!("{}: no problem", options.config.display());
        return ExitCode::SUCCESS;
    }
    if let Err(error) = telemetry::logs::start(&settings.daemon.name, options.log) {
        return fail(&error);
    }
    match run(settings) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(cut) => {
            eprintln!("{cut} requests were cut");
            ExitCode::FAILURE
        }
        Err(error) => fail(error.as_ref()),
    }
}

fn fail(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("{error}");
    ExitCode::FAILURE
}

/// Runs the daemon to its planned end and says how many requests were cut.
#[tokio::main]
async fn run(settings: Settings) -> Result<usize, Box<dyn std::error::Error>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut running = daemon::start(settings).await?;
    let addresses = running.addresses();
    println!(
        "callers {} peers {} status {}",
        addresses.callers, addresses.peers, addresses.status
    );
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    running.stop();
    // a second signal ends it hard
    tokio::select! {
        cut = running.ended() => return Ok(cut),
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(running.end_hard())
}
