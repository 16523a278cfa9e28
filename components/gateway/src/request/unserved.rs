//! Requests that this process does not serve itself.

use super::{attempts::Attempts, job::Job, refusal::Reason};

/// Why a request can't be served with the endpoints that this process reaches.
#[derive(Clone, Copy, Debug)]
pub enum Denial {
    /// None of them has room; a peer that reaches others may.
    NoRoom(Reason),
    /// The request must not be sent anywhere any more.
    Final(Reason),
}

/// A request that this process does not serve itself.
pub enum Unserved {
    /// A peer may serve it.
    NoRoom(Box<Pending>),
    /// It is refused.
    Final(Reason),
}

/// A request that a peer may serve.
pub struct Pending {
    /// The request.
    pub job: Job,
    /// Its attempts so far.
    pub attempts: Attempts,
    /// Why it is refused if no peer serves it.
    pub reason: Reason,
}

impl Denial {
    /// Adds the request that is denied.
    pub fn unserved(self, job: Job, attempts: Attempts) -> Unserved {
        match self {
            Self::NoRoom(reason) => Unserved::NoRoom(Box::new(Pending {
                job,
                attempts,
                reason,
            })),
            Self::Final(reason) => Unserved::Final(reason),
        }
    }
}
