//! Metrics of one gateway. Label sets are bounded: services come from the operators' configuration, all other labels
//! have fixed sets of values.

use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry,
};

use super::{
    LATENCY_BUCKETS_S, counters, disconnects::Disconnects, evidence::Evidence, histogram,
    streams::Streams, text,
};

/// All metrics of a gateway.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests that were received and matched a route, by service.
    pub requests: IntCounterVec,
    /// Requests that an endpoint answered, by service and by how the answer ended.
    pub answers: IntCounterVec,
    /// Responses of endpoints whose bodies ended, by framing and by what shows that they are incomplete.
    pub response_ends: IntCounterVec,
    /// What the responses of endpoints prove.
    pub evidence: Evidence,
    /// Refused requests, by reason.
    pub refusals: IntCounterVec,
    /// Callers' connections that ended with a request in flight, by reason.
    pub interrupted_connections: IntCounterVec,
    /// Callers that disconnected before their response was complete.
    pub disconnects: Disconnects,
    /// Requests forwarded to a peer, by service and outcome.
    pub forwarded: IntCounterVec,
    /// Requests that peers forwarded to this process, by outcome.
    pub received: IntCounterVec,
    /// Failed attempts, by service and cause.
    pub failures: IntCounterVec,
    /// Retries, by service and by whether the retry budget allowed them or refunded them.
    pub retries: IntCounterVec,
    /// Endpoints that crashed with requests in flight, by service.
    pub crashes: IntCounterVec,
    /// Migrations of long answers to another engine, by outcome.
    pub migrations: IntCounterVec,
    /// Streams that continue at another endpoint or are resumed.
    pub streams: Streams,
    /// Orders to engines, by outcome.
    pub orders: IntCounterVec,
    /// Calls that only the steward makes to the platform, by call and outcome.
    pub duties: IntCounterVec,
    /// Queries of an engine's cached tokens, by whether the engine answered.
    pub cache_listings: IntCounterVec,
    /// Calls to the platform's store, by purpose and by whether the store answered.
    pub store_calls: IntCounterVec,
    /// Time to the first bytes of an answer, by service.
    pub time_to_first_byte: HistogramVec,
    /// Time to the end of an answer, by service.
    pub request_duration: HistogramVec,
    /// Upper bound, in seconds, of the time for which callers got a configuration after a newer one was accepted;
    /// observed when the newer one comes into force.
    pub configuration_outdated: Histogram,
    /// Upper bound of the age of the configuration in force, in milliseconds: time since it was last confirmed to be the
    /// newest one; -1 if it is not known.
    pub configuration_age: IntGauge,
    /// Version of the configuration in force.
    pub configuration_version: IntGauge,
    /// Revision of the newest configuration change that this process has read.
    pub configuration_read: IntGauge,
    /// Revision of the newest configuration change that peers have advertised; higher than `configuration_read` while
    /// this process lags behind.
    pub configuration_advertised: IntGauge,
    /// Open connections of callers.
    pub connections: IntGauge,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// Reachable peers.
    pub peers: IntGauge,
    /// Listed endpoints.
    pub endpoints: IntGauge,
    /// Listed endpoints to which this process can't open connections, by service.
    pub unreachable_endpoints: IntGaugeVec,
    /// Fingerprints of requests during which endpoints crashed.
    pub suspects: IntGauge,
    /// Suspected fingerprints whose requests are withheld from all endpoints.
    pub withheld: IntGauge,
    /// Prompt parts whose requests are withheld from all endpoints.
    pub withheld_parts: IntGauge,
    /// New connections that were closed unread because of overload.
    pub shed_connections: IntCounter,
    /// Reloads of the settings file after a change.
    pub reloads: IntCounter,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    ///
    /// An error of the library when two metrics have the same name.
    pub fn new() -> prometheus::Result<Self> {
        let metrics = Self {
            registry: Registry::new(),
            requests: counters("requests_total", "Requests.", &["service"])?,
            answers: counters("answers_total", "Answers.", &["service", "outcome"])?,
            response_ends: counters(
                "response_ends_total",
                "Responses that ended.",
                &["framing", "end"],
            )?,
            evidence: Evidence::new()?,
            refusals: counters("refusals_total", "Refusals.", &["reason"])?,
            interrupted_connections: counters(
                "connections_cut_total",
                "Callers' connections that ended with a request under way.",
                &["reason"],
            )?,
            disconnects: Disconnects::new()?,
            forwarded: counters(
                "forwarded_total",
                "Requests forwarded to a peer.",
                &["service", "outcome"],
            )?,
            received: counters(
                "forwarded_received_total",
                "Requests that peers forwarded here.",
                &["outcome"],
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
            streams: Streams::new()?,
            orders: counters("orders_total", "Orders to engines.", &["outcome"])?,
            duties: counters(
                "duties_total",
                "Usage reports and orders for endpoints.",
                &["call", "outcome"],
            )?,
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
            configuration_outdated: outdated_configurations()?,
            configuration_age: gauge(
                "configuration_age_ms",
                "Time since the configuration was last known to be the newest.",
            )?,
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
            unreachable_endpoints: gauges(
                "endpoints_unreachable",
                "Listed endpoints to which no connection can be opened from here.",
                &["service"],
            )?,
            suspects: gauge("requests_suspected", "Requests that endpoints ended under.")?,
            withheld: gauge("requests_withheld", "Those that get to no endpoint.")?,
            withheld_parts: gauge(
                "prompt_parts_withheld",
                "Prompt parts whose requests get to no endpoint.",
            )?,
            shed_connections: shed_connections()?,
            reloads: IntCounter::new("wrenramp_reloads_total", "Reads of changed settings.")?,
        };
        metrics.register().map(|()| metrics)
    }

    /// Encodes the metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> Vec<u8> {
        text(&self.registry)
    }

    fn register(&self) -> prometheus::Result<()> {
        for counters in [
            &self.requests,
            &self.answers,
            &self.response_ends,
            &self.refusals,
            &self.interrupted_connections,
            &self.forwarded,
            &self.received,
            &self.failures,
            &self.retries,
            &self.crashes,
            &self.migrations,
            &self.orders,
            &self.duties,
            &self.cache_listings,
            &self.store_calls,
        ] {
            self.registry.register(Box::new(counters.clone()))?;
        }
        for histogram in [&self.time_to_first_byte, &self.request_duration] {
            self.registry.register(Box::new(histogram.clone()))?;
        }
        self.registry
            .register(Box::new(self.configuration_outdated.clone()))?;
        for gauge in [
            &self.configuration_age,
            &self.configuration_version,
            &self.configuration_read,
            &self.configuration_advertised,
            &self.connections,
            &self.in_flight,
            &self.peers,
            &self.endpoints,
            &self.suspects,
            &self.withheld,
            &self.withheld_parts,
        ] {
            self.registry.register(Box::new(gauge.clone()))?;
        }
        self.registry
            .register(Box::new(self.unreachable_endpoints.clone()))?;
        self.streams.register(&self.registry)?;
        self.evidence.register(&self.registry)?;
        self.disconnects.register(&self.registry)?;
        self.registry
            .register(Box::new(self.shed_connections.clone()))?;
        self.registry.register(Box::new(self.reloads.clone()))
    }
}

fn shed_connections() -> prometheus::Result<IntCounter> {
    IntCounter::new(
        "wrenramp_connections_shed_total",
        "New connections that were closed unread because of overload.",
    )
}

fn outdated_configurations() -> prometheus::Result<Histogram> {
    Histogram::with_opts(
        HistogramOpts::new(
            "wrenramp_configuration_outdated_seconds",
            "Longest time for which an older configuration can have been in force.",
        )
        .buckets(LATENCY_BUCKETS_S.to_vec()),
    )
}

fn gauges(name: &str, help: &str, labels: &[&str]) -> prometheus::Result<IntGaugeVec> {
    IntGaugeVec::new(Opts::new(format!("wrenramp_{name}"), help), labels)
}

fn gauge(name: &str, help: &str) -> prometheus::Result<IntGauge> {
    IntGauge::new(format!("wrenramp_{name}"), help)
}
