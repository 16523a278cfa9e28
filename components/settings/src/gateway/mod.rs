//! Settings file of a gateway, which forwards requests to the fleet that the operators' platform lists.
//!
//! See `docs/SETTINGS.md#a-gateways-file`.

use std::{net::SocketAddr, path::Path, time::Duration};

use serde::Deserialize;
use serde_with::{DurationMilliSeconds, DurationSecondsWithFrac, serde_as};

use crate::file::{self, Error, OutOfRange};

/// All settings of a gateway.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Identity and addresses of this process.
    pub gateway: Gateway,
    /// Address and capacity of the platform's store.
    pub store: Store,
    /// The platform's service for duties of one gateway at a time; unset if the deployment has none.
    pub duties: Option<Duties>,
    /// Limits that the operators set for all gateways together.
    #[serde(default)]
    pub bounds: Bounds,
    /// Resources of its VM that this process may use.
    #[serde(default)]
    pub resources: Resources,
    /// When this process has more work than it can do.
    #[serde(default)]
    pub overload: Overload,
}

/// Identity and addresses of this process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gateway {
    /// Name in logs and among peers. Only one process at a time may use it.
    pub name: String,
    /// Data centre of its VM.
    pub data_centre: String,
    /// Listening address for callers.
    pub callers: SocketAddr,
    /// Listening address for the readiness checks of the load balancer.
    pub ready: SocketAddr,
    /// Listening address for metrics.
    pub metrics: SocketAddr,
    /// Listening address for peers: digests over UDP, fetches over TCP.
    pub peers: SocketAddr,
    /// VMs on which to look for peers before the store can be read. Only the IP addresses are used:
    /// peers listen on the same port as this process.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether gateways of this deployment have run before. If so, this process may replace one that has
    /// already used its share of the retry budget, and starts with a reduced share for the first retry
    /// window.
    #[serde(default)]
    pub restarted: bool,
}

/// Address and capacity of the platform's store.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Address of the store.
    pub address: SocketAddr,
    /// Maximum number of writes per second by all gateways together.
    #[serde(default = "Store::default_writes_per_second")]
    pub writes_per_second: f64,
    /// Maximum number of reads per second by all gateways together.
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

/// The platform's service for duties of one gateway at a time.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Duties {
    /// Address of the service.
    pub address: SocketAddr,
}

/// Limits that the operators set.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Maximum time from an endpoint's announcement that it is draining to the last new request sent to it.
    #[serde_as(as = "DurationMilliSeconds<f64>")]
    pub drain_ms: Duration,
    /// Grace period of a graceful shutdown, after which the process is killed.
    #[serde_as(as = "DurationSecondsWithFrac")]
    pub grace_s: Duration,
    /// Maximum time from the acceptance of a configuration until gateways use it.
    #[serde_as(as = "DurationMilliSeconds<f64>")]
    pub configuration_ms: Duration,
    /// Retry budget of all gateways together, for each service: maximum ratio of retries to requests.
    pub retry_ratio: f64,
    /// Length of the window over which retries are counted.
    #[serde_as(as = "DurationSecondsWithFrac")]
    pub retry_window_s: Duration,
    /// Retries that each service is allowed in a window in addition to the ratio.
    pub retry_slack: f64,
    /// Minimum time between the orders of two different lease holders to an endpoint.
    #[serde_as(as = "DurationMilliSeconds<f64>")]
    pub lease_ms: Duration,
    /// Maximum time that an event of a stream may take from its endpoint to its caller.
    #[serde_as(as = "DurationMilliSeconds<f64>")]
    pub transit_ms: Duration,
    /// Maximum time from the acceptance of a configuration that removes an API key until no request with that key is
    /// accepted any more, also by gateways that cannot reach the store; unset if there is no such limit.
    #[serde_as(as = "Option<DurationMilliSeconds<f64>>")]
    pub revocation_ms: Option<Duration>,
    /// Length of the windows for which usage is reported.
    #[serde_as(as = "DurationSecondsWithFrac")]
    pub usage_window_s: Duration,
    /// Time after the end of a window within which its usage must be reported.
    #[serde_as(as = "DurationSecondsWithFrac")]
    pub usage_deadline_s: Duration,
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
            revocation_ms: None,
            usage_window_s: Duration::from_secs(5),
            usage_deadline_s: Duration::from_secs(10),
        }
    }
}

/// Resources of its VM that this process may use.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Resources {
    /// Number of worker threads; each uses at most one core.
    pub threads: usize,
    /// Memory in megabytes.
    pub memory_mb: usize,
    /// Maximum number of open sockets and files.
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

/// When a process has more work than it can do.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Overload {
    /// The lag of timers that a process bears. A process that is always later than this closes new connections unread, so
    /// one that shares its processor with other work needs more.
    #[serde_as(as = "DurationMilliSeconds<f64>")]
    pub lag_ms: Duration,
}

impl Default for Overload {
    /// A request waits in the queue about ten times, and the tightest latency objectives are some hundred milliseconds.
    fn default() -> Self {
        Self {
            lag_ms: Duration::from_millis(10),
        }
    }
}

impl Settings {
    /// Reads, parses and validates a settings file.
    ///
    /// # Errors
    ///
    /// [`Error`] names the file and, if known, the line and the key.
    pub fn load(path: &Path) -> Result<Self, Error> {
        file::load(path, Self::out_of_range)
    }

    /// Parses and validates the text of a settings file; errors name it as `name`.
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
                bounds.usage_window_s >= Duration::from_secs(1),
                "bounds.usage_window_s",
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
            (
                self.overload.lag_ms >= Duration::from_millis(1),
                "overload.lag_ms",
                "at least 1 millisecond",
            ),
        ];
        checks
            .into_iter()
            .find(|(valid, ..)| !valid)
            .map(|(_, key, range)| (key, range))
    }
}
