//! Notices that an endpoint is silent because the path to it is lost. See `docs/DESIGN.md#paths-to-endpoints`.

use std::{sync::Arc, time::Duration};

use clock::Instant;

use super::job::Job;
use crate::endpoint::Target;

/// Minimum time without a response after which the path to an endpoint is checked. Several times the round trip to the
/// farthest endpoint.
pub const MIN_PATH_CHECK_DELAY: Duration = Duration::from_millis(100);
/// Interval between two looks at a silent endpoint.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How many times its longest pause so far a response may be silent before the path is checked.
const USUAL_PAUSES: u32 = 3;
/// The path is checked at the latest after this part (1/n) of the time for which callers wait in silence, so that there is
/// time to check it once more.
const MAX_PATH_CHECK_DIVISOR: u32 = 4;

/// The silence of a response that has begun.
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    /// When the last bytes came from the endpoint.
    pub since: Instant,
    /// When the caller got something the last time, or sent the request.
    pub last_event: Instant,
    /// The longest pause between two events so far; `None` before the second event.
    pub longest_pause: Option<Duration>,
}

/// What is left to do for a response over a lost path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Remedy {
    /// Another endpoint continues it.
    Elsewhere,
    /// The response is aborted.
    GiveUp,
}

impl Silence {
    /// Returns the time without a response after which the path is checked.
    fn path_check_delay(&self, job: &Job) -> Duration {
        let usual = self
            .longest_pause
            .map_or(job.route.objective, |pause| pause * USUAL_PAUSES);
        usual
            .min(max_path_check_delay(job))
            .max(MIN_PATH_CHECK_DELAY)
    }

    /// Waits until the path to the endpoint is lost and something can be done about it. Until then the response may go on:
    /// the network may recover, and the bytes that it holds are delivered then. `goes_elsewhere` returns whether another
    /// endpoint takes the response over.
    pub async fn until_path_lost(
        self,
        job: &Job,
        target: &Arc<Target>,
        goes_elsewhere: impl Fn() -> bool,
    ) -> Remedy {
        let delay = self.path_check_delay(job);
        let gives_up_at = job.gives_up_at(self.last_event);
        clock::sleep_until(self.since + delay).await;
        loop {
            let is_silent = target.is_silent_for(delay);
            if is_silent && target.may_check_path(Instant::now()) {
                job.gateway.check_silent_path(target, self.since).await;
            }
            let is_lost = is_silent && target.is_unreachable();
            match gives_up_at {
                _ if is_lost && goes_elsewhere() => return Remedy::Elsewhere,
                Some(at) if is_lost && at <= Instant::now() => return Remedy::GiveUp,
                Some(_) | None => clock::sleep(POLL_INTERVAL).await,
            }
        }
    }
}

/// Returns the longest time without a response after which the path to an endpoint is checked, whatever its other
/// responses are like.
pub fn max_path_check_delay(job: &Job) -> Duration {
    job.route
        .max_silence
        .map_or(Duration::MAX, |silence| silence / MAX_PATH_CHECK_DIVISOR)
}
