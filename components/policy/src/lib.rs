//! Decisions only: routing, admission, fair share, retries, roles and stages.
//!
//! There are two models of an engine. In [`place`] and [`stage`], which the gateway uses, an engine
//! either only prefills or also decodes. In [`route`] and [`role`], which the daemon and the simulation
//! use, it has one of three roles, and its latencies depend on the size of its batch. Decisions take
//! snapshots and a time as arguments; nothing here reads a clock or does I/O. The daemon, the gateway
//! and the simulation `mixshift` run the same code. See `docs/DESIGN.md#decisions`.

pub mod backlog;
pub mod culprit;
pub mod estimate;
pub mod fair;
pub mod load;
pub mod overload;
pub mod pace;
pub mod place;
pub mod prefix_cache;
pub mod prompt;
pub mod remainder;
pub mod retry;
pub mod role;
pub mod route;
pub mod scaling;
pub mod stage;
pub mod suspect;

/// A point in time on the monotonic clock of the code that uses this crate, or a duration, in
/// microseconds.
pub type Micros = u64;

/// Converts a count to floating point. Counts of tokens and microseconds stay far below 2^52, so the
/// conversion is exact.
#[must_use]
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
pub fn to_f64(count: u64) -> f64 {
    count as f64
}

/// Converts a floating-point number to a count: rounds down, and returns zero for negative numbers
/// and NaN.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, which is what is wanted"
)]
pub fn to_u64(number: f64) -> u64 {
    number as u64
}

/// Converts a duration to microseconds, saturating.
#[must_use]
pub fn micros(duration: std::time::Duration) -> Micros {
    Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX)
}
