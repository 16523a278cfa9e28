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
const WEIGHT: f64 = 0.25;
/// Above this failure rate an endpoint is avoided where there is another one.
const SICK: f64 = 0.6;
/// Silent attempts in a row after which an endpoint is taken to be away.
const SILENT: u32 = 2;
/// How long an endpoint that is away gets nothing but one trial a span; it doubles up to
/// [`LONGEST_AWAY`] while trials fail.
const AWAY: Duration = Duration::from_millis(400);
/// The longest pause between two trials: within it a healed endpoint is found again.
const LONGEST_AWAY: Duration = Duration::from_millis(1_600);

/// Refusals in a row after which an endpoint is left alone for a while: one alone may be a race for
/// its last slot.
const REFUSALS: u32 = 2;
/// How long an endpoint that refuses is left alone; it doubles up to [`LONGEST_AWAY`] while it goes on
/// refusing. Each refusal is paid for like a repeat.
const REFUSES: Duration = Duration::from_millis(100);

/// Failures, silences and refusals of an endpoint.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Moving average of failures, from 0 to 1.
    failures: f64,
    /// Silent attempts in a row.
    silent: u32,
    /// Refusals in a row.
    refused: u32,
    away: Option<Away>,
}

#[derive(Clone, Copy, Debug)]
struct Away {
    until: Instant,
    span: Duration,
}

impl Health {
    /// Takes the end of an attempt. Says whether the endpoint was sound before and isn't now, or the
    /// other way round.
    pub fn note(&mut self, verdict: Verdict, now: Instant) -> bool {
        let before = self.sound();
        let failed = match verdict {
            Verdict::Fine => 0.0,
            // a full endpoint isn't a failing one
            Verdict::Refused => self.failures,
            Verdict::Failed | Verdict::Silent => 1.0,
        };
        self.failures += WEIGHT * (failed - self.failures);
        self.silent = match verdict {
            Verdict::Silent => self.silent + 1,
            Verdict::Fine | Verdict::Refused | Verdict::Failed => 0,
        };
        self.refused = match verdict {
            Verdict::Refused => self.refused + 1,
            Verdict::Fine | Verdict::Silent | Verdict::Failed => 0,
        };
        match () {
            () if self.silent >= SILENT => self.go_away(AWAY, now),
            () if self.refused >= REFUSALS => self.go_away(REFUSES, now),
            () if verdict == Verdict::Fine => self.away = None,
            () => {}
        }
        before != self.sound()
    }

    fn go_away(&mut self, first: Duration, now: Instant) {
        let span = self
            .away
            .map_or(first, |away| (away.span * 2).min(LONGEST_AWAY));
        self.away = Some(Away {
            until: now + span,
            span,
        });
    }

    /// Whether it should get a request: not while it is away, but for a trial when a pause is over.
    #[must_use]
    pub fn takes(&self, now: Instant) -> bool {
        self.away.is_none_or(|away| away.until <= now)
    }

    /// Puts the next trial off, so that one request at a time finds out whether it is back.
    pub fn tried(&mut self, now: Instant) {
        if let Some(away) = &mut self.away {
            away.until = now + away.span;
        }
    }

    /// Whether it answers, and mostly as it should.
    #[must_use]
    pub fn sound(&self) -> bool {
        self.silent < SILENT && self.failures < SICK
    }

    /// The part of its attempts that fail, from 0 to 1.
    #[must_use]
    pub fn failures(&self) -> f64 {
        self.failures
    }
}
