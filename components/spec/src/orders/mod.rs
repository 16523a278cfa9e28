//! Stewardship and orders: two daemons, one engine of either kind, late and lost messages, lost
//! answers of the table, crashes. A pause is any delay between two steps of a daemon, so every
//! pause is covered; a lease may lapse at any moment, since safety may not rest on its term.

mod state;

use protocol::{
    Incarnation, lease,
    order::{self, CallOutcome, Role, Row, Stage, Step},
};

use state::{Daemon, Doing, Label, Message, Setup, State, Variant, name, start, wanted};

use crate::{
    Case,
    explore::{Outcome, explore},
};

const DAEMONS: usize = 2;
/// The highest epoch and the highest order number that are explored.
const EPOCHS: u64 = 3;
const NUMBERS: u64 = 2;
/// Orders on their way at once.
const ON_THE_WAY: usize = 3;
const BOUNDS: &str = "2 daemons, 1 engine, epochs to 3, orders to 2, 3 on the way, 2 ends, 1 crash";

fn next(state: &State, setup: Setup, variant: Variant) -> Vec<(Label, State)> {
    let mut steps = Vec::new();
    for at in 0..DAEMONS {
        if state.daemons[at].alive {
            take(state, at, &mut steps);
            plan(state, at, setup, variant, &mut steps);
            act(state, at, variant, &mut steps);
            crash(state, at, &mut steps);
        }
    }
    deliver(state, setup, &mut steps);
    steps
}

fn take(state: &State, at: usize, steps: &mut Vec<(Label, State)>) {
    let next_lease = lease::acquire(state.lease.as_ref(), name(at));
    let holds = state.lease.and_then(|lease| lease.holder) == Some(name(at));
    if holds || next_lease.epoch > EPOCHS {
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

/// Whether a commit under this epoch's lease row would be accepted.
fn accepted(state: &State, epoch: u64, variant: Variant) -> bool {
    variant == Variant::TermAlone || state.lease.is_some_and(|lease| lease.epoch == epoch)
}

fn plan(state: &State, at: usize, setup: Setup, variant: Variant, steps: &mut Vec<(Label, State)>) {
    let daemon = &state.daemons[at];
    let (Some(epoch), Doing::Nothing) = (daemon.epoch, &daemon.doing) else {
        return;
    };
    let gone = |other: Incarnation| {
        variant == Variant::NoWait
            || !(0..DAEMONS).any(|d| name(d) == other && state.daemons[d].alive)
    };
    let number = state.row.as_ref().map_or(0, |row| row.number);
    let clean = !daemon.lost.contains(&number);
    for role in [Role::Prefill, Role::Decode] {
        let wish = wanted(role);
        let row = match order::next_step(
            state.row.as_ref(),
            &wish,
            name(at),
            epoch,
            setup.fences,
            clean,
            gone,
        ) {
            // closing is a model of its own; here all daemons have closed
            Step::Close(row) => order::intent_row(&row),
            Step::Resend(row) | Step::Reopen(row) => row,
            Step::Wait(_) | Step::Nothing => continue,
        };
        if row.number <= NUMBERS {
            let label = Label::Decides {
                daemon: at,
                number: row.number,
                role: row.wanted.role,
            };
            let mut next = state.clone();
            next.daemons[at].doing = Doing::Commit {
                row,
                over: state.row.clone(),
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
        early.daemons[at].doing = Doing::Send(row);
        steps.push((Label::Sends { daemon: at, number }, early));
        return;
    }
    let mut known = state.clone();
    known.row = Some(row.clone());
    let mut lost = known.clone();
    if row.stage == Stage::Intent {
        known.daemons[at].doing = Doing::Send(row);
    }
    steps.push((
        Label::CommitsIntent {
            daemon: at,
            number,
            role,
        },
        known,
    ));
    // the write took effect and its answer was lost for good: nothing is sent
    lost.daemons[at].doing = Doing::Nothing;
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

fn act(state: &State, at: usize, variant: Variant, steps: &mut Vec<(Label, State)>) {
    match state.daemons[at].doing.clone() {
        Doing::Nothing => {}
        Doing::Commit { row, over } => {
            let fits = state.row == over || variant == Variant::TermAlone;
            if fits && accepted(state, row.epoch, variant) {
                commit_intent(state, at, row, variant, steps);
            } else {
                let mut next = state.clone();
                next.daemons[at].doing = Doing::Nothing;
                steps.push((Label::CommitRefused { daemon: at }, next));
            }
        }
        Doing::Send(_) if state.network.len() >= ON_THE_WAY => {}
        Doing::Send(row) => {
            let mut next = state.clone();
            let label = if variant == Variant::IntentAfterSend {
                // the intent, after the order has left
                if accepted(state, row.epoch, variant) {
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
            next.daemons[at].doing = Doing::Await(row);
            steps.push((label, next));
        }
        Doing::Await(row) => {
            // the call is cut; the order may still arrive
            let mut next = state.clone();
            let ended = if variant == Variant::LostIsEnded {
                CallOutcome::NotReached
            } else {
                CallOutcome::Lost
            };
            if ended == CallOutcome::Lost && !next.daemons[at].lost.contains(&row.number) {
                next.daemons[at].lost.push(row.number);
            }
            next.daemons[at].doing = Doing::Finish(row, ended);
            steps.push((Label::CallIsLost { daemon: at }, next));
        }
        Doing::Finish(row, ended) => finish(state, at, &row, ended, variant, steps),
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
    next.daemons[at].doing = Doing::Nothing;
    let outcome = order::outcome_row(row, ended);
    let stands = state
        .row
        .as_ref()
        .is_some_and(|now| now.number == row.number && now.sender == row.sender);
    if accepted(state, row.epoch, variant) && stands {
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
    // a former sender whose call has ended takes its name out
    if let (Some(now), true) = (withdrawn.row.as_mut(), ended != CallOutcome::Lost)
        && now.number == row.number
        && now.earlier.contains(&name(at))
        && !state.daemons[at].lost.contains(&row.number)
    {
        now.earlier.retain(|other| *other != name(at));
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
        doing: Doing::Nothing,
        lost: Vec::new(),
    };
    // its connections end with it; what has left its machine is lost, since gone means gone
    next.network.retain(|message| message.from != at);
    steps.push((Label::Crashes { daemon: at }, next));
}

fn deliver(state: &State, setup: Setup, steps: &mut Vec<(Label, State)>) {
    for (nth, message) in state.network.iter().enumerate() {
        let mut next = state.clone();
        next.network.remove(nth);
        let refused = setup.fences && !order::passes_fencing(state.highest, message.number);
        let (label, ended) = if refused {
            let label = Label::EngineRefuses {
                number: message.number,
                from: message.from,
            };
            (label, CallOutcome::NotReached)
        } else {
            strike(&mut next, message, setup);
            let label = Label::EngineTakes {
                number: message.number,
                role: message.wanted.role,
                from: message.from,
            };
            (label, CallOutcome::Reached)
        };
        // the answer reaches a sender that still waits for it
        if let Doing::Await(row) = &state.daemons[message.from].doing
            && row.number == message.number
        {
            next.daemons[message.from].doing = Doing::Finish(row.clone(), ended);
        }
        steps.push((label, next));
    }
}

/// The engine carries an order out; what it may not do is noted.
///
/// At an engine that checks, authority is lost when a newer number has arrived. Until then an order
/// that was committed may take effect, but only while the row keeps the endpoint closed.
fn strike(state: &mut State, message: &Message, setup: Setup) {
    let changes = state.holds != message.wanted.role;
    let closed = state
        .row
        .as_ref()
        .is_some_and(|row| row.blocks_dispatch(false));
    let overtaken = setup.fences && closed;
    let intended = state
        .row
        .as_ref()
        .is_some_and(|row| row.number == message.number && row.wanted == message.wanted);
    state.broken = match () {
        () if changes && message.number < state.effective => {
            Some("an engine never receives conflicting orders")
        }
        () if changes && !intended && !overtaken => {
            Some("orders from a process that has lost its authority have no effect")
        }
        () => None,
    };
    state.highest = state.highest.max(message.number);
    state.effective = state.effective.max(message.number);
    state.holds = message.wanted.role;
}

fn run(fences: bool, variant: Variant) -> Outcome {
    let setup = Setup { fences };
    explore(
        &start(),
        |state| next(state, setup, variant),
        |state| state.broken,
    )
}

const fn case(variant: &'static str, wrong: bool, run: fn() -> Outcome) -> Case {
    Case {
        model: "orders",
        variant,
        bounds: BOUNDS,
        wrong,
        run,
    }
}

/// The model's cases.
pub const CASES: &[Case] = &[
    case("as built, engine that checks", false, || {
        run(true, Variant::Right)
    }),
    case("as built, engine that doesn't check", false, || {
        run(false, Variant::Right)
    }),
    case("intent after send", true, || {
        run(false, Variant::IntentAfterSend)
    }),
    case("lease term alone, engine that checks", true, || {
        run(true, Variant::TermAlone)
    }),
    case("lease term alone", true, || run(false, Variant::TermAlone)),
    case("different order without waiting", true, || {
        run(false, Variant::NoWait)
    }),
    case("lost call taken for ended", true, || {
        run(false, Variant::LostIsEnded)
    }),
];
