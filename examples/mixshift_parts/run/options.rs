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
    pub deciders: usize,
    /// How late reports are.
    pub lag_ms: u64,
    /// The routing window.
    pub window_ms: u64,
    /// Weight of the delay to those that write.
    pub disturbance: f64,
    /// The longest time between tokens that is aimed at.
    pub pace_ms: u64,
    /// Most requests that write at an engine.
    pub most_writing: u64,
    /// Weight of the delay by prompts behind.
    pub held: f64,
    /// The horizon of role decisions.
    pub horizon_s: u64,
    /// The seed.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            site: Site::Association,
            deciders: 3,
            lag_ms: 300,
            window_ms: Weights::default().max_prefill_wait / 1_000,
            disturbance: Weights::default().interference_weight,
            held: Weights::default().stall_weight,
            most_writing: Weights::default().max_decode_requests,
            pace_ms: Weights::default().max_inter_token_latency / 1_000,
            horizon_s: 120,
            seed: 1,
        }
    }
}

/// The weights with which a policy routes.
pub(super) fn weights(policy: Policy, options: Options) -> Weights {
    let usual = Weights {
        max_prefill_wait: options.window_ms * 1_000,
        interference_weight: options.disturbance,
        stall_weight: options.held,
        max_decode_requests: options.most_writing,
        max_inter_token_latency: options.pace_ms * 1_000,
        ..Weights::default()
    };
    match policy.routing {
        Routing::Plain => Weights {
            interference_weight: 0.0,
            stall_weight: 0.0,
            max_chunk_stall: 0,
            max_inter_token_latency: u64::MAX,
            ..usual
        },
        _ => usual,
    }
}
