//! Stewardship of a service in a data centre: a lease with an epoch, stored in the table.
//!
//! Each stewardship has two rows. The lease row changes only when the holder changes; the renewal
//! row changes with each renewal. The transaction of an order checks the lease row, so a former
//! steward can't commit anything once a successor has incremented the epoch, whatever its clock
//! says. The lease term only prevents contention between daemons; safety depends on the epoch
//! alone. See `docs/DESIGN.md#stewardship`.

use serde::{Deserialize, Serialize};

use crate::Incarnation;

/// Lease row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// Incremented with every new holder.
    pub epoch: u64,
    /// Current holder; `None` after a release.
    pub holder: Option<Incarnation>,
}

/// Renewal row: the epoch that was renewed, and how often.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Renewal {
    /// Epoch of the holder that renewed.
    pub epoch: u64,
    /// Changes with each renewal.
    pub count: u64,
}

/// Renewals of a lease as observed by a daemon that doesn't hold it, on its own monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RenewalWatch {
    renewal: Renewal,
    unchanged_since_ms: u64,
}

impl RenewalWatch {
    /// Starts to watch a lease; `now_ms` is the time on this daemon's monotonic clock.
    #[must_use]
    pub fn new(renewal: Renewal, now_ms: u64) -> Self {
        Self {
            renewal,
            unchanged_since_ms: now_ms,
        }
    }

    /// Records a new read of the renewal row; if the row changed, the term starts again.
    pub fn observe(&mut self, renewal: Renewal, now_ms: u64) {
        if renewal != self.renewal {
            *self = Self::new(renewal, now_ms);
        }
    }

    /// Whether the holder may be replaced: there is none, it released the lease, or a full term
    /// passed without a renewal.
    #[must_use]
    pub fn is_expired(&self, lease: Option<&Lease>, now_ms: u64, term_ms: u64) -> bool {
        match lease {
            None | Some(Lease { holder: None, .. }) => true,
            Some(_) => now_ms.saturating_sub(self.unchanged_since_ms) >= term_ms,
        }
    }
}

/// Returns the lease row that a daemon writes to take over a stewardship.
#[must_use]
pub fn acquire(lease: Option<&Lease>, me: Incarnation) -> Lease {
    Lease {
        epoch: lease.map_or(1, |lease| lease.epoch + 1),
        holder: Some(me),
    }
}

/// Returns the lease row that the holder writes to release a stewardship.
#[must_use]
pub fn release(lease: &Lease) -> Lease {
    Lease {
        epoch: lease.epoch,
        holder: None,
    }
}

/// Returns the time until which the holder may act without another renewal. `sent_ms` is taken
/// before the renewal is sent, so that a slow answer can only shorten the time.
#[must_use]
pub fn valid_until(sent_ms: u64, term_ms: u64) -> u64 {
    // the margin leaves time for a step that has already started
    sent_ms + term_ms - term_ms / MARGIN_DIVISOR
}

/// The margin before the end of a term is the term divided by this.
const MARGIN_DIVISOR: u64 = 4;
