//! Messages between the processes of the system, see `docs/DESIGN.md#between-our-processes`.
//!
//! The code is generated from `proto/wrenramp.proto` by the example `generate` and committed, so
//! that a build needs no generator.

// the generator's output follows its own style, not ours
#[allow(
    missing_docs,
    clippy::pedantic,
    reason = "generated code is committed as it comes"
)]
#[rustfmt::skip]
mod generated {
    include!("generated/wrenramp.v1.rs");
}

pub use generated::*;

/// The largest message that is taken, in bytes: trees of tens of thousands of groups come in one message, 5.6 MB at
/// 45,000 groups. The library takes 4 MB unless it is told.
pub const MAX_MESSAGE_BYTES: usize = 64 << 20;
