//! Metrics of what the responses of endpoints prove.

use prometheus::{IntCounterVec, Registry};

use super::counters;

/// The metrics.
#[derive(Clone, Debug)]
pub struct Evidence {
    /// Responses that refuse a request, by service, by which request they name, and by whether their connection has
    /// carried other requests.
    pub refusals: IntCounterVec,
    /// Responses that show nothing about the request, by service and reason.
    pub unproven: IntCounterVec,
}

impl Evidence {
    /// Creates the metrics.
    ///
    /// # Errors
    ///
    /// An error of the library if a name is not valid.
    pub fn new() -> prometheus::Result<Self> {
        Ok(Self {
            refusals: counters(
                "endpoint_refusals_total",
                "Responses of endpoints that refuse a request, by the request that they name.",
                &["service", "identity", "connection"],
            )?,
            unproven: counters(
                "unproven_responses_total",
                "Responses of endpoints that show nothing about the request.",
                &["service", "doubt"],
            )?,
        })
    }

    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// An error of the library when two metrics have the same name.
    pub fn register(&self, registry: &Registry) -> prometheus::Result<()> {
        registry.register(Box::new(self.refusals.clone()))?;
        registry.register(Box::new(self.unproven.clone()))
    }
}
