//! Claims of requests that must not be retried, written to the table before dispatch.
//!
//! See `docs/DESIGN.md#requests-that-may-not-be-repeated`.

use serde::{Deserialize, Serialize};

use crate::Incarnation;

/// An answer, recorded so that it can be replayed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Recorded {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body in hexadecimal, since it may hold any bytes.
    pub body_hex: String,
}

/// Stage of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// The request may be executing, or about to.
    Claimed,
    /// The request was executed, with this answer; `None` if the answer was too large to record.
    Done(Option<Recorded>),
    /// The request was certainly not executed and its claimant will not execute it: the key may be
    /// claimed again.
    NotRun,
    /// The request may have been executed; this can't be found out any more.
    Unknown,
}

/// The row of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Row {
    /// Hash of method, path and body; a different request with the same key is refused.
    pub digest: u64,
    /// Process that may execute the request.
    pub claimant: Incarnation,
    /// Unique token of the write, to find out after a lost answer whether it took effect.
    pub token: u64,
    /// Time of the claim in milliseconds of the claimant's wall clock; used for retention only.
    pub at_ms: u64,
    /// Stage of the request.
    pub stage: Stage,
}

/// What to do with a request after its key was looked up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The key isn't claimed: write a claim, and dispatch only once the write is confirmed.
    Claim,
    /// The request was executed before, with this answer.
    Replay(Option<Recorded>),
    /// The claimant is alive and has not finished.
    InProgress,
    /// The request may have been executed.
    Unknown,
    /// The key was used for a different request; this one is not executed.
    Mismatch,
}

/// Decides what to do with a request, by the row of its key.
///
/// `alive` tells whether the claimant is known to be alive. If that isn't certain it must return
/// false; the decision is then "unknown", which is always correct.
#[must_use]
pub fn decide(row: Option<&Row>, digest: u64, alive: impl Fn(Incarnation) -> bool) -> Decision {
    match row {
        None => Decision::Claim,
        Some(row) if row.digest != digest => Decision::Mismatch,
        Some(row) => match &row.stage {
            Stage::NotRun => Decision::Claim,
            Stage::Done(recorded) => Decision::Replay(recorded.clone()),
            Stage::Claimed if alive(row.claimant) => Decision::InProgress,
            Stage::Claimed | Stage::Unknown => Decision::Unknown,
        },
    }
}

/// Outcome of writing a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The table confirmed it, or a read returned its token.
    Written,
    /// Another claim of the key came first.
    Taken,
    /// It did not take effect and never will.
    Refused,
    /// The table's answer was lost: it may have taken effect, or may still do so.
    Unclear,
}

/// Whether a request may be dispatched after its claim was written: only if the claim is certainly
/// in the table with this write's token.
#[must_use]
pub fn may_dispatch(outcome: WriteOutcome) -> bool {
    matches!(outcome, WriteOutcome::Written)
}
