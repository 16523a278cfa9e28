//! Health of an endpoint, derived from the requests sent to it. There are no probes: a probe takes
//! up a slot, and an endpoint that fails a fraction of its requests may pass every probe.

use std::time::Duration;

use clock::Instant;
use derive_more::Display;

/// Outcome of an attempt, as far as it concerns the endpoint's health.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "kebab-case")]
pub enum Verdict {
    /// It answered, or the answer was interrupted at the request's deadline.
    Fine,
    /// It reported that it has no free slot or is not the intended instance.
    Refused,
    /// It failed the request: with an error of its own, a broken connection or an invalid answer.
    Failed,
    /// It could not be reached, or did not respond in time.
    Silent,
}

/// Weight of the latest attempt in the moving average of failures: four failures in a row take a
/// healthy endpoint past [`UNHEALTHY_FAILURE_RATIO`], one failure in five does not.
const FAILURE_WEIGHT: f64 = 0.25;
/// Failure ratio from which an endpoint counts as unhealthy, which is logged and excludes an engine
/// from the plan of stages. Placement uses the failure ratio itself as a penalty.
const UNHEALTHY_FAILURE_RATIO: f64 = 0.6;
/// Number of consecutive silent attempts after which an endpoint counts as unhealthy and is backed
/// off from.
const SILENT_ATTEMPTS_TO_BACK_OFF: u32 = 2;
/// First backoff after silent attempts. The endpoint gets no requests until it has passed, and is
/// then tried again. Doubles up to [`MAX_BACKOFF`] while trials fail.
const SILENT_BACKOFF: Duration = Duration::from_millis(400);
/// Maximum backoff: bounds the time until a recovered endpoint is used again.
const MAX_BACKOFF: Duration = Duration::from_millis(1_600);

/// Number of consecutive refusals after which an endpoint is backed off from. A single refusal may
/// come from a race for its last slot.
const REFUSALS_TO_BACK_OFF: u32 = 2;
/// First backoff after refusals. Doubles up to [`MAX_BACKOFF`] while the endpoint keeps refusing.
/// Each refusal is charged to the retry budget like a retry.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(100);

/// Record of an endpoint's failures, silent attempts and refusals.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Moving average of failures, from 0 to 1.
    failure_ratio: f64,
    /// Consecutive silent attempts.
    consecutive_silent: u32,
    /// Consecutive refusals.
    consecutive_refusals: u32,
    backoff: Option<Backoff>,
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Instant,
    delay: Duration,
}

impl Health {
    /// Records the outcome of an attempt. Returns whether [`Self::is_healthy`] changed.
    pub fn record(&mut self, verdict: Verdict, now: Instant) -> bool {
        let before = self.is_healthy();
        let failed = match verdict {
            Verdict::Fine => 0.0,
            // a full endpoint is not a failing one
            Verdict::Refused => self.failure_ratio,
            Verdict::Failed | Verdict::Silent => 1.0,
        };
        self.failure_ratio += FAILURE_WEIGHT * (failed - self.failure_ratio);
        self.consecutive_silent = match verdict {
            Verdict::Silent => self.consecutive_silent + 1,
            Verdict::Fine | Verdict::Refused | Verdict::Failed => 0,
        };
        self.consecutive_refusals = match verdict {
            Verdict::Refused => self.consecutive_refusals + 1,
            Verdict::Fine | Verdict::Silent | Verdict::Failed => 0,
        };
        match () {
            () if self.consecutive_silent >= SILENT_ATTEMPTS_TO_BACK_OFF => {
                self.back_off(SILENT_BACKOFF, now);
            }
            () if self.consecutive_refusals >= REFUSALS_TO_BACK_OFF => {
                self.back_off(REFUSAL_BACKOFF, now);
            }
            () if verdict == Verdict::Fine => self.backoff = None,
            () => {}
        }
        before != self.is_healthy()
    }

    fn back_off(&mut self, initial: Duration, now: Instant) {
        let delay = self
            .backoff
            .map_or(initial, |backoff| (backoff.delay * 2).min(MAX_BACKOFF));
        self.backoff = Some(Backoff {
            until: now + delay,
            delay,
        });
    }

    /// Whether it may get a request: not during a backoff; after it, as a trial.
    #[must_use]
    pub fn accepts_requests(&self, now: Instant) -> bool {
        self.backoff.is_none_or(|backoff| backoff.until <= now)
    }

    /// Postpones the next trial by another backoff, so that only one request at a time tests
    /// whether the endpoint has recovered.
    pub fn postpone_trial(&mut self, now: Instant) {
        if let Some(backoff) = &mut self.backoff {
            backoff.until = now + backoff.delay;
        }
    }

    /// Whether it responds, and mostly without failures.
    #[must_use]
    pub fn is_healthy(&self) -> bool {
        self.consecutive_silent < SILENT_ATTEMPTS_TO_BACK_OFF
            && self.failure_ratio < UNHEALTHY_FAILURE_RATIO
    }

    /// Returns the fraction of its recent attempts that failed, from 0 to 1.
    #[must_use]
    pub fn failure_ratio(&self) -> f64 {
        self.failure_ratio
    }
}
