//! Small stand-ins of an engine, a plain service and the platform.
//!
//! For tests, the demonstration and measurements only; the product does not depend on them. Each
//! can be told to fail in the ways that the real one does.

pub mod batch;
pub mod contract;
pub mod engine;
pub mod link;
pub mod platform;
pub mod server;
pub mod service;
