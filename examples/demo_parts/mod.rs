//! The parts of the demonstration.

pub mod checks;
pub mod fleet;
