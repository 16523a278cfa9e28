//! What is counted and learnt of each service: its budget of repeats, what callers asked of it, and how
//! fast its engines are.

use std::{sync::Arc, time::Duration};

use parking_lot::Mutex;
use policy::{
    estimate::{Latency, Margin, WaitFactor},
    retry::Window,
};

use super::Gateway;
use crate::{
    endpoint::{Paces, ServiceDefaults, Stage, Target},
    request::Queue,
};

/// Nanoseconds in a microsecond.
const NANOS_PER_MICRO: f64 = 1e3;

/// What callers asked of a service so far; only its growth means anything.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DemandTotals {
    /// Work of prompts worth reading apart, beyond what engines were known to hold.
    pub prefill_work: u64,
    /// Tokens that long answers were expected to have.
    pub decode_tokens: u64,
}

impl DemandTotals {
    /// Both together.
    #[must_use]
    pub fn with(self, other: Self) -> Self {
        Self {
            prefill_work: self.prefill_work + other.prefill_work,
            decode_tokens: self.decode_tokens + other.decode_tokens,
        }
    }

    /// What was asked since.
    #[must_use]
    pub fn since(self, before: Self) -> Self {
        Self {
            prefill_work: self.prefill_work.saturating_sub(before.prefill_work),
            decode_tokens: self.decode_tokens.saturating_sub(before.decode_tokens),
        }
    }
}

/// What is counted and learnt of a service.
#[derive(Debug)]
pub struct State {
    /// Repeats that were sent to it.
    retries: Window,
    /// What callers of this process asked of it.
    demand: DemandTotals,
    /// How much later than expected its answers begin.
    margin: Margin,
    /// How many times as long as expected its late prompts wait.
    stretch: WaitFactor,
    /// How fast its engines read, and write, on average.
    paces: Paces,
    /// The longest time between tokens with which each long answer so far could end in time, in
    /// microseconds.
    max_inter_token_latency: f64,
    /// Requests that wait for room.
    queue: Arc<Queue>,
}

impl State {
    fn new(retries: Window) -> Self {
        Self {
            retries,
            demand: DemandTotals::default(),
            margin: Margin::default(),
            stretch: WaitFactor::default(),
            paces: Paces::default(),
            max_inter_token_latency: f64::MAX,
            queue: Arc::default(),
        }
    }
}

/// A repeat that the budget of a service allowed.
#[derive(Debug)]
pub struct RetryPermit {
    /// When it was taken from the budget.
    taken_at: policy::Micros,
}

/// This process's part of the operators' bounds on repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Share {
    /// Repeats for each request.
    ratio: f64,
    /// Repeats beside these in a window.
    slack: f64,
    /// Processes that share the slack, if that is known.
    sharers: Option<u64>,
}

/// What is counted and learnt of all services, sorted by service.
#[derive(Debug, Default)]
pub struct Services(Mutex<Vec<(Arc<str>, State)>>);

impl Gateway {
    /// Counts a request to a service, which allows for repeats.
    pub fn count_request(&self, service: &Arc<str>) {
        let now = self.micros();
        self.metrics.requests.with_label_values(&[service]).inc();
        self.with_service(service, |state| state.retries.record_request(now));
    }

    /// Takes one repeat of a request out of its service's budget; none if none is left.
    pub fn take_retry(&self, service: &Arc<str>, request: &str) -> Option<RetryPermit> {
        let now = self.micros();
        let share = self.retry_share();
        let usage = self.with_service(service, |state| {
            state.retries.try_spend(now, share.ratio, share.slack)
        });
        let allowed = usage.allows_retry();
        let labels = [&**service, if allowed { "yes" } else { "no" }];
        self.metrics.repeats.with_label_values(&labels).inc();
        log::info!(
            request, service = &**service, allowed, requests = usage.requests, repeats = usage.retries,
            limit = usage.allowed_retries, sharers = share.sharers, slack = share.slack;
            "a repeat was requested"
        );
        allowed.then_some(RetryPermit { taken_at: now })
    }

    /// Gives back a repeat that turned out to be none.
    pub fn return_retry(&self, service: &Arc<str>, request: &str, permit: &RetryPermit) {
        let labels = [&**service, "given-back"];
        self.metrics.repeats.with_label_values(&labels).inc();
        self.with_service(service, |state| state.retries.refund(permit.taken_at));
        log::info!(request, service = &**service; "a repeat was given back");
    }

    /// Whether there is a repeat left in the service's budget.
    pub fn has_retry_budget(&self, service: &Arc<str>) -> bool {
        let now = self.micros();
        let share = self.retry_share();
        let usage = self.with_service(service, |state| {
            state.retries.usage(now, share.ratio, share.slack)
        });
        usage.allows_retry()
    }

    /// The window of a service of which nothing has been counted yet.
    fn empty_window(&self) -> Window {
        let span = policy::micros(self.bounds.read().retry_window_s);
        if self.settings.gateway.restarted {
            // this process's clock starts with it
            Window::restarted(span, 0)
        } else {
            Window::new(span)
        }
    }

    /// This process's part of the operators' bounds on repeats.
    ///
    /// Peers that are gone keep their part for a while: what they have sent still counts, and those that are
    /// only cut off go on sending.
    fn retry_share(&self) -> Share {
        let bounds = self.bounds.read();
        let sharers = self.peers.budget_sharers(self.started.elapsed());
        let sharers = sharers.map(|peers| peers + 1);
        let slack = sharers.map_or(0.0, |sharers| bounds.retry_slack / policy::to_f64(sharers));
        Share {
            ratio: bounds.retry_ratio,
            slack,
            sharers,
        }
    }

    /// Counts what a service is asked for.
    pub fn count_demand(&self, service: &Arc<str>, demand: DemandTotals) {
        self.with_service(service, |state| state.demand = state.demand.with(demand));
    }

    /// What callers of this process asked of each service so far.
    pub fn own_demand(&self) -> Vec<(Arc<str>, DemandTotals)> {
        let services = self.services.0.lock();
        services
            .iter()
            .map(|(service, state)| (Arc::clone(service), state.demand))
            .collect()
    }

    /// What a service was asked for, here and at the peers, since each was first heard.
    pub fn demand(&self, service: &Arc<str>) -> DemandTotals {
        let own = self.with_service(service, |state| state.demand);
        own.with(self.peers.demand(service))
    }

    /// Notes a long answer of at most so many tokens, which has so much time.
    pub fn record_long_answer(&self, service: &Arc<str>, tokens: u64, time: Duration) {
        let latency = policy::to_f64(policy::micros(time)) / policy::to_f64(tokens.max(1));
        self.with_service(service, |state| {
            state.max_inter_token_latency = state.max_inter_token_latency.min(latency);
        });
    }

    /// The longest time between tokens with which each long answer so far could end in time, in
    /// microseconds.
    pub fn max_inter_token_latency(&self, service: &Arc<str>) -> f64 {
        self.with_service(service, |state| state.max_inter_token_latency)
    }

    /// How much later than expected most answers of a service begin, in microseconds.
    pub fn margin(&self, service: &Arc<str>) -> f64 {
        self.with_service(service, |state| state.margin.us())
    }

    /// Learns from an answer that was expected to begin after one time and began after another.
    pub fn learn_margin(&self, service: &Arc<str>, expected: f64, took: policy::Micros) {
        self.with_service(service, |state| state.margin.observe(expected, took));
    }

    /// How many times as long as expected late prompts of a service wait.
    pub fn stretch(&self, service: &Arc<str>) -> WaitFactor {
        self.with_service(service, |state| state.stretch)
    }

    /// Learns from a late prompt of a service.
    pub fn learn_stretch(&self, service: &Arc<str>, learn: impl FnOnce(&mut WaitFactor)) {
        self.with_service(service, |state| learn(&mut state.stretch));
    }

    /// The requests of a service that wait for room.
    pub fn queue(&self, service: &Arc<str>) -> Arc<Queue> {
        self.with_service(service, |state| Arc::clone(&state.queue))
    }

    /// How fast the engines of a service are on average.
    pub fn paces(&self, service: &Arc<str>) -> Paces {
        self.with_service(service, |state| state.paces)
    }

    /// What is known of all engines of a service alike.
    pub fn common(&self, service: &Arc<str>) -> ServiceDefaults {
        let version = self.configuration();
        let engines = version
            .as_ref()
            .and_then(|version| version.service(service)?.engines.as_ref());
        ServiceDefaults {
            paces: self.paces(service),
            memory_tokens: engines.map_or(0, |engines| engines.kv_capacity_tokens),
        }
    }

    /// Learns how fast an engine is: its own pace, and its service's.
    pub fn learn_pace(&self, target: &Target, learn: impl Fn(&mut Latency)) {
        let (service, stage) = target.with(|state| {
            let stage = state.profile.stage.unwrap_or(Stage::Decode);
            (Arc::clone(&state.profile.service), stage)
        });
        let common = self.with_service(&service, |state| {
            let pace = state.paces.for_stage_mut(stage);
            learn(pace);
            *pace
        });
        target.with(|state| match &mut state.pace {
            Some(pace) => learn(pace),
            None => state.pace = Some(common),
        });
    }

    /// How fast the engines of each service are, as far as this process has learnt anything; with `all` also what is
    /// no news to peers that have learnt it themselves.
    pub fn own_paces(&self, include_known: bool) -> Vec<(Arc<str>, Paces)> {
        let services = self.services.0.lock();
        let learnt = services.iter().filter(|(_, state)| {
            let Paces { prefill, decode } = &state.paces;
            prefill.is_converging()
                || decode.is_converging()
                || (include_known && state.paces != Paces::default())
        });
        learnt
            .map(|(service, state)| (Arc::clone(service), state.paces))
            .collect()
    }

    /// Takes what a peer has learnt of the engines of a service in one stage. A process that starts would place its
    /// first prompts by a guess: 44,958 tokens were expected to be read in 0.3 s, and took 1.9 s.
    pub fn adopt_pace(&self, service: &Arc<str>, stage: Stage, received: &Latency) {
        let adopted = self.with_service(service, |state| {
            state.paces.for_stage_mut(stage).adopt(received)
        });
        if !adopted {
            return;
        }
        for target in self.registry.fleet(service).subset() {
            target.with(|state| match &mut state.pace {
                Some(pace) if state.profile.stage == Some(stage) => {
                    pace.adopt(received);
                }
                Some(_) | None => {}
            });
        }
        log::info!(
            service = &**service, stage:%, read_ns = policy::to_u64(received.prefill_token_us * NANOS_PER_MICRO),
            step_us = policy::to_u64(received.decode_token_us), samples = received.samples.prefill;
            "took a pace from a peer"
        );
    }

    fn with_service<T>(&self, service: &Arc<str>, f: impl FnOnce(&mut State) -> T) -> T {
        let mut services = self.services.0.lock();
        let index = match services.binary_search_by(|(name, _)| name.cmp(service)) {
            Ok(index) => index,
            Err(index) => {
                let state = State::new(self.empty_window());
                services.insert(index, (Arc::clone(service), state));
                index
            }
        };
        f(&mut services[index].1)
    }
}
