//! How fast engines are, as peers tell each other: what one has learnt in the first moments of a service spares the
//! others the same mistakes, and a process that starts knows at once what the others know.

use std::sync::Arc;

use policy::learn::{Pace, Samples};
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

fn encode(service: &str, stage: Stage, pace: &Pace) -> ServicePace {
    ServicePace {
        service: short(service),
        prefill: stage == Stage::Prefill,
        start_us: narrow(pace.start_us),
        read_us: narrow(pace.read_us),
        step_us: narrow(pace.step_us),
        start_samples: pace.samples.start,
        read_samples: pace.samples.read,
        step_samples: pace.samples.step,
    }
}

fn decode(told: &ServicePace) -> Pace {
    Pace {
        start_us: told.start_us.into(),
        read_us: told.read_us.into(),
        step_us: told.step_us.into(),
        // one wrong sample of it would reach all gateways at once
        slowed_us: None,
        samples: Samples {
            start: told.start_samples,
            read: told.read_samples,
            step: told.step_samples,
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
