//! How long an endpoint's answer is waited for. See `docs/DESIGN.md#giving-an-attempt-up`.

use std::{sync::Arc, time::Duration};

use clock::Instant;

use super::job::Job;
use crate::endpoint::Target;

/// Between the first and the second look whether a silent endpoint can be given up on; each further one comes after
/// twice the time.
const FIRST_RECHECK_DELAY: Duration = Duration::from_millis(50);

/// Says whether another endpoint than this one would take the request.
pub type HasAlternative<'a> = Box<dyn Fn(&Arc<Target>) -> bool + Send + Sync + 'a>;

/// When an endpoint is suspected to be lost.
#[derive(Clone, Copy, Debug)]
pub enum Suspicion {
    /// At a time.
    At(Instant),
    /// When it has got on with nothing for so long, neither this request nor another one: a forecast that was wrong is
    /// no sign that an endpoint is lost.
    Silence(Duration),
}

/// An earlier end of a wait, if the request can go on elsewhere.
pub struct EarlyTimeout<'a> {
    /// When it comes.
    pub suspicion: Suspicion,
    /// Whether another endpoint would take the request.
    pub has_alternative: HasAlternative<'a>,
}

/// How long an answer is waited for.
pub struct Timeout<'a> {
    at: Instant,
    early: Option<EarlyTimeout<'a>>,
}

impl<'a> Timeout<'a> {
    /// Waits until then, whatever the endpoint does.
    pub fn at(at: Instant) -> Self {
        Self { at, early: None }
    }

    /// Waits until then, or less long if the request can go on elsewhere.
    pub fn with_early(at: Instant, early: Option<EarlyTimeout<'a>>) -> Self {
        Self { at, early }
    }

    /// Waits until the attempt is given up. Before the time is over that takes another endpoint and a repeat, which is
    /// then reserved: an answer that may still come is worth more than none.
    pub async fn wait(self, job: &Job, target: &Arc<Target>) {
        let sent_at = Instant::now();
        let mut recheck_delay = FIRST_RECHECK_DELAY;
        loop {
            let now = Instant::now();
            let early = self.early.as_ref();
            let suspected = early.map(|early| early.suspicion.time(sent_at, target));
            match early {
                _ if now >= self.at => return,
                Some(early) if suspected.is_some_and(|at| at <= now) => {
                    if (early.has_alternative)(target) && job.arrivals.reserve_one(job) {
                        return;
                    }
                    clock::sleep_until((now + recheck_delay).min(self.at)).await;
                    recheck_delay *= 2;
                }
                Some(_) | None => {
                    let next = suspected.unwrap_or(self.at);
                    clock::sleep_until(next.min(self.at)).await;
                }
            }
        }
    }
}

impl Suspicion {
    /// When an endpoint that was sent a request at a time is suspected.
    fn time(self, sent_at: Instant, target: &Target) -> Instant {
        match self {
            Self::At(time) => time,
            Self::Silence(silence) => sent_at.max(target.last_progress()) + silence,
        }
    }
}
