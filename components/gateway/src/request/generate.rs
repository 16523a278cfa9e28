//! Generations: placed on engines that read prompts and engines that write answers.

use std::{net::SocketAddr, sync::Arc};

use http_body_util::{BodyExt, Limited};
use hyper::Response;
use policy::{
    place::{self, Ask, Choice, Plan, Weights},
    prompt::Prompt,
};
use tokio::time::Instant;

use super::{
    attempt::{self, Answer, Cause},
    effort::{Effort, Failed, Phase},
    job::Job,
    pass::{self, Body},
    refusal::{Reason, SOON},
};
use crate::{
    edge::{Directive, Handle, Urgency},
    endpoint::{Reading, Seen, Stage, Target, Verdict, Writing},
    process::Gateway,
};

/// Time there and back to an engine in another data centre, until it is measured.
const FAR: policy::Micros = 4_000;
/// The most of an answer to a read prompt that is taken.
const HANDLE_BYTES: usize = 16 << 10;
/// The part of the time left in which the prompt of a late answer must be read: the rest is for
/// writing, and for what was expected wrongly.
const LATE_READ: f64 = 0.2;
/// How many times as long as expected an engine may take before it is taken to be silent, and how much
/// longer besides: expectations are wrong by less.
const EXPECTED_TIMES: u32 = 3;
const GRACE: std::time::Duration = std::time::Duration::from_millis(250);
/// The part of a deadline after which a late answer is not begun: it would be cut before its end.
const LATEST: u32 = 2;

/// Serves a generation.
pub async fn serve(job: Job) -> Result<Response<Body>, Reason> {
    let mut effort = Effort::default();
    let mut may_split = true;
    loop {
        let mut view = View::new(&job, effort.tried());
        if effort.is_fresh() {
            job.gateway
                .count_demand(&job.service.name, view.to_read(&job));
        }
        if !may_split {
            view.only_writers();
        }
        let choice = view.choose(&job).ok_or_else(|| effort.give_up())?;
        if !ends_before_stop(&job, &view, &choice) {
            return Err(Reason::Stopping);
        }
        let timing = if effort.is_fresh() {
            place(&job, &view, &choice)?
        } else {
            view.tell(&job, &choice, "placed again");
            Timing::InTime
        };
        let outcome = match (timing, choice.plan) {
            (Timing::Late { prefill }, _) => split(&job, &view, prefill, &effort, None).await,
            (Timing::InTime, Plan::Whole { engine }) => {
                let until = patience(&job, &effort, &choice);
                whole(&job, &view, engine, until, None).await
            }
            (Timing::InTime, Plan::Split { prefill, .. }) => {
                split(&job, &view, prefill, &effort, Some(&choice)).await
            }
        };
        match outcome {
            Ok((answer, writing)) => {
                if effort.is_fresh() && timing == Timing::InTime {
                    let took = policy::micros(job.arrived.elapsed());
                    job.gateway
                        .learn_margin(&job.service.name, choice.first, took);
                }
                return Ok(pass::hand_on(job, answer, writing, effort.runs() + 1));
            }
            Err(failed) => {
                // a second read and a second fetch would be two more arrivals
                may_split = failed.cause != Cause::NoHandle;
                effort.fail(&job, failed)?;
            }
        }
    }
}

/// How long an answer is waited for: where another attempt may follow, only as long as an engine that
/// works would take.
fn patience(job: &Job, effort: &Effort, choice: &Choice) -> Instant {
    if !effort.may_repeat_after_next(job) {
        return job.deadline;
    }
    let expected = std::time::Duration::from_micros(policy::count(choice.first));
    (Instant::now() + expected * EXPECTED_TIMES + GRACE).min(job.deadline)
}

/// Goes on with a stream that broke, on another engine.
pub async fn resume(
    job: &Job,
    after: Option<u64>,
    from: &Arc<Target>,
) -> Result<(Answer, Writing), Cause> {
    let view = View::new(job, std::slice::from_ref(from));
    let choice = view.choose(job).ok_or(Cause::TimeOver)?;
    let engine = match choice.plan {
        Plan::Whole { engine } => engine,
        Plan::Split { decode, .. } => decode,
    };
    let resumed = whole(job, &view, engine, job.deadline, after).await;
    resumed.map_err(|failed| {
        if let Some(verdict) = failed.cause.verdict() {
            failed.target.note(verdict, &job.ask.id);
        }
        failed.cause
    })
}

/// How much longer than expected an answer may take where it must not be cut.
const LONGER: f64 = 1.3;

/// Whether an answer ends before this process does, if it stops.
fn ends_before_stop(job: &Job, view: &View, choice: &Choice) -> bool {
    let writer = match choice.plan {
        Plan::Whole { engine } => engine,
        Plan::Split { decode, .. } => decode,
    };
    let step = view.engines[writer].pace.step_us;
    let after = |tokens: u64, step: f64| {
        let us = choice.first + policy::real(tokens) * step;
        std::time::Duration::from_micros(policy::count(us * LONGER))
    };
    let most = job
        .ask
        .prompt
        .as_ref()
        .map_or(0, |prompt| prompt.most_output);
    let stretched = step * Weights::default().stretch;
    job.ends_before_stop(after(ask(job).output, step), after(most, stretched))
}

/// Whether an answer will begin in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Timing {
    /// It will.
    InTime,
    /// It won't, but there is time for a late one; its prompt is read when no other one waits.
    Late {
        /// The engine that reads it.
        prefill: usize,
    },
}

/// Decides whether a request is served in time, late or not at all, which is said at once.
fn place(job: &Job, view: &View, choice: &Choice) -> Result<Timing, Reason> {
    let left = policy::micros(job.objective.saturating_duration_since(Instant::now()));
    let margin = job.gateway.margin(&job.service.name);
    let expected = policy::count(choice.first + margin);
    if expected <= left {
        view.tell(job, choice, "placed");
        return Ok(Timing::InTime);
    }
    let time = policy::real(policy::micros(job.time_left())) * LATE_READ;
    if let Some(prefill) = place::choose_late(&view.engines, &ask(job), &Weights::default(), time) {
        view.tell(job, choice, "placed late");
        return Ok(Timing::Late { prefill });
    }
    let over = std::time::Duration::from_micros(expected - left);
    Err(Reason::Late(over.clamp(SOON, job.time_left() / LATEST)))
}

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
struct View {
    targets: Vec<Arc<Target>>,
    engines: Vec<place::Engine>,
    /// The engine from which the others can fetch the most of the prompt.
    source: Option<usize>,
}

impl View {
    fn new(job: &Job, tried: &[Arc<Target>]) -> Self {
        let now = Instant::now();
        let fleet = job.gateway.registry.fleet(&job.service.name);
        let parts = job
            .ask
            .prompt
            .as_ref()
            .map_or(&[][..], |prompt| &prompt.parts);
        let near = &job.gateway.settings.gateway.data_centre;
        let cut_off = job.gateway.peers.cut_off();
        let (targets, engines) = fleet
            .targets()
            .iter()
            .filter(|target| !tried.iter().any(|other| other.id == target.id))
            .filter_map(|target| {
                let seen = target.seen(now, parts)?;
                let reached = !cut_off.contains(&seen.profile.data_centre);
                reached.then(|| (Arc::clone(target), engine(job, &seen, near)))
            })
            .unzip();
        let mut view = Self {
            targets,
            engines,
            source: None,
        };
        view.add_fetches(job);
        view
    }

    /// Leaves engines that read alone.
    fn only_writers(&mut self) {
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

    /// Finds what engines that lack parts of the prompt can fetch from the one that holds the most.
    fn add_fetches(&mut self, job: &Job) {
        let Some(engines) = &job.service.engines else {
            return;
        };
        let most = self.engines.iter().enumerate();
        let Some((at, held)) = most
            .map(|(at, engine)| (at, engine.held))
            .max_by_key(|(_, held)| *held)
        else {
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
    fn fetch_from(&self, at: usize) -> Option<SocketAddr> {
        let source = &self.targets[self.source?];
        let fetches = self.engines[at].fetch.tokens > 0;
        fetches.then(|| source.with(|state| state.profile.address))
    }

    fn choose(&self, job: &Job) -> Option<Choice> {
        let draw = rand::random();
        place::choose(&self.engines, &ask(job), &Weights::default(), draw)
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
    fn tell(&self, job: &Job, choice: &Choice, how: &str) {
        let (at, writer) = match choice.plan {
            Plan::Whole { engine } => (engine, engine),
            Plan::Split { prefill, decode } => (prefill, decode),
        };
        let (reads, writes) = (&self.engines[at], &self.engines[writer]);
        let ask = ask(job);
        log::info!(
            request = job.ask.id, reads = &*self.targets[at].id.0, writes = &*self.targets[writer].id.0,
            expected_us = policy::count(choice.first),
            margin_us = policy::count(job.gateway.margin(&job.service.name)), left_us = ask.within,
            prompt = ask.prompt, held = reads.held, fetched = reads.fetch.tokens, output = ask.output,
            reading = reads.reading, writing = writes.writing,
            long = writes.long, start_us = policy::count(writes.pace.start_us),
            read_ns = policy::count(reads.pace.read_us * NANOS),
            step_us = policy::count(writes.pace.step_us), late = reads.late;
            "{how}"
        );
    }
}

fn engine(job: &Job, seen: &Seen, near: &str) -> place::Engine {
    let stage = seen.profile.stage.unwrap_or(Stage::Decode);
    let common = || job.gateway.pace(&job.service.name, stage);
    place::Engine {
        stage: match stage {
            Stage::Prefill => place::Stage::Prefill,
            Stage::Decode => place::Stage::Decode,
        },
        reading: seen.load.reading,
        late: seen.load.late,
        writing: seen.load.writing,
        long: seen.load.long,
        slots: seen.profile.slots,
        held: seen.held,
        fetch: place::Fetch::default(),
        pace: seen.pace.unwrap_or_else(common),
        distance: if *seen.profile.data_centre == *near {
            0
        } else {
            FAR
        },
        failures: seen.failures,
    }
}

fn ask(job: &Job) -> Ask {
    let none = Prompt::default();
    let prompt = job.ask.prompt.as_ref().unwrap_or(&none);
    let left = job.objective.saturating_duration_since(Instant::now());
    Ask {
        prompt: prompt.tokens,
        output: prompt.expected_output(),
        within: policy::micros(left),
        event: job
            .service
            .engines
            .as_ref()
            .map_or(1, |engines| engines.event_tokens),
        pause: job.pause.map_or(policy::Micros::MAX, policy::micros),
    }
}

/// Whether a request's answer will be long.
fn is_long(job: &Job) -> bool {
    ask(job).output > Weights::default().long_answer
}

type Attempted = Result<(Answer, Writing), Failed>;

fn failed(target: &Arc<Target>, cause: Cause, phase: Phase) -> Failed {
    Failed {
        target: Arc::clone(target),
        cause,
        phase,
    }
}

/// One engine reads and writes.
async fn whole(
    job: &Job,
    view: &View,
    at: usize,
    until: Instant,
    resume_after: Option<u64>,
) -> Attempted {
    let target = &view.targets[at];
    let reading = read_at(job, view, at, false);
    let (ahead, begun) = (reading.ahead, Instant::now());
    let directive = Directive {
        time_left: job.time_left(),
        expect: Some(target.id.clone()),
        resume_after,
        fetch_from: view.fetch_from(at),
        ..Directive::default()
    };
    let writing = Writing::new(target, is_long(job));
    let sent = attempt::send(job, target, &directive, until).await;
    let answer = sent.map_err(|cause| failed(target, cause, Phase::Run))?;
    learn(job, target, ahead + reading.guard.work(), begun);
    Ok((answer, writing))
}

/// One engine reads, another one writes. Which one writes is decided when the prompt has been read,
/// as much has changed until then. Without a choice the prompt is late and gives way to others.
async fn split(
    job: &Job,
    view: &View,
    prefill: usize,
    effort: &Effort,
    choice: Option<&Choice>,
) -> Attempted {
    let handle = read(job, view, prefill, choice).await?;
    let prefill = &view.targets[prefill];
    let view = View::new(job, effort.tried());
    let Some(at) = place::choose_writer(
        &view.engines,
        &ask(job),
        &Weights::default(),
        rand::random(),
    ) else {
        return Err(failed(prefill, Cause::NoWriter, Phase::Read));
    };
    let decode = &view.targets[at];
    let writing = Writing::new(decode, is_long(job));
    let directive = Directive {
        time_left: job.time_left(),
        expect: Some(decode.id.clone()),
        handle: Some(handle.handle.clone()),
        ..Directive::default()
    };
    use_parts(job, decode);
    let begun = Instant::now();
    let until = if effort.may_repeat_after_next(job) {
        (begun + GRACE * 2).min(job.deadline)
    } else {
        job.deadline
    };
    match attempt::send(job, decode, &directive, until).await {
        Ok(answer) => {
            let took = policy::micros(begun.elapsed());
            job.gateway.learn_pace(decode, |pace| pace.began(took));
            prefill.note(Verdict::Fine, &job.ask.id);
            handle.taken();
            Ok((answer, writing))
        }
        // the writer can't tell why, but most often it is the reader that has lost the handle
        Err(Cause::NotRun(_)) => {
            prefill.note(Verdict::Failed, &job.ask.id);
            Err(failed(decode, Cause::NoHandle, Phase::Run))
        }
        Err(cause) => Err(failed(decode, cause, Phase::Run)),
    }
}

/// A prompt being read, with what was ahead of it.
struct Counted {
    guard: Reading,
    ahead: u64,
}

/// Counts a prompt at an engine, and notes that the engine will hold its parts.
fn read_at(job: &Job, view: &View, at: usize, late: bool) -> Counted {
    let target = &view.targets[at];
    let engine = &view.engines[at];
    let held = engine.held + engine.fetch.tokens;
    let ahead = target.with(|state| state.own.with(state.peers).reading);
    use_parts(job, target);
    Counted {
        guard: Reading::new(target, policy::prompt::work(ask(job).prompt, held), late),
        ahead,
    }
}

fn use_parts(job: &Job, target: &Arc<Target>) {
    if let Some(prompt) = &job.ask.prompt {
        target.with(|state| state.memory.used(&prompt.parts));
        job.gateway.peers.placed(target.short, &prompt.parts);
    }
}

/// Has a prompt read at an engine, which keeps its KV cache for another one.
async fn read(job: &Job, view: &View, at: usize, choice: Option<&Choice>) -> Result<Kept, Failed> {
    let target = &view.targets[at];
    let late = choice.is_none();
    let failed = |cause| failed(target, cause, Phase::Read);
    let counted = read_at(job, view, at, late);
    let begun = Instant::now();
    let directive = Directive {
        time_left: job.time_left(),
        expect: Some(target.id.clone()),
        read_only: true,
        fetch_from: view.fetch_from(at),
        urgency: Some(if late { Urgency::Low } else { Urgency::Normal }),
        ..Directive::default()
    };
    let expected =
        choice.map(|choice| std::time::Duration::from_micros(policy::count(choice.first)));
    let until = expected.map_or(job.deadline, |expected| {
        (begun + expected * EXPECTED_TIMES + GRACE).min(job.deadline)
    });
    let answer = match attempt::send(job, target, &directive, until).await {
        Ok(answer) => answer,
        Err(Cause::TimeOver) if late => return Err(failed(Cause::GaveWay)),
        Err(cause) => {
            if matches!(cause, Cause::NotRun(_)) {
                job.arrivals.rejected(job);
            }
            return Err(failed(cause));
        }
    };
    let status = answer.head.status;
    let body = Limited::new(answer.body, HANDLE_BYTES).collect().await;
    let body = body.map_err(|_| failed(Cause::Broken))?.to_bytes();
    if !status.is_success() {
        return Err(failed(Cause::Failed(status.as_u16())));
    }
    job.arrivals.accepted();
    let address = target.with(|state| state.profile.address);
    let handle = job.gateway.edges.dialect.handle(address, &body);
    let handle = handle.ok_or_else(|| failed(Cause::Foreign))?;
    if !late {
        learn(job, target, counted.ahead + counted.guard.work(), begun);
    }
    target.give_back(answer.link);
    Ok(Kept {
        handle,
        target: Arc::clone(target),
        gateway: Arc::clone(&job.gateway),
        taken: false,
    })
}

fn learn(job: &Job, target: &Target, work: u64, begun: Instant) {
    let took = policy::micros(begun.elapsed());
    job.gateway.learn_pace(target, |pace| pace.read(work, took));
}

/// A handle that is given back if nobody takes it.
struct Kept {
    handle: Handle,
    target: Arc<Target>,
    gateway: Arc<Gateway>,
    taken: bool,
}

impl Kept {
    fn taken(mut self) {
        self.taken = true;
    }
}

impl Drop for Kept {
    fn drop(&mut self) {
        if self.taken {
            return;
        }
        let call = self.gateway.edges.dialect.release(&self.handle);
        let target = Arc::clone(&self.target);
        // a handle that stays is only a cost, and the engine drops it in the end
        tokio::spawn(async move { attempt::call(&target, call).await });
    }
}
