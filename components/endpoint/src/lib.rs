//! Clients of engines and plain services.
//!
//! An adapter says for every failure whether the request may have been executed; callers of this crate rely on that.

pub mod engine;
pub mod service;

use derive_more::{Display, Error};

/// Why a request to an endpoint failed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Failure {
    /// No byte was sent: the request was not executed.
    #[display("the endpoint was not reached")]
    NotSent,
    /// The endpoint answered with this error status. By contract with the endpoints, it did not execute the request,
    /// whatever the status.
    #[display("the endpoint refused with status {_0}")]
    Refused(#[error(not(source))] u16),
    /// The request was sent, but no complete answer arrived: it may have been executed.
    #[display("the endpoint's answer was lost")]
    Lost,
}

impl Failure {
    /// Whether the request certainly was not executed.
    #[must_use]
    pub fn not_executed(self) -> bool {
        matches!(self, Self::NotSent | Self::Refused(_))
    }
}

impl From<call::Error> for Failure {
    fn from(error: call::Error) -> Self {
        match error {
            call::Error::NotSent => Self::NotSent,
            call::Error::Status(status) => Self::Refused(status),
            call::Error::Lost | call::Error::Malformed => Self::Lost,
        }
    }
}
