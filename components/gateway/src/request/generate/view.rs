//! The engines of a service as one decision sees them.

use std::{net::SocketAddr, sync::Arc};

use clock::Instant;
use policy::{
    place::{self, Ask, Choice, Plan, Weights},
    prompt::Prompt,
};

use crate::{
    endpoint::{Seen, Stage, Target},
    process::DemandTotals,
    request::job::Job,
};

/// Time there and back to an engine in another data centre, until it is measured.
const FAR: policy::Micros = 4_000;
/// Fewer tokens than this are read rather than fetched.
const LEAST_FETCH: u64 = 512;
/// How much longer a fetch may take than the link needs: others are under way, and it may come from
/// another data centre.
const FETCH_SLACK: f64 = 3.0;
/// Microseconds in a second.
const MICROS: f64 = 1e6;
/// Nanoseconds in a microsecond.
const NANOS: f64 = 1e3;

/// The engines of a service as one decision sees them.
pub struct View {
    /// The endpoints, by index.
    pub targets: Vec<Arc<Target>>,
    /// The same as placement sees them.
    pub engines: Vec<place::Engine>,
    /// The engine from which the others can fetch the most of the prompt.
    source: Option<usize>,
}

impl View {
    /// The engines that take a request now, without those that failed it.
    pub fn new(job: &Job, tried: &[Arc<Target>]) -> Self {
        let now = Instant::now();
        let fleet = job.gateway.registry.fleet(&job.service.name);
        let parts = job
            .ask
            .prompt
            .as_ref()
            .map_or(&[][..], |prompt| &prompt.parts);
        let near = &job.gateway.settings.gateway.data_centre;
        let cut_off = job.gateway.peers.cut_off();
        let common = job.gateway.common(&job.service.name);
        let mut found: Vec<(Arc<Target>, Seen)> = fleet
            .used()
            .iter()
            .filter(|target| !tried.iter().any(|other| other.id == target.id))
            .filter_map(|target| Some((Arc::clone(target), target.seen(now, parts, &common)?)))
            .filter(|(_, seen)| !cut_off.contains(&seen.profile.data_centre))
            .collect();
        if job.gateway.is_suspect(job.content) {
            keep_apart(&mut found);
        }
        let fetchable: Vec<u64> = found.iter().map(|(_, seen)| seen.fetchable).collect();
        let (targets, engines) = found
            .into_iter()
            .map(|(target, seen)| {
                let engine = engine(&seen, near, order(job, &target));
                (target, engine)
            })
            .unzip();
        let mut view = Self {
            targets,
            engines,
            source: None,
        };
        view.add_fetches(job, &fetchable);
        view
    }

    /// Leaves engines that read alone.
    pub fn only_writers(&mut self) {
        let stages = self.engines.iter().map(|engine| engine.stage);
        let keep: Vec<bool> = stages.map(|stage| stage == place::Stage::Decode).collect();
        let mut kept = keep.iter();
        self.targets.retain(|_| kept.next() == Some(&true));
        let mut kept = keep.iter();
        self.engines.retain(|_| kept.next() == Some(&true));
        self.source = None;
        for engine in &mut self.engines {
            engine.fetch = place::Fetch::default();
        }
    }

    /// Finds what engines that lack parts of the prompt can fetch from the one that has the most to give: a part
    /// that is still being read there would be read again.
    fn add_fetches(&mut self, job: &Job, fetchable: &[u64]) {
        let Some(engines) = &job.service.engines else {
            return;
        };
        let most = fetchable.iter().copied().enumerate();
        let Some((at, held)) = most.max_by_key(|(_, held)| *held) else {
            return;
        };
        let token_us = engines.move_token.as_secs_f64() * MICROS;
        for engine in &mut self.engines {
            let tokens = held.saturating_sub(engine.held);
            if tokens >= LEAST_FETCH {
                engine.fetch = place::Fetch {
                    tokens,
                    time: policy::real(tokens) * token_us * FETCH_SLACK,
                };
            }
        }
        self.source = Some(at);
    }

    /// Where an engine should fetch parts of the prompt that it lacks.
    pub fn fetch_from(&self, at: usize) -> Option<SocketAddr> {
        let source = &self.targets[self.source?];
        let fetches = self.engines[at].fetch.tokens > 0;
        fetches.then(|| source.with(|state| state.profile.address))
    }

    /// Where the request is best placed.
    pub fn choose(&self, job: &Job) -> Option<Choice> {
        place::choose(&self.engines, &ask(job), &Weights::default())
    }

    /// Whether a request that finds no room, behind so many others, may get some before its time is over: the
    /// line is no longer than the slots that answers leave one after the other.
    pub fn may_get_room(&self, waiting: usize) -> bool {
        let writers = self.engines.iter();
        let writers = writers.filter(|engine| engine.stage == place::Stage::Decode);
        let slots: u64 = writers.map(|engine| engine.slots).sum();
        u64::try_from(waiting).is_ok_and(|waiting| waiting < slots)
    }

    /// Whether the plan reads a prompt so short where it is answered that it makes no difference to anybody: then
    /// a request that is late goes there too.
    pub fn reads_in_passing(&self, job: &Job, choice: &Choice) -> bool {
        match choice.plan {
            Plan::Whole { engine } => {
                place::is_short(&self.engines[engine], &ask(job), &Weights::default())
            }
            Plan::Split { .. } => false,
        }
    }

    /// The work for an engine that reads; none if the prompt is short.
    fn to_read(&self, job: &Job) -> u64 {
        let prompt = ask(job).prompt;
        let readers = self
            .engines
            .iter()
            .filter(|engine| engine.stage == place::Stage::Prefill);
        let held = readers.map(|engine| engine.held).max().unwrap_or(0);
        if prompt.saturating_sub(held) > Weights::default().short_prompt {
            policy::prompt::work(prompt, held)
        } else {
            0
        }
    }

    /// Says where a request is placed, and what that was decided by.
    pub fn log_placement(&self, job: &Job, choice: &Choice, how: &str) {
        let (first, last) = match choice.plan {
            Plan::Whole { engine } => (engine, engine),
            Plan::Split { prefill, decode } => (prefill, decode),
        };
        let names = (&*self.targets[first].id.0, &*self.targets[last].id.0);
        let (reader, writer) = (&self.engines[first], &self.engines[last]);
        let ask = ask(job);
        log::info!(
            request = job.ask.id, reads = names.0, writes = names.1,
            expected_us = policy::count(choice.first),
            margin_us = policy::count(job.gateway.margin(&job.service.name)), left_us = ask.within,
            prompt = ask.prompt, held = reader.held, fetched = reader.fetch.tokens, output = ask.output,
            content:% = job.content, parts = parts(job), reading = reader.reading, writing = writer.writing,
            long = writer.long, start_us = policy::count(writer.pace.start_us),
            read_ns = policy::count(reader.pace.read_us * NANOS),
            step_us = policy::count(writer.pace.step_us), late = reader.late,
            slowed_us = writer.pace.slowed_us.map(policy::count);
            "{how}"
        );
    }
}

/// Keeps of each stage the engines with the fewest suspects. Of two requests that end endpoints, or seem to, each must
/// be seen for itself: one that another one took down with it would otherwise go down with it again.
fn keep_apart(found: &mut Vec<(Arc<Target>, Seen)>) {
    for stage in [Some(Stage::Prefill), Some(Stage::Decode)] {
        let of_stage = found.iter().filter(|(_, seen)| seen.profile.stage == stage);
        let least = of_stage.map(|(_, seen)| seen.load.suspects).min();
        found.retain(|(_, seen)| seen.profile.stage != stage || Some(seen.load.suspects) == least);
    }
}

/// The parts of a request's prompt as a line of the log names them.
fn parts(job: &Job) -> String {
    let prompt = job.ask.prompt.iter();
    let parts = prompt.flat_map(|prompt| &prompt.parts);
    let named: Vec<String> = parts
        .map(|part| format!("{:x}:{}", part.key, part.tokens))
        .collect();
    named.join(" ")
}

/// The place of an endpoint in this process's own order.
fn order(job: &Job, target: &Target) -> u64 {
    let seed = job.gateway.incarnation;
    xxhash_rust::xxh3::xxh3_64_with_seed(&target.short.to_le_bytes(), seed)
}

fn engine(seen: &Seen, near: &str, order: u64) -> place::Engine {
    let stage = seen.profile.stage.unwrap_or(Stage::Decode);
    place::Engine {
        stage: match stage {
            Stage::Prefill => place::Stage::Prefill,
            Stage::Decode => place::Stage::Decode,
        },
        reading: seen.load.reading,
        late: seen.load.late,
        late_prompts: seen.load.late_prompts,
        writing: seen.load.writing,
        long: seen.load.long,
        slots: seen.profile.slots,
        held: seen.held,
        fetch: place::Fetch::default(),
        pace: seen.pace,
        distance: if *seen.profile.data_centre == *near {
            0
        } else {
            FAR
        },
        failures: seen.failures,
        order,
    }
}

/// What a request asks of placement.
pub fn ask(job: &Job) -> Ask {
    let none = Prompt::default();
    let prompt = job.ask.prompt.as_ref().unwrap_or(&none);
    let left = job.objective.saturating_duration_since(Instant::now());
    Ask {
        prompt: prompt.tokens,
        output: prompt.expected_output(),
        within: policy::micros(left),
        pace: policy::real(policy::micros(job.time_left()))
            / policy::real(prompt.most_output.max(1)),
        bearable: bearable(job),
        event: event_tokens(job),
        pause: job
            .pause
            .map_or(f64::MAX, |pause| policy::real(policy::micros(pause))),
    }
}

/// Tokens in one event of an answer.
fn event_tokens(job: &Job) -> u64 {
    let engines = job.service.engines.as_ref();
    engines.map_or(1, |engines| engines.event_tokens.max(1))
}

/// The longest time between two tokens that long answers of a request's service bear, in microseconds.
fn bearable(job: &Job) -> f64 {
    let whole = job.gateway.max_inter_token_latency(&job.service.name);
    let event = event_tokens(job);
    let pause = job.pause.map_or(f64::MAX, |pause| {
        policy::real(policy::micros(pause)) / policy::real(event)
    });
    whole.min(pause)
}

/// Whether a request's answer will be long.
pub fn is_long(job: &Job) -> bool {
    ask(job).output > Weights::default().long_answer
}

/// Counts what a request asks of its service.
pub fn count(job: &Job, view: &View) {
    let gateway = &job.gateway;
    let service = &job.service.name;
    let writing = if is_long(job) { ask(job).output } else { 0 };
    let asked = DemandTotals {
        prefill_work: view.to_read(job),
        decode_tokens: writing,
    };
    gateway.count_demand(service, asked);
    if let Some(prompt) = job.ask.prompt.as_ref().filter(|_| is_long(job)) {
        let time = job.deadline - job.arrived;
        gateway.record_long_answer(service, prompt.most_output, time);
    }
}
