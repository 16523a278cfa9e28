//! The scheduler of one daemon: its queue, what it knows of the engines, and the production decision
//! code.

use policy::{
    estimate::BatchLatency,
    fair::{Group, Queue, QueuedRequest},
    load::{self, Sources, TokensByClass, URGENT_PRIORITY},
    route::{self, Choice, Placement, Role, Weights},
    to_f64, to_u64,
};
use rand::{RngExt, rngs::StdRng};

use super::{
    policies::Routing,
    workload::{Class, Request},
};

/// What a scheduler knows of an engine. A load is the prompt tokens by priority class and the number
/// of decoding requests.
#[derive(Clone, Debug, Default)]
pub struct KnownEngine {
    /// Load of the scheduler's own requests.
    pub own: (TokensByClass, u64),
    /// Load of the peers' requests, as of their last digests.
    pub peers: (TokensByClass, u64),
    /// The engine's last report: waiting prompt tokens, decoding requests, and when it was made.
    pub reported: Option<(u64, u64, u64)>,
    /// Blocks that the engine's prefix cache is expected to hold, sorted.
    pub cached_blocks: Vec<u64>,
    /// Sequence number of the last cache event received.
    pub sequence: u64,
}

/// State of an engine that all schedulers learn without delay: its role, and whether it accepts
/// requests.
pub type EngineStatus = (Role, bool);

/// The scheduler of one daemon.
pub struct Scheduler {
    /// What it knows of each engine, by index.
    pub known_engines: Vec<KnownEngine>,
    /// Requests that wait for an engine.
    pub queue: Queue,
    /// Moving average of the answers' lengths, by group.
    mean_output_tokens: [f64; 4],
    round_robin_count: usize,
}

/// Expected length of an answer before any has been observed.
const INITIAL_OUTPUT_TOKENS: f64 = 128.0;
/// Weight of the last answer in the moving average.
const OUTPUT_SMOOTHING: f64 = 0.1;

impl Scheduler {
    /// Returns a scheduler with no knowledge of the engines yet.
    pub fn new(engines: usize) -> Self {
        let groups = Class::SHARES.map(|share| Group {
            parent: None,
            share,
        });
        Self {
            known_engines: vec![KnownEngine::default(); engines],
            queue: Queue::new(&groups),
            mean_output_tokens: [INITIAL_OUTPUT_TOKENS; 4],
            round_robin_count: 0,
        }
    }

    /// Returns the expected length of the answer.
    pub fn expected_output_tokens(&self, request: &Request) -> u64 {
        to_u64(self.mean_output_tokens[request.class.group()]).max(1)
    }

    /// Updates the expected length with that of a complete answer.
    pub fn observe_output(&mut self, request: &Request) {
        let mean = &mut self.mean_output_tokens[request.class.group()];
        *mean += OUTPUT_SMOOTHING * (to_f64(request.output_tokens) - *mean);
    }

    /// Estimates the work of a request as the daemon does, in microseconds of engine time.
    pub fn estimate_work_us(&self, request: &Request) -> u64 {
        let latency = BatchLatency::default();
        let decode_token_us = latency.inter_token_us(16) / 16.0;
        to_u64(
            to_f64(request.prompt_tokens) * latency.prefill_token_us
                + to_f64(self.expected_output_tokens(request)) * decode_token_us,
        )
    }

    /// Adds a request to the queue. Returns `false` if it is refused because it is expected to miss
    /// its deadline or to wait too long; urgent requests are always admitted.
    pub fn admit(&mut self, id: usize, request: &Request, now: u64, engines: u64) -> bool {
        let deadline = request.arrival_us + request.class.deadline_us();
        let work = self.estimate_work_us(request);
        let group = request.class.group();
        let unloaded_us = to_f64(request.prompt_tokens) * BatchLatency::default().prefill_token_us
            + to_f64(self.expected_output_tokens(request))
                * BatchLatency::default().inter_token_us(1);
        let wait = self.queue.estimate_wait(group, engines);
        let misses_deadline =
            now + wait + to_u64(unloaded_us) > deadline || wait > request.class.max_wait_us();
        if request.class.priority() < URGENT_PRIORITY && misses_deadline {
            return false;
        }
        self.queue.push(
            group,
            QueuedRequest {
                id: id as u64,
                priority: request.class.priority(),
                work,
                deadline: request.arrival_us + request.class.max_wait_us(),
            },
        );
        true
    }

    /// Chooses the engines for a request; `None` if none can take it now.
    pub fn choose_engines(
        &mut self,
        request: &Request,
        engines: &[EngineStatus],
        routing: Routing,
        weights: &Weights,
        now: u64,
        rng: &mut StdRng,
    ) -> Option<Choice> {
        let available: Vec<usize> = (0..engines.len())
            .filter(|index| engines[*index].1)
            .collect();
        if !matches!(routing, Routing::Cost | Routing::NoInterference) {
            return self.choose_baseline(&available, routing, rng);
        }
        let candidates: Vec<route::Engine> = available
            .iter()
            .map(|index| self.engine_snapshot(*index, engines[*index].0, request, now))
            .collect();
        let route_request = route::Request {
            prompt_tokens: request.prompt_tokens,
            expected_output_tokens: self.expected_output_tokens(request),
            urgent: request.class.priority() >= URGENT_PRIORITY,
            interactive: load::priority_class(request.class.priority()) > 0,
        };
        let choice = route::choose(&candidates, &route_request, weights, rng.random())?;
        let placement = match choice.placement {
            Placement::Single { engine } => Placement::Single {
                engine: available[engine],
            },
            Placement::Split { prefill, decode } => Placement::Split {
                prefill: available[prefill],
                decode: available[decode],
            },
        };
        Some(Choice {
            placement,
            ..choice
        })
    }

    fn engine_snapshot(
        &self,
        index: usize,
        role: Role,
        request: &Request,
        now: u64,
    ) -> route::Engine {
        let known = &self.known_engines[index];
        let latency = BatchLatency::default();
        let sources = Sources {
            own: known.own,
            peers: known.peers,
            reported: known
                .reported
                .map(|(prompt_tokens, decode_requests, made_at)| {
                    (prompt_tokens, decode_requests, now.saturating_sub(made_at))
                }),
        };
        let priority_class = load::priority_class(request.class.priority());
        let engine_load = load::estimate(&sources, &latency, priority_class);
        let cached = request
            .blocks
            .iter()
            .take_while(|block| known.cached_blocks.binary_search(block).is_ok());
        route::Engine {
            role,
            prefill_tokens_ahead: engine_load.prefill_tokens_ahead,
            prefill_tokens: engine_load.prefill_tokens,
            decode_requests: engine_load.decode_requests,
            cached_tokens: 64 * cached.count() as u64,
            one_way_delay: 0,
            latency,
        }
    }

    fn choose_baseline(
        &mut self,
        available: &[usize],
        routing: Routing,
        rng: &mut StdRng,
    ) -> Option<Choice> {
        let load = |index: &usize| {
            let known = &self.known_engines[*index];
            known.own.1 + known.peers.1
        };
        let engine = match routing {
            Routing::RoundRobin => {
                self.round_robin_count += 1;
                *available.get(self.round_robin_count % available.len().max(1))?
            }
            Routing::LeastInFlight => *available.iter().min_by_key(|index| load(index))?,
            Routing::TwoChoices | Routing::Cost | Routing::NoInterference => {
                if available.is_empty() {
                    return None;
                }
                let first = available[rng.random_range(0..available.len())];
                let second = available[rng.random_range(0..available.len())];
                if load(&first) <= load(&second) {
                    first
                } else {
                    second
                }
            }
        };
        Some(Choice {
            placement: Placement::Single { engine },
            first_token_us: 0.0,
            last_token_us: 0.0,
        })
    }

    /// Records that an engine has prefilled these blocks and is expected to have them cached.
    pub fn record_prefill(&mut self, engine: usize, blocks: &[u64]) {
        let cached = &mut self.known_engines[engine].cached_blocks;
        for block in blocks {
            if let Err(index) = cached.binary_search(block) {
                cached.insert(index, *block);
            }
        }
    }
}
