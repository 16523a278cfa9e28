//! The gate of one endpoint at one daemon: counts what is in flight and closes before a change.
//!
//! See `docs/DESIGN.md#closing-an-endpoint`.

/// The state of one gate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Gate {
    in_flight: u32,
    /// The number of the order that it is closed for.
    closed_for: Option<u64>,
    /// The highest order number that was opened again; a late close for it changes nothing.
    highest_reopened: u64,
}

impl Gate {
    /// Takes a hold for one request, if the gate is open.
    #[must_use]
    pub fn acquire(&mut self) -> bool {
        let open = self.closed_for.is_none();
        self.in_flight += u32::from(open);
        open
    }

    /// Gives a hold back.
    pub fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Closes for an order; requests in flight go on. A close that comes after its own open, or
    /// after a newer order, is late and changes nothing.
    pub fn close(&mut self, number: u64) {
        if number > self.highest_reopened && self.closed_for.is_none_or(|other| number > other) {
            self.closed_for = Some(number);
        }
    }

    /// Opens again after an order of this number or a later one has its outcome.
    pub fn open(&mut self, number: u64) {
        self.highest_reopened = self.highest_reopened.max(number);
        if self.closed_for.is_some_and(|other| other <= number) {
            self.closed_for = None;
        }
    }

    /// Whether the close for this order has been answered by the last release.
    #[must_use]
    pub fn is_drained(&self, number: u64) -> bool {
        self.in_flight == 0 && self.closed_for == Some(number)
    }

    /// The order that it is closed for.
    #[must_use]
    pub fn closed_for(&self) -> Option<u64> {
        self.closed_for
    }

    /// Requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }
}
