//! Exchange of learnt engine latencies between peers.
//!
//! The other processes thus need not start from the same wrong estimates as the first one that uses
//! a service, and a process that starts gets at once what the others have learnt.

use std::sync::Arc;

use policy::estimate::{Latency, Samples};
use wire::ServicePace;

use crate::{
    endpoint::{Stage, short_id},
    process::Gateway,
};

/// Returns the latencies that this process has learnt, encoded for a digest. With `all`, latencies
/// that only a new peer lacks are included.
pub(super) fn collect(gateway: &Gateway, all: bool) -> Vec<ServicePace> {
    let services = gateway.own_latencies(all);
    services
        .iter()
        .flat_map(|(service, latencies)| {
            [
                encode(service, Stage::Prefill, &latencies.prefill),
                encode(service, Stage::Decode, &latencies.decode),
            ]
        })
        .collect()
}

/// Adopts latencies learnt by a peer, for services of the current configuration.
pub(super) fn apply(gateway: &Gateway, received: &[ServicePace]) {
    if received.is_empty() {
        return;
    }
    let Some(configuration) = gateway.configuration() else {
        return;
    };
    for received in received {
        let mut services = configuration.services().iter();
        let service = services.find(|service| short_id(&service.name) == received.service);
        if let Some(service) = service {
            let stage = if received.prefill {
                Stage::Prefill
            } else {
                Stage::Decode
            };
            gateway.adopt_latency(&Arc::clone(&service.name), stage, &decode(received));
        }
    }
}

fn encode(service: &str, stage: Stage, latency: &Latency) -> ServicePace {
    ServicePace {
        service: short_id(service),
        prefill: stage == Stage::Prefill,
        start_us: narrow(latency.overhead_us),
        read_us: narrow(latency.prefill_token_us),
        step_us: narrow(latency.decode_token_us),
        start_samples: latency.samples.overhead,
        read_samples: latency.samples.prefill,
        step_samples: latency.samples.decode,
    }
}

fn decode(received: &ServicePace) -> Latency {
    Latency {
        overhead_us: received.start_us.into(),
        prefill_token_us: received.read_us.into(),
        decode_token_us: received.step_us.into(),
        // not exchanged: one wrong sample would reach all gateways at once
        contended_token_us: None,
        samples: Samples {
            overhead: received.start_samples,
            prefill: received.read_samples,
            decode: received.step_samples,
        },
    }
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "learnt times are only accurate to a few percent"
)]
fn narrow(time: f64) -> f32 {
    time as f32
}
