//! The end of connections that their callers leave idle.

use caller::{Exchange, Wait};
use clock::Instant;

use crate::process::Gateway;

/// Waits until a connection has been idle for longer than its caller may go by, or a head has been coming for too long.
///
/// The limits are those of the configuration in force when the time would be over, so that a limit that is raised reaches
/// connections that are open already.
pub async fn wait_for_timeout(gateway: &Gateway, exchange: &Exchange) {
    loop {
        let now = Instant::now();
        let timeout_at = match exchange.wait() {
            Wait::Idle(since) => since + gateway.idle_limit(since),
            Wait::Head(since) => since + gateway.limits().header_timeout,
            // it is idle later than now at the earliest
            Wait::Request => now + gateway.idle_limit(now),
        };
        if timeout_at <= now {
            return;
        }
        clock::sleep_until(timeout_at).await;
    }
}
