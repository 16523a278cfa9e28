//! Stewardship and orders: two daemons, one engine that does or does not check fencing numbers,
//! delayed and lost messages, lost responses of the table, and crashes.
//!
//! A pause of a process is a delay between two of its steps, so every pause is covered. A lease may
//! expire at any moment, since safety must not depend on its term.

mod state;

use protocol::{
    Incarnation, lease,
    order::{self, CallOutcome, Role, Row, Stage, Step},
};

use state::{
    Daemon, Label, Message, Phase, Setup, State, Variant, incarnation, initial_state, wanted,
};

use crate::{
    Case,
    explore::{Outcome, explore},
};

const DAEMONS: usize = 2;
/// Bounds on the epoch and on the order number.
const MAX_EPOCH: u64 = 3;
const MAX_ORDER_NUMBER: u64 = 2;
/// Maximum number of orders in transit at once.
const MAX_IN_TRANSIT: usize = 3;
const BOUNDS: &str =
    "2 daemons, 1 engine, epochs to 3, order numbers to 2, 3 in transit, 2 wanted roles, 1 crash";

fn successors(state: &State, setup: Setup, variant: Variant) -> Vec<(Label, State)> {
    let mut steps = Vec::new();
    for at in 0..DAEMONS {
        if state.daemons[at].alive {
            take_stewardship(state, at, &mut steps);
            decide_order(state, at, setup, variant, &mut steps);
            advance(state, at, variant, &mut steps);
            crash(state, at, &mut steps);
        }
    }
    deliver(state, setup, &mut steps);
    steps
}

fn take_stewardship(state: &State, at: usize, steps: &mut Vec<(Label, State)>) {
    let next_lease = lease::acquire(state.lease.as_ref(), incarnation(at));
    let holds_lease = state.lease.and_then(|lease| lease.holder) == Some(incarnation(at));
    if holds_lease || next_lease.epoch > MAX_EPOCH {
        return;
    }
    let mut next = state.clone();
    next.lease = Some(next_lease);
    next.daemons[at].epoch = Some(next_lease.epoch);
    steps.push((
        Label::TakesStewardship {
            daemon: at,
            epoch: next_lease.epoch,
        },
        next,
    ));
}

/// Whether the table would accept a commit that checks the lease row for this epoch.
fn commit_accepted(state: &State, epoch: u64, variant: Variant) -> bool {
    variant == Variant::LeaseTermOnly || state.lease.is_some_and(|lease| lease.epoch == epoch)
}

fn decide_order(
    state: &State,
    at: usize,
    setup: Setup,
    variant: Variant,
    steps: &mut Vec<(Label, State)>,
) {
    let daemon = &state.daemons[at];
    let (Some(epoch), Phase::Nothing) = (daemon.epoch, &daemon.phase) else {
        return;
    };
    let gone = |other: Incarnation| {
        variant == Variant::NoWait
            || !(0..DAEMONS).any(|d| incarnation(d) == other && state.daemons[d].alive)
    };
    let number = state.row.as_ref().map_or(0, |row| row.number);
    let clean = !daemon.lost_orders.contains(&number);
    for role in [Role::Prefill, Role::Decode] {
        let target = wanted(role);
        let row = match order::next_step(
            state.row.as_ref(),
            &target,
            incarnation(at),
            epoch,
            setup.fences,
            clean,
            gone,
        ) {
            // closing has its own model; here all daemons have closed their gates
            Step::Close(row) => order::intent_row(&row),
            Step::Resend(row) | Step::Reopen(row) => row,
            Step::Wait(_) | Step::Nothing => continue,
        };
        if row.number <= MAX_ORDER_NUMBER {
            let label = Label::Decides {
                daemon: at,
                number: row.number,
                role: row.wanted.role,
            };
            let mut next = state.clone();
            next.daemons[at].phase = Phase::Commit {
                row,
                expected: state.row.clone(),
            };
            steps.push((label, next));
        }
    }
}

fn commit_intent(
    state: &State,
    at: usize,
    row: Row,
    variant: Variant,
    steps: &mut Vec<(Label, State)>,
) {
    let number = row.number;
    let role = row.wanted.role;
    if variant == Variant::IntentAfterSend {
        let mut early = state.clone();
        send(&mut early, at, &row);
        early.daemons[at].phase = Phase::Send(row);
        steps.push((Label::Sends { daemon: at, number }, early));
        return;
    }
    let mut answered = state.clone();
    answered.row = Some(row.clone());
    let mut lost = answered.clone();
    if row.stage == Stage::Intent {
        answered.daemons[at].phase = Phase::Send(row);
    }
    steps.push((
        Label::CommitsIntent {
            daemon: at,
            number,
            role,
        },
        answered,
    ));
    // the write took effect and its response was lost: the order is not sent
    lost.daemons[at].phase = Phase::Nothing;
    steps.push((Label::CommitAnswerLost { daemon: at, number }, lost));
}

fn send(state: &mut State, from: usize, row: &Row) {
    state.network.push(Message {
        number: row.number,
        wanted: row.wanted.clone(),
        from,
    });
    state.network.sort();
}

fn advance(state: &State, at: usize, variant: Variant, steps: &mut Vec<(Label, State)>) {
    match state.daemons[at].phase.clone() {
        Phase::Nothing => {}
        Phase::Commit { row, expected } => {
            let row_matches = state.row == expected || variant == Variant::LeaseTermOnly;
            if row_matches && commit_accepted(state, row.epoch, variant) {
                commit_intent(state, at, row, variant, steps);
            } else {
                let mut next = state.clone();
                next.daemons[at].phase = Phase::Nothing;
                steps.push((Label::CommitRefused { daemon: at }, next));
            }
        }
        Phase::Send(_) if state.network.len() >= MAX_IN_TRANSIT => {}
        Phase::Send(row) => {
            let mut next = state.clone();
            let label = if variant == Variant::IntentAfterSend {
                // the intent is committed after the order was sent
                if commit_accepted(state, row.epoch, variant) {
                    next.row = Some(row.clone());
                }
                Label::CommitsIntent {
                    daemon: at,
                    number: row.number,
                    role: row.wanted.role,
                }
            } else {
                send(&mut next, at, &row);
                Label::Sends {
                    daemon: at,
                    number: row.number,
                }
            };
            next.daemons[at].phase = Phase::Await(row);
            steps.push((label, next));
        }
        Phase::Await(row) => {
            // the call is lost; the order may still arrive
            let mut next = state.clone();
            let ended = if variant == Variant::LostCallIsEnded {
                CallOutcome::NotReached
            } else {
                CallOutcome::Lost
            };
            if ended == CallOutcome::Lost && !next.daemons[at].lost_orders.contains(&row.number) {
                next.daemons[at].lost_orders.push(row.number);
            }
            next.daemons[at].phase = Phase::Finish(row, ended);
            steps.push((Label::CallIsLost { daemon: at }, next));
        }
        Phase::Finish(row, ended) => finish(state, at, &row, ended, variant, steps),
    }
}

fn finish(
    state: &State,
    at: usize,
    row: &Row,
    ended: CallOutcome,
    variant: Variant,
    steps: &mut Vec<(Label, State)>,
) {
    let mut next = state.clone();
    next.daemons[at].phase = Phase::Nothing;
    let outcome = order::outcome_row(row, ended);
    let is_current = state
        .row
        .as_ref()
        .is_some_and(|now| now.number == row.number && now.sender == row.sender);
    if commit_accepted(state, row.epoch, variant) && is_current {
        let label = Label::CommitsOutcome {
            daemon: at,
            number: row.number,
            stage: outcome.stage,
        };
        next.row = Some(outcome);
        steps.push((label, next));
        return;
    }
    let mut withdrawn = next.clone();
    steps.push((Label::OutcomeRefused { daemon: at }, next));
    // an earlier sender whose call has ended removes itself from the row
    if let (Some(now), true) = (withdrawn.row.as_mut(), ended != CallOutcome::Lost)
        && now.number == row.number
        && now.possible_senders.contains(&incarnation(at))
        && !state.daemons[at].lost_orders.contains(&row.number)
    {
        now.possible_senders
            .retain(|other| *other != incarnation(at));
        steps.push((Label::Withdraws { daemon: at }, withdrawn));
    }
}

fn crash(state: &State, at: usize, steps: &mut Vec<(Label, State)>) {
    if state.crashes > 0 {
        return;
    }
    let mut next = state.clone();
    next.crashes += 1;
    next.daemons[at] = Daemon {
        alive: false,
        epoch: None,
        phase: Phase::Nothing,
        lost_orders: Vec::new(),
    };
    // its connections end with it, and its orders in transit are lost: the protocol takes a daemon
    // for gone only when it certainly can't send any more
    next.network.retain(|message| message.from != at);
    steps.push((Label::Crashes { daemon: at }, next));
}

fn deliver(state: &State, setup: Setup, steps: &mut Vec<(Label, State)>) {
    for (nth, message) in state.network.iter().enumerate() {
        let mut next = state.clone();
        next.network.remove(nth);
        let refused = setup.fences && !order::passes_fencing(state.highest_seen, message.number);
        let (label, ended) = if refused {
            let label = Label::EngineRefuses {
                number: message.number,
                from: message.from,
            };
            (label, CallOutcome::NotReached)
        } else {
            apply_order(&mut next, message, setup);
            let label = Label::EngineAccepts {
                number: message.number,
                role: message.wanted.role,
                from: message.from,
            };
            (label, CallOutcome::Reached)
        };
        // the response reaches the sender if it still waits for it
        if let Phase::Await(row) = &state.daemons[message.from].phase
            && row.number == message.number
        {
            next.daemons[message.from].phase = Phase::Finish(row.clone(), ended);
        }
        steps.push((label, next));
    }
}

/// Applies an order to the engine and records a violated invariant.
///
/// At an engine that checks fencing numbers, a sender loses its authority when a newer number has
/// arrived. Until then a committed order may take effect, but only while the row keeps the endpoint
/// closed.
fn apply_order(state: &mut State, message: &Message, setup: Setup) {
    let changes_role = state.engine_role != message.wanted.role;
    let closed = state
        .row
        .as_ref()
        .is_some_and(|row| row.blocks_dispatch(false));
    let superseded = setup.fences && closed;
    let has_intent = state
        .row
        .as_ref()
        .is_some_and(|row| row.number == message.number && row.wanted == message.wanted);
    state.violation = match () {
        () if changes_role && message.number < state.highest_applied => {
            Some("an engine never receives conflicting orders")
        }
        () if changes_role && !has_intent && !superseded => {
            Some("orders from a process that has lost its authority have no effect")
        }
        () => None,
    };
    state.highest_seen = state.highest_seen.max(message.number);
    state.highest_applied = state.highest_applied.max(message.number);
    state.engine_role = message.wanted.role;
}

fn run(fences: bool, variant: Variant) -> Outcome {
    let setup = Setup { fences };
    explore(
        &initial_state(),
        |state| successors(state, setup, variant),
        |state| state.violation,
    )
}

const fn case(variant: &'static str, expect_violation: bool, run: fn() -> Outcome) -> Case {
    Case {
        model: "orders",
        variant,
        bounds: BOUNDS,
        expect_violation,
        run,
    }
}

/// The cases of this model.
pub const CASES: &[Case] = &[
    case("as built, engine checks fencing numbers", false, || {
        run(true, Variant::Correct)
    }),
    case(
        "as built, engine doesn't check fencing numbers",
        false,
        || run(false, Variant::Correct),
    ),
    case("order sent before its intent is committed", true, || {
        run(false, Variant::IntentAfterSend)
    }),
    case(
        "lease term only, engine checks fencing numbers",
        true,
        || run(true, Variant::LeaseTermOnly),
    ),
    case("lease term only", true, || {
        run(false, Variant::LeaseTermOnly)
    }),
    case("different order without waiting for senders", true, || {
        run(false, Variant::NoWait)
    }),
    case("lost call treated as ended", true, || {
        run(false, Variant::LostCallIsEnded)
    }),
];
