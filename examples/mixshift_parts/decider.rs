//! A decider: one daemon's queue and view, with the real decisions.

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

/// What a decider knows of an engine.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Own dispatches.
    pub own: (TokensByClass, u64),
    /// Peers', as of their last digests.
    pub peers: (TokensByClass, u64),
    /// The engine's report and when it was made.
    pub told: Option<(u64, u64, u64)>,
    /// Blocks that its cache likely holds, sorted.
    pub blocks: Vec<u64>,
    /// The last cache event taken.
    pub sequence: u64,
}

/// An engine as all deciders see it at once: its role and whether it takes requests.
pub type Open = (Role, bool);

/// One decider.
pub struct Decider {
    /// What it knows of each engine.
    pub seen: Vec<Seen>,
    /// Its queue.
    pub queue: Queue,
    /// Lengths of answers, by group.
    outputs: [f64; 4],
    turn: usize,
}

const FIRST_GUESS: f64 = 128.0;
const OUTPUT_WEIGHT: f64 = 0.1;

impl Decider {
    /// A decider that knows nothing yet.
    pub fn new(engines: usize) -> Self {
        let groups = Class::SHARES.map(|share| Group {
            parent: None,
            share,
        });
        Self {
            seen: vec![Seen::default(); engines],
            queue: Queue::new(&groups),
            outputs: [FIRST_GUESS; 4],
            turn: 0,
        }
    }

    /// The expected length of an answer.
    pub fn expected(&self, request: &Request) -> u64 {
        to_u64(self.outputs[request.class.group()]).max(1)
    }

    /// Learns from an answer.
    pub fn finished(&mut self, request: &Request) {
        let mean = &mut self.outputs[request.class.group()];
        *mean += OUTPUT_WEIGHT * (to_f64(request.output) - *mean);
    }

    /// The work of a request, as the daemon estimates it.
    pub fn work(&self, request: &Request) -> u64 {
        let rates = BatchLatency::default();
        let each = rates.inter_token_us(16) / 16.0;
        to_u64(
            to_f64(request.prompt) * rates.prefill_token_us + to_f64(self.expected(request)) * each,
        )
    }

    /// Adds a request to the queue, unless it can't meet its deadline.
    pub fn admit(&mut self, id: usize, request: &Request, now: u64, engines: u64) -> bool {
        let deadline = request.at + request.class.deadline();
        let work = self.work(request);
        let group = request.class.group();
        let alone = to_f64(request.prompt) * BatchLatency::default().prefill_token_us
            + to_f64(self.expected(request)) * BatchLatency::default().inter_token_us(1);
        let wait = self.queue.estimate_wait(group, engines);
        let late = now + wait + to_u64(alone) > deadline || wait > request.class.longest_wait();
        if request.class.priority() < URGENT_PRIORITY && late {
            return false;
        }
        self.queue.push(
            group,
            QueuedRequest {
                id: id as u64,
                priority: request.class.priority(),
                work,
                deadline: request.at + request.class.longest_wait(),
            },
        );
        true
    }

    /// Chooses engines for a request.
    pub fn choose(
        &mut self,
        request: &Request,
        engines: &[Open],
        routing: Routing,
        weights: &Weights,
        now: u64,
        rng: &mut StdRng,
    ) -> Option<Choice> {
        let open: Vec<usize> = (0..engines.len()).filter(|at| engines[*at].1).collect();
        if !matches!(routing, Routing::Cost | Routing::Plain) {
            return self.baseline(&open, routing, rng);
        }
        let view: Vec<route::Engine> = open
            .iter()
            .map(|at| self.engine(*at, engines[*at].0, request, now))
            .collect();
        let ask = route::Request {
            prompt_tokens: request.prompt,
            expected_output_tokens: self.expected(request),
            urgent: request.class.priority() >= URGENT_PRIORITY,
            interactive: load::priority_class(request.class.priority()) > 0,
        };
        let choice = route::choose(&view, &ask, weights, rng.random())?;
        let plan = match choice.placement {
            Placement::Single { engine } => Placement::Single {
                engine: open[engine],
            },
            Placement::Split { prefill, decode } => Placement::Split {
                prefill: open[prefill],
                decode: open[decode],
            },
        };
        Some(Choice {
            placement: plan,
            ..choice
        })
    }

    fn engine(&self, at: usize, role: Role, request: &Request, now: u64) -> route::Engine {
        let seen = &self.seen[at];
        let rates = BatchLatency::default();
        let sources = Sources {
            own: seen.own,
            peers: seen.peers,
            reported: seen
                .told
                .map(|(reading, writing, made)| (reading, writing, now.saturating_sub(made))),
        };
        let band = load::priority_class(request.class.priority());
        let out = load::estimate(&sources, &rates, band);
        let held = request
            .blocks
            .iter()
            .take_while(|block| seen.blocks.binary_search(block).is_ok());
        route::Engine {
            role,
            prefill_tokens_ahead: out.prefill_tokens_ahead,
            prefill_tokens: out.prefill_tokens,
            decode_requests: out.decode_requests,
            cached_tokens: 64 * held.count() as u64,
            one_way_delay: 0,
            latency: rates,
        }
    }

    fn baseline(&mut self, open: &[usize], routing: Routing, rng: &mut StdRng) -> Option<Choice> {
        let load = |at: &usize| {
            let seen = &self.seen[*at];
            seen.own.1 + seen.peers.1
        };
        let engine = match routing {
            Routing::RoundRobin => {
                self.turn += 1;
                *open.get(self.turn % open.len().max(1))?
            }
            Routing::LeastInFlight => *open.iter().min_by_key(|at| load(at))?,
            Routing::TwoChoices | Routing::Cost | Routing::Plain => {
                if open.is_empty() {
                    return None;
                }
                let one = open[rng.random_range(0..open.len())];
                let other = open[rng.random_range(0..open.len())];
                if load(&one) <= load(&other) {
                    one
                } else {
                    other
                }
            }
        };
        Some(Choice {
            placement: Placement::Single { engine },
            first_token_us: 0.0,
            last_token_us: 0.0,
        })
    }

    /// Notes that an engine has likely these blocks now.
    pub fn read(&mut self, engine: usize, blocks: &[u64]) {
        let held = &mut self.seen[engine].blocks;
        for block in blocks {
            if let Err(at) = held.binary_search(block) {
                held.insert(at, *block);
            }
        }
    }
}
