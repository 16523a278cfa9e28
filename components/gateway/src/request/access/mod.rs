//! Decides whether a caller may use a route, by the API key that it presents.
//!
//! A key that has been removed must be refused within a bounded time, also by a process that can't
//! learn of the removal. So keys only count while the configuration is known to be recent enough; until
//! it is, a request with a key is refused as not run, and others are served. See
//! `docs/DESIGN.md#api-keys`.

#[cfg(test)]
mod tests;

use std::sync::Arc;

use crate::version::{KeyDigest, Keyring, Workspace};

/// What is known about the age of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// It is recent enough to decide about keys.
    Confirmed,
    /// A newer version exists, which this process has not read yet.
    Outdated,
    /// It may be too old to decide about keys.
    Unconfirmed,
}

/// A caller that may use a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Caller {
    /// It presents no key, and needs none.
    Anonymous,
    /// It presents a key of this workspace.
    Member(Arc<Workspace>),
}

/// Why a caller may not use a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// It presents no key that the configuration has.
    Unauthorized,
    /// The configuration is too old to decide whether its key is valid.
    Unconfirmed,
}

/// Decides about a request. `anonymous` is whether its route needs no key.
///
/// # Errors
///
/// [`Denial`] says why the request must not run.
pub fn check(
    keyring: Option<&Keyring>,
    anonymous: bool,
    key: Option<&KeyDigest>,
    freshness: Freshness,
) -> Result<Caller, Denial> {
    let Some(keyring) = keyring else {
        return Ok(Caller::Anonymous);
    };
    match key {
        None if anonymous => Ok(Caller::Anonymous),
        // a missing key is wrong under each version that this route has been in
        None => Err(Denial::Unauthorized),
        Some(_) if freshness == Freshness::Unconfirmed => Err(Denial::Unconfirmed),
        Some(key) => match keyring.workspace(key) {
            Some(workspace) => Ok(Caller::Member(Arc::clone(workspace))),
            None if freshness == Freshness::Outdated => Err(Denial::Unconfirmed),
            None => Err(Denial::Unauthorized),
        },
    }
}
