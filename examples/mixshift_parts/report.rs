//! Results of a run, and their medians over all seeds.

use hdrhistogram::Histogram;
use policy::to_f64;
use serde::Serialize;

use super::{
    policies::Policy,
    workload::{Case, Class, DURATION_S, Request},
};

/// Latency target of an answer: time to first token and mean inter-token latency.
const MAX_FIRST_TOKEN_US: u64 = 1_300_000;
const MAX_INTER_TOKEN_US: u64 = 26_000;

/// The results of one run.
pub struct Results {
    /// Requests that arrived, by class.
    arrived: [u64; 4],
    /// Useful answers, by class: those that meet their deadline and, except for long prompts, the
    /// latency target.
    useful: [u64; 4],
    /// Work of the useful answers, in microseconds of engine time.
    useful_work: f64,
    arrived_work: f64,
    refused: [u64; 4],
    first_token_us: Vec<Histogram<u64>>,
    inter_token_us: Histogram<u64>,
    /// Number of role changes.
    pub role_changes: u64,
}

fn engine_work_us(request: &Request) -> f64 {
    to_f64(request.prompt_tokens) * 80.0 + to_f64(request.output_tokens) * 350.0
}

fn record(histogram: &mut Histogram<u64>, value: u64) {
    histogram
        .record(value)
        .expect("an auto-resizing histogram accepts any value");
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three significant digits are supported")
}

impl Results {
    /// Returns empty results for these requests.
    pub fn new(requests: &[Request]) -> Self {
        let mut arrived = [0; 4];
        for request in requests {
            arrived[request.class.group()] += 1;
        }
        Self {
            arrived,
            useful: [0; 4],
            useful_work: 0.0,
            arrived_work: requests.iter().map(engine_work_us).sum(),
            refused: [0; 4],
            first_token_us: Class::ALL.iter().map(|_| histogram()).collect(),
            inter_token_us: histogram(),
            role_changes: 0,
        }
    }

    /// Records that a request was refused.
    pub fn record_refusal(&mut self, class: Class) {
        self.refused[class.group()] += 1;
    }

    /// Records an answer that ended at `now`.
    pub fn record_answer(&mut self, request: &Request, first_token_at: Option<u64>, now: u64) {
        let group = request.class.group();
        let first_token_us = first_token_at.unwrap_or(now) - request.arrival_us;
        let inter_token_us =
            (now - first_token_at.unwrap_or(now)) / (request.output_tokens - 1).max(1);
        let in_time = now - request.arrival_us <= request.class.deadline_us();
        let within_latency_target = match request.class {
            Class::Long => true,
            Class::Short | Class::Flood | Class::Alarm => {
                first_token_us <= MAX_FIRST_TOKEN_US && inter_token_us <= MAX_INTER_TOKEN_US
            }
        };
        record(&mut self.first_token_us[group], first_token_us);
        if request.class != Class::Long {
            record(&mut self.inter_token_us, inter_token_us);
        }
        if in_time && within_latency_target {
            self.useful[group] += 1;
            self.useful_work += engine_work_us(request);
        }
    }

    fn useful_ratio(&self, class: Class) -> f64 {
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
    /// Ratio of useful work to the work of all requests that arrived.
    goodput: f64,
    goodput_low: f64,
    goodput_high: f64,
    /// Useful answers per second.
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
    /// Summarizes the runs of one case and policy.
    pub fn new(case: Case, policy: Policy, results: &[Results]) -> Self {
        let goodput = |r: &Results| r.useful_work / r.arrived_work;
        let ms = |us: u64| to_f64(us) / 1e3;
        let first_token_ms = |class: Class, at: f64| {
            median(results, |r| {
                ms(r.first_token_us[class.group()].value_at_quantile(at))
            })
        };
        let extreme =
            |f: fn(f64, f64) -> f64, start: f64| results.iter().map(goodput).fold(start, f);
        Self {
            case: case.name(),
            policy: policy.name,
            seeds: results.len(),
            goodput: median(results, goodput),
            goodput_low: extreme(f64::min, f64::MAX),
            goodput_high: extreme(f64::max, 0.0),
            answers: median(results, |r| to_f64(r.useful.iter().sum()) / DURATION_S),
            long: median(results, |r| r.useful_ratio(Class::Long)),
            short: median(results, |r| r.useful_ratio(Class::Short)),
            flood: median(results, |r| r.useful_ratio(Class::Flood)),
            alarm: median(results, |r| r.useful_ratio(Class::Alarm)),
            changes: median(results, |r| to_f64(r.role_changes)),
            refused: median(results, |r| {
                to_f64(r.refused.iter().sum()) / to_f64(r.arrived.iter().sum())
            }),
            first_p50_ms: first_token_ms(Class::Short, 0.5),
            first_p99_ms: first_token_ms(Class::Short, 0.99),
            alarm_p99_ms: first_token_ms(Class::Alarm, 0.99),
            between_p95_ms: median(results, |r| ms(r.inter_token_us.value_at_quantile(0.95))),
        }
    }
}

/// Prints the header of the table.
pub fn print_header() {
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

/// Prints a row of the table, followed by a JSON line if `json` is set.
pub fn print_row(summary: &Summary, json: bool) {
    println!(
        "{:<7}{:<16}{:>8.3}{:>14}{:>9.1}{:>7.3}{:>7.3}{:>7.3}{:>7.3}{:>8}{:>8.3}{:>8.0}{:>9.0}{:>9.0}{:>8.1}",
        summary.case,
        summary.policy,
        summary.goodput,
        format!("{:.3}-{:.3}", summary.goodput_low, summary.goodput_high),
        summary.answers,
        summary.long,
        summary.short,
        summary.flood,
        summary.alarm,
        summary.changes,
        summary.refused,
        summary.first_p50_ms,
        summary.first_p99_ms,
        summary.alarm_p99_ms,
        summary.between_p95_ms
    );
    if json {
        println!(
            "{}",
            serde_json::to_string(summary).expect("a summary serializes to JSON")
        );
    }
}
