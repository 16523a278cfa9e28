//! What an endpoint's response proves about the request that it should answer. See
//! `docs/DESIGN.md#what-a-response-proves`.

use derive_more::Display;
use hyper::{StatusCode, http::response};

use super::{attempts::Purpose, framing::Framing};
use crate::adapters::{Identity, Reply};

/// What a response shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// It answers the request.
    Answer,
    /// The endpoint did not run the request.
    NotRun(NotRun),
    /// It shows nothing about the request, which may have run.
    Nothing(Doubt),
}

/// Proof that an endpoint did not run a request. Only [`examine`] creates it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("status {}, {basis}", status.as_u16())]
pub struct NotRun {
    status: StatusCode,
    basis: Basis,
}

/// Why a refusal is known to be that of the request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
enum Basis {
    /// It names the request.
    #[display("which names the request")]
    Named,
    /// It is the first response on a connection that has carried no other request.
    #[display("the first response on its connection")]
    FirstResponse,
}

/// Why a response shows nothing about the request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Doubt {
    /// It names another request.
    #[display("it names another request")]
    OtherRequest,
    /// It names no request.
    #[display("it names no request")]
    Unnamed,
    /// It is a refusal that names no request, on a connection that has carried others: it may be a late one of theirs.
    #[display("a refusal without a request id on a reused connection")]
    UsedConnection,
    /// Its status states that the request did not run, which the endpoint does not confirm.
    #[display("a refusal status that the endpoint does not confirm")]
    UnconfirmedStatus,
    /// HTTP does not define its status.
    #[display("HTTP does not define its status")]
    UndefinedStatus,
    /// It lacks the endpoint's signature.
    #[display("it is not signed")]
    Unsigned,
    /// Its headers contradict each other on the end of its body, so that a truncated body could look complete.
    #[display("the end of its body is ambiguous")]
    AmbiguousEnd,
    /// Its body is encoded, which nobody asked for.
    #[display("its body is encoded")]
    Encoded,
}

impl Doubt {
    /// Returns the value of the metric label.
    pub fn label(self) -> &'static str {
        match self {
            Self::OtherRequest => "other-request",
            Self::Unnamed => "unnamed",
            Self::UsedConnection => "used-connection",
            Self::UnconfirmedStatus => "unconfirmed-status",
            Self::UndefinedStatus => "undefined-status",
            Self::Unsigned => "unsigned",
            Self::AmbiguousEnd => "ambiguous-end",
            Self::Encoded => "encoded",
        }
    }
}

/// Examines a response. `is_first` says whether its connection has carried no other request.
pub fn examine(reply: &Reply, head: &response::Parts, purpose: Purpose, is_first: bool) -> Finding {
    let status = head.status;
    let not_run = |basis| Finding::NotRun(NotRun { status, basis });
    match reply.identity {
        _ if !is_defined(status) => Finding::Nothing(Doubt::UndefinedStatus),
        Identity::Other => Finding::Nothing(Doubt::OtherRequest),
        Identity::Own if reply.not_run => not_run(Basis::Named),
        Identity::Unnamed if reply.not_run && is_first => not_run(Basis::FirstResponse),
        Identity::Unnamed if reply.not_run => Finding::Nothing(Doubt::UsedConnection),
        Identity::Unnamed => Finding::Nothing(Doubt::Unnamed),
        Identity::Own if Framing::of(head).is_none() => Finding::Nothing(Doubt::AmbiguousEnd),
        // handles are not signed, and a prefill is no run whatever its status
        Identity::Own if purpose == Purpose::Read => Finding::Answer,
        Identity::Own if promises_not_run(status) => Finding::Nothing(Doubt::UnconfirmedStatus),
        Identity::Own if reply.encoded && status.is_success() => Finding::Nothing(Doubt::Encoded),
        // an error status says by itself that the request may have run
        Identity::Own if reply.signed || status.is_server_error() => Finding::Answer,
        Identity::Own => Finding::Nothing(Doubt::Unsigned),
    }
}

/// Whether HTTP defines what a status means, by its first digit if not by itself ([RFC 9110], section 15).
///
/// [RFC 9110]: https://www.rfc-editor.org/rfc/rfc9110#section-15
fn is_defined(status: StatusCode) -> bool {
    (100..600).contains(&status.as_u16())
}

/// Whether callers take a status as a promise that their request did not run and never will.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
