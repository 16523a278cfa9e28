//! Daemons as real processes against stand-ins: the whole path, and failures on the way.

mod at_most_once;
mod bad_input;
mod decisions;
mod end_to_end;
mod failure;
mod fleet;
mod settings;
