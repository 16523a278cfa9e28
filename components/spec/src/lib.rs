//! Model checker of the core protocol.
//!
//! Five small models, each explored exhaustively to its bounds. They run the transitions of the
//! `protocol` crate, the ones that the daemon runs. Each model has seeded wrong variants that must
//! be caught: the proof that it can fail. See `docs/PROOFS.md`.

pub mod answers;
pub mod claims;
pub mod closing;
pub mod explore;
pub mod orders;
pub mod versions;

use explore::Outcome;

/// A model with one of its variants, ready to be explored.
pub struct Case {
    /// The model's name.
    pub model: &'static str,
    /// The variant's name.
    pub variant: &'static str,
    /// The bounds.
    pub bounds: &'static str,
    /// Whether an invariant must be found broken.
    pub expect_violation: bool,
    /// Explores it.
    pub run: fn() -> Outcome,
}

/// All models with all their variants.
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
