//! Endpoints: what the platform lists about them, what this process has sent them, and their
//! health.
//!
//! An endpoint here is one incarnation of a server. A restarted server is a new endpoint, even
//! under the same name or at the same address, so nothing learnt about one is applied to the other.

mod builds;
mod busy;
mod check;
mod connection;
mod health;
mod interrupted;
mod load;
mod path;
mod registry;
mod requests;
mod socket;
mod subset;
mod target;

use std::{net::SocketAddr, sync::Arc};

use derive_more::Display;

pub use builds::{Builds, RETENTION as BUILD_RETENTION};
pub use busy::BusySet;
pub(crate) use check::is_reachable;
pub use check::{Invalid, MAX_NAME_BYTES, MAX_SLOTS, MAX_STARTED};
pub use connection::{ConnectError, Connection};
pub(crate) use connection::{IdleConnection, open_from, set_keepalive};
pub use health::{Health, Verdict};
pub use interrupted::InterruptedSet;
pub use load::{DecodeGuard, Load, PrefillGuard};
pub use path::{Change as PathChange, LostPaths, Path};
pub use registry::{Fleet, Registry};
pub use requests::RequestGuard;
pub use target::{
    CONTINUATION_WINDOW, CrashCheck, Latencies, Listening, Reach, Refusal, Reuse, ServiceDefaults,
    Snapshot, Target,
};

/// Name of an endpoint. A restarted endpoint may keep its name, see [`Profile::started`].
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{_0}")]
pub struct Id(pub Arc<str>);

/// The version of an endpoint's software. Builds have no order, and what one has begun another can't continue. See
/// `docs/DESIGN.md#streams-and-builds`.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{_0}")]
pub struct Build(pub Arc<str>);

/// Returns a short hash of a name, the same in every process.
#[must_use]
pub fn short_id(name: &str) -> u32 {
    let hash = xxhash_rust::xxh3::xxh3_64(name.as_bytes());
    u32::try_from(hash >> u32::BITS).unwrap_or_default()
}

/// Stage that an engine serves: prefill or decode.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display(rename_all = "kebab-case")]
pub enum Stage {
    /// It prefills prompts and keeps their KV caches for other engines to fetch.
    Prefill,
    /// It decodes answers, and prefills prompts between them if necessary.
    Decode,
}

/// Whether an endpoint accepts requests.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "kebab-case")]
pub enum State {
    /// It accepts requests.
    Ready,
    /// It is shutting down and must get no new requests.
    Draining,
}

/// An endpoint as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Profile {
    /// Its name.
    pub id: Id,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// The version of its software.
    pub build: Build,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Whether it accepts requests.
    pub state: State,
    /// Number of requests that it processes concurrently.
    pub slots: u64,
    /// Its stage, if it is an engine.
    pub stage: Option<Stage>,
    /// Whether the platform may take it back at short notice.
    pub revocable: bool,
    /// Its start time in Unix milliseconds by its own clock, if it reports one. Together with the
    /// name it tells incarnations apart.
    pub started: Option<u64>,
}

/// Incarnation of a list entry compared with that of the known endpoint of the same name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncarnationOrder {
    /// The same incarnation.
    Same,
    /// A newer incarnation: the endpoint has restarted, and nothing known about it applies any
    /// more.
    Newer,
    /// An earlier incarnation.
    Older,
}

impl Profile {
    /// Returns a short hash that identifies the incarnation, the same in every process. In a fleet
    /// of thousands the chance that any two endpoints share one is about one in a thousand; it
    /// would only hide the load of one of them.
    #[must_use]
    pub fn short_id(&self) -> u32 {
        match self.started {
            None => short_id(&self.id.0),
            Some(started) => short_id(&format!("{} {started}", self.id)),
        }
    }

    /// Compares the incarnation of a later list entry with this one.
    #[must_use]
    pub fn compare_incarnation(&self, newer: &Self) -> IncarnationOrder {
        match (self.started, newer.started) {
            (Some(known), Some(listed)) if listed > known => IncarnationOrder::Newer,
            (Some(known), Some(listed)) if listed < known => IncarnationOrder::Older,
            _ => IncarnationOrder::Same,
        }
    }
}
