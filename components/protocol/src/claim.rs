//! Claims of requests that may not be repeated, written to the table before dispatch.
//!
//! See `docs/DESIGN.md#requests-that-may-not-be-repeated`.

use serde::{Deserialize, Serialize};

use crate::Incarnation;

/// An answer as it was given, kept to be given again.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Recorded {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body, in hexadecimal so that any bytes survive.
    pub body_hex: String,
}

/// How far a claimed request has come.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// It may be running, or may be about to.
    Claimed,
    /// It ran; this was the answer. Nothing is kept of an answer that was too large.
    Done(Option<Recorded>),
    /// It certainly did not run and its claimant will not run it: it may be claimed again.
    NotRun,
    /// It may have run; nobody will ever know.
    Unknown,
}

/// The row of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Row {
    /// Digest of method, path and body: the same key with another request is refused.
    pub digest: u64,
    /// Who may run it.
    pub claimant: Incarnation,
    /// The write's own token, to tell after a lost answer whose write took effect.
    pub token: u64,
    /// When it was claimed, in milliseconds of the claimant's wall clock; for retention only.
    pub at_ms: u64,
    /// How far it has come.
    pub stage: Stage,
}

/// What a daemon does with a request whose key it has looked up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Nobody claims the key: write a claim, and dispatch only after it is known to be written.
    Claim,
    /// It ran before; this was the answer.
    Replay(Option<Recorded>),
    /// The claimant lives and has not finished.
    InProgress,
    /// It may have run.
    Unknown,
    /// The key was used for another request; this one did not run.
    Mismatch,
}

/// Decides on a request by the row of its key.
///
/// `alive` tells whether the claimant is known to be alive; when in doubt it is not, and the answer
/// is "unknown", which is never false.
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

/// What is known of a claim's write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The table said that it took effect, or a read showed its token.
    Written,
    /// Another claim of the key was first.
    Taken,
    /// The table said that it did not and never will.
    Refused,
    /// No answer came: it may have taken effect, or may yet.
    Unclear,
}

/// Whether a request may be dispatched after its claim's write. Only a claim that certainly stands
/// under the own token allows it.
#[must_use]
pub fn may_dispatch(outcome: WriteOutcome) -> bool {
    matches!(outcome, WriteOutcome::Written)
}
