//! The settings of a gateway: a process that passes requests through to a fleet which an operators'
//! platform describes. See `docs/SETTINGS.md#a-gateways-file`.

use std::{net::SocketAddr, path::Path, time::Duration};

use serde::Deserialize;
use serde_with::{DurationMilliSeconds, DurationSecondsWithFrac, serde_as};

use crate::file::{self, Error, OutOfRange};

/// All settings of a gateway.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Who and where this process is.
    pub gateway: Gateway,
    /// Where the platform's store is, and what it bears.
    pub store: Store,
    /// Bounds that the operators set for all gateways together.
    #[serde(default)]
    pub bounds: Bounds,
    /// What this process may use of its VM.
    #[serde(default)]
    pub resources: Resources,
}

/// Name, data centre and addresses of this process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gateway {
    /// Its name in logs and among its peers; one process at a time bears it.
    pub name: String,
    /// The data centre that its VM stands in.
    pub data_centre: String,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether this process is ready.
    pub ready: SocketAddr,
    /// Where metrics are read.
    pub metrics: SocketAddr,
    /// Where peers send their digests, by UDP, and fetch from, by TCP.
    pub peers: SocketAddr,
    /// VMs on which peers may be found before the store can be read. Only their IP numbers count:
    /// peers listen at the same port as this process.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the system has run before: this process may then follow one that used its part of what
    /// all gateways share.
    #[serde(default)]
    pub restarted: bool,
}

/// The platform's store.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Where it listens.
    pub address: SocketAddr,
    /// Writes that all gateways together may make in a second.
    #[serde(default = "Store::default_writes_per_second")]
    pub writes_per_second: f64,
    /// Reads that all gateways together may make in a second.
    #[serde(default = "Store::default_reads_per_second")]
    pub reads_per_second: f64,
}

impl Store {
    fn default_writes_per_second() -> f64 {
        400.0
    }

    fn default_reads_per_second() -> f64 {
        2_000.0
    }
}

/// Bounds that the operators set. The defaults are those of the first deployments.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// A leaving endpoint gets nothing later than this after it said so.
    #[serde_as(as = "DurationMilliSeconds<f64>")]
    pub drain_ms: Duration,
    /// A planned stop ends after this, with a kill.
    #[serde_as(as = "DurationSecondsWithFrac")]
    pub grace_s: Duration,
    /// A configuration is in force this long after it was accepted.
    #[serde_as(as = "DurationMilliSeconds<f64>")]
    pub configuration_ms: Duration,
    /// Repeats that all gateways together may send to a service, as a part of its requests.
    pub retry_ratio: f64,
    /// The time over which repeats are counted.
    #[serde_as(as = "DurationSecondsWithFrac")]
    pub retry_window_s: Duration,
    /// Repeats that are allowed besides, for each service and window.
    pub retry_slack: f64,
    /// Two holders may not give orders to an endpoint within this time of each other.
    #[serde_as(as = "DurationMilliSeconds<f64>")]
    pub lease_ms: Duration,
    /// The longest that an event of a stream may take from its endpoint to its caller.
    #[serde_as(as = "DurationMilliSeconds<f64>")]
    pub transit_ms: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            drain_ms: Duration::from_secs(2),
            grace_s: Duration::from_secs(8),
            configuration_ms: Duration::from_secs(2),
            retry_ratio: 0.2,
            retry_window_s: Duration::from_secs(10),
            retry_slack: 50.0,
            lease_ms: Duration::from_secs(3),
            transit_ms: Duration::from_millis(120),
        }
    }
}

/// What this process may use.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Resources {
    /// Threads that serve; each is worth a core at most.
    pub threads: usize,
    /// Memory, in megabytes.
    pub memory_mb: usize,
    /// Open sockets and files.
    pub descriptors: usize,
}

impl Default for Resources {
    fn default() -> Self {
        Self {
            threads: 1,
            memory_mb: 256,
            descriptors: 4096,
        }
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// [`Error`] names the file and, where there is one, the line and the key.
    pub fn load(path: &Path) -> Result<Self, Error> {
        file::load(path, Self::out_of_range)
    }

    /// Parses and checks the text of a settings file; `name` is told in errors.
    ///
    /// # Errors
    ///
    /// [`Error`] as for [`Settings::load`].
    pub fn parse(text: &str, name: &str) -> Result<Self, Error> {
        file::parse(text, name, Self::out_of_range)
    }

    fn out_of_range(&self) -> Option<OutOfRange> {
        let bounds = &self.bounds;
        let checks = [
            (
                !self.gateway.name.is_empty(),
                "gateway.name",
                "at least one character",
            ),
            (
                !self.gateway.data_centre.is_empty(),
                "gateway.data_centre",
                "at least one character",
            ),
            (
                (0.0..=10.0).contains(&bounds.retry_ratio),
                "bounds.retry_ratio",
                "0 to 10",
            ),
            (
                bounds.retry_slack >= 0.0,
                "bounds.retry_slack",
                "at least 0",
            ),
            (
                bounds.retry_window_s >= Duration::from_secs(1),
                "bounds.retry_window_s",
                "at least 1 second",
            ),
            (
                bounds.grace_s >= Duration::from_secs(1),
                "bounds.grace_s",
                "at least 1 second",
            ),
            (
                (1..=64).contains(&self.resources.threads),
                "resources.threads",
                "1 to 64",
            ),
            (
                self.resources.descriptors >= 64,
                "resources.descriptors",
                "at least 64",
            ),
        ];
        checks
            .into_iter()
            .find(|(valid, ..)| !valid)
            .map(|(_, key, range)| (key, range))
    }
}
