//! Exchange of suspect requests between peers: requests during which endpoints crashed.

use policy::suspect::{Crash, Record, SignedMicros};
use wire::{EndpointEnd, Suspect};

use crate::{
    process::{Gateway, Source},
    request::Fingerprint,
};

const MICROS_PER_MILLI: SignedMicros = 1_000;

/// Encodes the record of a request.
pub(super) fn encode(fingerprint: Fingerprint, record: &Record, now: SignedMicros) -> Suspect {
    let crashes = record.crashes.iter().map(|crash| EndpointEnd {
        endpoint: crash.endpoint,
        ago_ms: age_ms(crash.at, now),
    });
    Suspect {
        content: fingerprint.into(),
        ends: crashes.collect(),
        served_ms: record.last_served.map_or(0, |served| age_ms(served, now)),
    }
}

/// Adds the suspect requests that a peer reported.
pub(super) fn apply(gateway: &Gateway, received: &[Suspect], peer: &str) {
    for suspect in received {
        let record = decode(suspect, gateway.moment());
        gateway.merge_suspect(suspect.content.into(), &record, Source::Peer(peer));
    }
}

fn decode(received: &Suspect, now: SignedMicros) -> Record {
    let ago = |age_ms: u32| now - SignedMicros::from(age_ms) * MICROS_PER_MILLI;
    let mut crashes: Vec<Crash> = received
        .ends
        .iter()
        .map(|crash| Crash {
            endpoint: crash.endpoint,
            at: ago(crash.ago_ms),
        })
        .collect();
    crashes.sort_unstable_by_key(|crash| crash.at);
    Record {
        crashes,
        last_served: (received.served_ms > 0).then(|| ago(received.served_ms)),
    }
}

/// Returns the age of `at` in milliseconds: at least 1, since 0 stands for "never".
fn age_ms(at: SignedMicros, now: SignedMicros) -> u32 {
    u32::try_from((now - at) / MICROS_PER_MILLI)
        .unwrap_or(u32::MAX)
        .max(1)
}
