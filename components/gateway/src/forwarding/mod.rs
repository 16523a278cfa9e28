//! Requests that a gateway forwards to a peer because the peer reaches endpoints that it does not.
//!
//! A request makes at most one such hop. [`send`] forwards to the peers that [`candidates`] chooses, [`receive`]
//! accepts what peers forward, within bounds. See `docs/DESIGN.md#forwarding-to-peers`.

mod candidates;
mod connections;
mod envelope;
pub mod probe;
pub mod receive;
mod relay;
pub mod send;

pub use connections::Connections;
pub use envelope::{Envelope, MAX_ENVELOPE_BYTES, Refusal};
pub use receive::{Admission, Admitted};
