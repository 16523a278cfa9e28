//! The commands, grouped by what they do. The domain logic is in the daemon and in `settings`.

mod change;
mod engine;
mod file;
mod show;

use std::process::ExitCode;

use crate::{
    cli::{Command, GroupCommand, Options},
    client::Client,
    error::Error,
};
use change::WaitForAll;

/// Runs the command given in the options.
pub async fn run(options: &Options) -> Result<ExitCode, Error> {
    if let Command::Check { file } = &options.command {
        return file::check(file);
    }
    let mut client = Client::connect(options).await?;
    let client = &mut client;
    let json = options.json;
    match &options.command {
        Command::Get { path, key } => show::get(client, path, key.as_deref(), json).await,
        Command::Tree => show::tree(client, json).await,
        Command::History { from } => show::history(client, *from, json).await,
        Command::Status => show::status(client, json).await,
        Command::Timeline {
            request,
            engine,
            since,
        } => show::timeline(client, request.as_deref(), engine.as_deref(), *since, json).await,
        Command::Set {
            wait,
            base,
            path,
            values,
        } => change::set(client, path, values, base.unwrap_or(0), WaitForAll(*wait)).await,
        Command::Unset { path, key } => change::unset(client, path, key).await,
        Command::Group { step } => match step {
            GroupCommand::Add { share, group } => change::add_group(client, group, *share).await,
            GroupCommand::Remove { group } => change::remove_group(client, group).await,
        },
        Command::Drain { endpoint } => change::set_drained(client, endpoint, true).await,
        Command::Undrain { endpoint } => change::set_drained(client, endpoint, false).await,
        Command::Diff { file } => file::diff(client, file).await,
        Command::Apply {
            dry_run,
            wait,
            file,
        } => file::apply(client, file, *dry_run, WaitForAll(*wait)).await,
        Command::Role { endpoint, role } => engine::role(client, endpoint, role).await,
        Command::Load {
            role,
            endpoint,
            model,
            adapter,
            version,
        } => engine::load(client, endpoint, role, [model, adapter, version]).await,
        // handled above, before connecting to a daemon
        Command::Check { file } => file::check(file),
    }
}
