//! Daemons as real processes against stand-ins: the whole path, and failures on the way.

mod failure;
mod fleet;
mod once;
mod path;
mod settings;
