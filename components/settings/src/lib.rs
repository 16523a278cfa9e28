//! Settings files of daemons and gateways (TOML), and the settings tree that operators change at run
//! time.
//!
//! Both are validated completely before any value is used. Every key is listed in `docs/SETTINGS.md`.

pub mod daemon;
pub mod file;
pub mod gateway;
pub mod tree;
