//! The state of one endpoint. This daemon's own dispatches are exact, those of its peers are as old as
//! their last heartbeats, and the endpoint's own report may be older.

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

use super::Requirements;
use crate::process::{gates::Id, members::Member};

/// How long an endpoint gets no new requests after a failed call.
const QUARANTINE_DURATION: Duration = Duration::from_secs(1);
/// Maximum age of an engine's report; with an older one the engine counts as unavailable.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);
/// Assumed one-way delay to endpoints in remote data centres.
const REMOTE_ONE_WAY_DELAY_US: Micros = 2_000;
/// Maximum number of cache blocks that are remembered per engine.
const MAX_CACHED_BLOCKS: usize = 65_536;

#[derive(Clone, Debug)]
pub struct Entry {
    pub id: Id,
    /// The endpoint as the settings describe it.
    pub endpoint: resolve::Endpoint,
    /// The last report and when it was received.
    pub report: Option<(Report, Instant)>,
    /// Whether the VM list says that the endpoint is leaving.
    pub leaving: bool,
    /// Its latency, learnt from responses.
    pub latency: BatchLatency,
    /// Prompt tokens sent by this daemon that the endpoint has not prefilled yet, by priority class.
    pub prefill_tokens: TokensByClass,
    /// Requests of this daemon that decode there, or will once their prompt is prefilled.
    pub decode_requests: u64,
    /// Total prompt tokens sent by this daemon.
    pub sent_prompt_tokens: u64,
    /// Total tokens decoded there for callers of this daemon.
    pub decoded_tokens: u64,
    local: bool,
    /// Whether the endpoint reports its load; a plain service does not.
    has_reports: bool,
    added: Instant,
    quarantined_until: Option<Instant>,
    peer_prefill_tokens: TokensByClass,
    peer_decode_requests: u64,
    /// Blocks that the endpoint's prefix cache probably holds, sorted.
    cached_blocks: Vec<u64>,
    /// Sequence number of the last cache event that was applied.
    cache_sequence: u64,
}

impl Entry {
    /// Creates an endpoint without any report or dispatch yet.
    pub fn new(endpoint: &resolve::Endpoint, data_centre: &str, has_reports: bool) -> Self {
        Self {
            id: Id {
                data_centre: Arc::from(endpoint.data_centre.as_str()),
                number: endpoint.number,
            },
            local: endpoint.data_centre == data_centre,
            endpoint: endpoint.clone(),
            has_reports,
            report: None,
            leaving: false,
            latency: BatchLatency::default(),
            prefill_tokens: TokensByClass::default(),
            decode_requests: 0,
            sent_prompt_tokens: 0,
            decoded_tokens: 0,
            added: Instant::now(),
            quarantined_until: None,
            peer_prefill_tokens: TokensByClass::default(),
            peer_decode_requests: 0,
            cached_blocks: Vec::new(),
            cache_sequence: 0,
        }
    }

    /// Applies a new settings version. Returns `false` if the address has changed, because that is a
    /// different endpoint.
    pub fn update(&mut self, endpoint: &resolve::Endpoint) -> bool {
        let same = self.endpoint.address == endpoint.address;
        self.endpoint = endpoint.clone();
        same
    }

    /// Whether the endpoint accepts new requests.
    pub fn accepts_requests(&self) -> bool {
        !self.endpoint.drain
            && !self.leaving
            && self
                .quarantined_until
                .is_none_or(|until| until < Instant::now())
            && self.is_available()
    }

    /// Whether the endpoint accepts a request with the given requirements.
    pub fn can_serve(&self, requirements: &Requirements) -> bool {
        let (model, adapter, version) = &requirements.model;
        let holds = self.report.as_ref().map(|(report, _)| &report.holds);
        // an engine that reports no model serves any model
        let holds_model = holds.is_none_or(|holds| {
            holds.model.is_empty()
                || (holds.model == *model && holds.adapter == *adapter && holds.version == *version)
        });
        self.accepts_requests() && holds_model
    }

    fn is_available(&self) -> bool {
        match &self.report {
            _ if !self.has_reports => true,
            Some((report, at)) => !report.changing && at.elapsed() < MAX_REPORT_AGE,
            // no report was received yet; if the endpoint is unreachable, an attempt will show it
            None => self.added.elapsed() < MAX_REPORT_AGE,
        }
    }

    /// Returns the role that the endpoint last reported.
    pub fn role(&self) -> order::Role {
        self.report
            .as_ref()
            .map(|(report, _)| report.holds.role)
            .unwrap_or_default()
    }

    /// Returns the input for the routing policy, for a given request.
    pub fn to_engine_for(&self, requirements: &Requirements) -> route::Engine {
        let cached = requirements
            .blocks
            .iter()
            .take_while(|block| self.cached_blocks.binary_search(block).is_ok())
            .count();
        let tokens = cached * endpoint::engine::prefix::BLOCK_TOKENS;
        route::Engine {
            cached_tokens: u64::try_from(tokens).unwrap_or(0),
            ..self.to_engine(requirements.priority)
        }
    }

    /// Returns the input for the routing policy, for any request of a priority: without cached tokens.
    pub fn to_engine(&self, priority: u8) -> route::Engine {
        let reported = self.report.as_ref().map(|(report, at)| {
            (
                report.waiting_prompt_tokens,
                report.writing,
                micros(at.elapsed()),
            )
        });
        let sources = Sources {
            own: (self.prefill_tokens, self.decode_requests),
            peers: (self.peer_prefill_tokens, self.peer_decode_requests),
            reported,
        };
        let outstanding = load::estimate(&sources, &self.latency, load::priority_class(priority));
        route::Engine {
            role: match self.role() {
                order::Role::Prefill => route::Role::Prefill,
                order::Role::Decode => route::Role::Decode,
                order::Role::Mixed => route::Role::Mixed,
            },
            prefill_tokens_ahead: outstanding.prefill_tokens_ahead,
            prefill_tokens: outstanding.prefill_tokens,
            decode_requests: outstanding.decode_requests,
            cached_tokens: 0,
            one_way_delay: if self.local {
                0
            } else {
                REMOTE_ONE_WAY_DELAY_US
            },
            latency: self.latency,
        }
    }

    /// Records a report. Returns whether the endpoint was unavailable before.
    pub fn record_report(&mut self, report: Report) -> bool {
        let was_unavailable = !self.is_available();
        let cache_lost = self
            .report
            .as_ref()
            .is_some_and(|(old, _)| old.boot != report.boot || old.holds != report.holds);
        if cache_lost {
            // a restarted or changed engine has an empty cache
            self.cached_blocks.clear();
            self.cache_sequence = 0;
        }
        self.report = Some((report, Instant::now()));
        was_unavailable
    }

    /// Applies cache events. They are hints: a missing one only makes routing less accurate.
    pub fn apply_cache_events(&mut self, events: &[CacheEvent]) {
        for event in events {
            self.cache_sequence = self.cache_sequence.max(event.sequence);
            match (self.cached_blocks.binary_search(&event.block), event.held) {
                (Err(at), true) if self.cached_blocks.len() < MAX_CACHED_BLOCKS => {
                    self.cached_blocks.insert(at, event.block);
                }
                (Ok(at), false) => {
                    self.cached_blocks.remove(at);
                }
                _ => {}
            }
        }
    }

    /// Records that a prompt was prefilled, so that its blocks are probably cached.
    pub fn record_prefill(&mut self, blocks: &[u64]) {
        for block in blocks {
            if let Err(at) = self.cached_blocks.binary_search(block)
                && self.cached_blocks.len() < MAX_CACHED_BLOCKS
            {
                self.cached_blocks.insert(at, *block);
            }
        }
    }

    /// Returns the sequence number of the last applied cache event, if the report shows that there are later
    /// ones.
    pub fn missing_cache_events_after(&self) -> Option<u64> {
        let (report, _) = self.report.as_ref()?;
        (report.cache_sequence > self.cache_sequence).then_some(self.cache_sequence)
    }

    /// Keeps new requests away for a moment, after a call has failed or was refused.
    pub fn quarantine(&mut self) {
        self.quarantined_until = Some(Instant::now() + QUARANTINE_DURATION);
    }

    /// Replaces the dispatches of peers by those of the reachable ones.
    pub fn update_peer_loads(&mut self, reachable: &[Member]) {
        let loads = reachable
            .iter()
            .flat_map(|member| &member.loads)
            .filter(|load| {
                load.endpoint == self.id.number && *load.data_centre == *self.id.data_centre
            });
        self.peer_prefill_tokens = TokensByClass::default();
        self.peer_decode_requests = 0;
        for load in loads {
            for (sum, tokens) in self.peer_prefill_tokens.iter_mut().zip(&load.reading) {
                *sum += tokens;
            }
            self.peer_decode_requests += u64::from(load.in_flight);
        }
    }

    /// Returns this daemon's dispatches to the endpoint, as reported to peers. In the message, `reading`
    /// holds the tokens to prefill by priority class, `in_flight` the requests that decode or will decode,
    /// and `written_tokens` the decoded tokens.
    pub fn load(&self) -> wire::Load {
        wire::Load {
            endpoint: self.id.number,
            data_centre: self.id.data_centre.to_string(),
            sent_prompt_tokens: self.sent_prompt_tokens,
            reading: self.prefill_tokens.to_vec(),
            in_flight: u32::try_from(self.decode_requests).unwrap_or(u32::MAX),
            written_tokens: self.decoded_tokens,
        }
    }
}

fn micros(time: Duration) -> Micros {
    Micros::try_from(time.as_micros()).unwrap_or(Micros::MAX)
}
