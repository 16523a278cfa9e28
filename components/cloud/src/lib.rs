//! The platform at the edge of a process: the table service and the VM list.
//!
//! The traits are what the daemon needs; one adapter each speaks HTTP. An adapter is thin so that
//! another platform's can take its place. The same contract tests run against each.

pub mod table;
pub mod vms;
