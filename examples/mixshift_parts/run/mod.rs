//! One run, as a discrete-event simulation of arrivals, engine steps, load reports, digests and role
//! decisions.

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
    fleet::{Engine, State},
    policies::{Policy, Routing},
    report::Results,
    scheduler::{EngineStatus, Scheduler},
    workload::{Case, DURATION_S, Request, generate_requests},
};

const ENGINES: usize = 12;
const DIGEST_INTERVAL_US: u64 = 500_000;
const REPORT_INTERVAL_US: u64 = 250_000;
const ROLE_INTERVAL_US: u64 = 2_000_000;
const CRASH_AT_US: u64 = 120_000_000;
const DRAIN_AT_US: u64 = 240_000_000;
/// How many groups' first requests are tried per placement, as in the daemon.
const MAX_GROUPS_TRIED: usize = 8;
/// Ratio of cache events that are lost on their way to a scheduler.
const LOST_EVENT_RATIO: f64 = 0.2;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    StepEnd(usize),
    SendDigests,
    SendReports,
    /// A load report reaches the schedulers: the engine, its waiting prompt tokens, its decoding
    /// requests, and when the report was made.
    ReportArrives(usize, u64, u64, u64),
    DecideRoles,
    FinishRoleChange(usize),
    Crash,
    Drain,
}

struct InFlightRequest {
    scheduler: usize,
    placement: Placement,
    first_token_at: Option<u64>,
    /// Whether the engine that decodes has it: always for a single engine, after the prefill for a
    /// split.
    decode_started: bool,
}

struct Simulation {
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    /// Number of events scheduled so far; orders events of the same time.
    event_count: u64,
    requests: Vec<Request>,
    in_flight: Vec<Option<InFlightRequest>>,
    engines: Vec<Engine>,
    schedulers: Vec<Scheduler>,
    demand: Demand,
    /// Prefill and decode work that has arrived since the last role decision, in microseconds.
    arrived_work: (u64, u64),
    last_role_change: Option<u64>,
    policy: Policy,
    options: Options,
    weights: Weights,
    rng: StdRng,
    results: Results,
}

/// Simulates one case under a policy and returns the results.
pub fn run(case: Case, policy: Policy, options: Options) -> Results {
    let mut simulation = Simulation::new(case, policy, options);
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        simulation.now = at;
        simulation.handle(event);
    }
    simulation.results
}

impl Simulation {
    fn new(case: Case, policy: Policy, options: Options) -> Self {
        let requests = generate_requests(case, options.site, options.seed);
        let (prefill, decode) = policy.dedicated_engines;
        let role = |index: usize| match index {
            index if index < prefill => Role::Prefill,
            index if index < prefill + decode => Role::Decode,
            _ => Role::Mixed,
        };
        let mut simulation = Self {
            now: 0,
            events: BinaryHeap::new(),
            event_count: 0,
            in_flight: requests.iter().map(|_| None).collect(),
            engines: (0..ENGINES)
                .map(|index| Engine::new(role(index), Speed::default()))
                .collect(),
            schedulers: (0..options.schedulers)
                .map(|_| Scheduler::new(ENGINES))
                .collect(),
            demand: Demand::default(),
            arrived_work: (0, 0),
            last_role_change: None,
            policy,
            options,
            weights: weights(policy, options),
            rng: StdRng::seed_from_u64(options.seed ^ 0x5eed),
            results: Results::new(&requests),
            requests,
        };
        for id in 0..simulation.requests.len() {
            simulation.schedule(simulation.requests[id].arrival_us, Event::Arrival(id));
        }
        simulation.schedule(DIGEST_INTERVAL_US, Event::SendDigests);
        simulation.schedule(REPORT_INTERVAL_US, Event::SendReports);
        simulation.schedule(ROLE_INTERVAL_US, Event::DecideRoles);
        if case == Case::Crash {
            simulation.schedule(CRASH_AT_US, Event::Crash);
            simulation.schedule(DRAIN_AT_US, Event::Drain);
        }
        simulation
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(id) => self.arrive(id),
            Event::StepEnd(engine) => self.end_step(engine),
            Event::SendDigests => self.send_digests(),
            Event::SendReports => self.send_reports(),
            Event::ReportArrives(engine, prompt_tokens, decode_requests, made_at) => {
                for scheduler in &mut self.schedulers {
                    scheduler.known_engines[engine].reported =
                        Some((prompt_tokens, decode_requests, made_at));
                }
            }
            Event::DecideRoles => self.decide_roles(),
            Event::FinishRoleChange(engine) => self.finish_role_change(engine),
            Event::Crash => self.crash(0),
            Event::Drain => {
                let last_engine = self.engines.len() - 1;
                self.engines[last_engine].state = State::Draining(Role::Mixed);
                self.engines[last_engine].role = Role::Mixed;
            }
        }
        for scheduler in 0..self.schedulers.len() {
            self.dispatch_queue(scheduler);
        }
    }

    fn engine_statuses(&self) -> Vec<EngineStatus> {
        self.engines
            .iter()
            .map(|engine| (engine.role, engine.state == State::Active))
            .collect()
    }

    fn arrive(&mut self, id: usize) {
        let scheduler = id % self.schedulers.len();
        let request = &self.requests[id];
        let work = self.schedulers[scheduler].estimate_work_us(request);
        let prefill_us =
            to_u64(to_f64(request.prompt_tokens) * BatchLatency::default().prefill_token_us);
        self.arrived_work.0 += prefill_us;
        self.arrived_work.1 += work - prefill_us.min(work);
        // baseline policies have no queue: they dispatch at once and refuse nothing
        if !matches!(self.policy.routing, Routing::Cost | Routing::NoInterference) {
            let statuses = self.engine_statuses();
            self.try_dispatch(scheduler, id, &statuses);
            return;
        }
        let engines = self
            .engine_statuses()
            .iter()
            .filter(|(_, available)| *available)
            .count() as u64;
        let engines_per_scheduler = (engines / self.schedulers.len() as u64).max(1);
        let request = &self.requests[id];
        if !self.schedulers[scheduler].admit(id, request, self.now, engines_per_scheduler) {
            self.results.record_refusal(request.class);
        }
    }

    fn dispatch_queue(&mut self, scheduler: usize) {
        if self.schedulers[scheduler].queue.is_empty() {
            return;
        }
        let statuses = self.engine_statuses();
        while self.dispatch_one(scheduler, &statuses) {}
    }

    /// Dispatches the first queued request that can be placed, or refuses one past its deadline;
    /// returns `false` if there was neither.
    fn dispatch_one(&mut self, scheduler: usize, statuses: &[EngineStatus]) -> bool {
        for (group, queued) in self.schedulers[scheduler].queue.peek(MAX_GROUPS_TRIED) {
            let id = usize::try_from(queued.id).expect("a request id is an index");
            if self.now > queued.deadline {
                self.schedulers[scheduler].queue.remove(group, queued.id);
                self.results.record_refusal(self.requests[id].class);
                return true;
            }
            if self.try_dispatch(scheduler, id, statuses) {
                self.schedulers[scheduler].queue.pop(group);
                return true;
            }
        }
        false
    }

    fn try_dispatch(&mut self, scheduler: usize, id: usize, statuses: &[EngineStatus]) -> bool {
        let request = &self.requests[id];
        let choice = self.schedulers[scheduler].choose_engines(
            request,
            statuses,
            self.policy.routing,
            &self.weights,
            self.now,
            &mut self.rng,
        );
        let Some(choice) = choice else {
            return false;
        };
        let prefill_engine = choice.placement.first_engine();
        let decode_engine = match choice.placement {
            Placement::Single { engine } => engine,
            Placement::Split { decode, .. } => decode,
        };
        let known_engines = &mut self.schedulers[scheduler].known_engines;
        known_engines[prefill_engine].own.0[load::priority_class(request.class.priority())] +=
            request.prompt_tokens;
        known_engines[decode_engine].own.1 += 1;
        let end_offset = if prefill_engine == decode_engine {
            request.output_tokens
        } else {
            1
        };
        let job = Job {
            id: id as u64,
            priority: request.class.priority(),
            prompt_tokens: request.prompt_tokens,
            blocks: request.blocks.clone(),
            end_offset,
            start_offset: 0,
            imported: false,
        };
        self.in_flight[id] = Some(InFlightRequest {
            scheduler,
            placement: choice.placement,
            first_token_at: None,
            decode_started: prefill_engine == decode_engine,
        });
        self.submit(prefill_engine, job);
        true
    }

    fn submit(&mut self, engine: usize, job: Job) {
        if let Some(us) = self.engines[engine].submit(job) {
            self.schedule(self.now + us, Event::StepEnd(engine));
        }
    }

    fn end_step(&mut self, engine: usize) {
        if matches!(
            self.engines[engine].state,
            State::Crashed | State::ChangingRole(_)
        ) {
            return;
        }
        let tokens = self.engines[engine]
            .current_step
            .take()
            .map(|step| step.tokens);
        for token in tokens.unwrap_or_default() {
            self.handle_token(engine, token);
        }
        if self.engines[engine].current_step.is_none()
            && let Some(us) = self.engines[engine].start_step()
        {
            self.schedule(self.now + us, Event::StepEnd(engine));
        }
        self.finish_draining(engine);
    }

    fn handle_token(&mut self, engine: usize, token: Token) {
        let id = usize::try_from(token.id).expect("a request id is an index");
        let Some(running) = self.in_flight[id].as_mut() else {
            return;
        };
        let scheduler = running.scheduler;
        let request = &self.requests[id];
        if running.first_token_at.is_none() {
            running.first_token_at = Some(self.now);
            let priority_class = load::priority_class(request.class.priority());
            self.schedulers[scheduler].known_engines[engine].own.0[priority_class] -=
                request.prompt_tokens;
            self.schedulers[scheduler].record_prefill(engine, &request.blocks);
        }
        if token.offset + 1 >= request.output_tokens {
            self.finish_request(id);
        } else if let (true, false, Placement::Split { decode, .. }) =
            (token.last, running.decode_started, running.placement)
        {
            running.decode_started = true;
            let job = Job {
                id: token.id,
                priority: request.class.priority(),
                prompt_tokens: request.prompt_tokens,
                blocks: Vec::new(),
                end_offset: request.output_tokens,
                start_offset: 1,
                imported: true,
            };
            self.submit(decode, job);
        }
    }

    fn finish_request(&mut self, id: usize) {
        let Some(running) = self.in_flight[id].take() else {
            return;
        };
        let request = &self.requests[id];
        let decode_engine = match running.placement {
            Placement::Single { engine } => engine,
            Placement::Split { decode, .. } => decode,
        };
        self.schedulers[running.scheduler].known_engines[decode_engine]
            .own
            .1 -= 1;
        self.schedulers[running.scheduler].observe_output(request);
        self.results
            .record_answer(request, running.first_token_at, self.now);
    }

    fn send_digests(&mut self) {
        if self.now < to_u64(DURATION_S * 1e6) {
            self.schedule(self.now + DIGEST_INTERVAL_US, Event::SendDigests);
        }
        for engine in 0..self.engines.len() {
            let all: Vec<_> = self
                .schedulers
                .iter()
                .map(|scheduler| scheduler.known_engines[engine].own)
                .collect();
            for (index, scheduler) in self.schedulers.iter_mut().enumerate() {
                let others = all.iter().enumerate().filter(|(other, _)| *other != index);
                let empty = (TokensByClass::default(), 0);
                scheduler.known_engines[engine].peers = others.fold(empty, |mut sum, (_, own)| {
                    for (sum, prompt_tokens) in sum.0.iter_mut().zip(own.0) {
                        *sum += prompt_tokens;
                    }
                    (sum.0, sum.1 + own.1)
                });
            }
        }
    }

    fn send_reports(&mut self) {
        if self.now < to_u64(DURATION_S * 1e6) {
            self.schedule(self.now + REPORT_INTERVAL_US, Event::SendReports);
        }
        let arrives_at = self.now + self.options.report_delay_ms * 1_000;
        for engine in 0..self.engines.len() {
            let batch = &self.engines[engine].batch;
            let prompt_tokens = batch.waiting_prompt_tokens();
            let decode_requests = batch.decoding() as u64;
            let made_at = self.now;
            self.schedule(
                arrives_at,
                Event::ReportArrives(engine, prompt_tokens, decode_requests, made_at),
            );
            let cache = self.engines[engine].batch.cache();
            for scheduler in &mut self.schedulers {
                let known = &mut scheduler.known_engines[engine];
                for event in cache.events_after(known.sequence) {
                    known.sequence = event.sequence;
                    let position = known.cached_blocks.binary_search(&event.block);
                    match position {
                        _ if self.rng.random_bool(LOST_EVENT_RATIO) => {}
                        Err(index) if event.held => known.cached_blocks.insert(index, event.block),
                        Ok(index) if !event.held => {
                            known.cached_blocks.remove(index);
                        }
                        _ => {}
                    }
                }
            }
        }
    }

    /// Crashes an engine; its requests are retried from the start, as their daemons would do.
    fn crash(&mut self, engine: usize) {
        self.engines[engine].state = State::Crashed;
        for id in 0..self.in_flight.len() {
            let Some(running) = &self.in_flight[id] else {
                continue;
            };
            let (prefill_engine, decode_engine) = match running.placement {
                Placement::Single { engine } => (engine, engine),
                Placement::Split { prefill, decode } => (prefill, decode),
            };
            if prefill_engine != engine && decode_engine != engine {
                continue;
            }
            let scheduler = running.scheduler;
            let prefilled = running.first_token_at.is_some();
            let request = &self.requests[id];
            let known_engines = &mut self.schedulers[scheduler].known_engines;
            known_engines[decode_engine].own.1 -= 1;
            if !prefilled {
                known_engines[prefill_engine].own.0
                    [load::priority_class(request.class.priority())] -= request.prompt_tokens;
            }
            for other in [prefill_engine, decode_engine] {
                self.engines[other].batch.cancel(id as u64);
            }
            self.in_flight[id] = None;
            let statuses = self.engine_statuses();
            self.try_dispatch(scheduler, id, &statuses);
        }
    }
}
