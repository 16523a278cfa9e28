//! The settings of one daemon, read from a TOML file, see `docs/SETTINGS.md#a-daemons-file`.

use std::{net::SocketAddr, path::Path, time::Duration};

use serde::Deserialize;
use serde_with::{DisplayFromStr, serde_as};

pub use crate::file::Error;
use crate::file::{self, OutOfRange};

/// All settings of a daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Who and where this daemon is.
    pub daemon: Daemon,
    /// Where the platform's services are.
    pub platform: Platform,
    /// Bounds towards callers.
    #[serde(default)]
    pub limits: Limits,
    /// Periods and terms of the control loops.
    #[serde(default)]
    pub control: Control,
}

/// Addresses and data centre of this daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Daemon {
    /// The name of this process in logs and the time line.
    pub name: String,
    /// The data centre that this VM stands in.
    pub data_centre: String,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where peers and operators connect.
    pub peers: SocketAddr,
    /// Where metrics and health are read.
    pub status: SocketAddr,
    /// Peers to ask first, before the table can be read.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// SHA-256 of the operators' token, in hexadecimal.
    pub operator_token_sha256: String,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The table service.
    pub table: SocketAddr,
    /// The VM list.
    pub vms: SocketAddr,
}

/// Bounds that hold towards callers, also under attack.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Largest request head, in bytes.
    pub header_bytes: usize,
    /// Time for a caller to send its request head.
    #[serde_as(as = "DisplayFromStr")]
    pub header_time: humantime::Duration,
    /// Time for a caller to send its request body.
    #[serde_as(as = "DisplayFromStr")]
    pub body_time: humantime::Duration,
    /// Open connections of callers.
    pub connections: usize,
    /// Requests waiting for an engine, over all groups.
    pub queue_requests: usize,
    /// Bytes of bodies held by waiting requests.
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

/// Periods and terms of the control loops.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Control {
    /// Between two heartbeats to a peer.
    #[serde_as(as = "DisplayFromStr")]
    pub heartbeat: humantime::Duration,
    /// Between two reads of the head of the settings.
    #[serde_as(as = "DisplayFromStr")]
    pub settings_poll: humantime::Duration,
    /// Between two reads of the VM list.
    #[serde_as(as = "DisplayFromStr")]
    pub vm_poll: humantime::Duration,
    /// How far the VM list may lag behind what happens.
    #[serde_as(as = "DisplayFromStr")]
    pub vm_lag: humantime::Duration,
    /// Between two load reports of an endpoint.
    #[serde_as(as = "DisplayFromStr")]
    pub report_poll: humantime::Duration,
    /// Term of a stewardship.
    #[serde_as(as = "DisplayFromStr")]
    pub lease_term: humantime::Duration,
    /// Longest wait for the beginning of an answer of the table, and longest pause in it.
    #[serde_as(as = "DisplayFromStr")]
    pub table_timeout: humantime::Duration,
    /// Longest wait for all daemons to close an endpoint.
    #[serde_as(as = "DisplayFromStr")]
    pub close_wait: humantime::Duration,
    /// Between two decisions on roles.
    #[serde_as(as = "DisplayFromStr")]
    pub role_period: humantime::Duration,
    /// How long new requests are still served after a planned stop began.
    #[serde_as(as = "DisplayFromStr")]
    pub stop_lag: humantime::Duration,
    /// After this long a planned stop ends the streams that remain.
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
