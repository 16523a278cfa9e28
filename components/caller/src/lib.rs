//! Connections of callers: the request in flight on each, and detection of callers that have disconnected.

mod exchange;
mod outgoing;
mod presence;
mod socket;

pub use exchange::{Exchange, ExchangeGuard, HalfClose, Request, Stage, Wait};
pub use presence::Presence;
pub use socket::Socket;
