//! Requests that a gateway forwards to a peer because the peer reaches endpoints that it does not.
//!
//! A request makes at most one such hop. [`send`] chooses peers and forwards to them, [`receive`]
//! accepts what peers forward, within bounds. See `docs/DESIGN.md#forwarding-to-peers`.

mod connections;
mod envelope;
mod passage;
pub mod receive;
pub mod send;
pub mod witness;

pub use connections::Connections;
pub use envelope::{Envelope, MAX_ENVELOPE_BYTES, Refusal};
pub use receive::{Admission, Admitted};
