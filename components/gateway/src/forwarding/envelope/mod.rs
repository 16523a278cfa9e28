//! The headers that gateways add to a forwarded request and to its response.

#[cfg(test)]
mod tests;

use std::{sync::Arc, time::Duration};

use base64::{Engine, engine::general_purpose::STANDARD};
use hyper::{
    HeaderMap, Response,
    header::{HeaderName, HeaderValue},
};
use prost::Message;
use wire::{ForwardedRequest, ForwardedWorkspace};

use crate::{endpoint::Build, version::Workspace};

/// Header of a forwarded request: a [`ForwardedRequest`] in base64.
static ENVELOPE: HeaderName = HeaderName::from_static("forwarded-envelope");
/// The same for a stream that is bound to a build. Gateways that do not know of builds take no request with this header,
/// and would ignore a field of the other.
static BOUND_ENVELOPE: HeaderName = HeaderName::from_static("forwarded-stream-envelope");
/// Header of a response with which the peer itself refuses a forwarded request: whether it ran.
static REFUSAL: HeaderName = HeaderName::from_static("forwarded-refusal");
/// Header of such a response: the id of the request that it refuses. Older gateways do not send it.
static REFUSED: HeaderName = HeaderName::from_static("forwarded-refused");

/// Maximum size of an envelope in a header, in bytes: the names of a route, a service and a workspace,
/// and a few numbers.
pub const MAX_ENVELOPE_BYTES: usize = 4 << 10;

/// Adds a message in base64 to headers.
pub(super) fn insert_message(headers: &mut HeaderMap, name: &HeaderName, message: &impl Message) {
    // base64 is always a valid header value
    if let Ok(value) = HeaderValue::try_from(STANDARD.encode(message.encode_to_vec())) {
        headers.insert(name.clone(), value);
    }
}

/// Takes a message in base64 out of headers; `None` if there is none that can be decoded.
pub(super) fn take_message<M: Message + Default>(
    headers: &mut HeaderMap,
    name: &HeaderName,
) -> Option<M> {
    let value = headers.remove(name)?;
    M::decode(&*STANDARD.decode(value.as_bytes()).ok()?).ok()
}

/// What the sender of a forwarded request knows of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// The incarnation of the sender.
    pub sender: u64,
    /// Name of the route that the request matched there.
    pub route: Arc<str>,
    /// Name of the service that was picked from the route.
    pub service: Arc<str>,
    /// Time since the request arrived there.
    pub elapsed: Duration,
    /// Time until its deadline.
    pub left: Duration,
    /// Attempts in which it ran or may have run.
    pub runs: u32,
    /// How often it was sent to endpoints, as the retry budget counts it.
    pub sends: u32,
    /// Whether it is counted in the demand of its service already.
    pub demand_counted: bool,
    /// Whether it is counted in the usage of the workspace already.
    pub usage_counted: bool,
    /// The build that began the stream which the request resumes, if it resumes one.
    pub build: Option<Build>,
    /// The caller's workspace, if it has one.
    pub workspace: Option<Workspace>,
}

impl Envelope {
    /// Adds the envelope to the headers of a request.
    pub fn insert_into(&self, headers: &mut HeaderMap) {
        let message = ForwardedRequest {
            sender: self.sender,
            route: self.route.to_string(),
            service: self.service.to_string(),
            elapsed_us: policy::micros(self.elapsed),
            left_us: policy::micros(self.left),
            runs: self.runs,
            sends: self.sends,
            demand_counted: self.demand_counted,
            usage_counted: self.usage_counted,
            build: self.build.as_ref().map(ToString::to_string),
            workspace: self.workspace.as_ref().map(|workspace| ForwardedWorkspace {
                name: workspace.name.to_string(),
                priority: workspace.priority,
            }),
        };
        // a caller's own headers of these names must not reach the peer
        headers.remove(&ENVELOPE);
        headers.remove(&BOUND_ENVELOPE);
        let name = match self.build {
            Some(_) => &BOUND_ENVELOPE,
            None => &ENVELOPE,
        };
        insert_message(headers, name, &message);
    }

    /// Takes the envelope out of the headers of a request; `None` if there is none that can be decoded.
    pub fn take_from(headers: &mut HeaderMap) -> Option<Self> {
        let bound: Option<ForwardedRequest> = take_message(headers, &BOUND_ENVELOPE);
        let message = bound.or_else(|| take_message(headers, &ENVELOPE))?;
        Some(Self {
            sender: message.sender,
            route: message.route.into(),
            service: message.service.into(),
            elapsed: Duration::from_micros(message.elapsed_us),
            left: Duration::from_micros(message.left_us),
            runs: message.runs,
            sends: message.sends,
            demand_counted: message.demand_counted,
            usage_counted: message.usage_counted,
            build: message.build.map(|build| Build(build.into())),
            workspace: message.workspace.map(|workspace| Workspace {
                name: workspace.name.into(),
                priority: workspace.priority,
            }),
        })
    }
}

/// A peer's own refusal of a forwarded request, in contrast to an endpoint's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The peer does not serve this request, which did not run. Another peer may.
    Declined,
    /// The peer reaches no endpoint of the service. The request did not run.
    NoPath,
    /// The peer takes no forwarded requests at present. The request did not run.
    Unavailable,
    /// The request did not run, and another peer would hardly serve it: all use the same endpoints.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Refusal {
    const DECLINED: HeaderValue = HeaderValue::from_static("declined");
    const NO_PATH: HeaderValue = HeaderValue::from_static("no-path");
    const UNAVAILABLE: HeaderValue = HeaderValue::from_static("unavailable");
    const NOT_RUN: HeaderValue = HeaderValue::from_static("not-run");
    const UNKNOWN: HeaderValue = HeaderValue::from_static("unknown");

    /// Marks a response as a refusal of the request with this id.
    pub fn insert_into(self, id: &str, headers: &mut HeaderMap) {
        let value = match self {
            Self::Declined => Self::DECLINED,
            Self::NoPath => Self::NO_PATH,
            Self::Unavailable => Self::UNAVAILABLE,
            Self::NotRun => Self::NOT_RUN,
            Self::Unknown => Self::UNKNOWN,
        };
        headers.insert(REFUSAL.clone(), value);
        if let Ok(id) = HeaderValue::from_str(id) {
            headers.insert(REFUSED.clone(), id);
        }
    }

    /// Removes the mark, which only gateways may set, from an endpoint's response.
    pub fn remove_from(headers: &mut HeaderMap) {
        headers.remove(&REFUSAL);
        headers.remove(&REFUSED);
    }

    /// Returns how a response refuses the request with this id; `None` for an endpoint's response. One that names another
    /// request shows nothing about this one.
    pub fn of<B>(response: &Response<B>, id: &str) -> Option<Self> {
        let value = response.headers().get(&REFUSAL)?;
        let names_other = |refused: &HeaderValue| refused != id;
        Some(match value {
            _ if response.headers().get(&REFUSED).is_some_and(names_other) => Self::Unknown,
            value if *value == Self::DECLINED => Self::Declined,
            value if *value == Self::NO_PATH => Self::NoPath,
            value if *value == Self::UNAVAILABLE => Self::Unavailable,
            value if *value == Self::NOT_RUN => Self::NotRun,
            _ => Self::Unknown,
        })
    }
}
