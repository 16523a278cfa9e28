//! What speaks against requests and prompt parts, and for them.

use std::sync::atomic::Ordering;

use clock::Instant;
use policy::{
    culprit::{self, Culprit, ONSET},
    suspect::{Crash, Record, SignedMicros},
};

use super::{Crashes, InFlight, Source, State, Suspect};
use crate::request::Fingerprint;

const MICROS_PER_MILLI: SignedMicros = 1_000;

impl Crashes {
    /// Records what was in flight at an endpoint that crashed, as this process observed it, in addition to what has been held
    /// until that was known.
    pub fn record_crash(&self, endpoint: u32, in_flight: &[InFlight]) {
        let now = Instant::now();
        let mut state = self.state.lock();
        let (at, held) = self.take_pending(&mut state, endpoint);
        let in_flight: Vec<&InFlight> = in_flight.iter().chain(&held).collect();
        let crash = Crash { endpoint, at };
        for request in &in_flight {
            let record = Record::of_crash(crash);
            self.merge_own(&mut state, Suspect::Request(request.fingerprint), &record);
        }
        let just_begun = in_flight.iter().filter(|request| {
            let written = request.written_for(now).map(policy::micros);
            let written = written.map(|micros| SignedMicros::try_from(micros).unwrap_or(ONSET));
            !request.parts.is_empty() && written.is_none_or(|written| written < ONSET)
        });
        let requests = just_begun.map(|request| request.to_evidence());
        let requests: Vec<culprit::Request> = requests.collect();
        if requests.is_empty() {
            return;
        }
        state.report(crash, &requests);
        self.add_evidence(&mut state, crash, &requests, Source::Own);
    }

    /// Merges what a peer observed of a crash.
    pub(super) fn apply_crash(&self, crash: Crash, requests: &[culprit::Request], peer: &str) {
        let mut state = self.state.lock();
        self.add_evidence(&mut state, crash, requests, Source::Peer(peer));
    }

    fn add_evidence(
        &self,
        state: &mut State,
        crash: Crash,
        requests: &[culprit::Request],
        source: Source,
    ) {
        let now = self.moment();
        if !state.evidence.record_crash(crash, requests, now) {
            return;
        }
        self.any.store(true, Ordering::Relaxed);
        for culprit in state.evidence.culprits() {
            self.log_new(state, &culprit, source);
            let record = Record {
                crashes: culprit.crashes,
                ..Record::default()
            };
            self.merge_from(state, Suspect::Part(culprit.part), &record, source);
        }
        self.convict_again(state, crash, requests, source);
        self.withdraw_unfounded(state, source);
    }

    /// Logs which evidence suffices against a part that is not withheld yet.
    fn log_new(&self, state: &State, culprit: &Culprit, source: Source) {
        let is_known = |record: &Record| record.is_convicted();
        if state.parts.get(culprit.part).is_some_and(is_known) {
            return;
        }
        let now = self.moment();
        let age_ms = |at: SignedMicros| (now - at) / MICROS_PER_MILLI;
        let crashes = culprit.crashes.iter();
        let crashes = crashes.map(|crash| format!("{:08x}-{}", crash.endpoint, age_ms(crash.at)));
        let crashes: Vec<String> = crashes.collect();
        log::warn!(
            part = format!("{:x}", culprit.part), source:%, crashes_ms = crashes.join(" "), requests = culprit.requests,
            moments = culprit.moments, served_ms = state.evidence.last_served(culprit.part).map(age_ms), up_ms = age_ms(0);
            "the evidence against a prompt part suffices"
        );
    }

    /// Withholds a part again whose time is over, after one more crash.
    fn convict_again(
        &self,
        state: &mut State,
        crash: Crash,
        requests: &[culprit::Request],
        source: Source,
    ) {
        let record = Record::of_crash(crash);
        let mut parts: Vec<u64> = requests
            .iter()
            .flat_map(|request| request.parts.iter().copied())
            .filter(|part| state.parts.get(*part).is_some_and(Record::is_convicted))
            .collect();
        parts.sort_unstable();
        parts.dedup();
        for part in parts {
            self.merge_from(state, Suspect::Part(part), &record, source);
        }
    }

    /// Clears parts that were served a short time before their crashes, if others explain all of these now that more is
    /// known. Those that were not served stay withheld: two culprits may have been in flight during the same crashes.
    fn withdraw_unfounded(&self, state: &mut State, source: Source) {
        let culprits = state.evidence.culprits();
        let explained = culprits.iter().flat_map(|culprit| &culprit.crashes);
        state.explained = explained.map(|crash| crash.endpoint).collect();
        state.explained.sort_unstable();
        let is_explained = |crash: &Crash| state.explained.binary_search(&crash.endpoint).is_ok();
        let unfounded = |(part, record): &&(u64, Record)| {
            record.is_convicted()
                && state.evidence.was_served_before(*part, &record.crashes)
                && culprits.iter().all(|culprit| culprit.part != *part)
                && record.crashes.iter().all(is_explained)
        };
        let records = state.parts.records().iter();
        let unfounded: Vec<u64> = records.filter(unfounded).map(|(part, _)| *part).collect();
        let record = Record::of_answer(self.moment());
        for part in unfounded {
            log::info!(part = format!("{part:x}"); "other parts explain the crashes of a withheld prompt part");
            self.merge_from(state, Suspect::Part(part), &record, source);
        }
    }

    /// Records that a request was answered to its end, which clears it and the parts of its prompt of earlier crashes.
    pub fn record_served(&self, fingerprint: Fingerprint, parts: &[u64]) {
        if self.is_suspect(fingerprint) {
            let record = Record::of_answer(self.moment());
            let suspect = Suspect::Request(fingerprint);
            self.merge_own(&mut self.state.lock(), suspect, &record);
        }
        self.record_parts_served(parts);
    }

    /// Records that an engine has been writing an answer to a prompt for longer than it takes to crash, which clears the
    /// parts of the prompt.
    pub fn record_parts_served(&self, parts: &[u64]) {
        if parts.is_empty() {
            return;
        }
        let now = self.moment();
        let mut state = self.state.lock();
        for part in parts {
            state.evidence.record_served(*part, now);
            let record = Record::of_answer(now);
            let crashes = state.parts.get(*part).map(|record| &record.crashes);
            if crashes.is_some_and(|crashes| !crashes.is_empty()) {
                self.merge_own(&mut state, Suspect::Part(*part), &record);
            }
            state.report_served(*part, now);
        }
    }
}
