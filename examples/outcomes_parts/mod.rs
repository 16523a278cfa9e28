//! Parts of the account of placements.

pub mod parts;
pub mod prefills;
