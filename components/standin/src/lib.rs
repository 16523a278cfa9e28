//! Small stand-ins for an engine, a plain service and the platform.
//!
//! For tests, the demo in `examples` and measurements only; the released programs do not depend on them.
//! Faults that occur in the real systems can be injected into each.

pub mod batch;
pub mod contract;
pub mod engine;
pub mod link;
pub mod platform;
pub mod server;
pub mod service;
