//! Modules of the demo.

pub mod checks;
pub mod fleet;
