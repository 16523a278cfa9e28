//! Which requests are withheld from all endpoints, and which one is let through once the time is over.

use std::{sync::atomic::Ordering, time::Duration};

use policy::suspect::SignedMicros;

use super::{Crashes, State, Suspect};
use crate::request::Fingerprint;

/// Once the time of a prompt part is over, the time after which one more gateway may let a request through, in
/// microseconds.
const PROBE_SLOT_US: SignedMicros = 10_000_000;
/// Interval between two requests that are let through, in microseconds: several times the time from a crash until all
/// gateways know of it.
const PROBE_INTERVAL_US: SignedMicros = 2_000_000;

/// Why a request is withheld from all endpoints, and for how much longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Withheld {
    /// What endpoints have crashed under.
    pub suspect: Suspect,
    /// Until a request may be let through.
    pub remaining: Duration,
}

/// A request with a prompt part whose time is over that was let through.
#[derive(Clone, Copy, Debug)]
pub(super) struct Probe {
    part: u64,
    fingerprint: Fingerprint,
    at: SignedMicros,
}

impl Crashes {
    /// Returns why a request is withheld from all endpoints; `None` if it may be sent. `rank` is the number of gateways
    /// that let requests through before this one.
    pub fn withheld(
        &self,
        fingerprint: Fingerprint,
        parts: &[u64],
        rank: impl Fn() -> usize,
    ) -> Option<Withheld> {
        if !self.any.load(Ordering::Relaxed) {
            return None;
        }
        let now = self.moment();
        let mut state = self.state.lock();
        if let Some(remaining) = state.request_withheld(fingerprint, now) {
            let suspect = Suspect::Request(fingerprint);
            return Some(Withheld { suspect, remaining });
        }
        parts.iter().find_map(|part| {
            let remaining = state.part_withheld(*part, fingerprint, now, &rank)?;
            let suspect = Suspect::Part(*part);
            Some(Withheld { suspect, remaining })
        })
    }

    /// Waits until a request is withheld.
    pub async fn until_withheld(
        &self,
        fingerprint: Fingerprint,
        parts: &[u64],
        rank: impl Fn() -> usize,
    ) {
        loop {
            let newly_withheld = self.newly_withheld.notified();
            if self.withheld(fingerprint, parts, &rank).is_some() {
                return;
            }
            newly_withheld.await;
        }
    }
}

impl State {
    fn request_withheld(&self, fingerprint: Fingerprint, now: SignedMicros) -> Option<Duration> {
        let record = self.requests.get(fingerprint.into())?;
        let crashes = record.crashes.iter().chain(&record.pending);
        let mut endpoints = crashes.map(|crash| crash.endpoint);
        if endpoints.any(|endpoint| self.explained.binary_search(&endpoint).is_ok()) {
            return None;
        }
        let remaining = record.remaining_withhold(now);
        duration(remaining.or_else(|| record.remaining_hold(now))?)
    }

    pub(super) fn part_withheld(
        &mut self,
        part: u64,
        fingerprint: Fingerprint,
        now: SignedMicros,
        rank: impl Fn() -> usize,
    ) -> Option<Duration> {
        let record = self
            .parts
            .get(part)
            .filter(|record| record.is_convicted())?;
        if let Some(remaining) = record.remaining_withhold(now) {
            return duration(remaining);
        }
        let turn = SignedMicros::try_from(rank()).unwrap_or(SignedMicros::MAX);
        let is_turn = record.over_for(now) / PROBE_SLOT_US >= turn;
        if is_turn && self.probe(part, fingerprint, now) {
            return None;
        }
        duration(PROBE_INTERVAL_US)
    }

    /// Whether a request may be let through; if so, no other one is for a while.
    fn probe(&mut self, part: u64, fingerprint: Fingerprint, now: SignedMicros) -> bool {
        self.probes
            .retain(|probe| now - probe.at < PROBE_INTERVAL_US);
        if let Some(probe) = self.probes.iter().find(|probe| probe.part == part) {
            return probe.fingerprint == fingerprint;
        }
        log::info!(part = format!("{part:x}"), content:% = fingerprint; "a request with a prompt part that was withheld is let through");
        self.probes.push(Probe {
            part,
            fingerprint,
            at: now,
        });
        true
    }
}

fn duration(micros: SignedMicros) -> Option<Duration> {
    u64::try_from(micros).ok().map(Duration::from_micros)
}
