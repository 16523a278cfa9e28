//! The row of a usage window in the store.

use std::sync::Arc;

use cloud::table::Row;
use serde::{Deserialize, Serialize};

use crate::process::usage::{Counts, Source, Window};

/// Key prefix of the rows.
pub const PREFIX: &str = "usage/";

/// A window as it was saved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Saved {
    /// Version of the row.
    pub version: u64,
    /// The usage, all of it open.
    pub window: Window,
    /// Whether the counts may no longer change.
    pub is_final: bool,
}

/// The content of a row. Workspaces are listed once, as rows are limited in size.
#[derive(Debug, Serialize, Deserialize)]
struct Content {
    window: u64,
    is_final: bool,
    workspaces: Vec<String>,
    sources: Vec<SourceContent>,
}

#[derive(Debug, Serialize, Deserialize)]
struct SourceContent {
    incarnation: u64,
    /// Indices of workspaces, with their requests.
    counts: Vec<(usize, u64)>,
}

/// Returns the key of a window's row.
pub fn key(window: u64) -> String {
    format!("{PREFIX}{window}")
}

/// Encodes a window.
pub fn encode(window: &Window, is_final: bool) -> String {
    let totals = window.totals();
    let workspaces: Vec<String> = totals.0.iter().map(|(name, _)| name.to_string()).collect();
    let index = |name: &str| {
        let index = workspaces.binary_search_by(|other| (**other).cmp(name));
        // the totals have all workspaces
        index.unwrap_or_default()
    };
    let sources = window.sources.iter().map(|source| {
        let counts = source.counts.0.iter();
        SourceContent {
            incarnation: source.incarnation,
            counts: counts
                .map(|(name, requests)| (index(name), *requests))
                .collect(),
        }
    });
    let content = Content {
        window: window.number,
        is_final,
        sources: sources.collect(),
        workspaces,
    };
    // a row of plain fields always has a JSON form
    serde_json::to_string(&content).unwrap_or_default()
}

/// Parses a row; `None` if it is invalid.
pub fn parse(row: &Row) -> Option<Saved> {
    let content: Content = serde_json::from_str(&row.value)
        .inspect_err(|error| log::error!(key = row.key, error:%; "could not parse saved usage"))
        .ok()?;
    let mut window = Window::new(content.window);
    for source in &content.sources {
        let mut counts = Counts::default();
        for (index, requests) in &source.counts {
            counts.raise(
                &Arc::from(content.workspaces.get(*index)?.as_str()),
                *requests,
            );
        }
        window.merge(&Source {
            incarnation: source.incarnation,
            closed: false,
            counts,
        });
    }
    Some(Saved {
        version: row.version,
        window,
        is_final: content.is_final,
    })
}
