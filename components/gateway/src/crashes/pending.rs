//! Endpoints that may have crashed, or may only be out of reach. What was in flight there is kept until that is known. See
//! `docs/DESIGN.md#requests-that-end-endpoints`.

use std::{net::SocketAddr, sync::atomic::Ordering};

use clock::Instant;
use policy::suspect::{Crash, PENDING_TTL, Record, SignedMicros};

use super::{Crashes, InFlight, Source, State, Suspect};
use crate::{endpoint::Profile, request::Fingerprint};

/// Time within which an endpoint that has restarted is listed after it accepts connections, in microseconds: several times the
/// time that a change of the list takes to all gateways.
const SUCCESSOR_TIMEOUT_US: SignedMicros = 500_000;
/// Maximum number of endpoints that are remembered to have been reached after they may have crashed.
const MAX_REACHED: usize = 256;
/// Maximum number of endpoints that are remembered to have been unlisted.
const MAX_UNLISTED: usize = 256;

/// What is known of an endpoint that may have crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doubt {
    /// Nobody reaches it.
    Unreachable,
    /// Something accepts connections at its address, be it the endpoint or its successor.
    Reached,
}

/// The requests that were in flight at an endpoint that may have crashed.
#[derive(Clone, Debug)]
pub struct Pending {
    /// What the platform listed about the endpoint.
    pub profile: Profile,
    /// The requests.
    pub requests: Vec<InFlight>,
    endpoint: u32,
    at: SignedMicros,
    /// Since when this process can connect to its address again.
    connected_since: Option<SignedMicros>,
}

/// An endpoint that is no longer listed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Unlisted {
    endpoint: u32,
    address: SocketAddr,
    at: SignedMicros,
}

impl Crashes {
    /// Records that an endpoint is no longer listed. A successor at its address proves that it had crashed.
    pub fn record_unlisted(&self, profile: &Profile) {
        let now = self.moment();
        let mut state = self.state.lock();
        let is_old = |unlisted: &Unlisted| now - unlisted.at >= PENDING_TTL;
        while state.unlisted.front().is_some_and(is_old) || state.unlisted.len() >= MAX_UNLISTED {
            state.unlisted.pop_front();
        }
        state.unlisted.push_back(Unlisted {
            endpoint: profile.short_id(),
            address: profile.address,
            at: now,
        });
    }

    /// Returns the endpoints that may have crashed, as this process or its peers noticed.
    pub fn pending_endpoints(&self) -> Vec<u32> {
        if !self.any.load(Ordering::Relaxed) {
            return Vec::new();
        }
        self.state.lock().requests.pending_endpoints()
    }

    /// Whether an endpoint was listed at an address until a short time ago.
    pub fn was_listed_at(&self, endpoint: u32, address: SocketAddr) -> bool {
        let state = self.state.lock();
        let mut unlisted = state.unlisted.iter();
        unlisted.any(|other| other.endpoint == endpoint && other.address == address)
    }

    /// Records that an endpoint has certainly crashed, for the requests that this process or its peers suspect of it. The
    /// process that noticed may have stopped meanwhile.
    pub fn confirm(&self, endpoint: u32) {
        let mut state = self.state.lock();
        for (fingerprint, crash) in state.requests.pending_crashes(endpoint) {
            let suspect = Suspect::Request(Fingerprint::from(fingerprint));
            self.merge_into(&mut state, suspect, &Record::of_crash(crash), Source::List);
        }
    }

    /// Keeps the requests that were in flight at an endpoint until it is known whether it has crashed. If nobody reaches it,
    /// the crash counts for them for the time being.
    pub fn hold(&self, profile: &Profile, requests: Vec<InFlight>, doubt: Doubt) {
        if requests.is_empty() {
            return;
        }
        let (endpoint, now) = (profile.short_id(), self.moment());
        let mut state = self.state.lock();
        let index = state.find_pending(endpoint).unwrap_or_else(|index| {
            let pending = Pending {
                profile: profile.clone(),
                requests: Vec::new(),
                endpoint,
                at: now,
                connected_since: None,
            };
            state.pending.insert(index, pending);
            index
        });
        let at = state.pending[index].at;
        let crash = Record::of_pending(Crash { endpoint, at });
        for request in requests.iter().filter(|_| doubt == Doubt::Unreachable) {
            self.merge_own(&mut state, Suspect::Request(request.fingerprint), &crash);
        }
        state.pending[index].requests.extend(requests);
        self.any_pending.store(true, Ordering::Relaxed);
    }

    /// Returns the endpoints that may have crashed at whose address another one is listed, since `listed`.
    pub fn pending_before(&self, successor: &Profile, listed: Instant) -> Vec<Pending> {
        if !self.any_pending.load(Ordering::Relaxed) {
            return Vec::new();
        }
        let (endpoint, listed) = (successor.short_id(), self.moment_of(listed));
        let has_ended = |pending: &&Pending| {
            let is_successor = pending.endpoint != endpoint && pending.at < listed;
            is_successor && pending.profile.address == successor.address
        };
        let state = self.state.lock();
        state.pending.iter().filter(has_ended).cloned().collect()
    }

    /// Returns the requests that were in flight at an endpoint that may have crashed.
    pub fn pending_requests(&self, endpoint: u32) -> Vec<InFlight> {
        let state = self.state.lock();
        let index = state.find_pending(endpoint);
        index.map_or_else(
            |_| Vec::new(),
            |index| state.pending[index].requests.clone(),
        )
    }

    /// Records that an endpoint has answered a request that was sent at `sent`, so that it has not crashed before.
    pub fn record_alive(&self, endpoint: u32, sent: Instant) {
        if !self.any_pending.load(Ordering::Relaxed) {
            return;
        }
        let sent = self.moment_of(sent);
        let mut state = self.state.lock();
        match state.find_pending(endpoint) {
            Ok(index) if state.pending[index].at < sent => {
                log::info!(
                    endpoint = &*state.pending[index].profile.id.0;
                    "an endpoint that may have crashed has answered"
                );
                state.pending.remove(index);
                self.note_pending(&state);
                self.retract(&mut state, endpoint);
            }
            Ok(_) | Err(_) => {}
        }
    }

    /// Records which endpoints this process can connect to, of those that may have crashed. If one of them had crashed, its
    /// successor would be listed soon after it accepts connections, so that the crash no longer counts after some time
    /// without one.
    pub fn record_connected(&self, is_connected: impl Fn(u32) -> bool) {
        if !self.any_pending.load(Ordering::Relaxed) {
            return;
        }
        let now = self.moment();
        let mut state = self.state.lock();
        let mut reached = Vec::new();
        for pending in &mut state.pending {
            match pending.connected_since {
                _ if !is_connected(pending.endpoint) => pending.connected_since = None,
                None => pending.connected_since = Some(now),
                Some(since) if now - since >= SUCCESSOR_TIMEOUT_US => {
                    pending.connected_since = Some(now);
                    reached.push(pending.endpoint);
                }
                Some(_) => {}
            }
        }
        for endpoint in reached {
            self.retract(&mut state, endpoint);
        }
    }

    /// Merges that a peer reached an endpoint after it may have crashed.
    pub(super) fn apply_reached(&self, endpoint: u32, at: SignedMicros) {
        let mut state = self.state.lock();
        state.record_reached(Crash { endpoint, at });
    }

    /// Records that a crash of an endpoint that was not certain counts no longer, and reports it to the peers.
    fn retract(&self, state: &mut State, endpoint: u32) {
        let reached = Crash {
            endpoint,
            at: self.moment(),
        };
        if state.record_reached(reached) {
            log::info!(endpoint = format!("{endpoint:08x}"); "a crash that was not certain no longer counts");
            state.updates.add_reached(reached);
        }
    }

    /// Drops endpoints of which it has not become known in time whether they crashed, and returns them.
    pub fn drop_expired_pending(&self) -> Vec<Pending> {
        if !self.any_pending.load(Ordering::Relaxed) {
            return Vec::new();
        }
        let now = self.moment();
        let mut state = self.state.lock();
        let is_expired = |pending: &mut Pending| now - pending.at >= PENDING_TTL;
        let expired = state.pending.extract_if(.., is_expired).collect();
        self.note_pending(&state);
        expired
    }

    /// Takes what is kept of an endpoint that has certainly crashed, with the time of the crash, or now if nothing is kept.
    pub(super) fn take_pending(
        &self,
        state: &mut State,
        endpoint: u32,
    ) -> (SignedMicros, Vec<InFlight>) {
        let Ok(index) = state.find_pending(endpoint) else {
            return (self.moment(), Vec::new());
        };
        let pending = state.pending.remove(index);
        self.note_pending(state);
        (pending.at, pending.requests)
    }

    fn note_pending(&self, state: &State) {
        let any = !state.pending.is_empty();
        self.any_pending.store(any, Ordering::Relaxed);
    }
}

impl State {
    /// Whether an endpoint was reached after a crash that was not certain.
    pub(super) fn was_reached_after(&self, crash: &Crash) -> bool {
        let index = self.find_reached(crash.endpoint);
        index.is_ok_and(|index| crash.at <= self.reached[index].at)
    }

    /// Drops earlier crashes of an endpoint that were not certain. Returns whether any counted.
    fn record_reached(&mut self, reached: Crash) -> bool {
        match self.find_reached(reached.endpoint) {
            Ok(index) => self.reached[index].at = self.reached[index].at.max(reached.at),
            Err(_) if self.reached.len() >= MAX_REACHED => self.reached.clear(),
            Err(index) => self.reached.insert(index, reached),
        }
        self.requests.retract_pending(reached.endpoint, reached.at)
    }

    /// Drops endpoints that were reached so long ago that no earlier crash counts any more.
    pub(super) fn drop_old_reached(&mut self, now: SignedMicros) {
        self.reached
            .retain(|reached| now - reached.at < PENDING_TTL);
    }

    fn find_reached(&self, endpoint: u32) -> Result<usize, usize> {
        self.reached
            .binary_search_by_key(&endpoint, |reached| reached.endpoint)
    }

    fn find_pending(&self, endpoint: u32) -> Result<usize, usize> {
        self.pending
            .binary_search_by_key(&endpoint, |pending| pending.endpoint)
    }
}
