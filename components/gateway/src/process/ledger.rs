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
    endpoint::{Common, Paces, Stage, Target},
    request::Line,
};

/// Nanoseconds in a microsecond.
const NANOS: f64 = 1e3;

/// What callers asked of a service so far; only its growth means anything.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Asked {
    /// Work of prompts worth reading apart, beyond what engines were known to hold.
    pub reading: u64,
    /// Tokens that long answers were expected to have.
    pub writing: u64,
}

impl Asked {
    /// Both together.
    #[must_use]
    pub fn with(self, other: Self) -> Self {
        Self {
            reading: self.reading + other.reading,
            writing: self.writing + other.writing,
        }
    }

    /// What was asked since.
    #[must_use]
    pub fn since(self, before: Self) -> Self {
        Self {
            reading: self.reading.saturating_sub(before.reading),
            writing: self.writing.saturating_sub(before.writing),
        }
    }
}

/// What is counted and learnt of a service.
#[derive(Debug)]
pub struct Ledger {
    /// Repeats that were sent to it.
    repeats: Window,
    /// What callers of this process asked of it.
    asked: Asked,
    /// How much later than expected its answers begin.
    margin: Margin,
    /// How many times as long as expected its late prompts wait.
    stretch: WaitFactor,
    /// How fast its engines read, and write, on average.
    paces: Paces,
    /// The longest time between tokens with which each long answer so far could end in time, in
    /// microseconds.
    bearable: f64,
    /// Requests that wait for room.
    line: Arc<Line>,
}

impl Ledger {
    fn new(repeats: Window) -> Self {
        Self {
            repeats,
            asked: Asked::default(),
            margin: Margin::default(),
            stretch: WaitFactor::default(),
            paces: Paces::default(),
            bearable: f64::MAX,
            line: Arc::default(),
        }
    }
}

/// A repeat that the budget of a service allowed.
#[derive(Debug)]
pub struct Repeat {
    /// When it was taken from the budget.
    taken: policy::Micros,
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
pub struct Ledgers(Mutex<Vec<(Arc<str>, Ledger)>>);

impl Gateway {
    /// Counts a request to a service, which allows for repeats.
    pub fn count_request(&self, service: &Arc<str>) {
        let now = self.micros();
        self.metrics.requests.with_label_values(&[service]).inc();
        self.with_ledger(service, |ledger| ledger.repeats.record_request(now));
    }

    /// Takes one repeat of a request out of its service's budget; none if none is left.
    pub fn spend_repeat(&self, service: &Arc<str>, request: &str) -> Option<Repeat> {
        let now = self.micros();
        let share = self.repeat_share();
        let usage = self.with_ledger(service, |ledger| {
            ledger.repeats.try_spend(now, share.ratio, share.slack)
        });
        let allowed = usage.allows_retry();
        let labels = [&**service, if allowed { "yes" } else { "no" }];
        self.metrics.repeats.with_label_values(&labels).inc();
        log::info!(
            request, service = &**service, allowed, requests = usage.requests, repeats = usage.retries,
            limit = usage.allowed_retries, sharers = share.sharers, slack = share.slack;
            "a repeat was requested"
        );
        allowed.then_some(Repeat { taken: now })
    }

    /// Gives back a repeat that turned out to be none.
    pub fn give_back_repeat(&self, service: &Arc<str>, request: &str, repeat: &Repeat) {
        let labels = [&**service, "given-back"];
        self.metrics.repeats.with_label_values(&labels).inc();
        self.with_ledger(service, |ledger| ledger.repeats.refund(repeat.taken));
        log::info!(request, service = &**service; "a repeat was given back");
    }

    /// Whether there is a repeat left in the service's budget.
    pub fn may_repeat(&self, service: &Arc<str>) -> bool {
        let now = self.micros();
        let share = self.repeat_share();
        let usage = self.with_ledger(service, |ledger| {
            ledger.repeats.usage(now, share.ratio, share.slack)
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
    fn repeat_share(&self) -> Share {
        let bounds = self.bounds.read();
        let sharers = self.peers.sharers(self.started.elapsed());
        let sharers = sharers.map(|peers| peers + 1);
        let slack = sharers.map_or(0.0, |sharers| bounds.retry_slack / policy::to_f64(sharers));
        Share {
            ratio: bounds.retry_ratio,
            slack,
            sharers,
        }
    }

    /// Counts what a service is asked for.
    pub fn count_demand(&self, service: &Arc<str>, asked: Asked) {
        self.with_ledger(service, |ledger| ledger.asked = ledger.asked.with(asked));
    }

    /// What callers of this process asked of each service so far.
    pub fn own_demands(&self) -> Vec<(Arc<str>, Asked)> {
        let ledgers = self.ledgers.0.lock();
        ledgers
            .iter()
            .map(|(service, ledger)| (Arc::clone(service), ledger.asked))
            .collect()
    }

    /// What a service was asked for, here and at the peers, since each was first heard.
    pub fn demand(&self, service: &Arc<str>) -> Asked {
        let own = self.with_ledger(service, |ledger| ledger.asked);
        own.with(self.peers.demand(service))
    }

    /// Notes a long answer of at most so many tokens, which has so much time.
    pub fn count_long(&self, service: &Arc<str>, tokens: u64, time: Duration) {
        let bearable = policy::to_f64(policy::micros(time)) / policy::to_f64(tokens.max(1));
        self.with_ledger(service, |ledger| {
            ledger.bearable = ledger.bearable.min(bearable);
        });
    }

    /// The longest time between tokens with which each long answer so far could end in time, in
    /// microseconds.
    pub fn bearable(&self, service: &Arc<str>) -> f64 {
        self.with_ledger(service, |ledger| ledger.bearable)
    }

    /// How much later than expected most answers of a service begin, in microseconds.
    pub fn margin(&self, service: &Arc<str>) -> f64 {
        self.with_ledger(service, |ledger| ledger.margin.us())
    }

    /// Learns from an answer that was expected to begin after one time and began after another.
    pub fn learn_margin(&self, service: &Arc<str>, expected: f64, took: policy::Micros) {
        self.with_ledger(service, |ledger| ledger.margin.observe(expected, took));
    }

    /// How many times as long as expected late prompts of a service wait.
    pub fn stretch(&self, service: &Arc<str>) -> WaitFactor {
        self.with_ledger(service, |ledger| ledger.stretch)
    }

    /// Learns from a late prompt of a service.
    pub fn learn_stretch(&self, service: &Arc<str>, learn: impl FnOnce(&mut WaitFactor)) {
        self.with_ledger(service, |ledger| learn(&mut ledger.stretch));
    }

    /// The requests of a service that wait for room.
    pub fn line(&self, service: &Arc<str>) -> Arc<Line> {
        self.with_ledger(service, |ledger| Arc::clone(&ledger.line))
    }

    /// How fast the engines of a service are on average.
    pub fn paces(&self, service: &Arc<str>) -> Paces {
        self.with_ledger(service, |ledger| ledger.paces)
    }

    /// What is known of all engines of a service alike.
    pub fn common(&self, service: &Arc<str>) -> Common {
        let version = self.configuration();
        let engines = version
            .as_ref()
            .and_then(|version| version.service(service)?.engines.as_ref());
        Common {
            paces: self.paces(service),
            memory_tokens: engines.map_or(0, |engines| engines.memory_tokens),
        }
    }

    /// Learns how fast an engine is: its own pace, and its service's.
    pub fn learn_pace(&self, target: &Target, learn: impl Fn(&mut Latency)) {
        let (service, stage) = target.with(|state| {
            let stage = state.profile.stage.unwrap_or(Stage::Decode);
            (Arc::clone(&state.profile.service), stage)
        });
        let common = self.with_ledger(&service, |ledger| {
            let pace = ledger.paces.of_mut(stage);
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
    pub fn own_paces(&self, all: bool) -> Vec<(Arc<str>, Paces)> {
        let ledgers = self.ledgers.0.lock();
        let told = ledgers.iter().filter(|(_, ledger)| {
            let Paces { readers, writers } = &ledger.paces;
            readers.is_converging()
                || writers.is_converging()
                || (all && ledger.paces != Paces::default())
        });
        told.map(|(service, ledger)| (Arc::clone(service), ledger.paces))
            .collect()
    }

    /// Takes what a peer has learnt of the engines of a service in one stage. A process that starts would place its
    /// first prompts by a guess: 44,958 tokens were expected to be read in 0.3 s, and took 1.9 s.
    pub fn adopt_pace(&self, service: &Arc<str>, stage: Stage, told: &Latency) {
        let adopted = self.with_ledger(service, |ledger| ledger.paces.of_mut(stage).adopt(told));
        if !adopted {
            return;
        }
        for target in self.registry.fleet(service).used() {
            target.with(|state| match &mut state.pace {
                Some(pace) if state.profile.stage == Some(stage) => {
                    pace.adopt(told);
                }
                Some(_) | None => {}
            });
        }
        log::info!(
            service = &**service, stage:%, read_ns = policy::to_u64(told.prefill_token_us * NANOS),
            step_us = policy::to_u64(told.decode_token_us), samples = told.samples.prefill;
            "took a pace from a peer"
        );
    }

    fn with_ledger<T>(&self, service: &Arc<str>, f: impl FnOnce(&mut Ledger) -> T) -> T {
        let mut ledgers = self.ledgers.0.lock();
        let at = match ledgers.binary_search_by(|(name, _)| name.cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                let ledger = Ledger::new(self.empty_window());
                ledgers.insert(at, (Arc::clone(service), ledger));
                at
            }
        };
        f(&mut ledgers[at].1)
    }
}
