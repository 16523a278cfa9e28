//! Crashes, suspects and served parts as peers exchange them.

use policy::{
    culprit,
    suspect::{Crash, Record, SignedMicros},
};
use wire::{CrashReport, Digest, EndpointEnd, InFlightRequest, ServedPart};

use super::{Crashes, MAX_REPORTED_REQUESTS, Source, Suspect, Updates, updates::Report};
use crate::request::Fingerprint;

const MICROS_PER_MILLI: SignedMicros = 1_000;

/// Maximum number of suspects in one digest, so that a datagram usually fits into a packet or two.
const MAX_SUSPECTS_PER_DIGEST: usize = 24;
/// Maximum number of served parts in one digest, for the same reason.
const MAX_SERVED_PER_DIGEST: usize = 24;

/// Maximum number of endpoints in one digest that were reached, for the same reason.
const MAX_REACHED_PER_DIGEST: usize = 24;

/// Encoded updates that wait for a digest.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    /// Records of suspects, prompt parts first.
    pub suspects: Vec<wire::Suspect>,
    /// Crashes that this process observed.
    pub reports: Vec<CrashReport>,
    /// Parts that were served.
    pub served: Vec<ServedPart>,
    /// Endpoints that were reached after they may have crashed.
    pub reached: Vec<EndpointEnd>,
}

impl Backlog {
    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
            && self.reports.is_empty()
            && self.served.is_empty()
            && self.reached.is_empty()
    }

    /// Adds updates. Prompt parts overtake requests.
    pub fn append(&mut self, updates: &Self) {
        self.suspects.extend_from_slice(&updates.suspects);
        self.suspects.sort_by_key(|suspect| !suspect.part);
        self.reports.extend_from_slice(&updates.reports);
        self.served.extend_from_slice(&updates.served);
        self.reached.extend_from_slice(&updates.reached);
    }

    /// Takes what fits into one digest.
    pub fn take_some(&mut self) -> Self {
        let suspects = self.suspects.len().min(MAX_SUSPECTS_PER_DIGEST);
        let served = self.served.len().min(MAX_SERVED_PER_DIGEST);
        let reached = self.reached.len().min(MAX_REACHED_PER_DIGEST);
        let mut requests = 0;
        let fits = |report: &&CrashReport| {
            requests += report.requests.len();
            requests <= MAX_REPORTED_REQUESTS
        };
        let reports = self.reports.iter().take_while(fits).count();
        Self {
            suspects: self.suspects.drain(..suspects).collect(),
            reports: self.reports.drain(..reports).collect(),
            served: self.served.drain(..served).collect(),
            reached: self.reached.drain(..reached).collect(),
        }
    }
}

impl Crashes {
    /// Returns what is to be sent to peers now.
    pub fn take_encoded_updates(&self) -> Backlog {
        let updates = self.take_updates();
        let now = self.moment();
        let Updates {
            records,
            reports,
            served,
            reached,
        } = updates;
        let suspects = records.iter();
        Backlog {
            suspects: suspects
                .map(|(suspect, record)| encode_suspect(*suspect, record, now))
                .collect(),
            reports: reports
                .iter()
                .map(|report| encode_report(report, now))
                .collect(),
            served: encode_served(&served, now),
            reached: encode_crashes(&reached, now),
        }
    }

    /// Merges what a peer sent. Answers come first, as they speak for parts that are also in the reports.
    pub fn apply(&self, digest: &Digest) {
        let now = self.moment();
        let at = |ago_ms: u32| now - SignedMicros::from(ago_ms) * MICROS_PER_MILLI;
        let in_reports = digest.crashes.iter().flat_map(|report| &report.served);
        for served in digest.served_parts.iter().chain(in_reports) {
            self.apply_served(served.part, at(served.ago_ms));
        }
        for report in &digest.crashes {
            let crash = Crash {
                endpoint: report.endpoint,
                at: at(report.ago_ms),
            };
            let requests = report.requests.iter().map(|request| culprit::Request {
                fingerprint: request.content,
                parts: request.parts.clone(),
            });
            let requests: Vec<culprit::Request> = requests.collect();
            self.apply_crash(crash, &requests, &digest.name);
        }
        for reached in &digest.reached {
            self.apply_reached(reached.endpoint, at(reached.ago_ms));
        }
        for received in &digest.suspects {
            let suspect = if received.part {
                Suspect::Part(received.content)
            } else {
                Suspect::Request(Fingerprint::from(received.content))
            };
            self.merge(
                suspect,
                &decode_record(received, at),
                Source::Peer(&digest.name),
            );
        }
    }

    fn apply_served(&self, part: u64, at: SignedMicros) {
        let mut state = self.state.lock();
        state.evidence.record_served(part, at);
        state.updates.mark_served(part, at);
    }
}

fn encode_suspect(suspect: Suspect, record: &Record, now: SignedMicros) -> wire::Suspect {
    let (content, part) = match suspect {
        Suspect::Request(fingerprint) => (fingerprint.into(), false),
        Suspect::Part(part) => (part, true),
    };
    wire::Suspect {
        content,
        ends: encode_crashes(&record.crashes, now),
        pending: encode_crashes(&record.pending, now),
        served_ms: record.last_served.map_or(0, |served| age_ms(served, now)),
        part,
    }
}

fn encode_crashes(crashes: &[Crash], now: SignedMicros) -> Vec<EndpointEnd> {
    let crashes = crashes.iter().map(|crash| EndpointEnd {
        endpoint: crash.endpoint,
        ago_ms: age_ms(crash.at, now),
    });
    crashes.collect()
}

fn encode_report(report: &Report, now: SignedMicros) -> CrashReport {
    let requests = report.requests.iter().map(|request| InFlightRequest {
        content: request.fingerprint,
        parts: request.parts.clone(),
    });
    CrashReport {
        endpoint: report.crash.endpoint,
        ago_ms: age_ms(report.crash.at, now),
        requests: requests.collect(),
        served: encode_served(&report.served, now),
    }
}

fn encode_served(served: &[(u64, SignedMicros)], now: SignedMicros) -> Vec<ServedPart> {
    let served = served.iter().map(|(part, at)| ServedPart {
        part: *part,
        ago_ms: age_ms(*at, now),
    });
    served.collect()
}

fn decode_record(received: &wire::Suspect, at: impl Fn(u32) -> SignedMicros) -> Record {
    let decode = |ends: &[EndpointEnd]| {
        let crashes = ends.iter().map(|crash| Crash {
            endpoint: crash.endpoint,
            at: at(crash.ago_ms),
        });
        let mut crashes: Vec<Crash> = crashes.collect();
        crashes.sort_unstable_by_key(|crash| crash.at);
        crashes
    };
    Record {
        crashes: decode(&received.ends),
        pending: decode(&received.pending),
        last_served: (received.served_ms > 0).then(|| at(received.served_ms)),
    }
}

/// Returns the age of `at` in milliseconds: at least 1, since 0 stands for "never".
fn age_ms(at: SignedMicros, now: SignedMicros) -> u32 {
    u32::try_from((now - at) / MICROS_PER_MILLI)
        .unwrap_or(u32::MAX)
        .max(1)
}
