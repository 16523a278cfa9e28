//! The daemon: with a settings tree of its own, or as a gateway on an operators' platform.

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

use bpaf::Bpaf;
use settings::{gateway, process::Settings};
use tokio::signal::unix::{SignalKind, signal};

/// Serves callers, peers and operators on one entry VM.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    #[bpaf(external)]
    role: Role,
    /// Check the settings file and end
    check: bool,
    /// How much to log: error, warn, info or debug
    #[bpaf(argument("LEVEL"), fallback(log::LevelFilter::Info))]
    log: log::LevelFilter,
}

#[derive(Clone, Debug, Bpaf)]
enum Role {
    /// Serve with an own settings tree
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
    let ended = match &options.role {
        Role::Daemon { config } => daemon(config, &options),
        Role::Gateway { gateway } => gateway_process(gateway, &options),
    };
    match ended {
        Ok(0) => ExitCode::SUCCESS,
        Ok(cut) => {
            eprintln!("{cut} requests were cut");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

type Ended = Result<usize, Box<dyn std::error::Error>>;

fn no_problem(file: &Path) -> usize {
    println!("{}: no problem", file.display());
    0
}

fn daemon(file: &Path, options: &Options) -> Ended {
    let settings = Settings::load(file)?;
    if options.check {
        return Ok(no_problem(file));
    }
    // dropped after the runtime, whose tasks may log until then
    let _logs = telemetry::logs::start(&settings.daemon.name, options.log)?;
    tokio::runtime::Runtime::new()?.block_on(run_daemon(settings))
}

/// Runs the daemon to its planned end and says how many requests were cut.
async fn run_daemon(settings: Settings) -> Ended {
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
    Ok(running.abort())
}

fn gateway_process(file: &Path, options: &Options) -> Ended {
    let settings = gateway::Settings::load(file)?;
    if options.check {
        return Ok(no_problem(file));
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

/// Between two looks whether the settings file has changed without a signal. Operators may change it
/// so, and reading a small file is cheap.
const LOOK: std::time::Duration = std::time::Duration::from_secs(2);

/// Runs the gateway to its planned end and says how many requests were cut.
async fn run_gateway(file: &Path, settings: gateway::Settings) -> Ended {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let edges = platform::adapters(settings.store.address);
    let mut seen = settings.clone();
    let mut readable = true;
    let mut running = ::gateway::start(settings, edges).await?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => log::info!("told that the settings changed"),
            () = tokio::time::sleep(LOOK) => {}
        }
        match gateway::Settings::load(file) {
            Ok(new) if new != seen => {
                running.reload(&new);
                seen = new;
            }
            Ok(_) => readable = true,
            Err(error) if readable => {
                readable = false;
                log::error!(error:%; "the settings stay as they are");
            }
            // it was said already
            Err(_) => {}
        }
    }
    running.stop();
    Ok(running.ended().await)
}
