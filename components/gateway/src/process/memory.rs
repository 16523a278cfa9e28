//! The memory that the bodies of requests in flight may take together. The operators limit the size of one body, which
//! says nothing about how many come at once.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// The part of a VM's memory that bodies may take, in eighths. The rest is for connections, for responses, and for bytes
/// that have arrived and are not read yet.
const BODY_EIGHTHS: usize = 5;

/// The longest body that counts as small, in bytes.
pub const SMALL_BODY_BYTES: usize = 16 << 10;
/// Small bodies have a fraction (1/n) of a budget to themselves, so that large ones can't shut them out.
const SMALL_BODIES_DIVISOR: usize = 5;
/// A budget is scarce once this fraction (1/n) of it is used.
const SCARCE_DIVISOR: usize = 2;

/// A number of bytes that reservations share.
#[derive(Clone, Debug)]
pub struct Budget {
    used: Arc<AtomicUsize>,
    limit: usize,
}

/// Bytes of a budget, returned when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Budget,
    bytes: usize,
}

impl Budget {
    /// Creates the budget for bodies on a VM with this much memory.
    #[must_use]
    pub fn for_bodies(memory_mb: usize) -> Self {
        Self {
            used: Arc::default(),
            limit: (memory_mb << 20) / 8 * BODY_EIGHTHS,
        }
    }

    /// Creates a reservation of no bytes.
    #[must_use]
    pub fn reservation(&self) -> Reservation {
        Reservation {
            budget: self.clone(),
            bytes: 0,
        }
    }

    /// Whether a body of this length would find room now.
    #[must_use]
    pub fn has_room(&self, bytes: usize) -> bool {
        let used = self.used.load(Ordering::Relaxed);
        used.saturating_add(bytes) <= self.limit_for(bytes)
    }

    /// Whether stalled bodies should be refused, so that others find room.
    #[must_use]
    pub fn is_scarce(&self) -> bool {
        self.used.load(Ordering::Relaxed) > self.limit / SCARCE_DIVISOR
    }

    /// Returns how much may be used once a body of this length has its room.
    fn limit_for(&self, bytes: usize) -> usize {
        match bytes {
            0..=SMALL_BODY_BYTES => self.limit,
            _ => self.limit - self.limit / SMALL_BODIES_DIVISOR,
        }
    }
}

impl Reservation {
    /// Returns the number of bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reserves more bytes, up to `bytes` in all. Returns whether as many are left; otherwise it reserves no more.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let limit = self.budget.limit_for(bytes);
        let add = |used: usize| {
            let total = used.checked_add(more)?;
            (total <= limit).then_some(total)
        };
        let relaxed = Ordering::Relaxed;
        let grown = self.budget.used.fetch_update(relaxed, relaxed, add).is_ok();
        if grown {
            self.bytes += more;
        }
        grown
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
