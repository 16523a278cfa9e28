//! Prompts being read, and their KV caches that wait to be fetched.

use std::sync::Arc;

use clock::Instant;
use http_body_util::{BodyExt, Collected, Limited};
use policy::estimate::WaitFactor;

use super::{
    run::failed,
    timing,
    view::{View, ask},
};
use crate::{
    edge::{Directive, Handle, Urgency},
    endpoint::{Reading, Target},
    process::Gateway,
    request::{
        attempt::{self, Cause},
        attempts::{Attempts, Failed, Phase},
        job::Job,
        timeout::{Early, Timeout},
    },
};

/// The most of an answer to a read prompt that is taken, in bytes.
const HANDLE_BYTES: usize = 16 << 10;

/// A prompt being read, with what was ahead of it.
pub struct Counted {
    /// Counts it as long as this lives.
    pub guard: Reading,
    /// Work that was ahead of it.
    pub ahead: u64,
}

/// Counts a prompt at an engine, and notes that the engine will hold its parts.
pub fn begin(job: &Job, view: &View, at: usize, late: bool) -> Counted {
    let target = &view.targets[at];
    let engine = &view.engines[at];
    let held = engine.cached_tokens + engine.fetch.tokens;
    let work = policy::prompt::prefill_work(ask(job).prompt_tokens, held);
    let paces = job.gateway.paces(&job.service.name);
    let now = Instant::now();
    let ahead = target.with(|state| {
        let common = paces.of(state.profile.stage);
        let load = state.load();
        let left = state.left(now, common);
        let ahead = policy::place::work_ahead(left, load.late, load.late_prompts);
        if !late {
            state.sends(now, common, work);
        }
        ahead
    });
    use_parts(job, target, false);
    Counted {
        guard: Reading::new(target, work, late),
        ahead,
    }
}

/// Notes that an engine will hold the parts of a prompt: soon if it is `fetched`, or else once it is read.
pub fn use_parts(job: &Job, target: &Arc<Target>, fetched: bool) {
    if let Some(prompt) = &job.ask.prompt {
        let common = job.gateway.common(&job.service.name);
        target.with(|state| state.uses(Instant::now(), &common, &prompt.parts, fetched));
        job.gateway.peers.placed(target.short, &prompt.parts);
    }
}

/// When a prompt is wanted, with the time in microseconds that is expected.
#[derive(Clone, Copy, Debug)]
pub enum Wanted {
    /// Its answer is to begin in time, after so long.
    InTime(f64),
    /// Its answer is late, and it gives way to others; it is read after so long.
    Late(f64),
}

impl Wanted {
    /// When its engine is suspected to be lost; a late prompt may wait.
    fn early<'a>(self, job: &'a Job, attempts: &'a Attempts) -> Option<Early<'a>> {
        match self {
            Self::InTime(first) => Some(timing::early(job, attempts, first)),
            Self::Late(_) => None,
        }
    }
}

/// A prompt that is waited for. What a late one shows of its line is learnt also if its caller leaves before it is
/// read.
struct Wait<'a> {
    job: &'a Job,
    /// The time expected of a late prompt, until it is known how long it took.
    expected: Option<f64>,
    begun: Instant,
}

impl<'a> Wait<'a> {
    fn new(job: &'a Job, wanted: Wanted) -> Self {
        let expected = match wanted {
            Wanted::InTime(_) => None,
            Wanted::Late(read) => Some(read),
        };
        Self {
            job,
            expected,
            begun: Instant::now(),
        }
    }

    /// Takes that the prompt has been read.
    fn end(&mut self) {
        self.learn(WaitFactor::observe);
    }

    fn learn(&mut self, learn: impl FnOnce(&mut WaitFactor, f64, policy::Micros)) {
        if let Some(expected) = self.expected.take() {
            let took = policy::micros(self.begun.elapsed());
            let gateway = &self.job.gateway;
            gateway.learn_stretch(&self.job.service.name, |stretch| {
                learn(stretch, expected, took);
            });
        }
    }
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        self.learn(WaitFactor::observe_cancelled);
    }
}

/// Has a prompt read at an engine, which keeps its KV cache for another one.
pub async fn keep(
    job: &Job,
    view: &View,
    at: usize,
    attempts: &Attempts,
    wanted: Wanted,
) -> Result<Kept, Failed> {
    let target = &view.targets[at];
    let late = matches!(wanted, Wanted::Late(_));
    let failed = |cause| failed(target, cause, Phase::Read);
    let counted = begin(job, view, at, late);
    let begun = Instant::now();
    let directive = Directive {
        time_left: job.time_left(),
        expect: Some(target.id.clone()),
        read_only: true,
        fetch_from: view.fetch_from(at),
        urgency: Some(if late { Urgency::Low } else { Urgency::Normal }),
        ..Directive::default()
    };
    let timeout = Timeout::or_earlier(job.deadline, wanted.early(job, attempts));
    let mut wait = Wait::new(job, wanted);
    let answer = match attempt::send(job, target, &directive, timeout).await {
        Ok(answer) => answer,
        Err(cause) => {
            job.arrivals.read_failed();
            return Err(failed(match cause {
                Cause::TimeOver if late => Cause::GaveWay,
                cause => cause,
            }));
        }
    };
    let status = answer.head.status;
    let body = Limited::new(answer.body, HANDLE_BYTES).collect().await;
    let body = body.map(Collected::to_bytes);
    let body = match body {
        Ok(body) if status.is_success() => body,
        Ok(_) => {
            answer.run.answered();
            job.arrivals.read_failed();
            return Err(failed(Cause::Failed(status.as_u16())));
        }
        Err(_) => {
            job.arrivals.read_failed();
            answer.run.broke();
            job.gateway.look_for_end(target, &job.ask.id).await;
            return Err(failed(Cause::Broken));
        }
    };
    answer.run.answered();
    job.arrivals.accepted(job);
    wait.end();
    let address = target.with(|state| state.profile.address);
    let handle = job.gateway.edges.dialect.handle(address, &body);
    let handle = handle.ok_or_else(|| failed(Cause::Foreign))?;
    if !late {
        learn(job, target, counted.ahead + counted.guard.work(), begun);
    }
    target.give_back(answer.link);
    log::info!(
        request = job.ask.id, endpoint = &*target.id.0, late, ahead = counted.ahead,
        work = counted.guard.work(), took_us = policy::micros(begun.elapsed());
        "a prompt was read"
    );
    Ok(Kept {
        handle,
        target: Arc::clone(target),
        gateway: Arc::clone(&job.gateway),
        taken: false,
    })
}

/// Learns from a prompt that was read, with all the work there was since it was sent.
pub fn learn(job: &Job, target: &Target, work: u64, begun: Instant) {
    let took = policy::micros(begun.elapsed());
    job.gateway
        .learn_pace(target, |pace| pace.observe_prefill(work, took));
}

/// A handle that is given back if nobody takes it.
pub struct Kept {
    /// The handle.
    pub handle: Handle,
    target: Arc<Target>,
    gateway: Arc<Gateway>,
    taken: bool,
}

impl Kept {
    /// Notes that an engine has fetched it.
    pub fn taken(mut self) {
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
