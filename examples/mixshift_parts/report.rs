//! What a run has shown, and the medians over its seeds.

use hdrhistogram::Histogram;
use policy::to_f64;
use serde::Serialize;

use super::{
    policies::Policy,
    workload::{Case, Class, LENGTH, Request},
};

/// First token and time between tokens of the target, in microseconds.
const FIRST_US: u64 = 1_300_000;
const BETWEEN_US: u64 = 26_000;

/// The results of one run.
pub struct Results {
    /// Requests that arrived, by class.
    arrived: [u64; 4],
    /// Useful answers: whole, in time, and for questions at the pace of the target.
    useful: [u64; 4],
    /// Work of the useful answers, in microseconds of an engine.
    useful_work: f64,
    arrived_work: f64,
    refused: [u64; 4],
    first: Vec<Histogram<u64>>,
    between: Histogram<u64>,
    /// Role changes.
    pub changes: u64,
}

fn work(request: &Request) -> f64 {
    to_f64(request.prompt) * 80.0 + to_f64(request.output) * 350.0
}

fn record(histogram: &mut Histogram<u64>, value: u64) {
    histogram.record(value).expect("it grows by itself");
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are allowed")
}

impl Results {
    /// Nothing yet.
    pub fn new(requests: &[Request]) -> Self {
        let mut arrived = [0; 4];
        for request in requests {
            arrived[request.class.group()] += 1;
        }
        Self {
            arrived,
            useful: [0; 4],
            useful_work: 0.0,
            arrived_work: requests.iter().map(work).sum(),
            refused: [0; 4],
            first: Class::ALL.iter().map(|_| histogram()).collect(),
            between: histogram(),
            changes: 0,
        }
    }

    /// A request was refused.
    pub fn refused(&mut self, class: Class) {
        self.refused[class.group()] += 1;
    }

    /// A request was answered.
    pub fn finished(&mut self, request: &Request, first: Option<u64>, now: u64) {
        let group = request.class.group();
        let first_us = first.unwrap_or(now) - request.at;
        let between = (now - first.unwrap_or(now)) / (request.output - 1).max(1);
        let in_time = now - request.at <= request.class.deadline();
        let in_pace = match request.class {
            Class::Long => true,
            Class::Short | Class::Flood | Class::Alarm => {
                first_us <= FIRST_US && between <= BETWEEN_US
            }
        };
        record(&mut self.first[group], first_us);
        if request.class != Class::Long {
            record(&mut self.between, between);
        }
        if in_time && in_pace {
            self.useful[group] += 1;
            self.useful_work += work(request);
        }
    }

    fn share(&self, class: Class) -> f64 {
        let group = class.group();
        to_f64(self.useful[group]) / to_f64(self.arrived[group].max(1))
    }
}

/// Medians over the seeds.
#[derive(Serialize)]
pub struct Summary {
    case: &'static str,
    policy: &'static str,
    seeds: usize,
    /// Useful work over the work that arrived.
    goodput: f64,
    goodput_low: f64,
    goodput_high: f64,
    /// Useful answers a second.
    answers: f64,
    long: f64,
    short: f64,
    flood: f64,
    alarm: f64,
    changes: f64,
    refused: f64,
    first_p50_ms: f64,
    first_p99_ms: f64,
    alarm_p99_ms: f64,
    between_p95_ms: f64,
}

fn median(results: &[Results], f: impl Fn(&Results) -> f64) -> f64 {
    let mut values: Vec<f64> = results.iter().map(f).collect();
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

impl Summary {
    /// Sums the runs of one case and policy up.
    pub fn new(case: Case, policy: Policy, results: &[Results]) -> Self {
        let goodput = |r: &Results| r.useful_work / r.arrived_work;
        let ms = |us: u64| to_f64(us) / 1e3;
        let first = |class: Class, at: f64| {
            median(
                results,
                |r| ms(r.first[class.group()].value_at_quantile(at)),
            )
        };
        let spread =
            |f: fn(f64, f64) -> f64, start: f64| results.iter().map(goodput).fold(start, f);
        Self {
            case: case.name(),
            policy: policy.name,
            seeds: results.len(),
            goodput: median(results, goodput),
            goodput_low: spread(f64::min, f64::MAX),
            goodput_high: spread(f64::max, 0.0),
            answers: median(results, |r| to_f64(r.useful.iter().sum()) / LENGTH),
            long: median(results, |r| r.share(Class::Long)),
            short: median(results, |r| r.share(Class::Short)),
            flood: median(results, |r| r.share(Class::Flood)),
            alarm: median(results, |r| r.share(Class::Alarm)),
            changes: median(results, |r| to_f64(r.changes)),
            refused: median(results, |r| {
                to_f64(r.refused.iter().sum()) / to_f64(r.arrived.iter().sum())
            }),
            first_p50_ms: first(Class::Short, 0.5),
            first_p99_ms: first(Class::Short, 0.99),
            alarm_p99_ms: first(Class::Alarm, 0.99),
            between_p95_ms: median(results, |r| ms(r.between.value_at_quantile(0.95))),
        }
    }
}

/// Prints the head of the table.
pub fn head() {
    println!(
        "{:<7}{:<16}{:>8}{:>14}{:>9}{:>7}{:>7}{:>7}{:>7}{:>8}{:>8}{:>8}{:>9}{:>9}{:>8}",
        "case",
        "policy",
        "goodput",
        "spread",
        "answers",
        "long",
        "short",
        "flood",
        "alarm",
        "changes",
        "refused",
        "first50",
        "first99",
        "alarm99",
        "betw95"
    );
}

/// Prints a row, and a JSON line if asked.
pub fn row(s: &Summary, json: bool) {
    println!(
        "{:<7}{:<16}{:>8.3}{:>14}{:>9.1}{:>7.3}{:>7.3}{:>7.3}{:>7.3}{:>8}{:>8.3}{:>8.0}{:>9.0}{:>9.0}{:>8.1}",
        s.case,
        s.policy,
        s.goodput,
        format!("{:.3}-{:.3}", s.goodput_low, s.goodput_high),
        s.answers,
        s.long,
        s.short,
        s.flood,
        s.alarm,
        s.changes,
        s.refused,
        s.first_p50_ms,
        s.first_p99_ms,
        s.alarm_p99_ms,
        s.between_p95_ms
    );
    if json {
        println!(
            "{}",
            serde_json::to_string(s).expect("plain fields have a JSON form")
        );
    }
}
