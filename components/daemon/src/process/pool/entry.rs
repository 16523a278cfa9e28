//! One endpoint as this daemon sees it: own dispatches exactly, peers' a moment old, the
//! endpoint's own report older still.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use endpoint::engine::{CacheEvent, Report};
use policy::{
    Micros,
    estimate::BatchLatency,
    load::{self, Sources, TokensByClass},
    route,
};
use protocol::order;
use settings::tree::resolve;

use super::Need;
use crate::process::{gates::Id, members::Member};

/// How long an endpoint gets nothing after it was not reached.
const QUARANTINE: Duration = Duration::from_secs(1);
/// An engine whose report is older than this is not counted on.
const STALE: Duration = Duration::from_secs(3);
/// One-way delay to another data centre's endpoints, until it is measured.
const FAR: Micros = 2_000;
/// The most cache blocks that are remembered of an engine.
const BLOCKS: usize = 65_536;

/// An endpoint of a pool.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Its name.
    pub id: Id,
    /// What the settings say of it.
    pub endpoint: resolve::Endpoint,
    /// Its last report and when it came.
    pub report: Option<(Report, Instant)>,
    /// Whether the VM list says that it leaves.
    pub leaving: bool,
    /// Its speed, as learnt.
    pub rates: BatchLatency,
    /// Prompt tokens that this daemon sent and that are not read yet.
    pub reading: TokensByClass,
    /// This daemon's requests that write there.
    pub writing: u64,
    /// Prompt tokens ever sent by this daemon.
    pub sent: u64,
    /// Tokens ever written to this daemon's callers from there.
    pub written: u64,
    local: bool,
    /// Whether it reports its load; a plain service doesn't.
    reports: bool,
    since: Instant,
    quarantined: Option<Instant>,
    peers_reading: TokensByClass,
    peers_writing: u64,
    /// Blocks that its prefix cache likely holds, sorted.
    blocks: Vec<u64>,
    /// The last cache event that was taken.
    sequence: u64,
}

impl Entry {
    /// An endpoint that nothing is known of yet.
    pub fn new(endpoint: &resolve::Endpoint, data_centre: &str, reports: bool) -> Self {
        Self {
            id: Id {
                data_centre: Arc::from(endpoint.data_centre.as_str()),
                number: endpoint.number,
            },
            local: endpoint.data_centre == data_centre,
            endpoint: endpoint.clone(),
            reports,
            report: None,
            leaving: false,
            rates: BatchLatency::default(),
            reading: TokensByClass::default(),
            writing: 0,
            sent: 0,
            written: 0,
            since: Instant::now(),
            quarantined: None,
            peers_reading: TokensByClass::default(),
            peers_writing: 0,
            blocks: Vec::new(),
            sequence: 0,
        }
    }

    /// Takes what a new settings version says of it. An endpoint at another address is another one.
    pub fn update(&mut self, endpoint: &resolve::Endpoint) -> bool {
        let same = self.endpoint.address == endpoint.address;
        self.endpoint = endpoint.clone();
        same
    }

    /// Whether it takes new work at all.
    pub fn takes(&self) -> bool {
        !self.endpoint.drain
            && !self.leaving
            && self.quarantined.is_none_or(|until| until < Instant::now())
            && self.answers()
    }

    /// Whether it takes a request.
    pub fn serves(&self, need: &Need) -> bool {
        let (model, adapter, version) = &need.weights;
        let holds = self.report.as_ref().map(|(report, _)| &report.holds);
        // an engine that names no model holds whatever it is asked for
        let loaded = holds.is_none_or(|holds| {
            holds.model.is_empty()
                || (holds.model == *model && holds.adapter == *adapter && holds.version == *version)
        });
        self.takes() && loaded
    }

    fn answers(&self) -> bool {
        match &self.report {
            _ if !self.reports => true,
            Some((report, at)) => !report.changing && at.elapsed() < STALE,
            // not asked yet; a failed try will tell
            None => self.since.elapsed() < STALE,
        }
    }

    /// Its role, as last reported.
    pub fn role(&self) -> order::Role {
        self.report
            .as_ref()
            .map(|(report, _)| report.holds.role)
            .unwrap_or_default()
    }

    /// It as routing sees it for a request.
    pub fn seen(&self, need: &Need) -> route::Engine {
        let held = need
            .blocks
            .iter()
            .take_while(|block| self.blocks.binary_search(block).is_ok())
            .count();
        let tokens = held * endpoint::engine::prefix::BLOCK_TOKENS;
        route::Engine {
            cached_tokens: u64::try_from(tokens).unwrap_or(0),
            ..self.bare(need.priority)
        }
    }

    /// It as routing sees it for any request of a priority.
    pub fn bare(&self, priority: u8) -> route::Engine {
        let told = self.report.as_ref().map(|(report, at)| {
            (
                report.waiting_prompt_tokens,
                report.writing,
                micros(at.elapsed()),
            )
        });
        let sources = Sources {
            own: (self.reading, self.writing),
            peers: (self.peers_reading, self.peers_writing),
            reported: told,
        };
        let out = load::estimate(&sources, &self.rates, load::priority_class(priority));
        route::Engine {
            role: match self.role() {
                order::Role::Prefill => route::Role::Prefill,
                order::Role::Decode => route::Role::Decode,
                order::Role::Mixed => route::Role::Mixed,
            },
            prefill_tokens_ahead: out.prefill_tokens_ahead,
            prefill_tokens: out.prefill_tokens,
            decode_requests: out.decode_requests,
            cached_tokens: 0,
            one_way_delay: if self.local { 0 } else { FAR },
            latency: self.rates,
        }
    }

    /// Takes a report. Says whether the endpoint was away before.
    pub fn reported(&mut self, report: Report) -> bool {
        let away = !self.answers();
        let booted = self
            .report
            .as_ref()
            .is_some_and(|(old, _)| old.boot != report.boot || old.holds != report.holds);
        if booted {
            // its cache is empty
            self.blocks.clear();
            self.sequence = 0;
        }
        self.report = Some((report, Instant::now()));
        away
    }

    /// Takes cache events; they are hints, and gaps only cost quality.
    pub fn cache_events(&mut self, events: &[CacheEvent]) {
        for event in events {
            self.sequence = self.sequence.max(event.sequence);
            match (self.blocks.binary_search(&event.block), event.held) {
                (Err(at), true) if self.blocks.len() < BLOCKS => {
                    self.blocks.insert(at, event.block);
                }
                (Ok(at), false) => {
                    self.blocks.remove(at);
                }
                _ => {}
            }
        }
    }

    /// Notes that a prompt was read there, so that its blocks are likely held.
    pub fn read(&mut self, blocks: &[u64]) {
        for block in blocks {
            if let Err(at) = self.blocks.binary_search(block)
                && self.blocks.len() < BLOCKS
            {
                self.blocks.insert(at, *block);
            }
        }
    }

    /// The last cache event taken, and whether the report tells of later ones.
    pub fn cache_behind(&self) -> Option<u64> {
        let (report, _) = self.report.as_ref()?;
        (report.cache_sequence > self.sequence).then_some(self.sequence)
    }

    /// Keeps it from new work for a moment, after it was not reached or refused.
    pub fn failed(&mut self) {
        self.quarantined = Some(Instant::now() + QUARANTINE);
    }

    /// Takes what live peers have dispatched to it.
    pub fn peers(&mut self, live: &[Member]) {
        let loads = live.iter().flat_map(|member| &member.loads).filter(|load| {
            load.endpoint == self.id.number && *load.data_centre == *self.id.data_centre
        });
        self.peers_reading = TokensByClass::default();
        self.peers_writing = 0;
        for load in loads {
            for (sum, reading) in self.peers_reading.iter_mut().zip(&load.reading) {
                *sum += reading;
            }
            self.peers_writing += u64::from(load.in_flight);
        }
    }

    /// What this daemon tells its peers of its dispatches to it.
    pub fn load(&self) -> wire::Load {
        wire::Load {
            endpoint: self.id.number,
            data_centre: self.id.data_centre.to_string(),
            sent_prompt_tokens: self.sent,
            reading: self.reading.to_vec(),
            in_flight: u32::try_from(self.writing).unwrap_or(u32::MAX),
            written_tokens: self.written,
        }
    }
}

fn micros(time: Duration) -> Micros {
    Micros::try_from(time.as_micros()).unwrap_or(Micros::MAX)
}
