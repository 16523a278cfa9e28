//! System tests: daemons as separate processes against stand-ins, with and without failures.

mod at_most_once;
mod bad_input;
mod decisions;
mod end_to_end;
mod failure;
mod fleet;
mod settings;
