//! Metrics of one daemon. Label sets are bounded: services and groups come from the settings.

pub mod disconnects;
pub mod evidence;
pub mod gateway;
pub mod streams;

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// A gauge, for crates that set one without depending on the metrics library.
pub use prometheus::IntGauge as Gauge;

/// Upper bounds of the latency histogram buckets, in seconds.
const LATENCY_BUCKETS_S: &[f64] = &[
    0.001, 0.005, 0.01, 0.026, 0.05, 0.1, 0.25, 0.5, 1.3, 2.5, 5.0, 10.0, 30.0, 60.0, 300.0,
];

/// All metrics of a daemon.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests, by service, group and outcome.
    pub requests: IntCounterVec,
    /// Refused requests, by reason.
    pub refusals: IntCounterVec,
    /// Tokens of complete answers that met their deadline, by service and group.
    pub goodput: IntCounterVec,
    /// Time in the queue, by service and group.
    pub queue_time: HistogramVec,
    /// Time to the first token, by service and group.
    pub time_to_first_token: HistogramVec,
    /// Time to the end of the answer, by service and group.
    pub request_duration: HistogramVec,
    /// Attempts after the first, by reason.
    pub retries: IntCounterVec,
    /// Dropped frames, by verdict: duplicates, and frames of another attempt.
    pub dropped_frames: IntCounterVec,
    /// Orders to engines, by outcome.
    pub orders: IntCounterVec,
    /// Version of the settings in force.
    pub settings_version: IntGauge,
    /// Calls to the table service, by outcome.
    pub table_calls: IntCounterVec,
    /// Open connections of callers.
    pub connections: IntGauge,
    /// Requests aborted by a forced shutdown, or when the grace period of a graceful shutdown ended.
    pub aborted_streams: IntCounter,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    ///
    /// An error of the library when two metrics have the same name.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let metrics = Self {
            requests: counters(
                "requests_total",
                "Requests.",
                &["service", "group", "outcome"],
            )?,
            refusals: counters("refusals_total", "Refusals.", &["reason"])?,
            goodput: counters(
                "goodput_tokens_total",
                "Tokens of whole answers in time.",
                &["service", "group"],
            )?,
            queue_time: histogram("queue_seconds", "Time in the queue.", &["service", "group"])?,
            time_to_first_token: histogram(
                "first_token_seconds",
                "Time to the first token.",
                &["service", "group"],
            )?,
            request_duration: histogram(
                "request_seconds",
                "Time to the end of the answer.",
                &["service", "group"],
            )?,
            retries: counters("retries_total", "Attempts after the first.", &["reason"])?,
            dropped_frames: counters("dropped_frames_total", "Frames dropped.", &["verdict"])?,
            orders: counters("orders_total", "Orders to engines.", &["outcome"])?,
            settings_version: IntGauge::new(
                "wrenramp_settings_version",
                "Settings version in force.",
            )?,
            table_calls: counters("table_calls_total", "Calls to the table.", &["outcome"])?,
            connections: IntGauge::new("wrenramp_connections", "Open connections of callers.")?,
            aborted_streams: IntCounter::new(
                "wrenramp_cut_streams_total",
                "Streams cut by a hard stop.",
            )?,
            registry,
        };
        metrics.register()?;
        Ok(metrics)
    }

    /// Encodes the metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> Vec<u8> {
        text(&self.registry)
    }

    fn register(&self) -> prometheus::Result<()> {
        let register = |c: Box<dyn prometheus::core::Collector>| self.registry.register(c);
        for counters in [
            &self.requests,
            &self.refusals,
            &self.goodput,
            &self.retries,
            &self.dropped_frames,
            &self.orders,
            &self.table_calls,
        ] {
            register(Box::new(counters.clone()))?;
        }
        for histogram in [
            &self.queue_time,
            &self.time_to_first_token,
            &self.request_duration,
        ] {
            register(Box::new(histogram.clone()))?;
        }
        register(Box::new(self.settings_version.clone()))?;
        register(Box::new(self.connections.clone()))?;
        register(Box::new(self.aborted_streams.clone()))
    }
}

fn counters(name: &str, help: &str, labels: &[&str]) -> prometheus::Result<IntCounterVec> {
    IntCounterVec::new(Opts::new(format!("wrenramp_{name}"), help), labels)
}

fn histogram(name: &str, help: &str, labels: &[&str]) -> prometheus::Result<HistogramVec> {
    let options = HistogramOpts::new(format!("wrenramp_{name}"), help);
    HistogramVec::new(options.buckets(LATENCY_BUCKETS_S.to_vec()), labels)
}

fn text(registry: &Registry) -> Vec<u8> {
    let mut text = Vec::new();
    // writing to memory does not fail
    let _ = TextEncoder::new().encode(&registry.gather(), &mut text);
    text
}
