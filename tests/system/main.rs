//! Daemons as real processes against stand-ins: the whole path, and failures on the way.

mod callers;
mod decisions;
mod failure;
mod fleet;
mod once;
mod path;
mod settings;
