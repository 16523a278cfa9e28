//! Commands that request an order to an engine from its steward.

use std::process::ExitCode;

use wire::OrderRequest;

use crate::{client::Client, console, error::Error};

/// `role`: orders an engine to change its role.
pub async fn role(client: &mut Client, endpoint: &str, role: &str) -> Result<ExitCode, Error> {
    let empty = String::new();
    load(client, endpoint, role, [&empty, &empty, &empty]).await
}

/// `load`: orders an engine to load a model.
pub async fn load(
    client: &mut Client,
    endpoint: &str,
    role: &str,
    [model, adapter, version]: [&String; 3],
) -> Result<ExitCode, Error> {
    let (data_centre, number) = parse_endpoint(endpoint)?;
    let reply = client
        .order(OrderRequest {
            token: String::new(),
            endpoint: number,
            data_centre: data_centre.to_owned(),
            role: role.to_owned(),
            model: model.clone(),
            adapter: adapter.clone(),
            version: version.clone(),
        })
        .await?;
    console::print_line(reply.reason);
    Ok(ExitCode::SUCCESS)
}

/// Parses an endpoint written as `DATA-CENTRE/NUMBER`.
pub fn parse_endpoint(endpoint: &str) -> Result<(&str, u32), Error> {
    endpoint
        .split_once('/')
        .and_then(|(data_centre, number)| Some((data_centre, number.parse().ok()?)))
        .ok_or_else(|| Error::InvalidEndpoint(endpoint.to_owned()))
}
