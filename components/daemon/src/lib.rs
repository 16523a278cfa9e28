//! The daemon `wrenrampd`, with modules by lifetime: request, connection, settings version,
//! process.
//!
//! Every entry VM runs the same daemon; there is no separate control plane. See `docs/DESIGN.md`.

mod connection;
mod error;
mod process;
mod request;
mod version;

pub use error::Error;
pub use process::{Addresses, Running, start};
