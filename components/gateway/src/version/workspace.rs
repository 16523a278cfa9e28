//! Workspaces and the API keys of their callers.

use std::{fmt, sync::Arc};

use derive_more::{Display, Error};
use sha2::{Digest as _, Sha256};

/// A workspace: whose requests are counted together, and how urgent they are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Its name, which endpoints are told.
    pub name: Arc<str>,
    /// Priority class of its requests, 0 the highest; `None` if that of the route applies.
    pub priority: Option<u32>,
}

/// SHA-256 digest of an API key. Keys themselves are not kept, so that they cannot appear in logs, and
/// so that the time of a comparison tells nothing about a key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Stands for credentials that are no API key; it is the digest of no known key.
    pub const UNRECOGNISED: Self = Self([0; 32]);

    /// Returns the digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// The API keys of all workspaces, sorted by digest.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Keyring(Vec<(KeyDigest, Arc<Workspace>)>);

/// Two workspaces have the same API key, so the workspace of a request with it is ambiguous.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("workspaces {first} and {second} have the same API key")]
pub struct KeyConflict {
    /// Name of one workspace.
    pub first: Arc<str>,
    /// Name of the other one.
    pub second: Arc<str>,
}

impl Keyring {
    /// Creates a keyring from workspaces, each with the digests of its keys.
    ///
    /// # Errors
    ///
    /// [`KeyConflict`] if two workspaces have the same key.
    pub fn new(workspaces: Vec<(Workspace, Vec<KeyDigest>)>) -> Result<Self, KeyConflict> {
        let mut keys: Vec<(KeyDigest, Arc<Workspace>)> = Vec::new();
        for (workspace, digests) in workspaces {
            let workspace = Arc::new(workspace);
            keys.extend(
                digests
                    .into_iter()
                    .map(|digest| (digest, Arc::clone(&workspace))),
            );
        }
        keys.sort_unstable_by_key(|(digest, _)| *digest);
        let conflict = keys
            .iter()
            .zip(keys.iter().skip(1))
            .find(|((a, first), (b, second))| a == b && first.name != second.name);
        match conflict {
            Some(((_, first), (_, second))) => Err(KeyConflict {
                first: Arc::clone(&first.name),
                second: Arc::clone(&second.name),
            }),
            None => Ok(Self(keys)),
        }
    }

    /// Returns the workspace that holds a key.
    #[must_use]
    pub fn workspace(&self, key: &KeyDigest) -> Option<&Arc<Workspace>> {
        let index = self.0.binary_search_by_key(key, |(digest, _)| *digest);
        index.ok().map(|index| &self.0[index].1)
    }
}
