//! Parts of the summary that `outcomes` prints.

pub mod parts;
pub mod prefills;
