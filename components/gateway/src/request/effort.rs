//! What a request has cost so far: endpoints tried, what may have run, and arrivals that count as
//! repeats. Decides whether another attempt may follow, and otherwise what is true to tell the caller.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU32, Ordering},
};

use super::{
    attempt::Cause,
    job::Job,
    refusal::{Reason, SOON},
};
use crate::endpoint::Target;

/// What an attempt is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Reading the prompt only, which is no run.
    Read,
    /// Running the request.
    Run,
}

/// An attempt that failed.
#[derive(Debug)]
pub struct Failed {
    /// Where.
    pub target: Arc<Target>,
    /// Why.
    pub cause: Cause,
    /// What for.
    pub phase: Phase,
}

impl Failed {
    /// Whether the request certainly did not run in it.
    pub fn not_run(&self) -> bool {
        self.phase == Phase::Read || self.cause.not_run()
    }
}

/// The attempts of one request.
#[derive(Debug, Default)]
pub struct Effort {
    /// Endpoints that failed it.
    tried: Vec<Arc<Target>>,
    /// Attempts in which it ran or may have run.
    runs: u32,
    /// Attempts that failed.
    failures: u32,
}

impl Effort {
    /// Endpoints that failed the request.
    pub fn tried(&self) -> &[Arc<Target>] {
        &self.tried
    }

    /// Whether nothing has failed yet.
    pub fn is_fresh(&self) -> bool {
        self.failures == 0
    }

    /// Attempts that may have run so far.
    pub fn runs(&self) -> u32 {
        self.runs
    }

    /// Whether one more attempt may run after the next one, if that is lost.
    pub fn may_repeat_after_next(&self, job: &Job) -> bool {
        job.route.kind.repeats() && self.runs + 1 < job.route.attempts
    }

    /// Takes an endpoint's own failure of the request, for which another endpoint is tried.
    pub fn ran(&mut self, target: Arc<Target>) {
        self.runs += 1;
        self.failures += 1;
        self.tried.push(target);
    }

    /// Takes a failed attempt. Says what the caller is told, if no other may follow.
    pub fn fail(&mut self, job: &Job, failed: Failed) -> Result<(), Reason> {
        if let Some(verdict) = failed.cause.verdict() {
            failed.target.note(verdict, &job.ask.id);
        }
        let labels = [&*job.service.name, failed.cause.label()];
        job.gateway
            .metrics
            .failures
            .with_label_values(&labels)
            .inc();
        self.failures += 1;
        let not_run = failed.not_run();
        self.runs += u32::from(!not_run);
        let repeats = not_run || job.route.kind.repeats();
        let left = !job.time_left().is_zero();
        let attempts = self.runs < job.route.attempts;
        let budget = failed.cause != Cause::NoBudget;
        log::info!(
            request = job.ask.id, endpoint = &*failed.target.id.0, cause:% = failed.cause,
            phase:? = failed.phase, runs = self.runs, not_run, repeats, left;
            "an attempt failed"
        );
        // an engine that could not fetch a handle can still read the prompt itself
        if failed.cause != Cause::NoHandle {
            self.tried.push(failed.target);
        }
        if repeats && left && attempts && budget {
            return Ok(());
        }
        Err(self.reason(left))
    }

    /// What is true when nothing more is tried.
    pub fn give_up(&self) -> Reason {
        if self.is_fresh() {
            Reason::NoEndpoint(SOON)
        } else {
            self.reason(true)
        }
    }

    /// What is true when the process stops before another attempt would end: that nothing has run only if nothing may
    /// have.
    pub fn stop(&self) -> Reason {
        if self.runs == 0 {
            Reason::Stopping
        } else {
            self.reason(true)
        }
    }

    fn reason(&self, left: bool) -> Reason {
        match (self.runs, left) {
            (0, true) => Reason::NotTaken(SOON),
            (0, false) => Reason::TooLate,
            (_, true) => Reason::AnswerLost,
            (_, false) => Reason::DeadlinePassed,
        }
    }
}

/// Arrivals of one request at endpoints, as the operators' budget of repeats counts them.
///
/// The first call that has the prompt read is free if an engine accepts it; one that an engine rejects or
/// fails counts like a run, and so does each further one. Of all that count the first is the request
/// itself, and the rest are repeats.
#[derive(Debug, Default)]
pub struct Arrivals {
    runs: AtomicU32,
    reads: AtomicU32,
    /// Whether the last read was accepted.
    accepted: AtomicBool,
}

impl Arrivals {
    /// Counts an arrival that is about to be. Says whether the budget allows it.
    pub fn begin(&self, job: &Job, phase: Phase) -> bool {
        let reads = self.reads.load(Ordering::Relaxed);
        let runs = self.runs.load(Ordering::Relaxed);
        let (repeat, count) = match phase {
            Phase::Read => (reads > 0, &self.reads),
            // a read that failed has arrived before it
            Phase::Run => {
                let failed_read = reads > 0 && !self.accepted.load(Ordering::Relaxed);
                (runs > 0 || failed_read, &self.runs)
            }
        };
        let allowed = !repeat || job.gateway.spend_repeat(&job.service.name, &job.ask.id);
        if allowed {
            count.fetch_add(1, Ordering::Relaxed);
        }
        allowed
    }

    /// Takes that an engine accepted to read the prompt.
    pub fn accepted(&self) {
        self.accepted.store(true, Ordering::Relaxed);
    }

    /// Takes that the last read failed. A first one was thought to be free, and is a repeat if a run has
    /// arrived before it.
    pub fn read_failed(&self, job: &Job) {
        self.accepted.store(false, Ordering::Relaxed);
        let first = self.reads.load(Ordering::Relaxed) == 1;
        if first && self.runs.load(Ordering::Relaxed) > 0 {
            job.gateway.force_repeat(&job.service.name, &job.ask.id);
        }
    }
}
