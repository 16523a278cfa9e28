//! State transitions of the core protocol, as pure functions.
//!
//! The daemon executes them and the `spec` crate model-checks them, so that the two can't diverge.
//! Nothing here reads a clock, sends a message or takes a lock. See `docs/DESIGN.md`.

pub mod claim;
pub mod gate;
pub mod lease;
pub mod order;
pub mod stream;

use std::time::Duration;

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Converts a duration to milliseconds, the unit of rows and log lines.
#[must_use]
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Identifies one run of a process: random at start, never reused.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    Into,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{_0:016x}")]
pub struct Incarnation(pub u64);
