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
            window_ms: Weights::default().window / 1_000,
            disturbance: Weights::default().disturbance,
            held: Weights::default().held,
            most_writing: Weights::default().most_writing,
            pace_ms: Weights::default().pace / 1_000,
            horizon_s: 120,
            seed: 1,
        }
    }
}

/// The weights with which a policy routes.
pub(super) fn weights(policy: Policy, options: Options) -> Weights {
    let usual = Weights {
        window: options.window_ms * 1_000,
        disturbance: options.disturbance,
        held: options.held,
        most_writing: options.most_writing,
        pace: options.pace_ms * 1_000,
        ..Weights::default()
    };
    match policy.routing {
        Routing::Plain => Weights {
            disturbance: 0.0,
            held: 0.0,
            chunk: 0,
            pace: u64::MAX,
            ..usual
        },
        _ => usual,
    }
}
