//! Estimates the outstanding work of an engine from sources of different age.

use crate::{Micros, estimate::BatchLatency, to_f64, to_u64};

/// Number of priority classes: an engine prefills the prompts of a higher class first.
pub const PRIORITY_CLASSES: usize = 3;

/// Prompt tokens to prefill by priority class, the lowest class first.
pub type TokensByClass = [u64; PRIORITY_CLASSES];

/// Lowest priority whose requests overtake all waiting requests.
pub const URGENT_PRIORITY: u8 = 8;
/// Lowest priority whose requests overtake bulk requests.
const FOREGROUND_PRIORITY: u8 = 5;

/// Returns the class of a priority.
#[must_use]
pub fn priority_class(priority: u8) -> usize {
    usize::from(priority >= FOREGROUND_PRIORITY) + usize::from(priority >= URGENT_PRIORITY)
}

/// What this process and its peers have dispatched to an engine, and what the engine reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sources {
    /// Dispatched by this process, exact: prompt tokens to prefill and requests that decode.
    pub own: (TokensByClass, u64),
    /// Dispatched by peers, as of their last digests.
    pub peers: (TokensByClass, u64),
    /// The engine's report (prompt tokens, requests that decode) and its age; `None` before the first.
    pub reported: Option<(u64, u64, Micros)>,
}

/// The outstanding work of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outstanding {
    /// Prompt tokens of the request's priority class and of higher ones.
    pub prefill_tokens_ahead: u64,
    /// Prompt tokens of all classes.
    pub prefill_tokens: u64,
    /// Requests that decode.
    pub decode_requests: u64,
}

/// Oldest report that is used. The work in an older one has long been done, while the dispatches of this
/// process and its peers are known, so such a report would only add work that is no longer there.
const MAX_REPORT_AGE: Micros = 500_000;

/// Estimates the outstanding work of an engine for a request of a priority class.
///
/// Dispatches of this process and its peers are the newer sources. The report only adds work that
/// neither knows of, such as that of an unreachable peer, less what the engine has prefilled since.
/// That additional work counts as ahead of no request, because its priority is unknown.
#[must_use]
pub fn estimate(sources: &Sources, latency: &BatchLatency, class: usize) -> Outstanding {
    let fresh = sources
        .reported
        .filter(|(_, _, age)| *age <= MAX_REPORT_AGE);
    let reported = fresh.map_or((0, 0), |(prefill_tokens, decode_requests, age)| {
        let prefilled = to_u64(to_f64(age) / latency.prefill_token_us.max(1.0));
        (prefill_tokens.saturating_sub(prefilled), decode_requests)
    });
    let sum = |from: usize| -> u64 {
        let own: u64 = sources.own.0[from..].iter().sum();
        let peers: u64 = sources.peers.0[from..].iter().sum();
        own + peers
    };
    Outstanding {
        prefill_tokens_ahead: sum(class),
        prefill_tokens: sum(0).max(reported.0),
        decode_requests: (sources.own.1 + sources.peers.1).max(reported.1),
    }
}
