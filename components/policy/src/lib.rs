//! Decisions only: routing, admission, fair share, retries and roles.
//!
//! Pure: decisions take views and a time, read no clock and do no input or output. The daemon runs
//! this code and so does the measurement `mixshift`. See `docs/DESIGN.md#decisions`.

pub mod backlog;
pub mod estimate;
pub mod fair;
pub mod load;
pub mod place;
pub mod prefix_cache;
pub mod prompt;
pub mod retry;
pub mod role;
pub mod route;
pub mod stage;
pub mod suspect;

/// Microseconds of the decider's own monotonic clock, or a span of them.
pub type Micros = u64;

/// A count as a floating-point number. Counts of tokens and microseconds stay far below 2^52, so
/// nothing is lost.
#[must_use]
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
pub fn to_f64(count: u64) -> f64 {
    count as f64
}

/// A floating-point number as a count: rounded down, zero for what is negative or no number.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, which is what is wanted"
)]
pub fn to_u64(real: f64) -> u64 {
    real as u64
}

/// A span of time in microseconds.
#[must_use]
pub fn micros(span: std::time::Duration) -> Micros {
    Micros::try_from(span.as_micros()).unwrap_or(Micros::MAX)
}
