//! One run: arrivals, steps of engines, reports, digests and role decisions in order of time.

mod options;
mod roles;

use std::{cmp::Reverse, collections::BinaryHeap};

use policy::{
    estimate::BatchLatency,
    load::{self, TokensByClass},
    role::Demand,
    route::{Placement, Role, Weights},
    to_f64, to_u64,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use standin::batch::{Job, Speed, Token};

pub use options::Options;
use options::weights;

use crate::mixshift_parts::{
    decider::{Decider, Open},
    fleet::{Engine, State},
    policies::{Policy, Routing},
    report::Results,
    workload::{Case, LENGTH, Request, requests},
};

const ENGINES: usize = 12;
const DIGEST_US: u64 = 500_000;
const REPORT_US: u64 = 250_000;
const ROLE_US: u64 = 2_000_000;
const CRASH_AT: u64 = 120_000_000;
const WITHDRAW_AT: u64 = 240_000_000;
/// How many groups are tried in turn, as in the daemon.
const HEADS: usize = 8;
/// Share of cache events that are lost.
const GAPS: f64 = 0.2;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    StepEnd(usize),
    Digests,
    Reports,
    /// A report as it was made some time ago reaches the deciders.
    ReportArrives(usize, u64, u64, u64),
    Roles,
    RoleDone(usize),
    Crash,
    Withdraw,
}

struct Flight {
    decider: usize,
    plan: Placement,
    first: Option<u64>,
    /// Whether the second engine of a split has it.
    writing: bool,
}

struct World {
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    order: u64,
    requests: Vec<Request>,
    flights: Vec<Option<Flight>>,
    engines: Vec<Engine>,
    deciders: Vec<Decider>,
    demand: Demand,
    arrived: (u64, u64),
    changed: Option<u64>,
    policy: Policy,
    options: Options,
    weights: Weights,
    rng: StdRng,
    results: Results,
}

/// Runs one case.
pub fn run(case: Case, policy: Policy, options: Options) -> Results {
    let mut world = World::new(case, policy, options);
    while let Some(Reverse((at, _, event))) = world.events.pop() {
        world.now = at;
        world.handle(event);
    }
    world.results
}

impl World {
    fn new(case: Case, policy: Policy, options: Options) -> Self {
        let requests = requests(case, options.site, options.seed);
        let (prefill, decode) = policy.split;
        let role = |at: usize| match at {
            at if at < prefill => Role::Prefill,
            at if at < prefill + decode => Role::Decode,
            _ => Role::Mixed,
        };
        let mut world = Self {
            now: 0,
            events: BinaryHeap::new(),
            order: 0,
            flights: requests.iter().map(|_| None).collect(),
            engines: (0..ENGINES)
                .map(|at| Engine::new(role(at), Speed::default()))
                .collect(),
            deciders: (0..options.deciders)
                .map(|_| Decider::new(ENGINES))
                .collect(),
            demand: Demand::default(),
            arrived: (0, 0),
            changed: None,
            policy,
            options,
            weights: weights(policy, options),
            rng: StdRng::seed_from_u64(options.seed ^ 0x5eed),
            results: Results::new(&requests),
            requests,
        };
        for at in 0..world.requests.len() {
            world.at(world.requests[at].at, Event::Arrival(at));
        }
        world.at(DIGEST_US, Event::Digests);
        world.at(REPORT_US, Event::Reports);
        world.at(ROLE_US, Event::Roles);
        if case == Case::Crash {
            world.at(CRASH_AT, Event::Crash);
            world.at(WITHDRAW_AT, Event::Withdraw);
        }
        world
    }

    fn at(&mut self, at: u64, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(id) => self.arrive(id),
            Event::StepEnd(engine) => self.step_end(engine),
            Event::Digests => self.digests(),
            Event::Reports => self.reports(),
            Event::ReportArrives(engine, reading, writing, made) => {
                for decider in &mut self.deciders {
                    decider.seen[engine].told = Some((reading, writing, made));
                }
            }
            Event::Roles => self.roles(),
            Event::RoleDone(engine) => self.role_done(engine),
            Event::Crash => self.crash(0),
            Event::Withdraw => {
                let last = self.engines.len() - 1;
                self.engines[last].state = State::Closing(Role::Mixed);
                self.engines[last].role = Role::Mixed;
            }
        }
        for decider in 0..self.deciders.len() {
            self.pump(decider);
        }
    }

    fn open(&self) -> Vec<Open> {
        self.engines
            .iter()
            .map(|engine| (engine.role, engine.state == State::Open))
            .collect()
    }

    fn arrive(&mut self, id: usize) {
        let decider = id % self.deciders.len();
        let request = &self.requests[id];
        let work = self.deciders[decider].work(request);
        let read = to_u64(to_f64(request.prompt) * BatchLatency::default().prefill_token_us);
        self.arrived.0 += read;
        self.arrived.1 += work - read.min(work);
        // baselines have no queue: they send at once and refuse nothing
        if !matches!(self.policy.routing, Routing::Cost | Routing::Plain) {
            let open = self.open();
            self.try_place(decider, id, &open);
            return;
        }
        let engines = self.open().iter().filter(|(_, open)| *open).count() as u64;
        let share = (engines / self.deciders.len() as u64).max(1);
        let request = &self.requests[id];
        if !self.deciders[decider].admit(id, request, self.now, share) {
            self.results.refused(request.class);
        }
    }

    fn pump(&mut self, decider: usize) {
        if self.deciders[decider].queue.is_empty() {
            return;
        }
        let open = self.open();
        while self.place_one(decider, &open) {}
    }

    /// Places the first request that fits; says whether there was one.
    fn place_one(&mut self, decider: usize, open: &[Open]) -> bool {
        for (group, waiting) in self.deciders[decider].queue.peek(HEADS) {
            let id = usize::try_from(waiting.id).expect("an index");
            if self.now > waiting.deadline {
                self.deciders[decider].queue.remove(group, waiting.id);
                self.results.refused(self.requests[id].class);
                return true;
            }
            if self.try_place(decider, id, open) {
                self.deciders[decider].queue.pop(group);
                return true;
            }
        }
        false
    }

    fn try_place(&mut self, decider: usize, id: usize, open: &[Open]) -> bool {
        let request = &self.requests[id];
        let choice = self.deciders[decider].choose(
            request,
            open,
            self.policy.routing,
            &self.weights,
            self.now,
            &mut self.rng,
        );
        let Some(choice) = choice else {
            return false;
        };
        let first = choice.placement.first_engine();
        let last = match choice.placement {
            Placement::Single { engine } => engine,
            Placement::Split { decode, .. } => decode,
        };
        let seen = &mut self.deciders[decider].seen;
        seen[first].own.0[load::priority_class(request.class.priority())] += request.prompt;
        seen[last].own.1 += 1;
        let until = if first == last { request.output } else { 1 };
        let job = Job {
            id: id as u64,
            priority: request.class.priority(),
            prompt_tokens: request.prompt,
            blocks: request.blocks.clone(),
            end_offset: until,
            start_offset: 0,
            imported: false,
        };
        self.flights[id] = Some(Flight {
            decider,
            plan: choice.placement,
            first: None,
            writing: first == last,
        });
        self.submit(first, job);
        true
    }

    fn submit(&mut self, engine: usize, job: Job) {
        if let Some(us) = self.engines[engine].submit(job) {
            self.at(self.now + us, Event::StepEnd(engine));
        }
    }

    fn step_end(&mut self, engine: usize) {
        if matches!(self.engines[engine].state, State::Gone | State::Away(_)) {
            return;
        }
        let tokens = self.engines[engine].step.take().map(|step| step.tokens);
        for token in tokens.unwrap_or_default() {
            self.token(engine, token);
        }
        if self.engines[engine].step.is_none()
            && let Some(us) = self.engines[engine].begin()
        {
            self.at(self.now + us, Event::StepEnd(engine));
        }
        self.maybe_leave(engine);
    }

    fn token(&mut self, engine: usize, token: Token) {
        let id = usize::try_from(token.id).expect("an index");
        let Some(flight) = self.flights[id].as_mut() else {
            return;
        };
        let decider = flight.decider;
        let request = &self.requests[id];
        if flight.first.is_none() {
            flight.first = Some(self.now);
            let band = load::priority_class(request.class.priority());
            self.deciders[decider].seen[engine].own.0[band] -= request.prompt;
            self.deciders[decider].read(engine, &request.blocks);
        }
        if token.offset + 1 >= request.output {
            self.finish(id);
        } else if let (true, false, Placement::Split { decode, .. }) =
            (token.last, flight.writing, flight.plan)
        {
            flight.writing = true;
            let job = Job {
                id: token.id,
                priority: request.class.priority(),
                prompt_tokens: request.prompt,
                blocks: Vec::new(),
                end_offset: request.output,
                start_offset: 1,
                imported: true,
            };
            self.submit(decode, job);
        }
    }

    fn finish(&mut self, id: usize) {
        let Some(flight) = self.flights[id].take() else {
            return;
        };
        let request = &self.requests[id];
        let last = match flight.plan {
            Placement::Single { engine } => engine,
            Placement::Split { decode, .. } => decode,
        };
        self.deciders[flight.decider].seen[last].own.1 -= 1;
        self.deciders[flight.decider].finished(request);
        self.results.finished(request, flight.first, self.now);
    }

    fn digests(&mut self) {
        if self.now < to_u64(LENGTH * 1e6) {
            self.at(self.now + DIGEST_US, Event::Digests);
        }
        for engine in 0..self.engines.len() {
            let all: Vec<_> = self.deciders.iter().map(|d| d.seen[engine].own).collect();
            for (at, decider) in self.deciders.iter_mut().enumerate() {
                let others = all.iter().enumerate().filter(|(other, _)| *other != at);
                let none = (TokensByClass::default(), 0);
                decider.seen[engine].peers = others.fold(none, |mut sum, (_, own)| {
                    for (sum, reading) in sum.0.iter_mut().zip(own.0) {
                        *sum += reading;
                    }
                    (sum.0, sum.1 + own.1)
                });
            }
        }
    }

    fn reports(&mut self) {
        if self.now < to_u64(LENGTH * 1e6) {
            self.at(self.now + REPORT_US, Event::Reports);
        }
        let late = self.now + self.options.lag_ms * 1_000;
        for engine in 0..self.engines.len() {
            let batch = &self.engines[engine].batch;
            let reading = batch.waiting_prompt_tokens();
            let writing = batch.decoding() as u64;
            let made = self.now;
            self.at(late, Event::ReportArrives(engine, reading, writing, made));
            let cache = self.engines[engine].batch.cache();
            for decider in &mut self.deciders {
                let seen = &mut decider.seen[engine];
                for event in cache.events_after(seen.sequence) {
                    seen.sequence = event.sequence;
                    let held = seen.blocks.binary_search(&event.block);
                    match held {
                        _ if self.rng.random_bool(GAPS) => {}
                        Err(at) if event.held => seen.blocks.insert(at, event.block),
                        Ok(at) if !event.held => {
                            seen.blocks.remove(at);
                        }
                        _ => {}
                    }
                }
            }
        }
    }

    /// An engine is gone; its requests start anew, as their daemons would have them.
    fn crash(&mut self, engine: usize) {
        self.engines[engine].state = State::Gone;
        for id in 0..self.flights.len() {
            let Some(flight) = &self.flights[id] else {
                continue;
            };
            let (first, last) = match flight.plan {
                Placement::Single { engine } => (engine, engine),
                Placement::Split { prefill, decode } => (prefill, decode),
            };
            if first != engine && last != engine {
                continue;
            }
            let decider = flight.decider;
            let read = flight.first.is_some();
            let request = &self.requests[id];
            let seen = &mut self.deciders[decider].seen;
            seen[last].own.1 -= 1;
            if !read {
                seen[first].own.0[load::priority_class(request.class.priority())] -= request.prompt;
            }
            for other in [first, last] {
                self.engines[other].batch.cancel(id as u64);
            }
            self.flights[id] = None;
            let open = self.open();
            self.try_place(decider, id, &open);
        }
    }
}
