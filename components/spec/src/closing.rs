//! Closing an engine: a steward, a daemon that serves and one that starts in the middle.

use protocol::gate::Gate;

use crate::{
    Case,
    explore::{Outcome, explore},
};

const DAEMONS: usize = 2;
const DISPATCHES: u8 = 2;
const BOUNDS: &str =
    "2 daemons (1 starts in the middle), 2 orders, 2 requests a daemon, late and lost messages";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Right,
    /// The order goes out although an answer is missing.
    WithoutAllAnswers,
    /// A daemon reads what is closing before it registers.
    ReadBeforeRegister,
    /// The steward reads who is registered before it writes that it is closing.
    AskBeforeClosing,
    /// A daemon answers while requests are in flight.
    AnswerWithHolds,
    /// A late open for an older order opens a newer close.
    OpenWithoutNumber,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Start {
    /// Not started.
    Off,
    /// One of the two steps is done.
    Half,
    /// It dispatches.
    Serving,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Daemon {
    start: Start,
    registered: bool,
    gate: Gate,
    dispatched: u8,
    /// A close request for this order has arrived and is not answered yet.
    asked: Option<u64>,
    answered: u64,
}

/// How far the steward has come with its present order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Steward {
    Idle,
    /// The closing row is written; who is registered is not read yet.
    Written,
    /// Those registered were read and are asked.
    Asking([bool; DAEMONS]),
    /// The intent is committed; the order may strike.
    Intent,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    steward: Steward,
    number: u64,
    /// Whether the row says that daemons must not dispatch.
    closing: bool,
    known: [bool; DAEMONS],
    daemons: [Daemon; DAEMONS],
    /// Opens on their way: daemon and order.
    opens: Vec<(usize, u64)>,
    broken: bool,
}

#[derive(Debug)]
#[expect(dead_code, reason = "the fields are read by Debug")]
enum Label {
    WritesClosing(u64),
    ReadsRegistered,
    DaemonIsAsked(usize),
    DaemonAnswers(usize),
    CommitsIntent,
    OrderStrikes,
    GivesUp,
    OpenArrives(usize, u64),
    OpenIsLost(usize),
    ReadsRow(usize),
    Registers(usize),
    ReadsClosing(usize),
    Dispatches(usize),
    RequestEnds(usize),
}

const ORDERS: u64 = 2;

fn start() -> State {
    let serving = Daemon {
        start: Start::Serving,
        registered: true,
        gate: Gate::default(),
        dispatched: 0,
        asked: None,
        answered: 0,
    };
    let off = Daemon {
        start: Start::Off,
        registered: false,
        ..serving
    };
    State {
        steward: Steward::Idle,
        number: 0,
        closing: false,
        known: [false; DAEMONS],
        daemons: [serving, off],
        opens: Vec::new(),
        broken: false,
    }
}

type Steps = Vec<(Label, State)>;

fn next(state: &State, variant: Variant) -> Steps {
    let mut steps = Vec::new();
    steward(state, variant, &mut steps);
    for at in 0..DAEMONS {
        boot(state, at, variant, &mut steps);
        serve(state, at, variant, &mut steps);
    }
    for (nth, (at, number)) in state.opens.iter().enumerate() {
        let mut lost = state.clone();
        lost.opens.remove(nth);
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

fn steward(state: &State, variant: Variant, steps: &mut Steps) {
    let mut next = state.clone();
    match state.steward {
        Steward::Idle if state.number < ORDERS => {
            next.number += 1;
            next.closing = true;
            next.steward = Steward::Written;
            if variant == Variant::AskBeforeClosing {
                // both readings of "who is registered" are explored: the one of just before
                next.known = registered(state);
                next.closing = false;
            }
            steps.push((Label::WritesClosing(next.number), next));
        }
        Steward::Idle => {}
        Steward::Written => {
            if variant == Variant::AskBeforeClosing {
                next.closing = true;
            } else {
                next.known = registered(state);
            }
            next.steward = Steward::Asking(next.known.map(|known| !known));
            steps.push((Label::ReadsRegistered, next));
        }
        Steward::Asking(answers) => {
            if answers.iter().all(|closed| *closed) || variant == Variant::WithoutAllAnswers {
                let mut intent = state.clone();
                intent.steward = Steward::Intent;
                steps.push((Label::CommitsIntent, intent));
            }
            end(&mut next);
            steps.push((Label::GivesUp, next));
        }
        Steward::Intent => {
            next.broken = state
                .daemons
                .iter()
                .any(|daemon| daemon.gate.in_flight() > 0);
            end(&mut next);
            steps.push((Label::OrderStrikes, next));
        }
    }
}

/// The outcome is committed and told to everybody.
fn end(state: &mut State) {
    state.closing = false;
    state.steward = Steward::Idle;
    for at in 0..DAEMONS {
        if state.known[at] {
            state.opens.push((at, state.number));
        }
    }
    state.opens.sort_unstable();
    state.opens.dedup();
}

fn boot(state: &State, at: usize, variant: Variant, steps: &mut Steps) {
    let mut next = state.clone();
    let registers_first = variant != Variant::ReadBeforeRegister;
    let daemon = &mut next.daemons[at];
    let (registers, then) = match daemon.start {
        Start::Off => (registers_first, Start::Half),
        Start::Half => (!registers_first, Start::Serving),
        Start::Serving => return,
    };
    daemon.start = then;
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

fn serve(state: &State, at: usize, variant: Variant, steps: &mut Steps) {
    let daemon = state.daemons[at];
    if daemon.start == Start::Serving && daemon.dispatched < DISPATCHES {
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
    // a daemon that missed the open reads the row
    if daemon.gate.closed_for().is_some() && !state.closing {
        let mut next = state.clone();
        next.daemons[at].gate.open(state.number);
        steps.push((Label::ReadsRow(at), next));
    }
    if let Steward::Asking(answers) = state.steward {
        asked(state, at, answers, variant, steps);
    }
}

fn asked(state: &State, at: usize, answers: [bool; DAEMONS], variant: Variant, steps: &mut Steps) {
    let daemon = state.daemons[at];
    let number = state.number;
    // requests and answers may be late or lost: the steps need not be taken
    if state.known[at] && daemon.asked != Some(number) && daemon.start != Start::Off {
        let mut next = state.clone();
        next.daemons[at].asked = Some(number);
        next.daemons[at].gate.close(number);
        steps.push((Label::DaemonIsAsked(at), next));
    }
    let empty = daemon.gate.is_drained(number)
        || (variant == Variant::AnswerWithHolds && daemon.gate.closed_for() == Some(number));
    if daemon.asked == Some(number) && empty && !answers[at] {
        let mut next = state.clone();
        let mut answers = answers;
        answers[at] = true;
        next.steward = Steward::Asking(answers);
        steps.push((Label::DaemonAnswers(at), next));
    }
}

fn run(variant: Variant) -> Outcome {
    explore(
        &start(),
        |state| next(state, variant),
        |state| {
            state
                .broken
                .then_some("no request is cut by a planned change")
        },
    )
}

const fn case(variant: &'static str, wrong: bool, run: fn() -> Outcome) -> Case {
    Case {
        model: "closing",
        variant,
        bounds: BOUNDS,
        wrong,
        run,
    }
}

/// The model's cases.
pub const CASES: &[Case] = &[
    case("as built", false, || run(Variant::Right)),
    case("closing without all answers", true, || {
        run(Variant::WithoutAllAnswers)
    }),
    case("daemon reads before it registers", true, || {
        run(Variant::ReadBeforeRegister)
    }),
    case("steward reads before it writes", true, || {
        run(Variant::AskBeforeClosing)
    }),
    case("answer with requests in flight", true, || {
        run(Variant::AnswerWithHolds)
    }),
    case("late open opens a newer close", true, || {
        run(Variant::OpenWithoutNumber)
    }),
];
