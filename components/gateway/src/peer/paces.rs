//! How fast engines are, as peers tell each other: what one has learnt in the first moments of a service spares the
//! others the same mistakes, and a process that starts knows at once what the others know.

use std::sync::Arc;

use policy::estimate::{Latency, Samples};
use wire::ServicePace;

use crate::{
    endpoint::{Stage, short},
    process::Gateway,
};

/// What this process has learnt, as digests tell it; with `all` also what only a new peer wants to know.
pub(super) fn own(gateway: &Gateway, all: bool) -> Vec<ServicePace> {
    let services = gateway.own_paces(all);
    services
        .iter()
        .flat_map(|(service, paces)| {
            [
                encode(service, Stage::Prefill, &paces.readers),
                encode(service, Stage::Decode, &paces.writers),
            ]
        })
        .collect()
}

/// Takes what a peer has learnt of services that the configuration in force knows.
pub(super) fn take(gateway: &Gateway, told: &[ServicePace]) {
    if told.is_empty() {
        return;
    }
    let Some(version) = gateway.configuration() else {
        return;
    };
    for told in told {
        let mut services = version.services().iter();
        let service = services.find(|service| short(&service.name) == told.service);
        if let Some(service) = service {
            let stage = if told.prefill {
                Stage::Prefill
            } else {
                Stage::Decode
            };
            gateway.adopt_pace(&Arc::clone(&service.name), stage, &decode(told));
        }
    }
}

fn encode(service: &str, stage: Stage, pace: &Latency) -> ServicePace {
    ServicePace {
        service: short(service),
        prefill: stage == Stage::Prefill,
        start_us: narrow(pace.overhead_us),
        read_us: narrow(pace.prefill_token_us),
        step_us: narrow(pace.decode_token_us),
        start_samples: pace.samples.overhead,
        read_samples: pace.samples.prefill,
        step_samples: pace.samples.decode,
    }
}

fn decode(told: &ServicePace) -> Latency {
    Latency {
        overhead_us: told.start_us.into(),
        prefill_token_us: told.read_us.into(),
        decode_token_us: told.step_us.into(),
        // one wrong sample of it would reach all gateways at once
        contended_token_us: None,
        samples: Samples {
            overhead: told.start_samples,
            prefill: told.read_samples,
            decode: told.step_samples,
        },
    }
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "learnt times are known to a few percent"
)]
fn narrow(time: f64) -> f32 {
    time as f32
}
