//! The state of the daemons, the table and the engine, and the labels of the transitions.

use protocol::{
    Incarnation,
    lease::Lease,
    order::{CallOutcome, Role, Row, Stage, Wanted},
};

use super::DAEMONS;

/// The correct protocol, and its deliberately faulty variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Variant {
    Correct,
    /// Sends the order before its intent is committed.
    IntentAfterSend,
    /// Checks neither epoch nor row in a commit; only the term of the lease protects.
    LeaseTermOnly,
    /// Sends a different order without waiting for the senders of open orders.
    NoWait,
    /// Treats an order as ended after a lost call, although it may still take effect.
    LostCallIsEnded,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Setup {
    pub(super) fences: bool,
}

/// The phase of the order that a daemon carries out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Phase {
    Nothing,
    /// The daemon has read the rows and decided on an order; the commit is not made yet.
    Commit {
        row: Row,
        expected: Option<Row>,
    },
    /// The intent is committed as far as the daemon knows; the order is not sent yet.
    Send(Row),
    /// The order is sent; the daemon waits for the engine's response.
    Await(Row),
    /// The call to the engine has ended; the outcome is not committed yet.
    Finish(Row, CallOutcome),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Daemon {
    pub(super) alive: bool,
    pub(super) epoch: Option<u64>,
    pub(super) phase: Phase,
    /// Numbers of this daemon's orders whose calls were lost: they may still take effect.
    pub(super) lost_orders: Vec<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Message {
    pub(super) number: u64,
    pub(super) wanted: Wanted,
    pub(super) from: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct State {
    pub(super) lease: Option<Lease>,
    pub(super) row: Option<Row>,
    pub(super) daemons: [Daemon; DAEMONS],
    /// Orders in transit, sorted.
    pub(super) network: Vec<Message>,
    pub(super) engine_role: Role,
    pub(super) highest_seen: u64,
    /// The highest order number that took effect.
    pub(super) highest_applied: u64,
    pub(super) crashes: u8,
    pub(super) violation: Option<&'static str>,
}

/// A transition, as printed in a counter-example.
#[derive(Debug)]
#[expect(dead_code, reason = "the fields are read by Debug")]
pub(super) enum Label {
    TakesStewardship {
        daemon: usize,
        epoch: u64,
    },
    Decides {
        daemon: usize,
        number: u64,
        role: Role,
    },
    CommitRefused {
        daemon: usize,
    },
    CommitsIntent {
        daemon: usize,
        number: u64,
        role: Role,
    },
    CommitAnswerLost {
        daemon: usize,
        number: u64,
    },
    Sends {
        daemon: usize,
        number: u64,
    },
    EngineAccepts {
        number: u64,
        role: Role,
        from: usize,
    },
    EngineRefuses {
        number: u64,
        from: usize,
    },
    CallIsLost {
        daemon: usize,
    },
    CommitsOutcome {
        daemon: usize,
        number: u64,
        stage: Stage,
    },
    OutcomeRefused {
        daemon: usize,
    },
    Withdraws {
        daemon: usize,
    },
    Crashes {
        daemon: usize,
    },
}

pub(super) fn incarnation(daemon: usize) -> Incarnation {
    Incarnation(daemon as u64 + 1)
}

pub(super) fn wanted(role: Role) -> Wanted {
    Wanted {
        role,
        ..Wanted::default()
    }
}

pub(super) fn initial_state() -> State {
    let daemon = Daemon {
        alive: true,
        epoch: None,
        phase: Phase::Nothing,
        lost_orders: Vec::new(),
    };
    State {
        lease: None,
        row: None,
        daemons: [daemon.clone(), daemon],
        network: Vec::new(),
        engine_role: Role::Mixed,
        highest_seen: 0,
        highest_applied: 0,
        crashes: 0,
        violation: None,
    }
}
