//! Endpoints: what the platform says of them, what this process has sent them, and how they do.
//!
//! An endpoint here is one incarnation of a back end. A restarted back end is another endpoint, even
//! under the same name or at the same address, so nothing learnt of one is believed of the other.

mod busy;
mod connection;
mod health;
mod load;
mod registry;
mod requests;
mod subset;
mod target;

use std::{net::SocketAddr, sync::Arc};

use derive_more::Display;

pub use busy::BusySet;
pub use connection::{ConnectError, Connection};
pub use health::{Health, Verdict};
pub use load::{DecodeGuard, Load, PrefillGuard};
pub use registry::{Fleet, Registry};
pub use requests::{RequestGuard, RequestTracker};
pub use target::{Paces, ServiceDefaults, Snapshot, Target};

/// The name of an endpoint. It may start again under the same name, see [`Profile::started`].
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{_0}")]
pub struct Id(pub Arc<str>);

/// A short number for a name, the same in every process.
#[must_use]
pub fn short_id(name: &str) -> u32 {
    let hash = xxhash_rust::xxh3::xxh3_64(name.as_bytes());
    u32::try_from(hash >> u32::BITS).unwrap_or_default()
}

/// What an engine does: it reads prompts, or it writes answers.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display(rename_all = "kebab-case")]
pub enum Stage {
    /// It reads prompts and keeps their KV caches for others to fetch.
    Prefill,
    /// It writes answers, and reads prompts between them if it must.
    Decode,
}

/// Whether an endpoint takes requests.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "kebab-case")]
pub enum State {
    /// It does.
    Ready,
    /// It is leaving and must get nothing new.
    Draining,
}

/// What the platform says of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Profile {
    /// Its name.
    pub id: Id,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Whether it takes requests.
    pub state: State,
    /// Requests that it works on at once.
    pub slots: u64,
    /// What it does, if it is an engine.
    pub stage: Option<Stage>,
    /// When it was started, in Unix milliseconds by its own clock, if it says so. With its name it tells one
    /// incarnation from the next.
    pub started: Option<u64>,
}

/// What an entry says of an endpoint that was known before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncarnationOrder {
    /// It is the same incarnation.
    Same,
    /// It has started again: nothing that was known of it holds.
    Newer,
    /// The entry is one of an earlier incarnation.
    Older,
}

impl Profile {
    /// A short number for the incarnation, the same in every process. Two endpoints of a fleet of thousands
    /// share one with a chance of about one in a thousand, which would only blur their loads.
    #[must_use]
    pub fn short_id(&self) -> u32 {
        match self.started {
            None => short_id(&self.id.0),
            Some(started) => short_id(&format!("{} {started}", self.id)),
        }
    }

    /// What a newer entry says of this incarnation.
    #[must_use]
    pub fn compare_incarnation(&self, newer: &Self) -> IncarnationOrder {
        match (self.started, newer.started) {
            (Some(known), Some(listed)) if listed > known => IncarnationOrder::Newer,
            (Some(known), Some(listed)) if listed < known => IncarnationOrder::Older,
            _ => IncarnationOrder::Same,
        }
    }
}
