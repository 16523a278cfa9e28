//! A seeded simulation of a fleet of engines, some of whose requests crash them, with one judge that learns of each crash
//! a little later.

use std::{cmp::Reverse, collections::BinaryHeap};

use policy::{
    culprit::{Evidence, ONSET, Request},
    suspect::{Crash, SignedMicros},
};
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom};

const ENGINES: usize = 12;
const SECOND: SignedMicros = 1_000_000;
const MILLISECOND: SignedMicros = 1_000;
const DURATION: SignedMicros = 14 * SECOND;
/// When requests that crash engines begin to come, and unrelated crashes.
const TROUBLE_STARTS: SignedMicros = 3 * SECOND;
/// From a crash until it is known.
const TIME_TO_LEARN: SignedMicros = 80 * MILLISECOND;
const TIME_TO_RESTART: SignedMicros = 2_500 * MILLISECOND;
/// From the fifth crash until requests that crash engines must not be sent any more.
const WINDOW: SignedMicros = SECOND;
const SHORT_PER_SECOND: f64 = 170.0;
const LONG_PER_SECOND: f64 = 18.0;
/// Mean duration of a long answer.
const LONG_ANSWER: f64 = 8.0;
/// How often a short request that a crash interrupted is sent again.
const MAX_RETRIES: u32 = 1;
/// Engines crash under the first of these parts, or under this second part.
const CULPRIT_FIRST: u64 = 0;
const CULPRIT_SECOND: u64 = 1_007;

/// Where in a prompt the part is that crashes engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    First,
    Second,
}

/// What crashes engines, and how often per second.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    place: Place,
    pub crashing_per_second: f64,
    unrelated_per_second: f64,
}

impl Load {
    pub fn new(place: Place, crashing_per_second: f64) -> Self {
        Self {
            place,
            crashing_per_second,
            unrelated_per_second: 0.0,
        }
    }

    pub fn with_unrelated_crashes(self, unrelated_per_second: f64) -> Self {
        Self {
            unrelated_per_second,
            ..self
        }
    }

    fn culprit(self) -> u64 {
        match self.place {
            Place::First => CULPRIT_FIRST,
            Place::Second => CULPRIT_SECOND,
        }
    }
}

/// What came of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Number of crashes when the culprit was found.
    pub found_after: Option<usize>,
    /// Sound parts that were withheld at any time.
    pub wrong_parts: usize,
    pub sound_refused: usize,
    /// Requests that crash engines and were sent later than [`WINDOW`] after the fifth crash.
    pub late: usize,
}

#[derive(Clone, Debug)]
struct Call {
    request: Request,
    short: bool,
    retries: u32,
}

#[derive(Clone, Debug)]
struct Run {
    call: Call,
    begins: SignedMicros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives(usize),
    Served(usize, usize),
    Ends(usize, usize),
    Crashes(usize, Option<usize>),
    Restarts(usize),
    Learns(usize),
}

pub struct Fleet {
    load: Load,
    random: StdRng,
    events: BinaryHeap<Reverse<(SignedMicros, usize, Event)>>,
    calls: Vec<Call>,
    /// The runs at each engine; `None` while it is down.
    engines: Vec<Option<Vec<(usize, Run)>>>,
    runs: usize,
    crashes: Vec<(Crash, Vec<Request>)>,
    evidence: Evidence,
    withheld: Vec<u64>,
    outcome: Outcome,
}

impl Fleet {
    pub fn new(seed: u64, load: Load) -> Self {
        let mut fleet = Self {
            load,
            random: StdRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            calls: Vec::new(),
            engines: vec![Some(Vec::new()); ENGINES],
            runs: 0,
            crashes: Vec::new(),
            evidence: Evidence::default(),
            withheld: Vec::new(),
            outcome: Outcome::default(),
        };
        fleet.schedule();
        fleet
    }

    fn schedule(&mut self) {
        for at in self.moments(0, SHORT_PER_SECOND) {
            let parts = [self.random.random_range(0..4), 1_000 + self.skewed(1_176.0)];
            if !parts.contains(&self.load.culprit()) {
                self.add_call(at, &parts, true);
            }
        }
        for at in self.moments(0, LONG_PER_SECOND) {
            let parts = [
                10 + self.random.random_range(0..8),
                5_000 + self.skewed(103.0),
            ];
            self.add_call(at, &parts, false);
        }
        for at in self.moments(TROUBLE_STARTS, self.load.crashing_per_second) {
            let mut parts = [self.random.random_range(0..4), 1_000 + self.skewed(1_176.0)];
            parts[usize::from(self.load.place == Place::Second)] = self.load.culprit();
            self.add_call(at, &parts, true);
        }
        for at in self.moments(TROUBLE_STARTS, self.load.unrelated_per_second) {
            let engine = self.random.random_range(0..ENGINES);
            self.add_event(at, Event::Crashes(engine, None));
        }
    }

    /// A number below `limit`, of which small ones are more frequent.
    fn skewed(&mut self, limit: f64) -> u64 {
        policy::to_u64(limit * self.random.random::<f64>().powf(1.4))
    }

    fn after(&mut self, mean_seconds: f64) -> SignedMicros {
        let uniform = 1.0 - self.random.random::<f64>();
        micros(-mean_seconds * uniform.ln())
    }

    fn moments(&mut self, from: SignedMicros, per_second: f64) -> Vec<SignedMicros> {
        if per_second <= 0.0 {
            return Vec::new();
        }
        let mut moments = Vec::new();
        let mut at = from + self.after(1.0 / per_second);
        while at <= DURATION {
            moments.push(at);
            at += self.after(1.0 / per_second);
        }
        moments
    }

    fn add_event(&mut self, at: SignedMicros, event: Event) {
        self.events.push(Reverse((at, self.events.len(), event)));
    }

    fn add_call(&mut self, at: SignedMicros, parts: &[u64], short: bool) {
        let fingerprint = self.random.random();
        let request = Request {
            fingerprint,
            parts: parts.to_vec(),
        };
        self.calls.push(Call {
            request,
            short,
            retries: 0,
        });
        self.add_event(at, Event::Arrives(self.calls.len() - 1));
    }

    pub fn play(mut self) -> Outcome {
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now > DURATION {
                break;
            }
            match event {
                Event::Arrives(call) => self.arrives(now, call),
                Event::Served(engine, run) => self.served(now, engine, run),
                Event::Ends(engine, run) => {
                    self.served(now, engine, run);
                    self.remove(engine, run);
                }
                Event::Crashes(engine, run) => self.crashes(now, engine, run),
                Event::Restarts(engine) => self.engines[engine] = Some(Vec::new()),
                Event::Learns(crash) => self.learns(now, crash),
            }
        }
        self.outcome
    }

    fn arrives(&mut self, now: SignedMicros, call: usize) {
        let call = self.calls[call].clone();
        let crashes = call.request.parts.contains(&self.load.culprit());
        if call
            .request
            .parts
            .iter()
            .any(|part| self.withheld.contains(part))
        {
            self.outcome.sound_refused += usize::from(!crashes);
            return;
        }
        let up: Vec<usize> = (0..ENGINES)
            .filter(|n| self.engines[*n].is_some())
            .collect();
        let Some(engine) = up.choose(&mut self.random).copied() else {
            return;
        };
        let fifth = self.crashes.get(4).map(|(crash, _)| crash.at);
        let is_late = fifth.is_some_and(|fifth| now > fifth + WINDOW);
        self.outcome.late += usize::from(crashes && is_late);
        self.runs += 1;
        let run = self.runs;
        let begins = now + self.random.random_range(50..150) * MILLISECOND;
        if crashes {
            let at = begins + self.random.random_range(30..90) * MILLISECOND;
            self.add_event(at, Event::Crashes(engine, Some(run)));
        } else {
            let writes = if call.short {
                self.random.random_range(20..300) * MILLISECOND
            } else {
                self.after(LONG_ANSWER)
            };
            self.add_event(begins + writes, Event::Ends(engine, run));
            self.add_event(begins + ONSET, Event::Served(engine, run));
        }
        if let Some(runs) = &mut self.engines[engine] {
            runs.push((run, Run { call, begins }));
        }
    }

    fn served(&mut self, now: SignedMicros, engine: usize, run: usize) {
        let runs = self.engines[engine].iter().flatten();
        let found = runs.clone().find(|(number, _)| *number == run);
        let parts = found.map(|(_, run)| run.call.request.parts.clone());
        for part in parts.unwrap_or_default() {
            self.evidence.record_served(part, now);
        }
    }

    fn remove(&mut self, engine: usize, run: usize) {
        if let Some(runs) = &mut self.engines[engine] {
            runs.retain(|(number, _)| *number != run);
        }
    }

    fn crashes(&mut self, now: SignedMicros, engine: usize, cause: Option<usize>) {
        let runs = self.engines[engine].iter().flatten();
        let is_running = |cause| runs.clone().any(|(run, _)| *run == cause);
        if cause.is_some_and(|cause| !is_running(cause)) {
            return;
        }
        let Some(runs) = self.engines[engine].take() else {
            return;
        };
        let recent = runs.iter().filter(|(_, run)| now - run.begins < ONSET);
        let requests = recent.map(|(_, run)| run.call.request.clone()).collect();
        let endpoint = u32::try_from(self.crashes.len()).expect("few crashes");
        self.crashes.push((Crash { endpoint, at: now }, requests));
        self.add_event(now + TIME_TO_LEARN, Event::Learns(self.crashes.len() - 1));
        self.add_event(now + TIME_TO_RESTART, Event::Restarts(engine));
        for (_, run) in runs {
            if run.call.short && run.call.retries < MAX_RETRIES {
                let retries = run.call.retries + 1;
                self.calls.push(Call {
                    retries,
                    ..run.call
                });
                let event = Event::Arrives(self.calls.len() - 1);
                self.add_event(now + 20 * MILLISECOND, event);
            }
        }
    }

    fn learns(&mut self, now: SignedMicros, crash: usize) {
        let (crash, requests) = &self.crashes[crash];
        self.evidence.record_crash(*crash, requests, now);
        let culprits = self.evidence.culprits();
        let found: Vec<u64> = culprits.iter().map(|culprit| culprit.part).collect();
        let is_new = |part: &&u64| !self.withheld.contains(part);
        for part in found.iter().filter(is_new) {
            if *part == self.load.culprit() && self.load.crashing_per_second > 0.0 {
                self.outcome.found_after.get_or_insert(self.crashes.len());
            } else {
                self.outcome.wrong_parts += 1;
            }
        }
        self.withheld.extend(found);
        self.withheld.sort_unstable();
        self.withheld.dedup();
    }
}

fn micros(seconds: f64) -> SignedMicros {
    let micros = policy::to_u64(seconds * 1e6);
    SignedMicros::try_from(micros).expect("a short time")
}
