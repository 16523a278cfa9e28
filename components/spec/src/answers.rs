//! Whole answers: frames of two attempts and of a stranger, late, doubled, lost, and a stream that
//! closes before its end.

use protocol::stream::{Assembler, Verdict};

use crate::{
    Case,
    explore::{Outcome, explore},
};

const TOKENS: u64 = 3;
const ATTEMPTS: u64 = 2;
const BOUNDS: &str =
    "answers of 3 tokens, 2 attempts and a stranger's, frames doubled, lost, crossed";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Right,
    /// Frames are taken whatever attempt they name.
    NoAttempt,
    /// Frames are taken whatever offset they name.
    NoOffset,
    /// An orderly close is taken for the end.
    CloseIsEnd,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    assembler: Assembler,
    /// The next token that the running attempt's engine writes.
    writes: u64,
    /// Tokens delivered to the caller: attempt-independent offsets; a stranger's is `u64::MAX`.
    delivered: Vec<u64>,
    ended: bool,
    broken: Option<&'static str>,
}

#[derive(Debug)]
#[expect(dead_code, reason = "the fields are read by Debug")]
enum Label {
    Frame { offset: u64 },
    Repeated { offset: u64 },
    Skipped { offset: u64 },
    Stranger { offset: u64 },
    FromFormerAttempt { offset: u64 },
    Closes,
    Resumes,
}

fn start() -> State {
    State {
        assembler: Assembler::new(1),
        writes: 0,
        delivered: Vec::new(),
        ended: false,
        broken: None,
    }
}

const STRANGER: u64 = 99;

fn next(state: &State, variant: Variant) -> Vec<(Label, State)> {
    if state.ended {
        return Vec::new();
    }
    let mut steps = Vec::new();
    let attempt = state.assembler.attempt();
    let offset = state.writes;
    if offset < TOKENS {
        let mut sent = state.clone();
        sent.writes += 1;
        let mut lost = sent.clone();
        take(&mut sent, attempt, offset, offset, variant);
        steps.push((Label::Frame { offset }, sent));
        lost.writes = offset + 1;
        steps.push((Label::Skipped { offset }, lost));
        let mut stranger = state.clone();
        take(&mut stranger, STRANGER, offset, u64::MAX, variant);
        steps.push((Label::Stranger { offset }, stranger));
    }
    for offset in 0..state.writes {
        let mut again = state.clone();
        take(&mut again, attempt, offset, offset, variant);
        steps.push((Label::Repeated { offset }, again));
    }
    if attempt == ATTEMPTS {
        for offset in 0..TOKENS {
            let mut former = state.clone();
            take(&mut former, attempt - 1, offset, offset, variant);
            steps.push((Label::FromFormerAttempt { offset }, former));
        }
    }
    if attempt < ATTEMPTS {
        let mut resumed = state.clone();
        resumed.assembler.resume(attempt + 1);
        resumed.writes = resumed.assembler.offset();
        steps.push((Label::Resumes, resumed));
    }
    let mut closed = state.clone();
    if variant == Variant::CloseIsEnd {
        end(&mut closed);
    } else {
        // the caller sees an error, never an end
        closed.writes = TOKENS;
    }
    steps.push((Label::Closes, closed));
    steps
}

fn take(state: &mut State, attempt: u64, offset: u64, content: u64, variant: Variant) {
    let attempt = match variant {
        Variant::NoAttempt => state.assembler.attempt(),
        _ => attempt,
    };
    let named = match variant {
        Variant::NoOffset => state.assembler.offset(),
        _ => offset,
    };
    let last = named + 1 == TOKENS;
    if state.assembler.accept(attempt, named, 1, last) == Ok(Verdict::Deliver) {
        state.delivered.push(content);
        if state.assembler.finished() {
            end(state);
        }
    }
    let right: Vec<u64> = (0..state.delivered.len() as u64).collect();
    if state.delivered != right {
        state.broken = Some("a caller receives the answer to its own request");
    }
}

fn end(state: &mut State) {
    state.ended = true;
    if state.delivered.len() as u64 != TOKENS {
        state.broken = Some("a caller receives the whole answer");
    }
}

fn run(variant: Variant) -> Outcome {
    explore(&start(), |state| next(state, variant), |state| state.broken)
}

const fn case(variant: &'static str, wrong: bool, run: fn() -> Outcome) -> Case {
    Case {
        model: "answers",
        variant,
        bounds: BOUNDS,
        wrong,
        run,
    }
}

/// The model's cases.
pub const CASES: &[Case] = &[
    case("as built", false, || run(Variant::Right)),
    case("frames of any attempt", true, || run(Variant::NoAttempt)),
    case("frames of any offset", true, || run(Variant::NoOffset)),
    case("orderly close taken for the end", true, || {
        run(Variant::CloseIsEnd)
    }),
];
