//! The daemon `wrenrampd`, laid out by life span: request, connection, version, process.
//!
//! Every entry VM runs the same daemon; nothing is set aside for control. See `docs/DESIGN.md`.

mod connection;
mod error;
mod process;
mod request;
mod version;

pub use error::Error;
pub use process::{Addresses, Running, start};
