//! Commands that change the tree.

use std::{
    process::ExitCode,
    time::{Duration, Instant},
};

use wire::Edit;

use super::engine;
use crate::{
    client::Client,
    console::{self, EXIT_FAILED, EXIT_PARTIAL_OR_UNKNOWN},
    error::Error,
};

/// Whether to wait until all daemons have applied the new version.
#[derive(Clone, Copy, Debug)]
pub struct WaitForAll(pub bool);

/// Timeout for all daemons to apply a version; equal to the target time of a settings change.
const APPLY_TIMEOUT: Duration = Duration::from_secs(7);
/// Interval between status requests while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// `set`: sets one or more values of a node.
pub async fn set(
    client: &mut Client,
    path: &str,
    values: &[String],
    base: u64,
    wait: WaitForAll,
) -> Result<ExitCode, Error> {
    let mut edits = Vec::new();
    for value in values {
        let Some((key, value)) = value.split_once('=') else {
            console::print_line(format!("{value} is not of the form KEY=VALUE"));
            return Ok(ExitCode::from(EXIT_FAILED));
        };
        edits.push(value_edit(path, key, Some(value)));
    }
    commit(client, base, edits, false, wait).await
}

/// `unset`: removes a value.
pub async fn unset(client: &mut Client, path: &str, key: &str) -> Result<ExitCode, Error> {
    commit(
        client,
        0,
        vec![value_edit(path, key, None)],
        false,
        WaitForAll(false),
    )
    .await
}

/// `group add`: creates a group with its share.
pub async fn add_group(client: &mut Client, group: &str, share: u32) -> Result<ExitCode, Error> {
    let path = format!("group/{group}");
    let edits = vec![value_edit(&path, "share", Some(&share.to_string()))];
    commit(client, 0, edits, false, WaitForAll(false)).await
}

/// `group remove`: removes a group.
pub async fn remove_group(client: &mut Client, group: &str) -> Result<ExitCode, Error> {
    let edits = vec![removal_edit(&format!("group/{group}"))];
    commit(client, 0, edits, false, WaitForAll(false)).await
}

/// `drain` and `undrain`: sets whether an endpoint is drained, and waits until that is in force.
pub async fn set_drained(
    client: &mut Client,
    endpoint: &str,
    drained: bool,
) -> Result<ExitCode, Error> {
    let (data_centre, number) = engine::parse_endpoint(endpoint)?;
    let path = format!("endpoint/{data_centre}/{number}");
    if !client
        .read()
        .await?
        .nodes
        .iter()
        .any(|node| node.path == path)
    {
        return Err(Error::NotFound(path));
    }
    let edits = vec![value_edit(&path, "drain", Some(&drained.to_string()))];
    commit(client, 0, edits, false, WaitForAll(true)).await
}

/// Returns an edit that sets a value, or removes it if `value` is `None`.
pub fn value_edit(path: &str, key: &str, value: Option<&str>) -> Edit {
    Edit {
        path: path.to_owned(),
        key: key.to_owned(),
        value: value.map(ToOwned::to_owned),
        remove_node: false,
    }
}

/// Returns an edit that removes a node.
pub fn removal_edit(path: &str) -> Edit {
    Edit {
        path: path.to_owned(),
        remove_node: true,
        ..Edit::default()
    }
}

/// Commits a change and, if asked, waits until all daemons have applied it.
pub async fn commit(
    client: &mut Client,
    base: u64,
    edits: Vec<Edit>,
    dry_run: bool,
    wait: WaitForAll,
) -> Result<ExitCode, Error> {
    let reply = client.commit(base, edits, dry_run).await?;
    let code = console::report_commit(&reply, dry_run);
    match wait {
        WaitForAll(true) if reply.version > 0 => wait_until_applied(client, reply.version).await,
        _ => Ok(code),
    }
}

/// Waits until all daemons have applied a version, and prints which have not at the timeout.
async fn wait_until_applied(client: &mut Client, version: u64) -> Result<ExitCode, Error> {
    let deadline = Instant::now() + APPLY_TIMEOUT;
    loop {
        let daemons = client.status().await?.daemons;
        let (applied, lagging): (Vec<_>, Vec<_>) = daemons
            .iter()
            .partition(|daemon| daemon.answered && daemon.settings_version >= version);
        if lagging.is_empty() {
            console::print_line(format!("in force in all {} daemons", applied.len()));
            return Ok(ExitCode::SUCCESS);
        }
        if Instant::now() > deadline {
            console::print_line(format!(
                "in force in {} daemons, not yet in:",
                applied.len()
            ));
            for daemon in lagging {
                let member = daemon.member.clone().unwrap_or_default();
                let state = if daemon.answered { "lags" } else { "silent" };
                console::print_line(format!("  {} {state}", member.address));
            }
            return Ok(ExitCode::from(EXIT_PARTIAL_OR_UNKNOWN));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
