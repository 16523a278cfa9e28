//! Requests under way at an endpoint, by what they ask for: when it ends, one of them may have ended it. See
//! `docs/DESIGN.md#requests-that-end-endpoints`.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use clock::Instant;

use super::Target;
use crate::request::Fingerprint;

/// How long a request that was given up on may still be what ends its endpoint: an engine notices late that nobody
/// waits any more.
const LINGERS: Duration = Duration::from_secs(1);
/// How long a request whose connection broke is kept: an endpoint that ended is listed until several of its heartbeats
/// are missing.
const BROKEN: Duration = Duration::from_secs(6);
/// The most requests without an answer that are kept for an endpoint.
const MOST: usize = 256;

/// How a request was left without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Left {
    /// Nobody waits for it any more.
    GivenUp,
    /// Its connection broke.
    Broken,
}

#[derive(Clone, Copy, Debug)]
struct Unanswered {
    content: Fingerprint,
    left: Left,
    at: Instant,
}

impl Unanswered {
    fn is_old(&self, now: Instant) -> bool {
        let kept = match self.left {
            Left::GivenUp => LINGERS,
            Left::Broken => BROKEN,
        };
        now.duration_since(self.at) > kept
    }
}

/// Requests under way at an endpoint, and those that lately got no answer.
#[derive(Debug, Default)]
pub struct Runs {
    under_way: Vec<(u64, Fingerprint)>,
    /// The oldest first.
    unanswered: VecDeque<Unanswered>,
    /// Requests so far.
    count: u64,
}

impl Runs {
    fn begin(&mut self, content: Fingerprint) -> u64 {
        self.count += 1;
        self.under_way.push((self.count, content));
        self.count
    }

    fn end(&mut self, number: u64) -> Option<Fingerprint> {
        let at = self.under_way.iter().position(|(run, _)| *run == number)?;
        Some(self.under_way.swap_remove(at).1)
    }

    fn leave(&mut self, number: u64, left: Left) {
        let Some(content) = self.end(number) else {
            return;
        };
        let at = Instant::now();
        self.unanswered.retain(|other| !other.is_old(at));
        if self.unanswered.len() == MOST {
            self.unanswered.pop_front();
        }
        self.unanswered.push_back(Unanswered { content, left, at });
    }

    /// Takes what was under way when the endpoint ended just now, sorted.
    pub fn take(&mut self, now: Instant) -> Vec<Fingerprint> {
        let unanswered = self.unanswered.drain(..).filter(|run| !run.is_old(now));
        let under_way = self.under_way.drain(..).map(|(_, content)| content);
        sorted(unanswered.map(|run| run.content).chain(under_way))
    }

    /// Takes what the endpoint broke off lately, sorted.
    pub fn take_broken(&mut self, now: Instant) -> Vec<Fingerprint> {
        let broken = |run: &Unanswered| run.left == Left::Broken && !run.is_old(now);
        let unanswered = self.unanswered.drain(..).filter(broken);
        sorted(unanswered.map(|run| run.content))
    }
}

fn sorted(contents: impl Iterator<Item = Fingerprint>) -> Vec<Fingerprint> {
    let mut contents: Vec<Fingerprint> = contents.collect();
    contents.sort_unstable();
    contents.dedup();
    contents
}

/// A request under way at an endpoint. One that is dropped was given up on.
#[derive(Debug)]
pub struct Run {
    target: Arc<Target>,
    number: u64,
    suspect: bool,
}

impl Run {
    /// Notes a request that is about to be sent to an endpoint, and whether other endpoints have ended under it.
    #[must_use]
    pub fn new(target: &Arc<Target>, content: Fingerprint, suspect: bool) -> Self {
        target.begin(|own| own.suspects += u64::from(suspect));
        Self {
            target: Arc::clone(target),
            number: target.with(|state| state.runs.begin(content)),
            suspect,
        }
    }

    /// Notes that the endpoint gave a whole answer, or never began to work on it.
    pub fn answered(self) {
        self.target.with(|state| state.runs.end(self.number));
    }

    /// Notes that the connection broke.
    pub fn broke(self) {
        self.leave(Left::Broken);
    }

    fn leave(&self, left: Left) {
        self.target
            .with(|state| state.runs.leave(self.number, left));
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.leave(Left::GivenUp);
        self.target
            .with(|state| state.own.suspects -= u64::from(self.suspect));
    }
}
