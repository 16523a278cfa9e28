//! Prefill of prompts on an engine, and their KV caches until another engine fetches them.

use std::{sync::Arc, time::Duration};

use clock::Instant;
use http_body_util::{BodyExt, Collected, Limited};
use policy::{estimate::WaitFactor, place};

use super::{
    run::failed,
    snapshot::{Snapshot, placement_request},
    timing,
};
use crate::{
    adapters::{Directive, KvHandle, Priority},
    endpoint::{PrefillGuard, Target},
    process::Gateway,
    request::{
        attempt::{self, Cause},
        attempts::{Attempts, FailedAttempt, Purpose},
        job::Job,
        timeout::{EarlyTimeout, PresumedLost, Timeout},
    },
};

/// Largest response to a prefill-only attempt, in bytes.
const MAX_HANDLE_RESPONSE_BYTES: usize = 16 << 10;
/// Maximum time from the head of that response to its end. The engine sends both once it has prefilled the prompt.
const MAX_HANDLE_RESPONSE_TIME: Duration = Duration::from_millis(500);

/// A prompt in flight on an engine, and the work queued ahead of it.
pub struct InFlight {
    /// Counts the prompt in the engine's load as long as it lives.
    pub guard: PrefillGuard,
    /// Work that was queued ahead of it.
    pub ahead: u64,
}

/// Adds a prompt to an engine's load, and records that the engine will have its parts cached.
pub fn start(job: &Job, snapshot: &Snapshot, index: usize, deferred: bool) -> InFlight {
    let target = &snapshot.targets[index];
    let engine = &snapshot.engines[index];
    let work = place::work_to_prefill(engine, &placement_request(job));
    let latencies = job.gateway.latencies(&job.service.name);
    let now = Instant::now();
    let ahead = target.with(|state| {
        let default_latency = latencies.for_stage(state.profile.stage);
        let load = state.total_load();
        let remaining = state.remaining_prefill(now, default_latency);
        let ahead = policy::place::work_ahead(remaining, load.deferred_work, load.deferred_prompts);
        if !deferred {
            state.record_prefill(now, default_latency, work);
        }
        ahead
    });
    record_parts(job, target, false);
    InFlight {
        guard: PrefillGuard::new(target, work, deferred),
        ahead,
    }
}

/// Records that an engine will have the parts of a prompt cached: soon if they are `fetched`,
/// otherwise once it has prefilled them.
pub fn record_parts(job: &Job, target: &Arc<Target>, fetched: bool) {
    if let Some(prompt) = &job.metadata.prompt {
        let defaults = job.gateway.service_defaults(&job.service.name);
        target.with(|state| state.record_prompt(Instant::now(), &defaults, &prompt.parts, fetched));
        job.gateway
            .peers
            .record_placement(target.short_id, &prompt.parts);
    }
}

/// How urgent a prefill is, with the expected time in microseconds.
#[derive(Clone, Copy, Debug)]
pub enum Urgency {
    /// The prefill has normal priority; the answer is expected to begin after this time.
    Normal(f64),
    /// The answer will be late, so the prompt yields priority to others; its prefill is expected to
    /// take this time.
    Deferred(f64),
}

impl Urgency {
    /// Returns when the engine is presumed lost. A deferred prompt may have to wait, so its engine is
    /// not as long as the path to it works.
    fn early_timeout<'a>(self, job: &'a Job, attempts: &'a Attempts) -> EarlyTimeout<'a> {
        match self {
            Self::Normal(first_us) => timing::early_timeout(job, attempts, first_us),
            Self::Deferred(_) => EarlyTimeout {
                presumed_lost: PresumedLost::Never,
                ..timing::early_timeout(job, attempts, 0.0)
            },
        }
    }
}

/// The wait for a prefill. For a deferred prompt it updates the learnt wait factor, also if the
/// caller leaves before the prefill ends.
struct PrefillWait<'a> {
    job: &'a Job,
    /// Expected time of a deferred prefill in microseconds; `None` for a normal one, and once the
    /// actual time has been learnt.
    expected_us: Option<f64>,
    begun: Instant,
}

impl<'a> PrefillWait<'a> {
    fn new(job: &'a Job, urgency: Urgency) -> Self {
        let expected_us = match urgency {
            Urgency::Normal(_) => None,
            Urgency::Deferred(prefill_us) => Some(prefill_us),
        };
        Self {
            job,
            expected_us,
            begun: Instant::now(),
        }
    }

    /// Records that the prompt has been prefilled.
    fn finish(&mut self) {
        self.learn(WaitFactor::observe);
    }

    fn learn(&mut self, learn: impl FnOnce(&mut WaitFactor, f64, policy::Micros)) {
        if let Some(expected_us) = self.expected_us.take() {
            let took = policy::micros(self.begun.elapsed());
            let gateway = &self.job.gateway;
            gateway.learn_wait_factor(&self.job.service.name, |wait_factor| {
                learn(wait_factor, expected_us, took);
            });
        }
    }
}

impl Drop for PrefillWait<'_> {
    fn drop(&mut self) {
        self.learn(WaitFactor::observe_cancelled);
    }
}

/// Has an engine prefill a prompt and hold its KV cache for another engine.
pub async fn run(
    job: &Job,
    snapshot: &Snapshot,
    index: usize,
    attempts: &Attempts,
    urgency: Urgency,
) -> Result<HeldKvCache, FailedAttempt> {
    let target = &snapshot.targets[index];
    let deferred = matches!(urgency, Urgency::Deferred(_));
    let failed = |cause| failed(target, cause, Purpose::Read);
    let in_flight = start(job, snapshot, index, deferred);
    let begun = Instant::now();
    let directive = Directive {
        timeout: job.time_left(),
        expected_endpoint: Some(target.id.clone()),
        prefill_only: true,
        fetch_from: snapshot.fetch_from(index),
        priority: Some(if deferred {
            Priority::Low
        } else {
            Priority::Normal
        }),
        ..Directive::default()
    };
    let timeout = Timeout::with_early(job.deadline, Some(urgency.early_timeout(job, attempts)));
    let mut wait = PrefillWait::new(job, urgency);
    let answer = match attempt::send(job, target, &directive, timeout).await {
        Ok(answer) => answer,
        Err(cause) => {
            job.sends.record_prefill_failed();
            return Err(failed(match cause {
                Cause::TimedOut if deferred && !target.is_path_lost() => Cause::Starved,
                cause => cause,
            }));
        }
    };
    let status = answer.head.status;
    let body = Limited::new(answer.body, MAX_HANDLE_RESPONSE_BYTES).collect();
    let Ok(body) = clock::timeout(MAX_HANDLE_RESPONSE_TIME, body).await else {
        job.sends.record_prefill_failed();
        return Err(failed(Cause::InvalidResponse));
    };
    let body = body.map(Collected::to_bytes);
    let body = match body {
        Ok(body) if status.is_success() => body,
        Ok(_) => {
            answer.guard.finish();
            job.sends.record_prefill_failed();
            return Err(failed(Cause::ErrorStatus(status.as_u16())));
        }
        Err(_) => {
            job.sends.record_prefill_failed();
            answer.guard.connection_broke();
            job.gateway.check_for_crash(target, &job.metadata.id).await;
            return Err(failed(Cause::ConnectionBroken));
        }
    };
    answer.guard.finish();
    job.sends.record_prefill_accepted(job);
    wait.finish();
    let address = target.with(|state| state.profile.address);
    let handle = job.gateway.adapters.dialect.parse_handle(address, &body);
    let handle = handle.ok_or_else(|| failed(Cause::InvalidResponse))?;
    if !deferred {
        learn_prefill_latency(job, target, in_flight.ahead + in_flight.guard.work(), begun);
    }
    target.put_back_connection(answer.connection);
    log::info!(
        request = job.metadata.id, endpoint = &*target.id.0, late = deferred, ahead = in_flight.ahead,
        work = in_flight.guard.work(), took_us = policy::micros(begun.elapsed());
        "a prompt was read"
    );
    Ok(HeldKvCache {
        handle,
        target: Arc::clone(target),
        gateway: Arc::clone(&job.gateway),
        fetched: false,
    })
}

/// Updates the engine's learnt latencies with a completed prefill. `work` includes everything that
/// was ahead of it when it was sent.
pub fn learn_prefill_latency(job: &Job, target: &Target, work: u64, begun: Instant) {
    let took = policy::micros(begun.elapsed());
    job.gateway
        .learn_latency(target, |latency| latency.observe_prefill(work, took));
}

/// A KV cache held by an engine, which is released if no other engine fetches it.
pub struct HeldKvCache {
    /// The handle to fetch it by.
    pub handle: KvHandle,
    target: Arc<Target>,
    gateway: Arc<Gateway>,
    fetched: bool,
}

impl HeldKvCache {
    /// Records that an engine has fetched it.
    pub fn mark_fetched(mut self) {
        self.fetched = true;
    }
}

impl Drop for HeldKvCache {
    fn drop(&mut self) {
        if self.fetched {
            return;
        }
        let call = self.gateway.adapters.dialect.release_call(&self.handle);
        let target = Arc::clone(&self.target);
        // failure is harmless: the engine drops the KV cache when its time to live is over
        tokio::spawn(async move { attempt::call(&target, call).await });
    }
}
