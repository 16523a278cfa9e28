//! Finds the prompt part that crashes each engine that writes an answer to it.
//!
//! Requests with such a part have nothing else in common, so none of them is in flight during enough crashes to be
//! withheld itself, see [`crate::suspect`]. Of the parts in flight during a crash at most one caused it, so the culprits
//! are the fewest parts that explain the crashes: each crash counts for one part only, and a part that merely accompanied
//! a culprit is left without any. See `docs/DESIGN.md#prompt-parts-that-crash-endpoints`.

use crate::suspect::{Crash, SignedMicros};

/// Number of crashes that a part must explain.
pub const MIN_CRASHES: usize = 4;
/// Number of different requests that must have been in flight in these crashes. A request that is resumed or repeated is
/// often in flight in two crashes in a row.
pub const MIN_REQUESTS: usize = 3;
/// Number of crashes from which on two requests suffice, as each of them may have caused several.
pub const MANY_CRASHES: usize = 5;
/// Number of moments at which endpoints must crash, with no answer in between, because of a part that was served lately.
pub const MIN_MOMENTS_IF_SERVED: usize = 5;
/// Endpoints that crash within this time, in microseconds, may have a common cause, such as their host.
pub const MOMENT: SignedMicros = 250_000;
/// How long an answer to a part speaks for it, in microseconds.
pub const SERVED_TTL: SignedMicros = 60 * SECOND;
/// A part crashes an engine soon after its first event, if at all: an answer that has been written for longer speaks for
/// its parts, in microseconds.
pub const ONSET: SignedMicros = SECOND;
/// How long a crash is remembered, in microseconds.
pub const CRASH_TTL: SignedMicros = 600 * SECOND;
/// Maximum number of remembered crashes, the latest ones.
pub const MAX_CRASHES: usize = 64;
/// Maximum number of requests of one crash, of about 80 bytes each.
pub const MAX_REQUESTS: usize = 96;
/// Maximum number of parts of one request that are considered.
pub const MAX_PARTS: usize = 16;
/// Maximum number of served parts that are remembered, of 16 bytes each.
pub const MAX_SERVED: usize = 4_096;

const SECOND: SignedMicros = 1_000_000;

/// A request that may have crashed an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Its fingerprint.
    pub fingerprint: u64,
    /// The keys of the parts of its prompt that other requests may have, in order.
    pub parts: Vec<u64>,
}

/// The requests that may have caused a crash.
#[derive(Clone, Debug)]
struct Case {
    crash: Crash,
    /// Sorted by fingerprint.
    requests: Vec<Request>,
}

/// A part that crashes engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Culprit {
    /// The key of the part.
    pub part: u64,
    /// The crashes that it explains, the oldest first.
    pub crashes: Vec<Crash>,
    /// Number of different requests with it that were in flight in these.
    pub requests: usize,
    /// Number of moments at which these happened.
    pub moments: usize,
}

/// What speaks against parts and for them.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// The oldest first.
    cases: Vec<Case>,
    /// The parts in flight during these crashes with the time of the last one, sorted by part.
    involved: Vec<(u64, SignedMicros)>,
    /// When each part was last served, sorted by part.
    served: Vec<(u64, SignedMicros)>,
}

/// A part in flight during unexplained crashes.
#[derive(Debug)]
struct Candidate {
    part: u64,
    /// Whether it was served a short time before these crashes.
    served_lately: bool,
    /// Indexes of the cases, sorted.
    cases: Vec<usize>,
    requests: usize,
    /// Its largest position in a prompt: parts later in a prompt are shared by fewer requests.
    depth: usize,
}

impl Evidence {
    /// Adds requests that were in flight during a crash, as one process observed it. Returns whether any of them is new.
    pub fn record_crash(&mut self, crash: Crash, requests: &[Request], now: SignedMicros) -> bool {
        self.cases.retain(|case| now - case.crash.at < CRASH_TTL);
        if now - crash.at >= CRASH_TTL {
            return false;
        }
        let endpoint = crash.endpoint;
        let found = self
            .cases
            .iter()
            .position(|case| case.crash.endpoint == endpoint);
        let mut case = match found {
            Some(index) => self.cases.remove(index),
            None => Case {
                crash,
                requests: Vec::new(),
            },
        };
        case.crash.at = case.crash.at.min(crash.at);
        let before = case.requests.len();
        for request in requests {
            case.add(request);
        }
        let is_new = case.requests.len() > before;
        let order = |case: &Case| (case.crash.at, case.crash.endpoint);
        let index = self
            .cases
            .partition_point(|other| order(other) < order(&case));
        self.cases.insert(index, case);
        let surplus = self.cases.len().saturating_sub(MAX_CRASHES);
        self.cases.drain(..surplus);
        self.involved = involved(&self.cases);
        is_new
    }

    /// Records that an engine wrote an answer to a part for longer than [`ONSET`], or to its end.
    pub fn record_served(&mut self, part: u64, at: SignedMicros) {
        match self.served.binary_search_by_key(&part, |(part, _)| *part) {
            Ok(index) => self.served[index].1 = self.served[index].1.max(at),
            Err(index) if self.served.len() < MAX_SERVED => self.served.insert(index, (part, at)),
            Err(_) => {
                self.evict_served(at);
                let index = self.served.partition_point(|(other, _)| *other < part);
                self.served.insert(index, (part, at));
            }
        }
    }

    /// Returns when a part was last served, if that is remembered.
    #[must_use]
    pub fn last_served(&self, part: u64) -> Option<SignedMicros> {
        let index = self.served.binary_search_by_key(&part, |(part, _)| *part);
        Some(self.served[index.ok()?].1)
    }

    /// Returns when the last crash was during which a part was in flight.
    #[must_use]
    pub fn last_crash(&self, part: u64) -> Option<SignedMicros> {
        let index = self.involved.binary_search_by_key(&part, |(part, _)| *part);
        Some(self.involved[index.ok()?].1)
    }

    /// Whether a part was served a short time before these crashes, of which the first one is the oldest.
    #[must_use]
    pub fn was_served_before(&self, part: u64, crashes: &[Crash]) -> bool {
        match (self.last_served(part), crashes.first()) {
            (Some(served), Some(first)) => first.at - served < SERVED_TTL,
            (None, _) | (_, None) => false,
        }
    }

    /// Returns the remembered crashes, the oldest first.
    pub fn crashes(&self) -> impl Iterator<Item = Crash> {
        self.cases.iter().map(|case| case.crash)
    }

    /// Returns the fewest parts that explain the crashes, as far as the evidence suffices; those that explain the most
    /// come first.
    #[must_use]
    pub fn culprits(&self) -> Vec<Culprit> {
        let mut unexplained = vec![true; self.cases.len()];
        let mut culprits = Vec::new();
        while let Some(culprit) = self.next_culprit(&unexplained) {
            for index in &culprit.cases {
                unexplained[*index] = false;
            }
            let crashes = culprit.cases.iter().map(|index| self.cases[*index].crash);
            culprits.push(Culprit {
                part: culprit.part,
                crashes: crashes.collect(),
                requests: culprit.requests,
                moments: self.count_moments(&culprit.cases),
            });
        }
        culprits
    }

    fn next_culprit(&self, unexplained: &[bool]) -> Option<Candidate> {
        let candidates = self.candidates(unexplained).into_iter();
        candidates
            .filter(|candidate| self.suffices(candidate))
            .max_by_key(Candidate::rank)
    }

    /// Returns the parts of the unexplained crashes, without the crashes before each was last served.
    fn candidates(&self, unexplained: &[bool]) -> Vec<Candidate> {
        let mut seen: Vec<(u64, usize, u64, usize)> = Vec::new();
        for (index, case) in self.cases.iter().enumerate() {
            if !unexplained[index] {
                continue;
            }
            for request in &case.requests {
                let parts = request.parts.iter().enumerate();
                seen.extend(parts.map(|(depth, part)| (*part, index, request.fingerprint, depth)));
            }
        }
        seen.sort_unstable();
        let by_part = seen.chunk_by(|(one, ..), (other, ..)| one == other);
        by_part.filter_map(|seen| self.candidate(seen)).collect()
    }

    /// Sums up where one part was seen: its key, the case, the fingerprint of the request, its depth.
    fn candidate(&self, seen: &[(u64, usize, u64, usize)]) -> Option<Candidate> {
        let part = seen.first()?.0;
        let last_served = self.last_served(part);
        let counts = |index: usize| last_served.is_none_or(|at| at < self.cases[index].crash.at);
        let counted = seen.iter().filter(|(_, index, ..)| counts(*index));
        let mut cases: Vec<usize> = counted.clone().map(|(_, index, ..)| *index).collect();
        cases.dedup();
        let first = self.cases[*cases.first()?].crash;
        let mut requests: Vec<u64> = counted.clone().map(|(.., request, _)| *request).collect();
        requests.sort_unstable();
        requests.dedup();
        Some(Candidate {
            part,
            served_lately: self.was_served_before(part, &[first]),
            cases,
            requests: requests.len(),
            depth: counted.map(|(.., depth)| *depth).max()?,
        })
    }

    fn suffices(&self, candidate: &Candidate) -> bool {
        let crashes = candidate.cases.len();
        match candidate {
            Candidate { served_lately, .. } if *served_lately => {
                candidate.requests >= MIN_REQUESTS
                    && self.count_moments(&candidate.cases) >= MIN_MOMENTS_IF_SERVED
            }
            Candidate { requests, .. } if crashes >= MANY_CRASHES => *requests > 1,
            Candidate { requests, .. } => crashes >= MIN_CRASHES && *requests >= MIN_REQUESTS,
        }
    }

    /// Counts the moments at which endpoints crashed; `cases` are in order of time.
    fn count_moments(&self, cases: &[usize]) -> usize {
        let mut moments = 0;
        let mut until = SignedMicros::MIN;
        for at in cases.iter().map(|index| self.cases[*index].crash.at) {
            if at >= until {
                moments += 1;
                until = at + MOMENT;
            }
        }
        moments
    }

    /// Forgets the parts that were served longest ago: those whose time is over, or else the oldest one.
    fn evict_served(&mut self, now: SignedMicros) {
        let oldest = self.served.iter().map(|(_, at)| *at).min().unwrap_or(now);
        let limit = (now - SERVED_TTL).max(oldest);
        self.served.retain(|(_, at)| *at > limit);
    }
}

/// Returns the parts in flight during crashes with the time of the last one, sorted by part.
fn involved(cases: &[Case]) -> Vec<(u64, SignedMicros)> {
    let mut involved: Vec<(u64, SignedMicros)> = Vec::new();
    for case in cases {
        let parts = case.requests.iter().flat_map(|request| &request.parts);
        involved.extend(parts.map(|part| (*part, case.crash.at)));
    }
    involved.sort_unstable_by_key(|(part, at)| (*part, std::cmp::Reverse(*at)));
    involved.dedup_by_key(|(part, _)| *part);
    involved
}

impl Case {
    fn add(&mut self, request: &Request) {
        let found = self
            .requests
            .binary_search_by_key(&request.fingerprint, |other| other.fingerprint);
        match found {
            Err(index) if self.requests.len() < MAX_REQUESTS => {
                let mut request = request.clone();
                request.parts.truncate(MAX_PARTS);
                self.requests.insert(index, request);
            }
            Ok(_) | Err(_) => {}
        }
    }
}

impl Candidate {
    /// A part that was not served lately comes before one that was.
    fn rank(&self) -> (bool, usize, usize, usize, u64) {
        (
            !self.served_lately,
            self.cases.len(),
            self.requests,
            self.depth,
            self.part,
        )
    }
}
