//! Daemons as real processes against stand-ins: the whole path, and failures on the way.

mod fleet;
mod path;
