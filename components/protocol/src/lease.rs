//! Stewardship of a service in a data centre: a lease with an epoch, kept in the table.
//!
//! Two rows a stewardship. The lease row changes only when the holder changes; the renewal row
//! changes with each renewal. An order's transaction checks the lease row, so nothing that a former
//! steward does can be committed once a successor has raised the epoch, whatever its clock says.
//! The term only keeps two daemons from competing; safety rests on the epoch. See
//! `docs/DESIGN.md#stewardship`.

use serde::{Deserialize, Serialize};

use crate::Incarnation;

/// The lease row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// Raised by one with every new holder.
    pub epoch: u64,
    /// Who holds it; nobody after a release.
    pub holder: Option<Incarnation>,
}

/// The renewal row: which epoch was renewed, and how often.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Renewal {
    /// The epoch of the holder that renewed.
    pub epoch: u64,
    /// A count that changes with each renewal.
    pub count: u64,
}

/// What a daemon that is not the holder has seen of a stewardship, on its own monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watch {
    renewal: Renewal,
    unchanged_since_ms: u64,
}

impl Watch {
    /// Starts to watch at a time in milliseconds of the own clock.
    #[must_use]
    pub fn new(renewal: Renewal, now_ms: u64) -> Self {
        Self {
            renewal,
            unchanged_since_ms: now_ms,
        }
    }

    /// Takes a fresh read of the renewal row; a change starts the wait anew.
    pub fn observe(&mut self, renewal: Renewal, now_ms: u64) {
        if renewal != self.renewal {
            *self = Self::new(renewal, now_ms);
        }
    }

    /// Whether the holder may be replaced: it released, or a whole term passed without a renewal.
    #[must_use]
    pub fn is_expired(&self, lease: Option<&Lease>, now_ms: u64, term_ms: u64) -> bool {
        match lease {
            None | Some(Lease { holder: None, .. }) => true,
            Some(_) => now_ms.saturating_sub(self.unchanged_since_ms) >= term_ms,
        }
    }
}

/// The lease row that a daemon writes to take a stewardship over.
#[must_use]
pub fn acquire(lease: Option<&Lease>, me: Incarnation) -> Lease {
    Lease {
        epoch: lease.map_or(1, |lease| lease.epoch + 1),
        holder: Some(me),
    }
}

/// The lease row that the holder writes when it gives a stewardship up.
#[must_use]
pub fn release(lease: &Lease) -> Lease {
    Lease {
        epoch: lease.epoch,
        holder: None,
    }
}

/// Until when the holder may act without another renewal. Counted from before the request was
/// sent, so that a slow answer shortens the term and never lengthens it.
#[must_use]
pub fn valid_until(sent_ms: u64, term_ms: u64) -> u64 {
    // the margin leaves time for a step already begun
    sent_ms + term_ms - term_ms / MARGIN_DIVISOR
}

const MARGIN_DIVISOR: u64 = 4;
