//! What a run can be told.

use policy::route::Weights;

use crate::mixshift_parts::{
    policies::{Policy, Routing},
    workload::Site,
};

/// Options of a run.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Whose sizes.
    pub site: Site,
    /// How many deciders share the arrivals.
    pub schedulers: usize,
    /// How late reports are.
    pub report_delay_ms: u64,
    /// The routing window.
    pub max_prefill_wait_ms: u64,
    /// Weight of the delay to those that write.
    pub interference_weight: f64,
    /// The longest time between tokens that is aimed at.
    pub max_inter_token_latency_ms: u64,
    /// Most requests that write at an engine.
    pub max_decode_requests: u64,
    /// Weight of the delay by prompts behind.
    pub stall_weight: f64,
    /// The horizon of role decisions.
    pub horizon_s: u64,
    /// The seed.
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

/// The weights with which a policy routes.
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
