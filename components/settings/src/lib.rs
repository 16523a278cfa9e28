//! Settings of a process (TOML file) and the settings tree of the operators.
//!
//! Both are checked whole before anything uses them. Every key is listed in `docs/SETTINGS.md`.

pub mod daemon;
pub mod file;
pub mod gateway;
pub mod tree;
