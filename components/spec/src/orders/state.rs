//! What the daemons, the table and the engine are in, and what can happen to them.

use protocol::{
    Incarnation,
    lease::Lease,
    order::{CallOutcome, Role, Row, Stage, Wanted},
};

use super::DAEMONS;

/// What is done wrong on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Variant {
    Right,
    /// The order is sent before its intent is committed.
    IntentAfterSend,
    /// A commit checks neither epoch nor row: the lease's term alone protects.
    TermAlone,
    /// A different order doesn't wait for the senders of open ones.
    NoWait,
    /// An order that may still strike after a lost call is taken for ended.
    LostIsEnded,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Setup {
    pub(super) fences: bool,
}

/// What a daemon is about to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Doing {
    Nothing,
    /// It has read the rows and decided; the commit is not made yet.
    Commit {
        row: Row,
        over: Option<Row>,
    },
    /// The intent is committed, or so it believes; the order is not sent yet.
    Send(Row),
    /// The order is on its way.
    Await(Row),
    /// The call has ended.
    Finish(Row, CallOutcome),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Daemon {
    pub(super) alive: bool,
    pub(super) epoch: Option<u64>,
    pub(super) doing: Doing,
    /// Orders of its own that may still strike.
    pub(super) lost: Vec<u64>,
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
    /// Sorted.
    pub(super) network: Vec<Message>,
    pub(super) holds: Role,
    pub(super) highest: u64,
    /// The highest number that took effect.
    pub(super) effective: u64,
    pub(super) crashes: u8,
    pub(super) broken: Option<&'static str>,
}

/// What happens.
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
    EngineTakes {
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

pub(super) fn name(daemon: usize) -> Incarnation {
    Incarnation(daemon as u64 + 1)
}

pub(super) fn wanted(role: Role) -> Wanted {
    Wanted {
        role,
        ..Wanted::default()
    }
}

pub(super) fn start() -> State {
    let daemon = Daemon {
        alive: true,
        epoch: None,
        doing: Doing::Nothing,
        lost: Vec::new(),
    };
    State {
        lease: None,
        row: None,
        daemons: [daemon.clone(), daemon],
        network: Vec::new(),
        holds: Role::Mixed,
        highest: 0,
        effective: 0,
        crashes: 0,
        broken: None,
    }
}
