//! Commands that read a tree file.
//!
//! A tree file is TOML with a table for each node, named by its path: `["group/soils"]`.

use std::{path::Path, process::ExitCode};

use settings::tree::{Node, Tree, check as checks};
use wire::Edit;

use super::change::{self, WaitForAll};
use crate::{
    client::Client,
    console::{self, EXIT_FAILED},
    error::Error,
};

/// `check`: validates a file without contacting a daemon.
pub fn check(path: &Path) -> Result<ExitCode, Error> {
    let tree = Tree::new(0, read_nodes(path)?);
    let problems = checks::problems(&tree);
    if problems.is_empty() {
        console::print_line(format!("{} nodes, no problems found", tree.nodes.len()));
        return Ok(ExitCode::SUCCESS);
    }
    problems.iter().for_each(console::print_line);
    Ok(ExitCode::from(EXIT_FAILED))
}

/// `diff`: shows what applying a file would change.
pub async fn diff(client: &mut Client, path: &Path) -> Result<ExitCode, Error> {
    let (_, edits) = edits_to_apply(client, path).await?;
    edits
        .iter()
        .map(console::format_edit)
        .for_each(console::print_line);
    Ok(ExitCode::SUCCESS)
}

/// `apply`: makes the tree equal to a file, in one change based on the version that was read.
pub async fn apply(
    client: &mut Client,
    path: &Path,
    dry_run: bool,
    wait: WaitForAll,
) -> Result<ExitCode, Error> {
    let (version, edits) = edits_to_apply(client, path).await?;
    if edits.is_empty() {
        console::print_line("nothing to change");
        return Ok(ExitCode::SUCCESS);
    }
    change::commit(client, version, edits, dry_run, wait).await
}

async fn edits_to_apply(client: &mut Client, path: &Path) -> Result<(u64, Vec<Edit>), Error> {
    let target = Tree::new(0, read_nodes(path)?);
    let reply = client.read().await?;
    let nodes = reply.nodes.iter().map(|node| Node {
        path: node.path.clone(),
        values: node.values.clone().into_iter().collect(),
    });
    let current = Tree::new(reply.version, nodes.collect());
    Ok((current.version, diff_trees(&current, &target)))
}

fn diff_trees(current: &Tree, target: &Tree) -> Vec<Edit> {
    let removed = current
        .nodes
        .iter()
        .filter(|node| target.node(&node.path).is_none())
        .map(|node| change::removal_edit(&node.path));
    let mut edits: Vec<Edit> = removed.collect();
    for node in &target.nodes {
        let old = current.node(&node.path);
        for (key, value) in &node.values {
            if old.and_then(|old| old.value(key)) != Some(value) {
                edits.push(change::value_edit(&node.path, key, Some(value)));
            }
        }
        for (key, _) in old.iter().flat_map(|old| &old.values) {
            if node.value(key).is_none() {
                edits.push(change::value_edit(&node.path, key, None));
            }
        }
    }
    edits
}

fn read_nodes(path: &Path) -> Result<Vec<Node>, Error> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|source| Error::Read {
        path: name.clone(),
        source,
    })?;
    let tables: toml::Table = toml::from_str(&text).map_err(|source| Error::Parse {
        path: name.clone(),
        source: Box::new(source),
    })?;
    tables
        .into_iter()
        .map(|(path, values)| parse_node(&name, path, values))
        .collect()
}

fn parse_node(file: &str, path: String, values: toml::Value) -> Result<Node, Error> {
    let unsupported = |key: String| Error::UnsupportedValue {
        path: file.to_owned(),
        key,
    };
    let toml::Value::Table(table) = values else {
        return Err(unsupported(path));
    };
    let mut texts = Vec::new();
    for (key, value) in table {
        let text = match value {
            toml::Value::String(text) => text,
            toml::Value::Integer(number) => number.to_string(),
            toml::Value::Boolean(flag) => flag.to_string(),
            _ => return Err(unsupported(key)),
        };
        texts.push((key, text));
    }
    Ok(Node {
        path,
        values: texts,
    })
}
