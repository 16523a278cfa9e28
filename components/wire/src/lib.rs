//! Messages between the processes of the system, see `docs/DESIGN.md#between-our-processes`.
//!
//! The code is generated from `proto/wrenramp.proto` by the example `generate` and committed, so that a build needs no
//! generator.

// generated code does not follow this project's style
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

/// Maximum size of a received message. A tree with tens of thousands of groups is sent as one message (5.6 MB at 45,000
/// groups), and the library's default limit is 4 MB.
pub const MAX_MESSAGE_BYTES: usize = 64 << 20;
