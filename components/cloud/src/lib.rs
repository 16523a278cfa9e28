//! Clients of the platform's table service and VM list.
//!
//! The traits cover what the daemon needs; each has one adapter that speaks HTTP. Adapters are thin, so that one for
//! another platform can replace them. The same contract tests run against every adapter.

pub mod table;
pub mod vms;
