//! The daemon. It serves either with a settings tree of its own or as a gateway on an operators' platform.

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

use bpaf::Bpaf;
use settings::{daemon::Settings, gateway};
use tokio::signal::unix::{SignalKind, signal};

/// Accepts callers' requests and forwards them to endpoints, as a daemon or as a gateway.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    #[bpaf(external)]
    mode: Mode,
    /// Check the settings file and exit
    check: bool,
    /// Log level: error, warn, info or debug
    #[bpaf(argument("LEVEL"), fallback(log::LevelFilter::Info))]
    log: log::LevelFilter,
}

#[derive(Clone, Debug, Bpaf)]
enum Mode {
    /// Serve with a settings tree of its own
    Daemon {
        /// The settings file of a daemon with a settings tree of its own
        #[bpaf(short('c'), long, argument("FILE"))]
        config: PathBuf,
    },
    /// Serve what an operators' platform lists
    Gateway {
        /// The settings file of a gateway on an operators' platform
        #[bpaf(long, argument("FILE"))]
        gateway: PathBuf,
    },
}

fn main() -> ExitCode {
    let options = options().run();
    let result = match &options.mode {
        Mode::Daemon { config } => daemon(config, &options),
        Mode::Gateway { gateway } => gateway_process(gateway, &options),
    };
    match result {
        Ok(0) => ExitCode::SUCCESS,
        Ok(aborted) => {
            eprintln!("{aborted} requests were aborted by the shutdown");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

type ExitResult = Result<usize, Box<dyn std::error::Error>>;

fn report_valid(file: &Path) -> usize {
    println!("{}: no problem", file.display());
    0
}

fn daemon(file: &Path, options: &Options) -> ExitResult {
    let settings = Settings::load(file)?;
    if options.check {
        return Ok(report_valid(file));
    }
    // dropped after the runtime, whose tasks may log until then
    let _logs = telemetry::logs::start(&settings.daemon.name, options.log)?;
    tokio::runtime::Runtime::new()?.block_on(run_daemon(settings))
}

/// Runs the daemon until a graceful shutdown and returns how many requests were aborted.
async fn run_daemon(settings: Settings) -> ExitResult {
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
    // a second signal forces an immediate shutdown
    tokio::select! {
        aborted = running.ended() => return Ok(aborted),
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(running.abort())
}

fn gateway_process(file: &Path, options: &Options) -> ExitResult {
    let settings = gateway::Settings::load(file)?;
    if options.check {
        return Ok(report_valid(file));
    }
    // dropped after the runtime, whose tasks may log until then
    let _logs = telemetry::logs::start(&settings.gateway.name, options.log)?;
    let runtime = match settings.resources.threads {
        1 => tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?,
        threads => tokio::runtime::Builder::new_multi_thread()
            .worker_threads(threads)
            .enable_all()
            .build()?,
    };
    runtime.block_on(run_gateway(file, settings))
}

/// Time between two checks for a changed settings file. Operators may change the file without sending a signal, and
/// reading a small file is cheap.
const SETTINGS_POLL_INTERVAL: std::time::Duration = std::time::Duration::from_secs(2);

/// Runs the gateway until a graceful shutdown and returns how many requests were aborted.
async fn run_gateway(file: &Path, settings: gateway::Settings) -> ExitResult {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let adapters = platform::adapters(
        settings.store.address,
        settings.duties.as_ref().map(|duties| duties.address),
    );
    let mut applied = settings.clone();
    let mut last_load_ok = true;
    let mut running = ::gateway::start(settings, adapters).await?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => log::info!("SIGHUP received; checking the settings file"),
            () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => {}
        }
        match gateway::Settings::load(file) {
            Ok(new) if new != applied => {
                running.reload(&new);
                applied = new;
            }
            Ok(_) => last_load_ok = true,
            Err(error) if last_load_ok => {
                last_load_ok = false;
                log::error!(error:%; "could not load the changed settings file; keeping the current settings");
            }
            // the error was logged the first time
            Err(_) => {}
        }
    }
    running.stop();
    Ok(running.ended().await)
}
