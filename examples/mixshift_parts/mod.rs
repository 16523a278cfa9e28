//! Modules of the `mixshift` simulation.

pub mod fleet;
pub mod policies;
pub mod report;
pub mod run;
pub mod scheduler;
pub mod workload;
