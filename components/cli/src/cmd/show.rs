//! Read-only commands.

use std::{
    collections::BTreeMap,
    process::ExitCode,
    time::{SystemTime, UNIX_EPOCH},
};

use serde::Serialize;

use super::engine;
use crate::{
    client::Client,
    console::{self, EXIT_PARTIAL_OR_UNKNOWN},
    error::Error,
};

/// `get`: shows one value, or all values of a node.
pub async fn get(
    client: &mut Client,
    path: &str,
    key: Option<&str>,
    json: bool,
) -> Result<ExitCode, Error> {
    let tree = client.read().await?;
    let node = tree
        .nodes
        .iter()
        .find(|node| node.path == path)
        .ok_or_else(|| Error::NotFound(path.to_owned()))?;
    let values: BTreeMap<&str, &str> = node
        .values
        .iter()
        .filter(|(name, _)| key.is_none_or(|key| key == name.as_str()))
        .map(|(name, value)| (name.as_str(), value.as_str()))
        .collect();
    match key {
        Some(key) if values.is_empty() => Err(Error::NotFound(format!("{path} {key}"))),
        _ if json => {
            console::print_json(&values);
            Ok(ExitCode::SUCCESS)
        }
        Some(_) => {
            values.values().for_each(console::print_line);
            Ok(ExitCode::SUCCESS)
        }
        None => {
            for (name, value) in values {
                console::print_line(format!("{name}={value}"));
            }
            Ok(ExitCode::SUCCESS)
        }
    }
}

/// `tree`: shows all nodes.
pub async fn tree(client: &mut Client, json: bool) -> Result<ExitCode, Error> {
    let tree = client.read().await?;
    let nodes: BTreeMap<&str, BTreeMap<&str, &str>> = tree
        .nodes
        .iter()
        .map(|node| {
            let values = node.values.iter();
            let values = values.map(|(name, value)| (name.as_str(), value.as_str()));
            (node.path.as_str(), values.collect())
        })
        .collect();
    if json {
        console::print_json(&nodes);
        return Ok(ExitCode::SUCCESS);
    }
    console::print_line(format!("# version {}", tree.version));
    for (path, values) in nodes {
        console::print_line(format!("[\"{path}\"]"));
        for (name, value) in values {
            console::print_line(format!("{name} = {value:?}"));
        }
    }
    Ok(ExitCode::SUCCESS)
}

#[derive(Serialize)]
struct Change {
    version: u64,
    operator: String,
    steps: Vec<String>,
}

/// `history`: shows accepted changes.
pub async fn history(client: &mut Client, from: u64, json: bool) -> Result<ExitCode, Error> {
    let log = client.log(from).await?;
    if json {
        let changes: Vec<Change> = log
            .changes
            .iter()
            .map(|change| Change {
                version: change.version,
                operator: change.operator.clone(),
                steps: change.edits.iter().map(console::format_edit).collect(),
            })
            .collect();
        console::print_json(&changes);
    } else {
        log.changes
            .iter()
            .map(console::format_change)
            .for_each(console::print_line);
    }
    Ok(ExitCode::SUCCESS)
}

#[derive(Serialize)]
struct Fleet {
    settings_version: u64,
    store_up: bool,
    daemons: Vec<Daemon>,
    endpoints: Vec<Endpoint>,
    stewards: Vec<Steward>,
}

#[derive(Serialize)]
struct Daemon {
    incarnation: String,
    address: String,
    data_centre: String,
    settings_version: u64,
    answers: bool,
    leaving: bool,
}

#[derive(Serialize)]
struct Endpoint {
    name: String,
    service: String,
    role: String,
    state: String,
    in_flight: u32,
}

#[derive(Serialize)]
struct Steward {
    service: String,
    data_centre: String,
    epoch: u64,
    holder: String,
}

/// `status`: shows daemons, endpoints, stewards and the versions in force.
pub async fn status(client: &mut Client, json: bool) -> Result<ExitCode, Error> {
    let status = client.status().await?;
    if json {
        console::print_json(&fleet(&status));
    } else {
        console::print_status(&status);
    }
    Ok(ExitCode::SUCCESS)
}

fn fleet(status: &wire::StatusReply) -> Fleet {
    let daemons = status.daemons.iter().map(|daemon| {
        let member = daemon.member.clone().unwrap_or_default();
        Daemon {
            incarnation: format!("{:016x}", member.incarnation),
            address: member.address,
            data_centre: member.data_centre,
            settings_version: daemon.settings_version,
            answers: daemon.answered,
            leaving: daemon.leaving,
        }
    });
    let endpoints = status.endpoints.iter().map(|endpoint| Endpoint {
        name: format!("{}/{}", endpoint.data_centre, endpoint.endpoint),
        service: endpoint.service.clone(),
        role: endpoint.role.clone(),
        state: endpoint.state.clone(),
        in_flight: endpoint.in_flight,
    });
    let stewards = status.stewards.iter().map(|steward| Steward {
        service: steward.service.clone(),
        data_centre: steward.data_centre.clone(),
        epoch: steward.epoch,
        holder: format!("{:016x}", steward.holder),
    });
    Fleet {
        settings_version: status.settings_version,
        store_up: status.store_up,
        daemons: daemons.collect(),
        endpoints: endpoints.collect(),
        stewards: stewards.collect(),
    }
}

#[derive(Serialize)]
struct Timeline {
    events: Vec<String>,
    silent: Vec<String>,
}

/// `timeline`: shows events of all daemons.
pub async fn timeline(
    client: &mut Client,
    request: Option<&str>,
    endpoint: Option<&str>,
    since: Option<u64>,
    json: bool,
) -> Result<ExitCode, Error> {
    let subject = match (request, endpoint) {
        (Some(request), _) => format!("request/{request}"),
        (None, Some(endpoint)) => {
            let (data_centre, number) = engine::parse_endpoint(endpoint)?;
            format!("endpoint/{data_centre}/{number}")
        }
        (None, None) => String::new(),
    };
    let since_ms = since.map_or(0, |seconds| now_ms().saturating_sub(seconds * 1_000));
    let reply = client.timeline(subject, since_ms).await?;
    let events: Vec<String> = reply.events.iter().map(console::format_event).collect();
    let silent = reply.silent;
    let code = if silent.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_PARTIAL_OR_UNKNOWN)
    };
    if json {
        console::print_json(&Timeline { events, silent });
    } else {
        events.iter().for_each(console::print_line);
        for address in silent {
            console::print_line(format!("# no answer from {address}"));
        }
    }
    Ok(code)
}

fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .ok()
        .and_then(|since| u64::try_from(since.as_millis()).ok())
        .unwrap_or(0)
}
