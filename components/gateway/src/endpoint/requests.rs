//! Requests under way at an endpoint, by what they ask for: when it ends, one of them may have ended it. See
//! `docs/DESIGN.md#requests-that-end-endpoints`.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use clock::Instant;

use super::Target;
use crate::request::Fingerprint;

/// How long a request that was given up on may still be what ends its endpoint: an engine notices late that nobody
/// waits any more.
const CANCELLED_TTL: Duration = Duration::from_secs(1);
/// How long a request whose connection broke is kept: an endpoint that ended is listed until several of its heartbeats
/// are missing.
const BROKEN_TTL: Duration = Duration::from_secs(6);
/// The most requests without an answer that are kept for an endpoint.
const MAX_UNANSWERED: usize = 256;

/// How a request was left without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Interruption {
    /// Nobody waits for it any more.
    Cancelled,
    /// Its connection broke.
    ConnectionBroken,
}

#[derive(Clone, Copy, Debug)]
struct Unanswered {
    fingerprint: Fingerprint,
    interruption: Interruption,
    at: Instant,
}

impl Unanswered {
    fn is_expired(&self, now: Instant) -> bool {
        let ttl = match self.interruption {
            Interruption::Cancelled => CANCELLED_TTL,
            Interruption::ConnectionBroken => BROKEN_TTL,
        };
        now.duration_since(self.at) > ttl
    }
}

/// Requests under way at an endpoint, and those that lately got no answer.
#[derive(Debug, Default)]
pub struct RequestTracker {
    in_flight: Vec<(u64, Fingerprint)>,
    /// The oldest first.
    unanswered: VecDeque<Unanswered>,
    /// Requests so far.
    total: u64,
}

impl RequestTracker {
    fn insert(&mut self, fingerprint: Fingerprint) -> u64 {
        self.total += 1;
        self.in_flight.push((self.total, fingerprint));
        self.total
    }

    fn remove(&mut self, number: u64) -> Option<Fingerprint> {
        let at = self
            .in_flight
            .iter()
            .position(|(request, _)| *request == number)?;
        Some(self.in_flight.swap_remove(at).1)
    }

    fn interrupt(&mut self, number: u64, interruption: Interruption) {
        let Some(fingerprint) = self.remove(number) else {
            return;
        };
        let at = Instant::now();
        self.unanswered.retain(|other| !other.is_expired(at));
        if self.unanswered.len() == MAX_UNANSWERED {
            self.unanswered.pop_front();
        }
        self.unanswered.push_back(Unanswered {
            fingerprint,
            interruption,
            at,
        });
    }

    /// Takes what was under way when the endpoint ended just now, sorted.
    pub fn take_all(&mut self, now: Instant) -> Vec<Fingerprint> {
        let unanswered = self
            .unanswered
            .drain(..)
            .filter(|request| !request.is_expired(now));
        let in_flight = self.in_flight.drain(..).map(|(_, fingerprint)| fingerprint);
        sorted(
            unanswered
                .map(|request| request.fingerprint)
                .chain(in_flight),
        )
    }

    /// Takes what the endpoint broke off lately, sorted.
    pub fn take_broken(&mut self, now: Instant) -> Vec<Fingerprint> {
        let broken = |request: &Unanswered| {
            request.interruption == Interruption::ConnectionBroken && !request.is_expired(now)
        };
        let unanswered = self.unanswered.drain(..).filter(broken);
        sorted(unanswered.map(|request| request.fingerprint))
    }
}

fn sorted(fingerprints: impl Iterator<Item = Fingerprint>) -> Vec<Fingerprint> {
    let mut fingerprints: Vec<Fingerprint> = fingerprints.collect();
    fingerprints.sort_unstable();
    fingerprints.dedup();
    fingerprints
}

/// A request under way at an endpoint. One that is dropped was given up on.
#[derive(Debug)]
pub struct RequestGuard {
    target: Arc<Target>,
    number: u64,
    suspect: bool,
}

impl RequestGuard {
    /// Notes a request that is about to be sent to an endpoint, and whether other endpoints have ended under it.
    #[must_use]
    pub fn new(target: &Arc<Target>, fingerprint: Fingerprint, suspect: bool) -> Self {
        target.add_load(|load| load.suspects += u64::from(suspect));
        Self {
            target: Arc::clone(target),
            number: target.with(|state| state.requests.insert(fingerprint)),
            suspect,
        }
    }

    /// Notes that the endpoint gave a whole answer, or never began to work on it.
    pub fn finish(self) {
        self.target.with(|state| state.requests.remove(self.number));
    }

    /// Notes that the connection broke.
    pub fn connection_broke(self) {
        self.interrupt(Interruption::ConnectionBroken);
    }

    fn interrupt(&self, interruption: Interruption) {
        self.target
            .with(|state| state.requests.interrupt(self.number, interruption));
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.interrupt(Interruption::Cancelled);
        self.target
            .with(|state| state.own_load.suspects -= u64::from(self.suspect));
    }
}
