//! What waits at an engine, from sources of different age.

use crate::{Micros, estimate::BatchLatency, to_f64, to_u64};

/// Bands of priority: an engine reads a higher band's prompts first.
pub const PRIORITY_CLASSES: usize = 3;

/// Prompt tokens to read, by band, the lowest first.
pub type TokensByClass = [u64; PRIORITY_CLASSES];

/// From this priority on a request goes ahead of everything that waits.
pub const URGENT_PRIORITY: u8 = 8;
/// From this priority on a request goes ahead of bulk.
const FOREGROUND_PRIORITY: u8 = 5;

/// The band of a priority.
#[must_use]
pub fn priority_class(priority: u8) -> usize {
    usize::from(priority >= FOREGROUND_PRIORITY) + usize::from(priority >= URGENT_PRIORITY)
}

/// What this decider and its peers have sent, and what the engine said of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sources {
    /// Own dispatches, exact: prompt tokens to read and requests that write.
    pub own: (TokensByClass, u64),
    /// Peers' dispatches, as of their last digests.
    pub peers: (TokensByClass, u64),
    /// The engine's report and its age; none when it never came.
    pub reported: Option<(u64, u64, Micros)>,
}

/// What an engine still has to do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outstanding {
    /// Prompt tokens of a band and those above it.
    pub prefill_tokens_ahead: u64,
    /// All prompt tokens.
    pub prefill_tokens: u64,
    /// Requests that write.
    pub decode_requests: u64,
}

/// A report older than this is worse than no report: what it tells of has long been done, while own
/// and peers' dispatches are known.
const MAX_REPORT_AGE: Micros = 500_000;

/// What the engine still has to do, as far as it concerns a request of a band.
///
/// Own and peers' dispatches are the newer sources. The report only adds what neither of them knows,
/// such as the work of a peer that is cut off; what the engine has read since the report is taken
/// off it. Its unknown part counts as ahead of nobody, since its priority isn't known.
#[must_use]
pub fn estimate(sources: &Sources, rates: &BatchLatency, band: usize) -> Outstanding {
    let fresh = sources
        .reported
        .filter(|(_, _, age)| *age <= MAX_REPORT_AGE);
    let told = fresh.map_or((0, 0), |(reading, writing, age)| {
        let read = to_u64(to_f64(age) / rates.prefill_token_us.max(1.0));
        (reading.saturating_sub(read), writing)
    });
    let sum = |from: usize| -> u64 {
        let own: u64 = sources.own.0[from..].iter().sum();
        let peers: u64 = sources.peers.0[from..].iter().sum();
        own + peers
    };
    Outstanding {
        prefill_tokens_ahead: sum(band),
        prefill_tokens: sum(0).max(told.0),
        decode_requests: (sources.own.1 + sources.peers.1).max(told.1),
    }
}
