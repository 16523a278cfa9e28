//! How long an attempt waits for an endpoint's response. See `docs/DESIGN.md#giving-an-attempt-up`.

use std::{sync::Arc, time::Duration};

use clock::Instant;

use super::{
    job::Job,
    silence::{MIN_PATH_CHECK_DELAY, max_path_check_delay},
};
use crate::endpoint::Target;

/// Time between the first and the second check whether an attempt on a silent endpoint can be
/// abandoned; it doubles for each further check.
const FIRST_RECHECK_DELAY: Duration = Duration::from_millis(50);

/// Returns whether another endpoint than the given one would accept the request.
pub type HasAlternative<'a> = Box<dyn Fn(&Arc<Target>) -> bool + Send + Sync + 'a>;

/// Number of further checks, each after twice the previous time, that are left out if other endpoints
/// of the service have responded meanwhile.
const CHECKS_WHILE_OTHERS_RESPOND: u32 = 2;

/// When an endpoint is presumed lost.
#[derive(Clone, Copy, Debug)]
pub enum PresumedLost {
    /// Not as long as the path to it works.
    Never,
    /// At a fixed time.
    At(Instant),
    /// When the endpoint has made no progress for this long, neither with this request nor with any
    /// other. An estimate that is exceeded does not by itself mean that the endpoint is lost.
    Silence(Duration),
}

/// Abandons an attempt before its deadline if the request can be sent elsewhere.
pub struct EarlyTimeout<'a> {
    /// When the endpoint is presumed lost.
    pub presumed_lost: PresumedLost,
    /// Whether another endpoint would accept the request.
    pub has_alternative: HasAlternative<'a>,
}

/// How long to wait for a response.
pub struct Timeout<'a> {
    at: Instant,
    early: Option<EarlyTimeout<'a>>,
    /// When the caller got something the last time; `None` if it has got nothing.
    last_event: Option<Instant>,
}

impl<'a> Timeout<'a> {
    /// Waits until the given time, whatever the endpoint does.
    pub fn at(at: Instant) -> Self {
        Self::with_early(at, None)
    }

    /// Waits until the given time, or for a shorter time if `early` applies.
    pub fn with_early(at: Instant, early: Option<EarlyTimeout<'a>>) -> Self {
        Self {
            at,
            early,
            last_event: None,
        }
    }

    /// Sets when the caller got something the last time.
    pub fn after_event(self, last_event: Instant) -> Self {
        Self {
            last_event: Some(last_event),
            ..self
        }
    }

    /// Waits until the attempt is to be abandoned, see [`Self::wait_for_progress`] and
    /// [`Self::watch_path`].
    pub async fn wait(self, job: &Job, target: &Arc<Target>) {
        tokio::select! {
            () = self.wait_for_progress(job, target) => {}
            () = self.watch_path(job, target) => {}
        }
    }

    /// Checks the path to the endpoint while it is silent. Waits until the path is lost and the request
    /// can be sent elsewhere, or its caller would give up soon.
    async fn watch_path(&self, job: &Job, target: &Arc<Target>) {
        let sent_at = Instant::now();
        let gives_up_at = job.gives_up_at(self.last_event.unwrap_or(job.arrived));
        let first_delay = job.route.objective.max(MIN_PATH_CHECK_DELAY);
        let mut delay = first_delay;
        for checks in 0.. {
            let wakes_at = Instant::now() + delay;
            let gives_up_next = gives_up_at.filter(|at| *at > Instant::now());
            clock::sleep_until(gives_up_next.map_or(wakes_at, |at| at.min(wakes_at))).await;
            let is_silent = target.is_silent_for(first_delay);
            let may_be_lost = checks >= CHECKS_WHILE_OTHERS_RESPOND
                || sent_at.elapsed() >= max_path_check_delay(job)
                || !job.gateway.have_others_responded(target, sent_at);
            if is_silent && may_be_lost && target.may_check_path(Instant::now()) {
                job.gateway.check_silent_path(target, sent_at).await;
            }
            let is_lost = is_silent && target.is_path_lost();
            let gives_up = gives_up_at.is_some_and(|at| at <= Instant::now());
            if gives_up && is_silent && target.is_unreachable() {
                return;
            }
            match &self.early {
                Some(early)
                    if is_lost && (early.has_alternative)(target) && job.sends.reserve_one(job) =>
                {
                    return;
                }
                // the path may be found lost by others at any time
                Some(_) | None => {
                    delay = if is_lost {
                        FIRST_RECHECK_DELAY
                    } else {
                        delay * 2
                    }
                }
            }
        }
    }

    /// Waits until the endpoint makes no progress and the attempt is to be abandoned. Before the
    /// deadline that requires another endpoint and a retry from the budget, which is then reserved:
    /// otherwise it is better to wait for a response that may still arrive.
    async fn wait_for_progress(&self, job: &Job, target: &Arc<Target>) {
        let sent_at = Instant::now();
        let mut recheck_delay = FIRST_RECHECK_DELAY;
        loop {
            let now = Instant::now();
            let early = self.early.as_ref();
            let lost_at = early.and_then(|early| early.presumed_lost.time(sent_at, target));
            match early {
                _ if now >= self.at => return,
                Some(early) if lost_at.is_some_and(|at| at <= now) => {
                    if (early.has_alternative)(target) && job.sends.reserve_one(job) {
                        return;
                    }
                    clock::sleep_until((now + recheck_delay).min(self.at)).await;
                    recheck_delay *= 2;
                }
                Some(_) | None => {
                    let next = lost_at.unwrap_or(self.at);
                    clock::sleep_until(next.min(self.at)).await;
                }
            }
        }
    }
}

impl PresumedLost {
    /// Returns when an endpoint that received a request at `sent_at` is presumed lost.
    fn time(self, sent_at: Instant, target: &Target) -> Option<Instant> {
        match self {
            Self::Never => None,
            Self::At(time) => Some(time),
            Self::Silence(silence) => Some(sent_at.max(target.last_progress()) + silence),
        }
    }
}
