//! Tests of one gateway with fake adapters.

mod fake;
mod lists;
mod peers;
