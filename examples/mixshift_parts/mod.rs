//! The parts of the measurement.

pub mod decider;
pub mod fleet;
pub mod policies;
pub mod report;
pub mod run;
pub mod workload;
