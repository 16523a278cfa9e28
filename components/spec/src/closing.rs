//! Closing an engine's gates before an order: a steward, a daemon that serves and a daemon that
//! starts during the run.

use protocol::gate::Gate;

use crate::{
    Case,
    explore::{Outcome, explore},
};

const DAEMONS: usize = 2;
const MAX_DISPATCHES: u8 = 2;
const BOUNDS: &str =
    "2 daemons (1 starts during the run), 2 orders, 2 requests each, delayed and lost messages";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Correct,
    /// The steward sends the order although the answer of a daemon is missing.
    WithoutAllAnswers,
    /// A starting daemon reads which engines are closing before it registers.
    ReadBeforeRegister,
    /// The steward reads the registered daemons before it writes the closing row.
    ReadBeforeClosing,
    /// A daemon answers a close request while it has requests in flight.
    AnswerWithRequestsInFlight,
    /// A delayed open for an older order opens a gate that is closed for a newer one.
    OpenWithoutNumber,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Startup {
    /// The daemon has not started.
    NotStarted,
    /// One of the two startup steps (register, read the closing row) is done.
    FirstStepDone,
    /// The daemon dispatches requests.
    Serving,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Daemon {
    startup: Startup,
    registered: bool,
    gate: Gate,
    dispatched: u8,
    /// The latest order for which a close request has arrived.
    asked: Option<u64>,
    answered: u64,
}

/// The steward's progress with its current order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Steward {
    Idle,
    /// The closing row is written; the registered daemons are not read yet.
    ClosingWritten,
    /// The registered daemons were read and are asked to close. True for those that have answered
    /// or need not be asked.
    AwaitingAnswers([bool; DAEMONS]),
    /// The intent is committed; the order may take effect at any moment.
    Intent,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    steward: Steward,
    number: u64,
    /// Whether the row tells daemons not to dispatch to the engine.
    closing: bool,
    participants: [bool; DAEMONS],
    daemons: [Daemon; DAEMONS],
    /// Open messages in transit: daemon and order number.
    open_messages: Vec<(usize, u64)>,
    violated: bool,
}

#[derive(Debug)]
#[expect(dead_code, reason = "the fields are read by Debug")]
enum Label {
    WritesClosing(u64),
    ReadsRegistered,
    DaemonIsAsked(usize),
    DaemonAnswers(usize),
    CommitsIntent,
    OrderTakesEffect,
    TimesOut,
    OpenArrives(usize, u64),
    OpenIsLost(usize),
    ReadsRow(usize),
    Registers(usize),
    ReadsClosing(usize),
    Dispatches(usize),
    RequestEnds(usize),
}

const MAX_ORDERS: u64 = 2;

fn initial_state() -> State {
    let serving = Daemon {
        startup: Startup::Serving,
        registered: true,
        gate: Gate::default(),
        dispatched: 0,
        asked: None,
        answered: 0,
    };
    let off = Daemon {
        startup: Startup::NotStarted,
        registered: false,
        ..serving
    };
    State {
        steward: Steward::Idle,
        number: 0,
        closing: false,
        participants: [false; DAEMONS],
        daemons: [serving, off],
        open_messages: Vec::new(),
        violated: false,
    }
}

type Steps = Vec<(Label, State)>;

fn successors(state: &State, variant: Variant) -> Steps {
    let mut steps = Vec::new();
    steward_steps(state, variant, &mut steps);
    for at in 0..DAEMONS {
        startup_steps(state, at, variant, &mut steps);
        serving_steps(state, at, variant, &mut steps);
    }
    for (nth, (at, number)) in state.open_messages.iter().enumerate() {
        let mut lost = state.clone();
        lost.open_messages.remove(nth);
        let mut open = lost.clone();
        open_gate(&mut open.daemons[*at].gate, *number, variant);
        steps.push((Label::OpenArrives(*at, *number), open));
        steps.push((Label::OpenIsLost(*at), lost));
    }
    steps
}

fn open_gate(gate: &mut Gate, number: u64, variant: Variant) {
    let number = match variant {
        Variant::OpenWithoutNumber => gate.closed_for().unwrap_or(number),
        _ => number,
    };
    gate.open(number);
}

fn registered(state: &State) -> [bool; DAEMONS] {
    state.daemons.map(|daemon| daemon.registered)
}

fn steward_steps(state: &State, variant: Variant, steps: &mut Steps) {
    let mut next = state.clone();
    match state.steward {
        Steward::Idle if state.number < MAX_ORDERS => {
            next.number += 1;
            next.closing = true;
            next.steward = Steward::ClosingWritten;
            if variant == Variant::ReadBeforeClosing {
                // the registered daemons are read in this step; the closing row takes effect in the
                // next
                next.participants = registered(state);
                next.closing = false;
            }
            steps.push((Label::WritesClosing(next.number), next));
        }
        Steward::Idle => {}
        Steward::ClosingWritten => {
            if variant == Variant::ReadBeforeClosing {
                next.closing = true;
            } else {
                next.participants = registered(state);
            }
            next.steward =
                Steward::AwaitingAnswers(next.participants.map(|participant| !participant));
            steps.push((Label::ReadsRegistered, next));
        }
        Steward::AwaitingAnswers(answers) => {
            if answers.iter().all(|closed| *closed) || variant == Variant::WithoutAllAnswers {
                let mut intent = state.clone();
                intent.steward = Steward::Intent;
                steps.push((Label::CommitsIntent, intent));
            }
            finish_order(&mut next);
            steps.push((Label::TimesOut, next));
        }
        Steward::Intent => {
            next.violated = state
                .daemons
                .iter()
                .any(|daemon| daemon.gate.in_flight() > 0);
            finish_order(&mut next);
            steps.push((Label::OrderTakesEffect, next));
        }
    }
}

/// Commits the outcome and sends an open message to every daemon that was asked.
fn finish_order(state: &mut State) {
    state.closing = false;
    state.steward = Steward::Idle;
    for at in 0..DAEMONS {
        if state.participants[at] {
            state.open_messages.push((at, state.number));
        }
    }
    state.open_messages.sort_unstable();
    state.open_messages.dedup();
}

fn startup_steps(state: &State, at: usize, variant: Variant, steps: &mut Steps) {
    let mut next = state.clone();
    let registers_first = variant != Variant::ReadBeforeRegister;
    let daemon = &mut next.daemons[at];
    let (registers, next_start) = match daemon.startup {
        Startup::NotStarted => (registers_first, Startup::FirstStepDone),
        Startup::FirstStepDone => (!registers_first, Startup::Serving),
        Startup::Serving => return,
    };
    daemon.startup = next_start;
    if registers {
        daemon.registered = true;
        steps.push((Label::Registers(at), next));
    } else {
        if state.closing {
            daemon.gate.close(state.number);
        }
        steps.push((Label::ReadsClosing(at), next));
    }
}

fn serving_steps(state: &State, at: usize, variant: Variant, steps: &mut Steps) {
    let daemon = state.daemons[at];
    if daemon.startup == Startup::Serving && daemon.dispatched < MAX_DISPATCHES {
        let mut next = state.clone();
        if next.daemons[at].gate.acquire() {
            next.daemons[at].dispatched += 1;
            steps.push((Label::Dispatches(at), next));
        }
    }
    if daemon.gate.in_flight() > 0 {
        let mut next = state.clone();
        next.daemons[at].gate.release();
        steps.push((Label::RequestEnds(at), next));
    }
    // a daemon that missed the open message reads the row
    if daemon.gate.closed_for().is_some() && !state.closing {
        let mut next = state.clone();
        next.daemons[at].gate.open(state.number);
        steps.push((Label::ReadsRow(at), next));
    }
    if let Steward::AwaitingAnswers(answers) = state.steward {
        close_steps(state, at, answers, variant, steps);
    }
}

fn close_steps(
    state: &State,
    at: usize,
    answers: [bool; DAEMONS],
    variant: Variant,
    steps: &mut Steps,
) {
    let daemon = state.daemons[at];
    let number = state.number;
    // close requests and answers may be delayed or lost: these steps are optional
    if state.participants[at]
        && daemon.asked != Some(number)
        && daemon.startup != Startup::NotStarted
    {
        let mut next = state.clone();
        next.daemons[at].asked = Some(number);
        next.daemons[at].gate.close(number);
        steps.push((Label::DaemonIsAsked(at), next));
    }
    let drained = daemon.gate.is_drained(number)
        || (variant == Variant::AnswerWithRequestsInFlight
            && daemon.gate.closed_for() == Some(number));
    if daemon.asked == Some(number) && drained && !answers[at] {
        let mut next = state.clone();
        let mut answers = answers;
        answers[at] = true;
        next.steward = Steward::AwaitingAnswers(answers);
        steps.push((Label::DaemonAnswers(at), next));
    }
}

fn run(variant: Variant) -> Outcome {
    explore(
        &initial_state(),
        |state| successors(state, variant),
        |state| {
            state
                .violated
                .then_some("no request is interrupted by a planned change")
        },
    )
}

const fn case(variant: &'static str, expect_violation: bool, run: fn() -> Outcome) -> Case {
    Case {
        model: "closing",
        variant,
        bounds: BOUNDS,
        expect_violation,
        run,
    }
}

/// The cases of this model.
pub const CASES: &[Case] = &[
    case("as built", false, || run(Variant::Correct)),
    case("order sent without all answers", true, || {
        run(Variant::WithoutAllAnswers)
    }),
    case(
        "daemon reads the closing row before it registers",
        true,
        || run(Variant::ReadBeforeRegister),
    ),
    case(
        "steward reads the daemons before it writes the row",
        true,
        || run(Variant::ReadBeforeClosing),
    ),
    case("daemon answers with requests in flight", true, || {
        run(Variant::AnswerWithRequestsInFlight)
    }),
    case("delayed open opens a newer close", true, || {
        run(Variant::OpenWithoutNumber)
    }),
];
