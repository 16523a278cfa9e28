//! What is sent to peers: reports of crashes, records of suspects, and parts that were served.

use std::time::Duration;

use clock::Instant;
use policy::{
    culprit,
    suspect::{Crash, Record, SignedMicros},
};

use super::{Crashes, State, Suspect};

/// How often records and reports are resent to peers: a datagram may be lost, and a peer may have just started or been
/// unreachable.
pub(super) const RESEND_INTERVAL: Duration = Duration::from_secs(1);
/// How long after its last crash or success a suspect with at most one crash is resent, in microseconds; those with more
/// crashes are resent as long as they are known.
const SINGLE_CRASH_RESEND_PERIOD_US: SignedMicros = 5_000_000;
/// How long a report of a crash is resent, in microseconds.
const REPORT_RESEND_PERIOD_US: SignedMicros = 3_000_000;
/// Maximum number of suspects that are queued to be resent at once, prompt parts first, then the most recent ones. One
/// digest contains at most 24 of them, so that a datagram fits into a packet; the rest waits for the next ones.
const MAX_RESENT: usize = 32;
/// Maximum number of requests in one report, for the same reason.
pub const MAX_REPORTED_REQUESTS: usize = 24;
/// Maximum number of parts whose last answer is remembered to be known to the peers.
const MAX_REPORTED_SERVED: usize = 4_096;

/// A crash as this process observed it.
#[derive(Clone, Debug)]
pub struct Report {
    /// The crash.
    pub crash: Crash,
    /// Requests that may have caused it, at most [`MAX_REPORTED_REQUESTS`].
    pub requests: Vec<culprit::Request>,
    /// When their parts were last served, as far as this process knew when the report was sent. A peer that has just
    /// started knows of no answer, and would take a part of many requests for the cause.
    pub served: Vec<(u64, SignedMicros)>,
}

/// What is to be sent to peers now.
#[derive(Clone, Debug, Default)]
pub struct Updates {
    /// Records of suspects, prompt parts first.
    pub records: Vec<(Suspect, Record)>,
    /// Crashes that this process observed.
    pub reports: Vec<Report>,
    /// Parts that were served, and when.
    pub served: Vec<(u64, SignedMicros)>,
    /// Endpoints that were reached after they may have crashed, and when.
    pub reached: Vec<Crash>,
}

/// What has to be sent to peers.
#[derive(Debug, Default)]
pub(super) struct Queue {
    updates: Updates,
    /// Reports that are resent for some time.
    recent_reports: Vec<Report>,
    /// When records and reports were last resent.
    resent_at: Option<Instant>,
    /// Parts with the last answer that the peers know of, sorted by part.
    served: Vec<(u64, SignedMicros)>,
}

impl Queue {
    pub(super) fn add_record(&mut self, suspect: Suspect, record: Record) {
        self.updates.records.push((suspect, record));
    }

    pub(super) fn add_reached(&mut self, reached: Crash) {
        self.updates.reached.push(reached);
    }

    /// Records that the peers know when a part was served.
    pub(super) fn mark_served(&mut self, part: u64, at: SignedMicros) {
        match self.served.binary_search_by_key(&part, |(part, _)| *part) {
            Ok(index) => self.served[index].1 = self.served[index].1.max(at),
            Err(_) if self.served.len() >= MAX_REPORTED_SERVED => self.served.clear(),
            Err(index) => self.served.insert(index, (part, at)),
        }
    }

    fn served_at(&self, part: u64) -> Option<SignedMicros> {
        let index = self.served.binary_search_by_key(&part, |(part, _)| *part);
        Some(self.served[index.ok()?].1)
    }
}

impl State {
    /// Queues a report of a crash.
    pub(super) fn report(&mut self, crash: Crash, requests: &[culprit::Request]) {
        let reports = requests
            .chunks(MAX_REPORTED_REQUESTS)
            .map(|requests| Report {
                crash,
                requests: requests.to_vec(),
                served: Vec::new(),
            });
        let reports: Vec<Report> = reports.collect();
        let queue = &mut self.updates;
        queue.updates.reports.extend_from_slice(&reports);
        queue.recent_reports.extend(reports);
    }

    /// Adds to reports when the parts in flight were last served.
    fn add_served(&mut self, reports: &mut [Report]) {
        for report in reports {
            let parts = report.requests.iter().flat_map(|request| &request.parts);
            let served = parts.filter_map(|part| Some((*part, self.evidence.last_served(*part)?)));
            report.served = served.collect();
            report.served.sort_unstable();
            report.served.dedup();
            for (part, at) in &report.served {
                self.updates.mark_served(*part, *at);
            }
        }
    }

    /// Queues that a part was served, if endpoints have crashed with it since the last time that the peers know of.
    pub(super) fn report_served(&mut self, part: u64, at: SignedMicros) {
        let Some(crash) = self.evidence.last_crash(part) else {
            return;
        };
        let queue = &mut self.updates;
        if queue.served_at(part).is_none_or(|known| known < crash) {
            queue.updates.served.push((part, at));
            queue.mark_served(part, at);
        }
    }
}

impl Crashes {
    /// Returns what is to be sent to peers now.
    pub fn take_updates(&self) -> Updates {
        let now = self.moment();
        let mut state = self.state.lock();
        let mut updates = std::mem::take(&mut state.updates.updates);
        let queue = &mut state.updates;
        let is_due = |resent_at: Instant| resent_at.elapsed() >= RESEND_INTERVAL;
        if queue.resent_at.is_none_or(is_due) {
            queue.resent_at = Some(Instant::now());
            let is_recent = |report: &Report| now - report.crash.at < REPORT_RESEND_PERIOD_US;
            queue.recent_reports.retain(is_recent);
            updates.reports.extend_from_slice(&queue.recent_reports);
            updates.records.extend(state.records_to_resend(now));
            state.drop_old_reached(now);
            updates.reached.extend_from_slice(&state.reached);
        }
        state.add_served(&mut updates.reports);
        updates
            .records
            .sort_by_key(|(suspect, _)| matches!(suspect, Suspect::Request(_)));
        updates
    }
}

impl State {
    fn records_to_resend(&self, now: SignedMicros) -> Vec<(Suspect, Record)> {
        let is_recent = |record: &Record| {
            record
                .last_update()
                .is_some_and(|last| now - last < SINGLE_CRASH_RESEND_PERIOD_US)
        };
        let mut records: Vec<(Suspect, Record)> = self
            .records()
            .filter(|(_, record)| record.crashes.len() > 1 || is_recent(record))
            .map(|(suspect, record)| (suspect, record.clone()))
            .collect();
        records.sort_by_key(|(suspect, record)| {
            let is_request = matches!(suspect, Suspect::Request(_));
            (is_request, std::cmp::Reverse(record.last_update()))
        });
        records.truncate(MAX_RESENT);
        records
    }
}
