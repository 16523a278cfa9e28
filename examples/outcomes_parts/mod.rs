//! Parts of the account of placements.

pub mod lines;
pub mod parts;
