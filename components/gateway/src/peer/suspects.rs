//! Requests that endpoints ended under, as peers tell each other.

use policy::suspect::{Crash, Moment, Record};
use wire::{EndpointEnd, Suspect};

use crate::{
    process::{Gateway, Source},
    request::Fingerprint,
};

/// Microseconds in a millisecond.
const MICROS_PER_MILLI: Moment = 1_000;

/// The message for a request.
pub(super) fn encode(content: Fingerprint, record: &Record, now: Moment) -> Suspect {
    let ends = record.crashes.iter().map(|end| EndpointEnd {
        endpoint: end.endpoint,
        ago_ms: age_ms(end.at, now),
    });
    Suspect {
        content: content.into(),
        ends: ends.collect(),
        served_ms: record.last_served.map_or(0, |served| age_ms(served, now)),
    }
}

/// Takes what a peer tells.
pub(super) fn apply(gateway: &Gateway, received: &[Suspect], peer: &str) {
    for suspect in received {
        let record = decode(suspect, gateway.moment());
        gateway.merge_suspect(suspect.content.into(), &record, Source::Peer(peer));
    }
}

fn decode(received: &Suspect, now: Moment) -> Record {
    let ago = |age_ms: u32| now - Moment::from(age_ms) * MICROS_PER_MILLI;
    let mut ends: Vec<Crash> = received
        .ends
        .iter()
        .map(|end| Crash {
            endpoint: end.endpoint,
            at: ago(end.ago_ms),
        })
        .collect();
    ends.sort_unstable_by_key(|end| end.at);
    Record {
        crashes: ends,
        last_served: (received.served_ms > 0).then(|| ago(received.served_ms)),
    }
}

/// How long ago something was, in milliseconds; at least one, as zero stands for never.
fn age_ms(at: Moment, now: Moment) -> u32 {
    u32::try_from((now - at) / MICROS_PER_MILLI)
        .unwrap_or(u32::MAX)
        .max(1)
}
