//! Metrics of callers that disconnect before their response is complete.

use prometheus::{Histogram, HistogramOpts, IntCounterVec, Registry};

use super::{LATENCY_BUCKETS_S, counters};

/// The metrics.
#[derive(Clone, Debug)]
pub struct Disconnects {
    /// Time from when a caller's side of its connection was seen to have ended until work on its request ended, for
    /// connections that ended with a request in flight.
    pub work_after_end: Histogram,
    /// Requests that were about to be sent when their callers' sides had ended, by what was known of the caller and whether
    /// they were sent.
    pub sends: IntCounterVec,
}

impl Disconnects {
    /// Creates the metrics.
    ///
    /// # Errors
    ///
    /// An error of the library if a name is not valid.
    pub fn new() -> prometheus::Result<Self> {
        let work_after_end = HistogramOpts::new(
            "wrenramp_work_after_end_seconds",
            "Time from the end of a caller's side to the end of its request.",
        );
        Ok(Self {
            work_after_end: Histogram::with_opts(
                work_after_end.buckets(LATENCY_BUCKETS_S.to_vec()),
            )?,
            sends: counters(
                "sends_after_end_total",
                "Requests about to be sent whose callers' sides had ended.",
                &["caller", "outcome"],
            )?,
        })
    }

    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// An error of the library when two metrics have the same name.
    pub fn register(&self, registry: &Registry) -> prometheus::Result<()> {
        registry.register(Box::new(self.work_after_end.clone()))?;
        registry.register(Box::new(self.sends.clone()))
    }
}
