//! Accepts requests that peers forward, as many as leave room for this process's own callers.

use std::{net::IpAddr, sync::Arc};

use derive_more::Display;
use parking_lot::Mutex;

use super::{Envelope, Refusal};
use crate::{
    process::{Gateway, Phase},
    version::{Configuration, Route, Service},
};

/// Maximum number of forwarded requests in flight. They share the endpoints with this process's own
/// callers anyway, so this bounds the processor time, the descriptors and the memory that they take.
const MAX_REQUESTS: usize = 256;
/// Maximum size of the bodies of forwarded requests in flight, as a fraction (1/n) of the memory of the
/// VM.
const BODY_MEMORY_DIVISOR: usize = 16;

/// Why a forwarded request is declined; it did not run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Decline {
    /// It comes from no known peer.
    #[display("the sender is no known peer")]
    UnknownSender,
    /// It has no valid envelope.
    #[display("the envelope is missing or not valid")]
    NoEnvelope,
    /// As many forwarded requests as may be are in flight.
    #[display("too many forwarded requests are in flight")]
    Full,
    /// This process is about to exit, or not ready yet.
    #[display("this process does not serve now")]
    NotServing,
    /// The sender's route or service differs from that of the configuration in force here.
    #[display("the configurations differ")]
    OtherConfiguration,
}

impl Decline {
    /// Returns how it is reported to the sender.
    pub fn for_peer(self) -> Refusal {
        match self {
            Self::Full | Self::NotServing => Refusal::Unavailable,
            // a peer that has just started knows the sender once it receives a digest from it
            Self::UnknownSender | Self::NoEnvelope | Self::OtherConfiguration => Refusal::Declined,
        }
    }
}

/// Forwarded requests in flight.
#[derive(Debug, Default)]
pub struct Admission(Arc<Mutex<InFlight>>);

#[derive(Debug, Default)]
struct InFlight {
    requests: usize,
    body_bytes: usize,
}

/// A forwarded request in flight, counted until this is dropped.
#[derive(Debug)]
pub struct Admitted {
    in_flight: Arc<Mutex<InFlight>>,
    body_bytes: usize,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        let mut in_flight = self.in_flight.lock();
        in_flight.requests -= 1;
        in_flight.body_bytes -= self.body_bytes;
    }
}

impl Admission {
    /// Returns the number of forwarded requests in flight.
    pub fn count(&self) -> usize {
        self.0.lock().requests
    }

    fn admit(&self, body_bytes: usize, max_body_bytes: usize) -> Option<Admitted> {
        let mut in_flight = self.0.lock();
        let total = in_flight.body_bytes.saturating_add(body_bytes);
        if in_flight.requests >= MAX_REQUESTS || total > max_body_bytes {
            return None;
        }
        in_flight.requests += 1;
        in_flight.body_bytes = total;
        Some(Admitted {
            in_flight: Arc::clone(&self.0),
            body_bytes,
        })
    }
}

/// The route and service of a forwarded request.
#[derive(Clone, Debug)]
pub struct Destination {
    /// The route that it matched at its sender.
    pub route: Arc<Route>,
    /// The service that was picked there.
    pub service: Arc<Service>,
}

/// Admits a request of a peer at `from` whose body has `body_bytes` bytes.
pub fn admit(
    gateway: &Gateway,
    from: IpAddr,
    envelope: &Envelope,
    body_bytes: usize,
) -> Result<Admitted, Decline> {
    if !gateway.peers.has_incarnation(from, envelope.sender) {
        return Err(Decline::UnknownSender);
    }
    if *gateway.phase.borrow() >= Phase::Closing {
        return Err(Decline::NotServing);
    }
    let max_body_bytes = (gateway.settings.resources.memory_mb << 20) / BODY_MEMORY_DIVISOR;
    let admitted = gateway.admission.admit(body_bytes, max_body_bytes);
    admitted.ok_or(Decline::Full)
}

/// Returns the route and service that the sender chose. They must be the same in the configuration in
/// force here, as either process may not know a change yet.
pub fn destination(
    configuration: &Configuration,
    host: &str,
    path: &str,
    envelope: &Envelope,
) -> Result<Destination, Decline> {
    let route = configuration.route(host, path);
    let route = route.filter(|route| {
        let mut targets = route.targets.iter();
        route.name == envelope.route && targets.any(|target| target.service == envelope.service)
    });
    let service = configuration.service(&envelope.service);
    match (route, service) {
        (Some(route), Some(service)) => Ok(Destination {
            route: Arc::clone(route),
            service: Arc::clone(service),
        }),
        _ => Err(Decline::OtherConfiguration),
    }
}
