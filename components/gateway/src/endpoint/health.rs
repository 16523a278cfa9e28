//! How an endpoint does, told from the requests that it was sent. No probes: they cost a slot, and an
//! endpoint that fails part of its requests may pass them all.

use std::time::Duration;

use clock::Instant;
use derive_more::Display;

/// How an attempt ended, as far as it tells of the endpoint.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "kebab-case")]
pub enum Verdict {
    /// It answered as it should.
    Fine,
    /// It said that it has no room or is not the one that was meant.
    Refused,
    /// It failed the request: an error of its own, a broken or a senseless answer.
    Failed,
    /// It was not reached, or said nothing in the time in which it should have.
    Silent,
}

/// Weight of the newest attempt in the failure rate: a run of five failures takes a sound endpoint
/// past [`SICK`], one failure in five doesn't.
const FAILURE_WEIGHT: f64 = 0.25;
/// Above this failure rate an endpoint is avoided where there is another one.
const UNHEALTHY_FAILURE_RATIO: f64 = 0.6;
/// Silent attempts in a row after which an endpoint is taken to be away.
const MAX_SILENT_ATTEMPTS: u32 = 2;
/// How long an endpoint that is away gets nothing but one trial a span; it doubles up to
/// [`LONGEST_AWAY`] while trials fail.
const INITIAL_SILENT_BACKOFF: Duration = Duration::from_millis(400);
/// The longest pause between two trials: within it a healed endpoint is found again.
const MAX_BACKOFF: Duration = Duration::from_millis(1_600);

/// Refusals in a row after which an endpoint is left alone for a while: one alone may be a race for
/// its last slot.
const MAX_REFUSALS: u32 = 2;
/// How long an endpoint that refuses is left alone; it doubles up to [`LONGEST_AWAY`] while it goes on
/// refusing. Each refusal is paid for like a repeat.
const INITIAL_REFUSAL_BACKOFF: Duration = Duration::from_millis(100);

/// Failures, silences and refusals of an endpoint.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Moving average of failures, from 0 to 1.
    failure_ratio: f64,
    /// Silent attempts in a row.
    consecutive_silent: u32,
    /// Refusals in a row.
    consecutive_refusals: u32,
    backoff: Option<Backoff>,
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Instant,
    delay: Duration,
}

impl Health {
    /// Takes the end of an attempt. Says whether the endpoint was sound before and isn't now, or the
    /// other way round.
    pub fn record(&mut self, verdict: Verdict, now: Instant) -> bool {
        let before = self.is_healthy();
        let failed = match verdict {
            Verdict::Fine => 0.0,
            // a full endpoint isn't a failing one
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
            () if self.consecutive_silent >= MAX_SILENT_ATTEMPTS => {
                self.back_off(INITIAL_SILENT_BACKOFF, now)
            }
            () if self.consecutive_refusals >= MAX_REFUSALS => {
                self.back_off(INITIAL_REFUSAL_BACKOFF, now)
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

    /// Whether it should get a request: not while it is away, but for a trial when a pause is over.
    #[must_use]
    pub fn accepts_requests(&self, now: Instant) -> bool {
        self.backoff.is_none_or(|backoff| backoff.until <= now)
    }

    /// Puts the next trial off, so that one request at a time finds out whether it is back.
    pub fn postpone_trial(&mut self, now: Instant) {
        if let Some(backoff) = &mut self.backoff {
            backoff.until = now + backoff.delay;
        }
    }

    /// Whether it answers, and mostly as it should.
    #[must_use]
    pub fn is_healthy(&self) -> bool {
        self.consecutive_silent < MAX_SILENT_ATTEMPTS
            && self.failure_ratio < UNHEALTHY_FAILURE_RATIO
    }

    /// The part of its attempts that fail, from 0 to 1.
    #[must_use]
    pub fn failure_ratio(&self) -> f64 {
        self.failure_ratio
    }
}
