//! Clients of the cloud's table service and VM list. This is not the operators' platform of the crate `platform`.
//!
//! The traits cover what daemons and gateways need; each has one adapter that speaks HTTP. Adapters are thin, so that
//! one for another cloud can replace them. The same contract tests run against every adapter.

pub mod table;
pub mod vms;
