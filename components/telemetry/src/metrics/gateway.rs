//! Metrics of one gateway. Label sets are bounded: services come from the operators' configuration_version, the
//! rest are closed sets.

use prometheus::{HistogramVec, IntCounter, IntCounterVec, IntGauge, Registry};

use super::{counters, histogram, text};

/// All metrics of a gateway.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests that were read and found their route, by service.
    pub requests: IntCounterVec,
    /// Requests that an endpoint answered, by service and how the answer ended.
    pub answers: IntCounterVec,
    /// Refusals, by reason.
    pub refusals: IntCounterVec,
    /// Callers' connections that ended with a request under way, by reason.
    pub interrupted_connections: IntCounterVec,
    /// Attempts that failed, by service and cause.
    pub failures: IntCounterVec,
    /// Repeats, by service and whether the budget allowed them.
    pub retries: IntCounterVec,
    /// Endpoints that ended with requests under way, by service.
    pub crashes: IntCounterVec,
    /// Long answers that left their engine, by outcome.
    pub migrations: IntCounterVec,
    /// Orders to engines, by outcome.
    pub orders: IntCounterVec,
    /// Engines asked for what they hold, by whether they told.
    pub cache_listings: IntCounterVec,
    /// Calls to the platform's store, by what they were for and whether the store answered.
    pub store_calls: IntCounterVec,
    /// Time to the first bytes of an answer, by service.
    pub time_to_first_byte: HistogramVec,
    /// Time to the end of an answer, by service.
    pub request_duration: HistogramVec,
    /// The version of the configuration in force.
    pub configuration_version: IntGauge,
    /// The revision of the last change of the configuration that was read.
    pub configuration_read: IntGauge,
    /// The revision of its newest change that peers have told; above the other one while this process is behind.
    pub configuration_advertised: IntGauge,
    /// Open connections of callers.
    pub connections: IntGauge,
    /// Requests under way.
    pub in_flight: IntGauge,
    /// Peers that are heard.
    pub peers: IntGauge,
    /// Endpoints that are listed.
    pub endpoints: IntGauge,
    /// Requests, by what they ask for, that endpoints have ended under.
    pub suspects: IntGauge,
    /// Those of them that get to no endpoint.
    pub withheld: IntGauge,
    /// Times that the settings file was read again.
    pub reloads: IntCounter,
}

impl Metrics {
    /// Makes and registers all metrics.
    ///
    /// # Errors
    ///
    /// The library's error when two metrics share a name.
    pub fn new() -> prometheus::Result<Self> {
        let metrics = Self {
            registry: Registry::new(),
            requests: counters("requests_total", "Requests.", &["service"])?,
            answers: counters("answers_total", "Answers.", &["service", "outcome"])?,
            refusals: counters("refusals_total", "Refusals.", &["reason"])?,
            interrupted_connections: counters(
                "connections_cut_total",
                "Callers' connections that ended with a request under way.",
                &["reason"],
            )?,
            failures: counters(
                "attempt_failures_total",
                "Attempts that failed.",
                &["service", "cause"],
            )?,
            retries: counters(
                "repeats_total",
                "Arrivals at endpoints beyond the first.",
                &["service", "allowed"],
            )?,
            crashes: counters(
                "endpoint_ends_total",
                "Endpoints that ended with requests under way.",
                &["service"],
            )?,
            migrations: counters(
                "moves_total",
                "Answers that left their engine.",
                &["outcome"],
            )?,
            orders: counters("orders_total", "Orders to engines.", &["outcome"])?,
            cache_listings: counters(
                "engine_listings_total",
                "Engines asked for what they hold.",
                &["answered"],
            )?,
            store_calls: counters(
                "store_calls_total",
                "Calls to the store.",
                &["call", "answered"],
            )?,
            time_to_first_byte: histogram(
                "first_seconds",
                "Time to the first bytes.",
                &["service"],
            )?,
            request_duration: histogram("request_seconds", "Time to the end.", &["service"])?,
            configuration_version: gauge("configuration_version", "Configuration in force.")?,
            configuration_read: gauge("configuration_read_revision", "Last change read.")?,
            configuration_advertised: gauge(
                "configuration_told_revision",
                "Last change peers told.",
            )?,
            connections: gauge("connections", "Open connections of callers.")?,
            in_flight: gauge("requests_under_way", "Requests under way.")?,
            peers: gauge("peers", "Peers that are heard.")?,
            endpoints: gauge("endpoints", "Endpoints that are listed.")?,
            suspects: gauge("requests_suspected", "Requests that endpoints ended under.")?,
            withheld: gauge("requests_withheld", "Those that get to no endpoint.")?,
            reloads: IntCounter::new("wrenramp_reloads_total", "Reads of changed settings.")?,
        };
        metrics.register()?;
        Ok(metrics)
    }

    /// The metrics in the text form that Prometheus reads.
    #[must_use]
    pub fn text(&self) -> Vec<u8> {
        text(&self.registry)
    }

    fn register(&self) -> prometheus::Result<()> {
        for counters in [
            &self.requests,
            &self.answers,
            &self.refusals,
            &self.interrupted_connections,
            &self.failures,
            &self.retries,
            &self.crashes,
            &self.migrations,
            &self.orders,
            &self.cache_listings,
            &self.store_calls,
        ] {
            self.registry.register(Box::new(counters.clone()))?;
        }
        for histogram in [&self.time_to_first_byte, &self.request_duration] {
            self.registry.register(Box::new(histogram.clone()))?;
        }
        for gauge in [
            &self.configuration_version,
            &self.configuration_read,
            &self.configuration_advertised,
            &self.connections,
            &self.in_flight,
            &self.peers,
            &self.endpoints,
            &self.suspects,
            &self.withheld,
        ] {
            self.registry.register(Box::new(gauge.clone()))?;
        }
        self.registry.register(Box::new(self.reloads.clone()))
    }
}

fn gauge(name: &str, help: &str) -> prometheus::Result<IntGauge> {
    IntGauge::new(format!("wrenramp_{name}"), help)
}
