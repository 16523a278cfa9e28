//! One gateway against a fake of the edge.

mod fake;
mod lists;
mod peers;
