//! Connections of callers: what is under way on one, and whether its caller is still there.

mod exchange;
mod socket;

pub use exchange::{Exchange, ExchangeGuard, Request, Stage, Wait};
pub use socket::Socket;
