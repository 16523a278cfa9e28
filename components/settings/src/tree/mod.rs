//! The settings tree: nodes with values, inheritance between groups, and atomic changes.
//!
//! See `docs/SETTINGS.md#the-tree`. The path of a node starts with its kind (`group/soils/field`). Values
//! are stored as text; [`schema`] defines the type of each.

pub mod check;
pub mod resolve;
pub mod schema;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// A node with the values set on it, sorted by key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// Kind and name, joined by `/`.
    pub path: String,
    /// Values set on this node itself, without inherited ones.
    pub values: Vec<(String, String)>,
}

impl Node {
    /// The value set on this node itself, without inheritance.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<&str> {
        self.values
            .binary_search_by(|(k, _)| k.as_str().cmp(key))
            .ok()
            .map(|index| self.values[index].1.as_str())
    }
}

/// A single edit of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Edit {
    /// Sets a value; creates the node if it does not exist.
    Set {
        /// Path of the node.
        path: String,
        /// Key of the value.
        key: String,
        /// The new value.
        value: String,
    },
    /// Removes a value, so that the inherited one or the default applies.
    Unset {
        /// Path of the node.
        path: String,
        /// Key of the value.
        key: String,
    },
    /// Removes a node with its values.
    Remove {
        /// Path of the node.
        path: String,
    },
}

impl Edit {
    /// Path of the node that is edited.
    #[must_use]
    pub fn path(&self) -> &str {
        match self {
            Self::Set { path, .. } | Self::Unset { path, .. } | Self::Remove { path } => path,
        }
    }
}

/// An accepted change, as stored in the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Version of the tree that this change produced.
    pub version: u64,
    /// Name of the operator, as reported by the client.
    pub operator: String,
    /// The edits, in order.
    pub edits: Vec<Edit>,
    /// Random token of the write; shows whether it took effect if the response of the table was lost.
    pub token: u64,
}

/// Why a change was rejected. Nothing was committed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Problem {
    /// The path does not start with a known kind, or has the wrong number of parts.
    #[display("{path}: no such kind of node; known are group, model, service, endpoint, fleet")]
    UnknownKind {
        /// Path of the node.
        path: String,
    },
    /// The node's kind has no such key.
    #[display("{path}: {key} is not a key of this kind of node")]
    UnknownKey {
        /// Path of the node.
        path: String,
        /// The key.
        key: String,
    },
    /// The value has the wrong type or is out of range.
    #[display("{path}: {key} = {value:?} is not {wanted}")]
    InvalidValue {
        /// Path of the node.
        path: String,
        /// The key.
        key: String,
        /// The value.
        value: String,
        /// Expected type, unit and range.
        wanted: String,
    },
    /// A required value is missing.
    #[display("{path}: {key} must be set")]
    MissingValue {
        /// Path of the node.
        path: String,
        /// The key.
        key: String,
    },
    /// A value refers to a node that does not exist.
    #[display("{path}: {key} names {target}, which does not exist")]
    DanglingReference {
        /// Path of the node.
        path: String,
        /// The key.
        key: String,
        /// Path of the node that is referred to.
        target: String,
    },
    /// The node to edit does not exist.
    #[display("{path} does not exist")]
    NodeNotFound {
        /// Path of the node.
        path: String,
    },
    /// Two nodes set the same value, which only one may have.
    #[display("{path}: {what} is already that of {other}")]
    DuplicateKey {
        /// Path of the node.
        path: String,
        /// Description of the value.
        what: String,
        /// Path of the other node that sets it.
        other: String,
    },
}

/// One version of the tree, sorted by path.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tree {
    /// Version number; each accepted change increases it by one.
    pub version: u64,
    /// The nodes, sorted by path.
    pub nodes: Vec<Node>,
}

impl Tree {
    /// Builds a tree from nodes in any order.
    #[must_use]
    pub fn new(version: u64, mut nodes: Vec<Node>) -> Self {
        for node in &mut nodes {
            node.values.sort();
        }
        nodes.sort_by(|a, b| a.path.cmp(&b.path));
        Self { version, nodes }
    }

    /// The node at a path.
    #[must_use]
    pub fn node(&self, path: &str) -> Option<&Node> {
        self.position(path).ok().map(|index| &self.nodes[index])
    }

    /// All nodes of a kind, each with the rest of its path.
    pub fn nodes_of_kind<'a>(&'a self, kind: &'a str) -> impl Iterator<Item = (&'a str, &'a Node)> {
        self.nodes.iter().filter_map(move |node| {
            let rest = node.path.strip_prefix(kind)?.strip_prefix('/')?;
            Some((rest, node))
        })
    }

    /// The value set at a path or, for a group, on its nearest ancestor that has one.
    #[must_use]
    pub fn effective_value(&self, path: &str, key: &str) -> Option<&str> {
        let mut current = path;
        loop {
            if let Some(value) = self.node(current).and_then(|node| node.value(key)) {
                return Some(value);
            }
            // the kind alone is not the path of a node
            current = match current.rsplit_once('/') {
                Some((parent, _)) if parent.contains('/') && path.starts_with("group/") => parent,
                _ => return None,
            };
        }
    }

    /// Applies a change and returns the tree of the next version, which is validated as a whole.
    ///
    /// # Errors
    ///
    /// All [`Problem`]s of the resulting tree, or that of the first edit that unsets a value of a missing
    /// node or removes a missing node. This tree stays unchanged.
    pub fn apply(&self, edits: &[Edit]) -> Result<Self, Vec<Problem>> {
        let mut next = self.clone();
        next.version += 1;
        for edit in edits {
            next.apply_edit(edit).map_err(|problem| vec![problem])?;
        }
        match check::problems(&next) {
            problems if problems.is_empty() => Ok(next),
            problems => Err(problems),
        }
    }

    fn position(&self, path: &str) -> Result<usize, usize> {
        self.nodes
            .binary_search_by(|node| node.path.as_str().cmp(path))
    }

    fn apply_edit(&mut self, edit: &Edit) -> Result<(), Problem> {
        let position = self.position(edit.path());
        match (edit, position) {
            (Edit::Set { key, value, .. }, Ok(index)) => {
                insert_value(&mut self.nodes[index].values, key, value);
                Ok(())
            }
            (Edit::Set { path, key, value }, Err(index)) => {
                let node = Node {
                    path: path.clone(),
                    values: vec![(key.clone(), value.clone())],
                };
                self.nodes.insert(index, node);
                Ok(())
            }
            (Edit::Unset { key, .. }, Ok(index)) => {
                self.nodes[index].values.retain(|(k, _)| k != key);
                Ok(())
            }
            (Edit::Remove { .. }, Ok(index)) => {
                self.nodes.remove(index);
                Ok(())
            }
            (Edit::Unset { path, .. } | Edit::Remove { path }, Err(_)) => {
                Err(Problem::NodeNotFound { path: path.clone() })
            }
        }
    }
}

fn insert_value(values: &mut Vec<(String, String)>, key: &str, value: &str) {
    match values.binary_search_by(|(k, _)| k.as_str().cmp(key)) {
        Ok(index) => value.clone_into(&mut values[index].1),
        Err(index) => values.insert(index, (key.to_owned(), value.to_owned())),
    }
}
