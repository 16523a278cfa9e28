//! Model checker of the core protocol.
//!
//! Five small models, each explored exhaustively within its bounds. They call the transition
//! functions of the `protocol` crate, the same ones that the daemon calls. Each model has
//! deliberately faulty variants that must violate an invariant, which shows that the model can
//! detect faults.
//! See `docs/PROOFS.md`.

pub mod answers;
pub mod claims;
pub mod closing;
pub mod explore;
pub mod orders;
pub mod versions;

use explore::Outcome;

/// One variant of a model, with the function that explores it.
pub struct Case {
    /// Name of the model.
    pub model: &'static str,
    /// Name of the variant.
    pub variant: &'static str,
    /// Bounds of the exploration, as text for the report.
    pub bounds: &'static str,
    /// Whether the exploration must find a violated invariant.
    pub expect_violation: bool,
    /// Explores the variant.
    pub run: fn() -> Outcome,
}

/// All variants of all models.
#[must_use]
pub fn cases() -> Vec<Case> {
    [
        orders::CASES,
        closing::CASES,
        claims::CASES,
        versions::CASES,
        answers::CASES,
    ]
    .into_iter()
    .flatten()
    .map(|case| Case { ..*case })
    .collect()
}
