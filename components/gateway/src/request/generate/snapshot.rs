//! The state of a service's engines for one placement decision.

use std::{net::SocketAddr, sync::Arc};

use clock::Instant;
use policy::place::{self, Choice, Obstacle, Placement, Request, Weights};

use super::{queue, queues::Claim};
use crate::{
    endpoint::{self, Build, Reach, Stage, State, Target},
    process::DemandTotals,
    request::job::Job,
};

/// Round-trip time assumed for an engine in a remote data centre, in microseconds.
const REMOTE_RTT_US: policy::Micros = 4_000;
/// Fewer tokens than this are prefilled rather than fetched.
const MIN_FETCH_TOKENS: u64 = 512;
/// Factor by which a fetch may exceed the pure transfer time, as other transfers are in flight and
/// it may come from a remote data centre.
const FETCH_TIME_FACTOR: f64 = 3.0;
const MICROS_PER_SECOND: f64 = 1e6;
const NANOS_PER_MICRO: f64 = 1e3;

/// The engines of a service at the time of one placement decision.
pub struct Snapshot {
    /// The endpoints, by index.
    pub targets: Vec<Arc<Target>>,
    /// The same endpoints as inputs to placement.
    pub engines: Vec<place::Engine>,
    /// The engine of each KV group from which the others of the group can fetch most of the prompt, sorted by group.
    fetch_sources: Vec<(u32, usize)>,
}

impl Snapshot {
    /// Takes a snapshot of the engines that accept requests and that can continue the stream, if it has begun,
    /// without those on which this request failed.
    pub fn new(job: &Job, tried: &[Arc<Target>]) -> Self {
        let snapshot = Self::with_reach(job, tried, Reach::Own);
        if job.build().is_none() || snapshot.has_decode_engine() {
            return snapshot;
        }
        Self::with_reach(job, tried, Reach::Continuation)
    }

    /// Whether an engine decodes; those that only prefill can't continue a stream.
    pub fn has_decode_engine(&self) -> bool {
        let mut engines = self.engines.iter();
        engines.any(|engine| engine.stage == place::Stage::Decode)
    }

    /// Takes a snapshot of the engines that accept requests, whether this process reaches them or not.
    pub fn of_listed(job: &Job) -> Self {
        Self::with_reach(job, &[], Reach::Listed)
    }

    fn with_reach(job: &Job, tried: &[Arc<Target>], reach: Reach) -> Self {
        let now = Instant::now();
        let fleet = job.gateway.registry.fleet(&job.service.name);
        let parts = job
            .metadata
            .prompt
            .as_ref()
            .map_or(&[][..], |prompt| &prompt.parts);
        let local = &job.gateway.settings.gateway.data_centre;
        let unreachable = job.gateway.peers.unreachable_data_centres();
        let defaults = job.gateway.service_defaults(&job.service.name);
        let awaited = match job.build() {
            Some(_) => Vec::new(),
            None => job.gateway.awaited_builds(&job.service.name),
        };
        let mut candidates: Vec<(Arc<Target>, endpoint::Snapshot)> = fleet
            .subset()
            .iter()
            .filter(|target| !tried.iter().any(|other| other.id == target.id))
            .filter_map(|target| {
                Some((
                    Arc::clone(target),
                    target.snapshot(now, parts, &defaults, reach)?,
                ))
            })
            .filter(|(_, seen)| !unreachable.contains(&seen.profile.data_centre))
            .filter(|(_, seen)| job.accepts(&seen.profile.build))
            .collect();
        leave_out_awaited(&mut candidates, &awaited);
        if job.gateway.crashes.is_suspect(job.fingerprint) {
            isolate_suspects(&mut candidates);
        }
        let fetchable: Vec<u64> = candidates
            .iter()
            .map(|(_, seen)| seen.fetchable_tokens)
            .collect();
        let builds = builds(&candidates);
        let (targets, engines) = candidates
            .into_iter()
            .map(|(target, seen)| {
                let engine = place::Engine {
                    kv_group: kv_group(&builds, &seen.profile.build),
                    ..engine(&seen, local, rank(job, &target))
                };
                (target, engine)
            })
            .unzip();
        let mut snapshot = Self {
            targets,
            engines,
            fetch_sources: Vec::new(),
        };
        snapshot.add_fetches(job, &fetchable);
        snapshot
    }

    /// Removes the engines of other builds, which can't use the KV caches of this one.
    pub fn retain_build(&mut self, build: &Build) {
        let builds = self.targets.iter().map(|target| target.build());
        let keep: Vec<bool> = builds.map(|other| other == *build).collect();
        self.retain(&keep);
    }

    /// Removes the engines that only prefill.
    pub fn retain_decode_engines(&mut self) {
        let stages = self.engines.iter().map(|engine| engine.stage);
        let keep: Vec<bool> = stages.map(|stage| stage == place::Stage::Decode).collect();
        self.retain(&keep);
    }

    /// Keeps some engines. None fetches anything from then on.
    fn retain(&mut self, keep: &[bool]) {
        let mut kept = keep.iter();
        self.targets.retain(|_| kept.next() == Some(&true));
        let mut kept = keep.iter();
        self.engines.retain(|_| kept.next() == Some(&true));
        self.fetch_sources.clear();
        for engine in &mut self.engines {
            engine.fetch = place::Fetch::default();
        }
    }

    /// Determines which parts of the prompt engines can fetch from the engine that has cached the
    /// largest part of it. Parts that are still being prefilled there don't count, as they would be
    /// prefilled again.
    fn add_fetches(&mut self, job: &Job, fetchable: &[u64]) {
        let Some(engines) = &job.service.engines else {
            return;
        };
        let transfer_token_us = engines.transfer_per_token.as_secs_f64() * MICROS_PER_SECOND;
        let mut sources: Vec<(u32, usize)> = Vec::new();
        for (index, engine) in self.engines.iter().enumerate() {
            match sources.binary_search_by_key(&engine.kv_group, |(group, _)| *group) {
                Ok(found) if fetchable[sources[found].1] <= fetchable[index] => {
                    sources[found].1 = index;
                }
                Ok(_) => {}
                Err(found) => sources.insert(found, (engine.kv_group, index)),
            }
        }
        for engine in &mut self.engines {
            let source = sources.binary_search_by_key(&engine.kv_group, |(group, _)| *group);
            let available_tokens = source.map_or(0, |found| fetchable[sources[found].1]);
            let tokens = available_tokens.saturating_sub(engine.cached_tokens);
            if tokens >= MIN_FETCH_TOKENS {
                engine.fetch = place::Fetch {
                    tokens,
                    time_us: policy::to_f64(tokens) * transfer_token_us * FETCH_TIME_FACTOR,
                };
            }
        }
        self.fetch_sources = sources;
    }

    /// Returns the engine from which an engine should fetch parts of the prompt that it lacks.
    pub fn fetch_from(&self, index: usize) -> Option<SocketAddr> {
        let engine = &self.engines[index];
        let sources = &self.fetch_sources;
        let source = sources.binary_search_by_key(&engine.kv_group, |(group, _)| *group);
        let fetch_source = &self.targets[sources[source.ok()?].1];
        let fetches = engine.fetch.tokens > 0;
        fetches.then(|| fetch_source.with(|state| state.profile.address))
    }

    /// Chooses the best placement of the request.
    pub fn choose(&self, job: &Job) -> Option<Choice> {
        place::choose(&self.engines, &placement_request(job), &Weights::default())
    }

    /// Whether a request that finds no free slot may get one before its deadline behind `waiting`
    /// others. That holds while the queue is shorter than the number of slots, which become free
    /// one after the other as answers end, also those of engines that get requests again in time.
    pub fn may_get_slot(&self, job: &Job, tried: &[Arc<Target>], waiting: usize) -> bool {
        let decode_engines = self.engines.iter();
        let decode_engines = decode_engines.filter(|engine| engine.stage == place::Stage::Decode);
        let slots: u64 = decode_engines.map(|engine| engine.decode_slots).sum();
        u64::try_from(waiting)
            .is_ok_and(|waiting| waiting < slots || waiting < slots + recovering_slots(job, tried))
    }

    /// Whether no engine has a slot for the request.
    pub fn is_full(&self, job: &Job) -> bool {
        let request = placement_request(job);
        let weights = Weights::default();
        self.engines.iter().all(|engine| {
            let obstacle = place::obstacle(engine, &request, &weights);
            matches!(obstacle, Some(Obstacle::Stage | Obstacle::Slots))
        })
    }

    /// Whether the prompt is prefilled on the engine that decodes the answer, and so little of it
    /// that other requests are hardly delayed. Then the request is placed there even if it will be
    /// late.
    pub fn has_negligible_prefill(&self, job: &Job, choice: &Choice) -> bool {
        match choice.placement {
            Placement::Single { engine } => place::is_short_prefill(
                &self.engines[engine],
                &placement_request(job),
                &Weights::default(),
            ),
            Placement::Split { .. } => false,
        }
    }

    /// Returns the work that the prompt is for a prefill engine; zero if little of it must be
    /// prefilled.
    fn prefill_work(&self, job: &Job) -> u64 {
        let prompt = placement_request(job).prompt_tokens;
        let prefill_engines = self
            .engines
            .iter()
            .filter(|engine| engine.stage == place::Stage::Prefill);
        let cached_tokens = prefill_engines
            .map(|engine| engine.cached_tokens)
            .max()
            .unwrap_or(0);
        if prompt.saturating_sub(cached_tokens) > Weights::default().short_prompt_max_tokens {
            policy::prompt::prefill_work(prompt, cached_tokens)
        } else {
            0
        }
    }

    /// Logs why engines can't take a request that is not placed now, with the data that this is based on, and counts these
    /// engines. Others may have room that is left to requests before it.
    pub fn log_obstacles(&self, job: &Job, claim: Claim<'_>, message: &str) {
        let request = placement_request(job);
        let weights = Weights::default();
        let found = self.engines.iter();
        let found: Vec<Obstacle> = found
            .filter_map(|engine| place::obstacle(engine, &request, &weights))
            .collect();
        let count = |obstacle| found.iter().filter(|other| **other == obstacle).count();
        let begun = if job.build().is_some() { "yes" } else { "no" };
        for obstacle in [Obstacle::Slots, Obstacle::Pace, Obstacle::Prefill] {
            let labels = [&*job.service.name, &obstacle.to_string(), begun];
            let engines = u64::try_from(count(obstacle)).unwrap_or(u64::MAX);
            let metrics = &job.gateway.metrics;
            metrics
                .streams
                .no_room
                .with_label_values(&labels)
                .inc_by(engines);
        }
        log::info!(
            request = job.metadata.id, service = &*job.service.name, build:? = job.build().map(ToString::to_string),
            engines = self.engines.len(), prefill_only = count(Obstacle::Stage), full = count(Obstacle::Slots),
            slow = count(Obstacle::Pace), prefilling = count(Obstacle::Prefill), prompt = request.prompt_tokens, received = request.received_tokens,
            output = request.expected_output_tokens, step_limit_us = policy::to_u64(request.max_inter_token_latency_us),
            left_ms = policy::micros(job.time_left()) / 1_000,
            waiting = job.gateway.queue(&job.service.name, claim).len();
            "{message}"
        );
    }

    /// Logs where a request is placed, and the data that the decision was based on.
    pub fn log_placement(&self, job: &Job, choice: &Choice, message: &str) {
        let (first, last) = match choice.placement {
            Placement::Single { engine } => (engine, engine),
            Placement::Split { prefill, decode } => (prefill, decode),
        };
        let names = (&*self.targets[first].id.0, &*self.targets[last].id.0);
        let (prefill_engine, decode_engine) = (&self.engines[first], &self.engines[last]);
        let request = placement_request(job);
        log::info!(
            request = job.metadata.id, reads = names.0, writes = names.1,
            expected_us = policy::to_u64(choice.first_event_us),
            margin_us = policy::to_u64(job.gateway.margin_us(&job.service.name)), left_us = request.time_to_objective,
            prompt = request.prompt_tokens, received = request.received_tokens, held = prefill_engine.cached_tokens, fetched = prefill_engine.fetch.tokens, output = request.expected_output_tokens,
            content:% = job.fingerprint, parts = format_parts(job), reading = prefill_engine.prefill_work, writing = decode_engine.answers,
            long = decode_engine.long_answers, start_us = policy::to_u64(decode_engine.latency.overhead_us),
            read_ns = policy::to_u64(prefill_engine.latency.prefill_token_us * NANOS_PER_MICRO),
            step_us = policy::to_u64(decode_engine.latency.decode_token_us), late = prefill_engine.deferred_work,
            slowed_us = decode_engine.latency.contended_token_us.map(policy::to_u64);
            "{message}"
        );
    }
}

/// Returns the number of slots of the engines that get no requests now, and get them again before a request has waited for
/// as long as it may, without those on which it failed.
pub fn recovering_slots(job: &Job, tried: &[Arc<Target>]) -> u64 {
    let now = Instant::now();
    let reach = job.build().map_or(Reach::Own, |_| Reach::Continuation);
    let unreachable = job.gateway.peers.unreachable_data_centres();
    let fleet = job.gateway.registry.fleet(&job.service.name);
    let left = fleet
        .subset()
        .iter()
        .filter(|target| !tried.iter().any(|other| other.id == target.id));
    // requests are sent to those of a build without a row as soon as it has one
    let waiting: u64 = left.clone().map(|target| awaited_slots(job, target)).sum();
    let recovering: u64 = left
        .filter_map(|target| target.recovering(now, now + queue::max_wait(job), reach))
        .filter(|profile| profile.stage != Some(Stage::Prefill))
        .filter(|profile| !unreachable.contains(&profile.data_centre))
        .filter(|profile| job.accepts(&profile.build))
        .map(|profile| profile.slots)
        .sum();
    recovering.saturating_add(waiting)
}

/// Returns the slots of an engine that the request may not use yet, as streams may not begin at its build.
fn awaited_slots(job: &Job, target: &Target) -> u64 {
    let profile = target.with(|state| state.profile.clone());
    let is_awaited = profile.state == State::Ready
        && profile.stage != Some(Stage::Prefill)
        && job.awaits(&profile.build);
    if is_awaited { profile.slots } else { 0 }
}

/// Returns the builds whose engines new requests leave to requests that wait for them, since there are engines of others.
pub fn reserved_builds(job: &Job) -> Vec<Build> {
    let awaited = job.gateway.awaited_builds(&job.service.name);
    if awaited.is_empty() {
        return awaited;
    }
    let now = Instant::now();
    let fleet = job.gateway.registry.fleet(&job.service.name);
    let unreachable = job.gateway.peers.unreachable_data_centres();
    let has_others = fleet.subset().iter().any(|target| {
        target.with(|state| {
            let profile = &state.profile;
            let is_reachable = !unreachable.contains(&profile.data_centre);
            is_reachable && !awaited.contains(&profile.build) && state.accepts(now, Reach::Own)
        })
    });
    if has_others { awaited } else { Vec::new() }
}

/// Returns the builds of engines, sorted.
fn builds(candidates: &[(Arc<Target>, endpoint::Snapshot)]) -> Vec<Build> {
    let mut builds: Vec<Build> = Vec::new();
    for (_, seen) in candidates {
        if let Err(index) = builds.binary_search(&seen.profile.build) {
            builds.insert(index, seen.profile.build.clone());
        }
    }
    builds
}

/// Returns the KV group of a build: only engines of one build can use each other's KV caches.
fn kv_group(builds: &[Build], build: &Build) -> u32 {
    let index = builds.binary_search(build).unwrap_or_default();
    u32::try_from(index).unwrap_or(u32::MAX)
}

/// Leaves the engines of the `awaited` builds out if there are others: requests that only those can serve wait for slots.
fn leave_out_awaited(candidates: &mut Vec<(Arc<Target>, endpoint::Snapshot)>, awaited: &[Build]) {
    let is_awaited = |seen: &endpoint::Snapshot| awaited.contains(&seen.profile.build);
    if candidates.iter().any(|(_, seen)| !is_awaited(seen)) {
        candidates.retain(|(_, seen)| !is_awaited(seen));
    }
}

/// Keeps only the engines with the fewest suspects of each stage. Suspects are kept apart, because
/// a harmless one that is in flight beside one that crashes endpoints would also be blamed for the
/// next crash.
fn isolate_suspects(candidates: &mut Vec<(Arc<Target>, endpoint::Snapshot)>) {
    for stage in [Some(Stage::Prefill), Some(Stage::Decode)] {
        let of_stage = candidates
            .iter()
            .filter(|(_, seen)| seen.profile.stage == stage);
        let least = of_stage.map(|(_, seen)| seen.load.suspects).min();
        candidates
            .retain(|(_, seen)| seen.profile.stage != stage || Some(seen.load.suspects) == least);
    }
}

/// Formats the parts of a request's prompt for the log.
fn format_parts(job: &Job) -> String {
    let prompt = job.metadata.prompt.iter();
    let parts = prompt.flat_map(|prompt| &prompt.parts);
    let named: Vec<String> = parts
        .map(|part| format!("{:x}:{}", part.key, part.tokens))
        .collect();
    named.join(" ")
}

/// Returns the rank of an endpoint in this process's order of preference, which differs between
/// processes.
fn rank(job: &Job, target: &Target) -> u64 {
    let seed = job.gateway.incarnation;
    xxhash_rust::xxh3::xxh3_64_with_seed(&target.short_id.to_le_bytes(), seed)
}

fn engine(seen: &endpoint::Snapshot, local: &str, rank: u64) -> place::Engine {
    let stage = seen.profile.stage.unwrap_or(Stage::Decode);
    place::Engine {
        stage: match stage {
            Stage::Prefill => place::Stage::Prefill,
            Stage::Decode => place::Stage::Decode,
        },
        prefill_work: seen.load.prefill_work,
        deferred_work: seen.load.deferred_work,
        deferred_prompts: seen.load.deferred_prompts,
        answers: seen.load.decoding,
        long_answers: seen.load.long_answers,
        decode_slots: seen.profile.slots,
        cached_tokens: seen.cached_tokens,
        kv_group: 0,
        fetch: place::Fetch::default(),
        latency: seen.latency,
        extra_round_trip: if *seen.profile.data_centre == *local {
            0
        } else {
            REMOTE_RTT_US
        },
        failure_ratio: seen.failure_ratio,
        rank,
    }
}

/// Returns the input of a request to placement: what remains of its answer.
pub fn placement_request(job: &Job) -> Request {
    let remainder = job.remainder();
    let left = job.objective.saturating_duration_since(Instant::now());
    Request {
        prompt_tokens: remainder.prompt_tokens,
        received_tokens: remainder.received_tokens,
        expected_output_tokens: remainder.expected_output_tokens,
        has_length_hint: remainder.has_length_hint,
        has_begun: job.build().is_some(),
        time_to_objective: policy::micros(left),
        max_inter_token_latency_us: remainder
            .max_inter_token_latency_us(policy::micros(job.time_left())),
        service_max_inter_token_latency_us: max_inter_token_latency_us(job),
        tokens_per_event: job.tokens_per_event(),
        max_stall_us: job
            .max_stall
            .map_or(f64::MAX, |stall| policy::to_f64(policy::micros(stall))),
    }
}

/// Returns the highest inter-token latency that long answers of the request's service tolerate, in
/// microseconds.
fn max_inter_token_latency_us(job: &Job) -> f64 {
    let service_limit_us = job.gateway.max_inter_token_latency_us(&job.service.name);
    let limit = job.max_stall.map_or(f64::MAX, |stall| {
        policy::to_f64(policy::micros(stall)) / policy::to_f64(job.tokens_per_event())
    });
    service_limit_us.min(limit)
}

/// Whether what remains of the answer is expected to be long.
pub fn is_long_answer(job: &Job) -> bool {
    placement_request(job).expected_output_tokens > Weights::default().short_answer_max_tokens
}

/// Adds a request to the demand of its service.
pub fn count_demand(job: &Job, snapshot: &Snapshot) {
    let gateway = &job.gateway;
    let service = &job.service.name;
    let request = placement_request(job);
    let is_long = is_long_answer(job);
    let demand = DemandTotals {
        prefill_work: snapshot.prefill_work(job),
        decode_tokens: if is_long {
            request.expected_output_tokens
        } else {
            0
        },
    };
    gateway.count_demand(service, demand);
    if is_long {
        gateway.record_long_answer(service, request.max_inter_token_latency_us);
    }
}
