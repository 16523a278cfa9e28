//! Metrics of streams that continue at another endpoint or that their callers resume.

use prometheus::{IntCounter, IntCounterVec, IntGauge, Registry};

use super::counters;

/// The metrics.
#[derive(Clone, Debug)]
pub struct Streams {
    /// Streams that continued at another endpoint, by service and by whether its build is the one that began them; those
    /// without an event as yet have not begun at any.
    pub continued: IntCounterVec,
    /// Streams that callers resumed, by service and by whether the build that began them was found.
    pub resumed: IntCounterVec,
    /// Engines that could not take a request which was not placed when it looked for room, by service, by the reason and
    /// by whether its stream had begun. Each such look counts all these engines, also if others have room that is left to
    /// requests before it.
    pub no_room: IntCounterVec,
    /// Streams of which this process knows the build that began them.
    pub known: IntGauge,
    /// Records of streams that were dropped before they expired, as there were too many.
    pub dropped: IntCounter,
    /// Streams that did not fit into this process's row in the store.
    pub unsaved: IntGauge,
    /// Builds at which streams may begin, by how this process came to know it.
    pub admitted: IntCounterVec,
    /// Builds that serve and at which no stream may begin, as the store has no row of them.
    pub waiting_builds: IntGauge,
}

impl Streams {
    /// Creates the metrics.
    ///
    /// # Errors
    ///
    /// An error of the library if a name is not valid.
    pub fn new() -> prometheus::Result<Self> {
        Ok(Self {
            continued: counters(
                "streams_continued_total",
                "Streams that continued at another endpoint.",
                &["service", "build"],
            )?,
            resumed: counters(
                "streams_resumed_total",
                "Streams that callers resumed.",
                &["service", "outcome"],
            )?,
            no_room: counters(
                "no_room_total",
                "Engines, not requests: those that could not take a request that was not placed.",
                &["service", "obstacle", "begun"],
            )?,
            known: IntGauge::new(
                "wrenramp_streams_known",
                "Streams whose build is known here.",
            )?,
            dropped: IntCounter::new(
                "wrenramp_streams_dropped_total",
                "Records of streams dropped before they expired.",
            )?,
            unsaved: IntGauge::new(
                "wrenramp_streams_unsaved",
                "Streams that did not fit into the row in the store.",
            )?,
            admitted: counters(
                "builds_admitted_total",
                "Builds at which streams may begin from then on.",
                &["outcome"],
            )?,
            waiting_builds: IntGauge::new(
                "wrenramp_builds_waiting",
                "Builds that serve and at which no stream may begin yet.",
            )?,
        })
    }

    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// An error of the library when another metric has the same name.
    pub fn register(&self, registry: &Registry) -> prometheus::Result<()> {
        registry.register(Box::new(self.continued.clone()))?;
        registry.register(Box::new(self.resumed.clone()))?;
        registry.register(Box::new(self.no_room.clone()))?;
        registry.register(Box::new(self.known.clone()))?;
        registry.register(Box::new(self.dropped.clone()))?;
        registry.register(Box::new(self.unsaved.clone()))?;
        registry.register(Box::new(self.admitted.clone()))?;
        registry.register(Box::new(self.waiting_builds.clone()))
    }
}
