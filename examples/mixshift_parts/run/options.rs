//! Options of a run.

use policy::route::Weights;

use crate::mixshift_parts::{
    policies::{Policy, Routing},
    workload::Site,
};

/// Parameters of a run; the weights override those of the production code.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The site whose prompt and answer sizes are used.
    pub site: Site,
    /// Number of schedulers that share the arrivals.
    pub schedulers: usize,
    /// Delay of the engines' load reports.
    pub report_delay_ms: u64,
    /// Most prefill time that may wait at an engine.
    pub max_prefill_wait_ms: u64,
    /// Weight of the delay that a prompt causes to the requests that decode on the same engine.
    pub interference_weight: f64,
    /// Highest inter-token latency of an interactive answer.
    pub max_inter_token_latency_ms: u64,
    /// Most requests that decode at an engine.
    pub max_decode_requests: u64,
    /// Additional weight of the stalls that prompts queued behind a request cause to its answer.
    pub stall_weight: f64,
    /// Planning horizon of role decisions.
    pub horizon_s: u64,
    /// Seed of the arrivals and of all random choices.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            site: Site::Association,
            schedulers: 3,
            report_delay_ms: 300,
            max_prefill_wait_ms: Weights::default().max_prefill_wait / 1_000,
            interference_weight: Weights::default().interference_weight,
            stall_weight: Weights::default().stall_weight,
            max_decode_requests: Weights::default().max_decode_requests,
            max_inter_token_latency_ms: Weights::default().max_inter_token_latency / 1_000,
            horizon_s: 120,
            seed: 1,
        }
    }
}

/// Returns the weights with which a policy routes.
pub(super) fn weights(policy: Policy, options: Options) -> Weights {
    let configured = Weights {
        max_prefill_wait: options.max_prefill_wait_ms * 1_000,
        interference_weight: options.interference_weight,
        stall_weight: options.stall_weight,
        max_decode_requests: options.max_decode_requests,
        max_inter_token_latency: options.max_inter_token_latency_ms * 1_000,
        ..Weights::default()
    };
    match policy.routing {
        Routing::NoInterference => Weights {
            interference_weight: 0.0,
            stall_weight: 0.0,
            max_chunk_stall: 0,
            max_inter_token_latency: u64::MAX,
            ..configured
        },
        _ => configured,
    }
}
