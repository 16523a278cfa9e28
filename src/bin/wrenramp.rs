//! Stub.
fn main() {}
