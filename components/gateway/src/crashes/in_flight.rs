//! The requests in flight at an endpoint: when the endpoint crashes, one of them may be the cause. See
//! `docs/DESIGN.md#requests-that-end-endpoints`.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use clock::Instant;

use policy::culprit;

use crate::request::Fingerprint;

/// How long an endpoint may go on with a cancelled request: an engine notices a cancellation with a delay.
const CANCELLED_TTL: Duration = Duration::from_secs(1);
/// How long a cancelled request is kept if its endpoint has answered nothing since it may have run it: a crash may be
/// noticed only when the endpoint is no longer listed.
const RETENTION: Duration = Duration::from_secs(10);
/// How long a request whose connection broke is kept: a crashed endpoint stays listed until several
/// of its heartbeats are missing.
const BROKEN_TTL: Duration = Duration::from_secs(6);
/// Maximum number of unanswered requests that are kept for an endpoint.
const MAX_UNANSWERED: usize = 256;

/// Why a request got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interruption {
    /// It was cancelled.
    Cancelled,
    /// Its connection broke.
    ConnectionBroken,
}

/// A request that an endpoint has not answered completely.
#[derive(Clone, Debug)]
pub struct InFlight {
    /// Identifies what it asks for.
    pub fingerprint: Fingerprint,
    /// The keys of the parts of its prompt that other requests may have, in order.
    pub parts: Arc<[u64]>,
    /// When its first event arrived.
    first_event: Option<Instant>,
    /// When its connection broke or it was cancelled.
    interrupted: Option<Instant>,
}

impl InFlight {
    /// Returns for how long its answer had been written when it was interrupted, or else until `now`; `None` without
    /// an event.
    #[must_use]
    pub fn written_for(&self, now: Instant) -> Option<Duration> {
        let until = self.interrupted.unwrap_or(now);
        Some(until.saturating_duration_since(self.first_event?))
    }
}

impl InFlight {
    /// Returns what policy needs to know of it.
    pub(super) fn to_evidence(&self) -> culprit::Request {
        let parts = self.parts.iter().copied().take(culprit::MAX_PARTS);
        culprit::Request {
            fingerprint: self.fingerprint.into(),
            parts: parts.collect(),
        }
    }
}

#[derive(Clone, Debug)]
struct Unanswered {
    request: InFlight,
    interruption: Interruption,
    at: Instant,
}

impl Unanswered {
    /// Whether it can't be the cause of a crash at `now`. An endpoint that answered others when it had certainly stopped to
    /// work on a cancelled request has outlasted it.
    fn is_expired(&self, now: Instant, last_answer: Option<Instant>) -> bool {
        let age = now.saturating_duration_since(self.at);
        match self.interruption {
            Interruption::Cancelled => {
                let outlasted = |answer| answer > self.at + CANCELLED_TTL;
                age > RETENTION || last_answer.is_some_and(outlasted)
            }
            Interruption::ConnectionBroken => age > BROKEN_TTL,
        }
    }
}

/// Requests in flight at an endpoint, and those that recently ended without an answer.
#[derive(Debug, Default)]
pub struct RequestTracker {
    in_flight: Vec<(u64, InFlight)>,
    /// Oldest first.
    unanswered: VecDeque<Unanswered>,
    /// Number of requests so far.
    total: u64,
    /// When the endpoint last sent a part of an answer.
    last_answer: Option<Instant>,
}

impl RequestTracker {
    /// Adds a request that is about to be sent, and returns its number here.
    pub fn insert(&mut self, fingerprint: Fingerprint, parts: &Arc<[u64]>) -> u64 {
        self.total += 1;
        let request = InFlight {
            fingerprint,
            parts: Arc::clone(parts),
            first_event: None,
            interrupted: None,
        };
        self.in_flight.push((self.total, request));
        self.total
    }

    /// Removes a request that was answered or did not run.
    pub fn remove(&mut self, number: u64) -> Option<InFlight> {
        let index = self.position(number)?;
        Some(self.in_flight.swap_remove(index).1)
    }

    /// Records that the endpoint has begun to write the answer.
    pub fn record_first_event(&mut self, number: u64) {
        if let Some(index) = self.position(number) {
            let request = &mut self.in_flight[index].1;
            request.first_event.get_or_insert_with(Instant::now);
        }
    }

    fn position(&self, number: u64) -> Option<usize> {
        self.in_flight
            .iter()
            .position(|(request, _)| *request == number)
    }

    /// Records that the endpoint sent a part of an answer.
    pub fn record_answer(&mut self) {
        self.last_answer = Some(Instant::now());
    }

    /// Records that a request got no answer. Returns `false` if it was no longer in flight.
    pub fn interrupt(&mut self, number: u64, interruption: Interruption) -> bool {
        let Some(mut request) = self.remove(number) else {
            return false;
        };
        let at = Instant::now();
        request.interrupted = Some(at);
        self.drop_expired(at);
        if self.unanswered.len() == MAX_UNANSWERED {
            self.unanswered.pop_front();
        }
        self.unanswered.push_back(Unanswered {
            request,
            interruption,
            at,
        });
        true
    }

    fn drop_expired(&mut self, now: Instant) {
        let last_answer = self.last_answer;
        self.unanswered
            .retain(|other| !other.is_expired(now, last_answer));
    }

    /// Whether a request that was left unanswered may be the cause of a crash.
    pub fn has_unanswered(&mut self, now: Instant) -> bool {
        self.drop_expired(now);
        !self.unanswered.is_empty()
    }

    /// Returns when the last request was left unanswered that may be the cause of a crash.
    pub fn last_interruption(&self) -> Option<Instant> {
        self.unanswered.back().map(|request| request.at)
    }

    /// Returns the fingerprints of the requests in flight and of those recently left unanswered, sorted.
    pub fn fingerprints(&mut self, now: Instant) -> Vec<Fingerprint> {
        self.drop_expired(now);
        let unanswered = self.unanswered.iter().map(|request| &request.request);
        let in_flight = self.in_flight.iter().map(|(_, request)| request);
        let all = unanswered.chain(in_flight);
        let mut fingerprints: Vec<Fingerprint> = all.map(|request| request.fingerprint).collect();
        fingerprints.sort_unstable();
        fingerprints.dedup();
        fingerprints
    }

    /// Takes all requests that may have caused a crash at `now`, sorted by fingerprint: those in
    /// flight and those recently left unanswered.
    pub fn take_all(&mut self, now: Instant) -> Vec<InFlight> {
        self.drop_expired(now);
        let unanswered = self.unanswered.drain(..).map(|request| request.request);
        let in_flight = self.in_flight.drain(..).map(|(_, request)| request);
        sorted(unanswered.chain(in_flight))
    }

    /// Takes the requests that were recently left unanswered.
    pub fn take_unanswered(&mut self, now: Instant) -> Vec<InFlight> {
        self.drop_expired(now);
        sorted(self.unanswered.drain(..).map(|request| request.request))
    }

    /// Discards the requests whose connections broke.
    pub fn forget_broken(&mut self) {
        self.unanswered
            .retain(|request| request.interruption != Interruption::ConnectionBroken);
    }

    /// Takes the requests whose connections recently broke, sorted by fingerprint.
    pub fn take_broken(&mut self, now: Instant) -> Vec<InFlight> {
        self.drop_expired(now);
        let (broken, others): (VecDeque<_>, VecDeque<_>) = self
            .unanswered
            .drain(..)
            .partition(|request| request.interruption == Interruption::ConnectionBroken);
        self.unanswered = others;
        sorted(broken.into_iter().map(|request| request.request))
    }

    /// Takes the requests that were recently left unanswered, and adds those in flight if the endpoint has answered nothing
    /// for longer than it goes on with cancelled ones.
    pub fn take_silent(&mut self, now: Instant) -> Vec<InFlight> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= CANCELLED_TTL;
        let is_silent = !self.last_answer.is_some_and(is_recent);
        let in_flight = self.in_flight.iter().filter(|_| is_silent);
        let in_flight: Vec<InFlight> = in_flight.map(|(_, request)| request.clone()).collect();
        sorted(self.take_unanswered(now).into_iter().chain(in_flight))
    }
}

fn sorted(requests: impl Iterator<Item = InFlight>) -> Vec<InFlight> {
    let mut requests: Vec<InFlight> = requests.collect();
    requests.sort_unstable_by_key(|request| (request.fingerprint, request.first_event));
    requests.dedup_by_key(|request| request.fingerprint);
    requests
}
