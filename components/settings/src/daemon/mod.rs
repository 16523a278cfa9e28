//! Settings file of a daemon, see `docs/SETTINGS.md#a-daemons-file`.

use std::{net::SocketAddr, path::Path, time::Duration};

use serde::Deserialize;
use serde_with::{DisplayFromStr, serde_as};

pub use crate::file::Error;
use crate::file::{self, OutOfRange};

/// All settings of a daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Identity and addresses of this daemon.
    pub daemon: Daemon,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Limits that protect the daemon from its callers.
    #[serde(default)]
    pub limits: Limits,
    /// Intervals and timeouts of the control loops.
    #[serde(default)]
    pub control: Control,
}

/// Identity and addresses of this daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Daemon {
    /// Name in logs and in the timeline of events.
    pub name: String,
    /// Data centre of its VM.
    pub data_centre: String,
    /// Listening address for callers.
    pub callers: SocketAddr,
    /// Listening address for peers and operators.
    pub peers: SocketAddr,
    /// Listening address for metrics and health checks.
    pub status: SocketAddr,
    /// Peers to contact before the table can be read.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// SHA-256 of the operators' token, in hexadecimal.
    pub operator_token_sha256: String,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Address of the table service.
    pub table: SocketAddr,
    /// Address of the VM list.
    pub vms: SocketAddr,
}

/// Limits that protect the daemon from its callers.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Timeout for a caller to send its request head.
    #[serde_as(as = "DisplayFromStr")]
    pub header_time: humantime::Duration,
    /// Timeout for a caller to send its request body.
    #[serde_as(as = "DisplayFromStr")]
    pub body_time: humantime::Duration,
    /// Maximum number of open caller connections.
    pub connections: usize,
    /// Maximum number of requests of a service that wait for an engine, over all groups.
    pub queue_requests: usize,
    /// Maximum total size of the bodies of requests in flight, in bytes.
    pub queue_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 8 << 20,
            header_bytes: 32 << 10,
            header_time: Duration::from_secs(10).into(),
            body_time: Duration::from_secs(20).into(),
            connections: 4096,
            queue_requests: 2048,
            queue_bytes: 256 << 20,
        }
    }
}

/// Intervals and timeouts of the control loops.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Control {
    /// Interval between rounds of heartbeats. With many peers each round reaches only some of them, in
    /// rotation.
    #[serde_as(as = "DisplayFromStr")]
    pub heartbeat: humantime::Duration,
    /// Interval between reads of the head row of the settings.
    #[serde_as(as = "DisplayFromStr")]
    pub settings_poll: humantime::Duration,
    /// Interval between reads of the VM list.
    #[serde_as(as = "DisplayFromStr")]
    pub vm_poll: humantime::Duration,
    /// Maximum time by which the VM list may lag behind the actual state. A daemon that was never in the
    /// list is considered gone only after this time without a heartbeat, one that has been in it as soon
    /// as it is missing.
    #[serde_as(as = "DisplayFromStr")]
    pub vm_lag: humantime::Duration,
    /// Interval between reads of the load report of an endpoint.
    #[serde_as(as = "DisplayFromStr")]
    pub report_poll: humantime::Duration,
    /// Duration of a steward's lease.
    #[serde_as(as = "DisplayFromStr")]
    pub lease_term: humantime::Duration,
    /// Timeout for the first bytes of a response of the table service, and for each pause in it.
    #[serde_as(as = "DisplayFromStr")]
    pub table_timeout: humantime::Duration,
    /// Timeout for all daemons to close an endpoint.
    #[serde_as(as = "DisplayFromStr")]
    pub close_wait: humantime::Duration,
    /// Interval between decisions on roles.
    #[serde_as(as = "DisplayFromStr")]
    pub role_period: humantime::Duration,
    /// Time after the start of a graceful shutdown during which new requests are still accepted.
    #[serde_as(as = "DisplayFromStr")]
    pub stop_lag: humantime::Duration,
    /// Time after which a graceful shutdown aborts the remaining streams.
    #[serde_as(as = "DisplayFromStr")]
    pub stop_grace: humantime::Duration,
}

impl Default for Control {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(500).into(),
            settings_poll: Duration::from_secs(1).into(),
            vm_poll: Duration::from_secs(1).into(),
            vm_lag: Duration::from_secs(120).into(),
            report_poll: Duration::from_millis(250).into(),
            lease_term: Duration::from_secs(4).into(),
            table_timeout: Duration::from_secs(1).into(),
            close_wait: Duration::from_secs(20).into(),
            role_period: Duration::from_secs(2).into(),
            stop_lag: Duration::from_secs(3).into(),
            stop_grace: Duration::from_secs(600).into(),
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
        let limits = &self.limits;
        let control = &self.control;
        let token = &self.daemon.operator_token_sha256;
        let checks = [
            (
                !self.daemon.name.is_empty(),
                "daemon.name",
                "at least one character",
            ),
            (
                !self.daemon.data_centre.is_empty(),
                "daemon.data_centre",
                "at least one character",
            ),
            (
                token.len() == SHA256_HEX_DIGITS && token.bytes().all(|b| b.is_ascii_hexdigit()),
                "daemon.operator_token_sha256",
                "64 hexadecimal digits",
            ),
            (
                (1 << 10..=1 << 30).contains(&limits.body_bytes),
                "limits.body_bytes",
                "1 KiB to 1 GiB",
            ),
            (
                (8 << 10..=1 << 20).contains(&limits.header_bytes),
                "limits.header_bytes",
                "8 KiB to 1 MiB",
            ),
            (limits.connections > 0, "limits.connections", "at least 1"),
            (
                control.heartbeat >= Duration::from_millis(10).into(),
                "control.heartbeat",
                "at least 10ms",
            ),
            (
                control.lease_term >= Duration::from_millis(100).into(),
                "control.lease_term",
                "at least 100ms",
            ),
        ];
        checks
            .into_iter()
            .find(|(valid, ..)| !valid)
            .map(|(_, key, range)| (key, range))
    }
}

const SHA256_HEX_DIGITS: usize = 64;
