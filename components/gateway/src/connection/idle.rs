//! Timeouts of callers' connections.

use caller::{Exchange, Wait};
use clock::Instant;

use crate::process::Gateway;

/// Waits until a connection has been idle for longer than the timeout that its caller relies on, or
/// the headers of a request have taken too long to arrive.
///
/// The limits are taken from the configuration in force when the timeout would expire, so that a
/// raised limit also applies to connections that are already open.
pub async fn wait_for_timeout(gateway: &Gateway, exchange: &Exchange) {
    loop {
        let now = Instant::now();
        let timeout_at = match exchange.waiting_for() {
            Wait::Idle(since) => since + gateway.idle_limit(since),
            Wait::Head(since) => since + gateway.limits().header_timeout,
            // a request is in flight, so the connection becomes idle now at the earliest
            Wait::Request => now + gateway.idle_limit(now),
        };
        if timeout_at <= now {
            return;
        }
        clock::sleep_until(timeout_at).await;
    }
}
