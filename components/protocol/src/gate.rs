//! Gate of one endpoint at one daemon: counts requests in flight, and closes before an order
//! changes the endpoint.
//!
//! See `docs/DESIGN.md#closing-an-endpoint`.

/// State of one gate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Gate {
    in_flight: u32,
    /// Number of the order that the gate is closed for.
    closed_for: Option<u64>,
    /// Highest order number that the gate was reopened for. A delayed close for that number, or a
    /// lower one, is ignored.
    highest_reopened: u64,
}

impl Gate {
    /// Counts one more request in flight, if the gate is open; returns whether it is.
    #[must_use]
    pub fn acquire(&mut self) -> bool {
        let open = self.closed_for.is_none();
        self.in_flight += u32::from(open);
        open
    }

    /// Removes one request from the count.
    pub fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Closes the gate for an order; requests in flight continue. A close that arrives after its
    /// own open, or after a newer order, is ignored.
    pub fn close(&mut self, number: u64) {
        if number > self.highest_reopened && self.closed_for.is_none_or(|other| number > other) {
            self.closed_for = Some(number);
        }
    }

    /// Reopens the gate once the outcome of this order is known, if it is closed for this order or
    /// an earlier one.
    pub fn open(&mut self, number: u64) {
        self.highest_reopened = self.highest_reopened.max(number);
        if self.closed_for.is_some_and(|other| other <= number) {
            self.closed_for = None;
        }
    }

    /// Whether the gate is closed for this order and no request is in flight any more.
    #[must_use]
    pub fn is_drained(&self, number: u64) -> bool {
        self.in_flight == 0 && self.closed_for == Some(number)
    }

    /// Returns the number of the order that the gate is closed for.
    #[must_use]
    pub fn closed_for(&self) -> Option<u64> {
        self.closed_for
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }
}
