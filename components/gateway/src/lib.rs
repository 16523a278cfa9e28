//! The gateway: forwards requests to a fleet of engines and plain services that an operators'
//! platform lists. Modules are divided by the lifetime of what they hold: request, connection,
//! version of the configuration, endpoint, process. `crashes` spans several of them. `adapters` holds the traits through which the
//! platform is used.
//!
//! Every entry VM runs the same gateway. See `docs/PLATFORM.md`.

pub mod adapters;
mod connection;
mod crashes;
pub mod endpoint;
mod error;
mod forwarding;
mod peer;
mod process;
mod request;
mod steward;
mod streams;
pub mod version;

pub use error::Error;
pub use process::{Adapters, Addresses, Running, start};
