//! Counters and learnt values of each service: its retry budget, the demand of its callers, and the latencies
//! of its engines.

use std::{sync::Arc, time::Duration};

use clock::Instant;
use parking_lot::Mutex;
use policy::{
    estimate::{Latency, Margin, WaitFactor},
    pace::Pace,
    retry::Window,
};

use super::Gateway;
use crate::{
    endpoint::{Build, Latencies, ServiceDefaults, Stage, Target},
    request::{Claim, Queue, Queues, Rank},
};

const NANOS_PER_MICRO: f64 = 1e3;

/// Time after the start of a process in which it registers, unless the store is away or has more to do than it can.
const REGISTRATION_PERIOD: Duration = Duration::from_secs(1);

/// Cumulative demand of a service's callers; only the difference between two readings is meaningful.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DemandTotals {
    /// Prefill work of prompts long enough for a separate prefill engine, beyond the tokens that engines were
    /// known to have cached.
    pub prefill_work: u64,
    /// Expected tokens of long answers.
    pub decode_tokens: u64,
}

impl DemandTotals {
    /// Returns the sum of both.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            prefill_work: self.prefill_work.saturating_add(other.prefill_work),
            decode_tokens: self.decode_tokens.saturating_add(other.decode_tokens),
        }
    }

    /// Returns the growth since an earlier reading.
    #[must_use]
    pub fn since(self, before: Self) -> Self {
        Self {
            prefill_work: self.prefill_work.saturating_sub(before.prefill_work),
            decode_tokens: self.decode_tokens.saturating_sub(before.decode_tokens),
        }
    }
}

/// Counters and learnt values of one service.
#[derive(Debug)]
pub struct ServiceState {
    /// Requests and retries within the window of the retry budget.
    retries: Window,
    /// Demand of this process's callers.
    demand: DemandTotals,
    /// Delay beyond the expected time to the first event that few of its answers exceed.
    margin: Margin,
    /// Ratio of the actual to the expected wait of its deferred prompts.
    wait_factor: WaitFactor,
    /// Average latencies of its engines in each stage.
    latencies: Latencies,
    /// The inter-token latencies that its recent long answers need.
    pace: Pace,
    /// The requests that wait for a slot.
    queues: Queues,
}

impl ServiceState {
    fn new(retries: Window) -> Self {
        Self {
            retries,
            demand: DemandTotals::default(),
            margin: Margin::default(),
            wait_factor: WaitFactor::default(),
            latencies: Latencies::default(),
            pace: Pace::default(),
            queues: Queues::default(),
        }
    }
}

/// Permission for one retry from a service's retry budget.
#[derive(Debug)]
pub struct RetryPermit {
    /// When it was spent.
    spent_at: policy::Micros,
}

/// This process's share of the operators' limits on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
struct RetryShare {
    /// Retries per request.
    ratio: f64,
    /// Retries per window in addition to the ratio.
    slack: f64,
    /// The number of processes that share the slack, if it is known.
    sharers: Option<u64>,
}

/// The states of all services, sorted by service name.
#[derive(Debug, Default)]
pub struct Services(Mutex<Vec<(Arc<str>, ServiceState)>>);

impl Gateway {
    /// Counts a request to a service, which adds to the service's retry budget.
    pub fn count_request(&self, service: &Arc<str>) {
        let now = self.micros();
        self.metrics.requests.with_label_values(&[service]).inc();
        self.with_service(service, |state| state.retries.record_request(now));
    }

    /// Spends one retry of a service's retry budget. Returns `None` if it is exhausted.
    pub fn spend_retry(&self, service: &Arc<str>, request: &str) -> Option<RetryPermit> {
        let now = self.micros();
        let share = self.retry_share();
        let usage = self.with_service(service, |state| {
            state.retries.try_spend(now, share.ratio, share.slack)
        });
        let allowed = usage.allows_retry();
        let labels = [&**service, if allowed { "yes" } else { "no" }];
        self.metrics.retries.with_label_values(&labels).inc();
        log::info!(
            request, service = &**service, allowed, requests = usage.requests, repeats = usage.retries,
            limit = usage.allowed_retries, sharers = share.sharers, slack = share.slack;
            "a retry was requested"
        );
        allowed.then_some(RetryPermit { spent_at: now })
    }

    /// Refunds a retry to the budget when it was not sent.
    pub fn refund_retry(&self, service: &Arc<str>, request: &str, permit: &RetryPermit) {
        let labels = [&**service, "given-back"];
        self.metrics.retries.with_label_values(&labels).inc();
        self.with_service(service, |state| state.retries.refund(permit.spent_at));
        log::info!(request, service = &**service; "a retry was refunded to the budget");
    }

    /// Whether the service's retry budget has a retry left.
    pub fn has_retry_budget(&self, service: &Arc<str>) -> bool {
        let now = self.micros();
        let share = self.retry_share();
        let usage = self.with_service(service, |state| {
            state.retries.usage(now, share.ratio, share.slack)
        });
        usage.allows_retry()
    }

    /// Waits until it is known how many processes share the slack of the retry budget, if a retry depends on that, as it does
    /// in the first moments of a process. Waits no longer than a registration takes, and not after `until`.
    pub async fn wait_for_retry_share(&self, service: &Arc<str>, until: Instant) {
        let until = until.min(self.started + REGISTRATION_PERIOD);
        if Instant::now() < until && self.may_gain_retries(service) {
            // without the rows the slack stays unknown, and is not used
            let _ = clock::timeout_at(until, self.peers.membership_known()).await;
        }
    }

    /// Whether the service's retry budget has no retry left, and would have one if no other process shared it.
    fn may_gain_retries(&self, service: &Arc<str>) -> bool {
        let share = self.retry_share();
        let (now, whole_slack) = (self.micros(), self.bounds.read().retry_slack);
        share.sharers.is_none()
            && self.with_service(service, |state| {
                let mut allows =
                    |slack| state.retries.usage(now, share.ratio, slack).allows_retry();
                !allows(share.slack) && allows(whole_slack)
            })
    }

    /// Returns an empty retry window for a service without any count yet.
    fn empty_window(&self) -> Window {
        let span = policy::micros(self.bounds.read().retry_window_s);
        if self.settings.gateway.restarted {
            // this process's clock starts with it
            Window::restarted(span, 0)
        } else {
            Window::new(span)
        }
    }

    /// Returns this process's share of the operators' limits on retries.
    ///
    /// Unreachable peers keep their share for a while: what they have sent still counts, and those that
    /// merely can't reach this process go on sending.
    fn retry_share(&self) -> RetryShare {
        let bounds = self.bounds.read();
        let sharers = self.peers.budget_sharers(self.started.elapsed());
        let sharers = sharers.map(|peers| peers + 1);
        let slack = sharers.map_or(0.0, |sharers| bounds.retry_slack / policy::to_f64(sharers));
        RetryShare {
            ratio: bounds.retry_ratio,
            slack,
            sharers,
        }
    }

    /// Adds to the demand of a service.
    pub fn count_demand(&self, service: &Arc<str>, demand: DemandTotals) {
        self.with_service(service, |state| state.demand = state.demand.plus(demand));
    }

    /// Returns the cumulative demand of this process's callers for each service.
    pub fn own_demand(&self) -> Vec<(Arc<str>, DemandTotals)> {
        let services = self.services.0.lock();
        services
            .iter()
            .map(|(service, state)| (Arc::clone(service), state.demand))
            .collect()
    }

    /// Returns the cumulative demand for a service, from this process and from its peers since the first
    /// digest of each.
    pub fn demand(&self, service: &Arc<str>) -> DemandTotals {
        let own = self.with_service(service, |state| state.demand);
        own.plus(self.peers.demand(service))
    }

    /// Records a long answer that meets its deadline at inter-token latencies up to `needed_us` microseconds.
    pub fn record_long_answer(&self, service: &Arc<str>, needed_us: f64) {
        let now = self.micros();
        self.with_service(service, |state| {
            let typical_us = state.latencies.decode.decode_token_us;
            state.pace.observe(now, needed_us, typical_us);
        });
    }

    /// Returns the highest inter-token latency, in microseconds, with which nearly all recent long answers of a
    /// service meet their deadlines.
    pub fn max_inter_token_latency_us(&self, service: &Arc<str>) -> f64 {
        let now = self.micros();
        self.with_service(service, |state| state.pace.limit_us(now))
    }

    /// Returns the delay beyond the expected time to the first event, in microseconds, that few answers of a
    /// service exceed.
    pub fn margin_us(&self, service: &Arc<str>) -> f64 {
        self.with_service(service, |state| state.margin.us())
    }

    /// Learns from the expected time to the first event of an answer, and from the time from the request's
    /// arrival until the response headers.
    pub fn learn_margin(&self, service: &Arc<str>, expected_us: f64, took: policy::Micros) {
        self.with_service(service, |state| state.margin.observe(expected_us, took));
    }

    /// Returns the ratio of the actual to the expected wait of a service's deferred prompts.
    pub fn wait_factor(&self, service: &Arc<str>) -> WaitFactor {
        self.with_service(service, |state| state.wait_factor)
    }

    /// Learns from the wait of a deferred prompt.
    pub fn learn_wait_factor(&self, service: &Arc<str>, learn: impl FnOnce(&mut WaitFactor)) {
        self.with_service(service, |state| learn(&mut state.wait_factor));
    }

    /// Returns the queue of a service's requests that wait for a slot with a claim.
    pub fn queue(&self, service: &Arc<str>, claim: Claim<'_>) -> Arc<Queue> {
        self.with_service(service, |state| state.queues.get(claim))
    }

    /// Whether a request that comes before one of this rank waits for slots that one with this claim can take, and has not
    /// looked for room after `since`. New requests leave the engines of the `reserved` builds to others.
    pub fn is_outranked(
        &self,
        service: &Arc<str>,
        claim: Claim<'_>,
        reserved: &[Build],
        rank: Rank,
        since: Instant,
    ) -> bool {
        self.with_service(service, |state| {
            state.queues.is_outranked(claim, reserved, rank, since)
        })
    }

    /// Returns when a request that waited for room at a service, and comes before one of this rank, last took some that one
    /// with this claim could take. New requests leave the engines of the `reserved` builds to others.
    pub fn room_taken_at(
        &self,
        service: &Arc<str>,
        claim: Claim<'_>,
        reserved: &[Build],
        rank: Rank,
    ) -> Option<Instant> {
        self.with_service(service, |state| {
            state.queues.taken_at(claim, reserved, rank)
        })
    }

    /// Returns the builds for whose engines requests wait that other engines can't serve.
    pub fn awaited_builds(&self, service: &Arc<str>) -> Vec<Build> {
        self.with_service(service, |state| state.queues.awaited_builds())
    }

    /// Returns the average latencies of the engines of a service.
    pub fn latencies(&self, service: &Arc<str>) -> Latencies {
        self.with_service(service, |state| state.latencies)
    }

    /// Returns the values common to all engines of a service.
    pub fn service_defaults(&self, service: &Arc<str>) -> ServiceDefaults {
        let configuration = self.configuration();
        let engines = configuration
            .as_ref()
            .and_then(|configuration| configuration.service(service)?.engines.as_ref());
        ServiceDefaults {
            latencies: self.latencies(service),
            kv_capacity_tokens: engines.map_or(0, |engines| engines.kv_capacity_tokens),
        }
    }

    /// Learns the latency of an engine, both for the engine itself and for the average of its service.
    pub fn learn_latency(&self, target: &Target, learn: impl Fn(&mut Latency)) {
        let (service, stage) = target.with(|state| {
            let stage = state.profile.stage.unwrap_or(Stage::Decode);
            (Arc::clone(&state.profile.service), stage)
        });
        let service_latency = self.with_service(&service, |state| {
            let latency = state.latencies.for_stage_mut(stage);
            learn(latency);
            *latency
        });
        target.with(|state| match &mut state.latency {
            Some(latency) => learn(latency),
            None => state.latency = Some(service_latency.without_known_pace()),
        });
    }

    /// Returns the learnt latencies of the engines of each service. Without `include_known`, these are only
    /// the services with values still converging; peers have learnt the others themselves.
    pub fn own_latencies(&self, include_known: bool) -> Vec<(Arc<str>, Latencies)> {
        let services = self.services.0.lock();
        let learnt = services.iter().filter(|(_, state)| {
            let Latencies { prefill, decode } = &state.latencies;
            prefill.is_converging()
                || decode.is_converging()
                || (include_known && state.latencies != Latencies::default())
        });
        learnt
            .map(|(service, state)| (Arc::clone(service), state.latencies))
            .collect()
    }

    /// Adopts a peer's learnt latency of a service's engines in one stage. Without it, a process that has
    /// just started would place its first prompts by the initial estimates, which can be several times too
    /// low.
    pub fn adopt_latency(&self, service: &Arc<str>, stage: Stage, received: &Latency) {
        let adopted = self.with_service(service, |state| {
            state.latencies.for_stage_mut(stage).adopt(received)
        });
        if !adopted {
            return;
        }
        for target in self.registry.fleet(service).subset() {
            target.with(|state| match &mut state.latency {
                Some(latency) if state.profile.stage == Some(stage) => {
                    latency.adopt(received);
                }
                Some(_) | None => {}
            });
        }
        log::info!(
            service = &**service, stage:%, read_ns = policy::to_u64(received.prefill_token_us * NANOS_PER_MICRO),
            step_us = policy::to_u64(received.decode_token_us), samples = received.samples.prefill;
            "adopted engine latencies from a peer"
        );
    }

    fn with_service<T>(&self, service: &Arc<str>, f: impl FnOnce(&mut ServiceState) -> T) -> T {
        let mut services = self.services.0.lock();
        let index = match services.binary_search_by(|(name, _)| name.cmp(service)) {
            Ok(index) => index,
            Err(index) => {
                let state = ServiceState::new(self.empty_window());
                services.insert(index, (Arc::clone(service), state));
                index
            }
        };
        f(&mut services[index].1)
    }
}
