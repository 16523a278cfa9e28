//! The memory that the bodies of requests in flight may take together. The operators limit the size of one body, which
//! says nothing about how many come at once.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// The part of a VM's memory that bodies may take, in eighths. The rest is for connections, for responses, and for bytes
/// that have arrived and are not read yet.
const BODY_EIGHTHS: usize = 5;

/// A number of bytes that reservations share.
#[derive(Clone, Debug)]
pub struct Budget {
    used: Arc<AtomicUsize>,
    limit: usize,
}

/// Bytes of a budget, returned when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    used: Arc<AtomicUsize>,
    limit: usize,
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

    /// Reserves bytes; `None` if not as many are left.
    #[must_use]
    pub fn reserve(&self, bytes: usize) -> Option<Reservation> {
        let mut reservation = Reservation {
            used: Arc::clone(&self.used),
            limit: self.limit,
            bytes: 0,
        };
        reservation.grow_to(bytes).then_some(reservation)
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
        let add = |used: usize| {
            let total = used.checked_add(more)?;
            (total <= self.limit).then_some(total)
        };
        let relaxed = Ordering::Relaxed;
        let grown = self.used.fetch_update(relaxed, relaxed, add).is_ok();
        if grown {
            self.bytes += more;
        }
        grown
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
