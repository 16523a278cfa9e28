//! Endpoints: what the platform says of them, what this process has sent them, and how they do.
//!
//! An endpoint here is one incarnation of a back end. A restarted back end is another endpoint, even
//! at the same address, so nothing learnt of one is believed of the other.

mod busy;
mod health;
mod link;
mod load;
mod registry;
mod subset;
mod target;

use std::{net::SocketAddr, sync::Arc};

use derive_more::Display;

pub use busy::Busy;
pub use health::{Health, Verdict};
pub use link::{Link, NotOpened};
pub use load::{Load, Reading, Writing};
pub use registry::{Fleet, Registry};
pub use target::{Paces, Seen, Target};

/// The name of one incarnation of an endpoint; never used again.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{_0}")]
pub struct Id(pub Arc<str>);

impl Id {
    /// A short number for it, the same in every process. Two endpoints of a fleet of thousands
    /// share one with a chance of about one in a thousand, which would only blur their loads.
    #[must_use]
    pub fn short(&self) -> u32 {
        short(&self.0)
    }
}

/// A short number for a name, the same in every process.
#[must_use]
pub fn short(name: &str) -> u32 {
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
}
