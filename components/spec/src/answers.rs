//! Completeness of streamed answers: frames of two attempts and of an unknown attempt are delayed,
//! duplicated or lost, and the stream may close before the last frame.

use protocol::stream::{Assembler, Verdict};

use crate::{
    Case,
    explore::{Outcome, explore},
};

const ANSWER_TOKENS: u64 = 3;
const MAX_ATTEMPTS: u64 = 2;
const BOUNDS: &str =
    "answers of 3 tokens, 2 attempts, frames duplicated, lost, delayed or of an unknown attempt";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Correct,
    /// Accepts frames of any attempt.
    AnyAttempt,
    /// Accepts frames with any offset.
    AnyOffset,
    /// Treats an orderly close as the end of the answer.
    CloseIsEnd,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    assembler: Assembler,
    /// Offset of the next token that the engine of the current attempt decodes.
    next_offset: u64,
    /// Offsets of the tokens delivered to the caller. `u64::MAX` stands for the payload of the unknown
    /// attempt, which is at no offset of the answer.
    delivered: Vec<u64>,
    ended: bool,
    violation: Option<&'static str>,
}

#[derive(Debug)]
#[expect(dead_code, reason = "the fields are read by Debug")]
enum Label {
    Frame { offset: u64 },
    Duplicate { offset: u64 },
    Lost { offset: u64 },
    UnknownAttempt { offset: u64 },
    PreviousAttempt { offset: u64 },
    StreamCloses,
    Resumes,
}

fn initial_state() -> State {
    State {
        assembler: Assembler::new(1),
        next_offset: 0,
        delivered: Vec::new(),
        ended: false,
        violation: None,
    }
}

const UNKNOWN_ATTEMPT: u64 = 99;

fn successors(state: &State, variant: Variant) -> Vec<(Label, State)> {
    if state.ended {
        return Vec::new();
    }
    let mut steps = Vec::new();
    let attempt = state.assembler.attempt();
    let offset = state.next_offset;
    if offset < ANSWER_TOKENS {
        let mut sent = state.clone();
        sent.next_offset += 1;
        let mut lost = sent.clone();
        accept_frame(&mut sent, attempt, offset, offset, variant);
        steps.push((Label::Frame { offset }, sent));
        lost.next_offset = offset + 1;
        steps.push((Label::Lost { offset }, lost));
        let mut unknown = state.clone();
        accept_frame(&mut unknown, UNKNOWN_ATTEMPT, offset, u64::MAX, variant);
        steps.push((Label::UnknownAttempt { offset }, unknown));
    }
    for offset in 0..state.next_offset {
        let mut duplicate = state.clone();
        accept_frame(&mut duplicate, attempt, offset, offset, variant);
        steps.push((Label::Duplicate { offset }, duplicate));
    }
    if attempt == MAX_ATTEMPTS {
        for offset in 0..ANSWER_TOKENS {
            let mut previous = state.clone();
            accept_frame(&mut previous, attempt - 1, offset, offset, variant);
            steps.push((Label::PreviousAttempt { offset }, previous));
        }
    }
    if attempt < MAX_ATTEMPTS {
        let mut resumed = state.clone();
        resumed.assembler.resume(attempt + 1);
        resumed.next_offset = resumed.assembler.offset();
        steps.push((Label::Resumes, resumed));
    }
    let mut closed = state.clone();
    if variant == Variant::CloseIsEnd {
        finish(&mut closed);
    } else {
        // the engine of this attempt sends no further tokens; frames sent earlier may still arrive, and
        // the request may be resumed
        closed.next_offset = ANSWER_TOKENS;
    }
    steps.push((Label::StreamCloses, closed));
    steps
}

fn accept_frame(state: &mut State, attempt: u64, offset: u64, payload: u64, variant: Variant) {
    let attempt = match variant {
        Variant::AnyAttempt => state.assembler.attempt(),
        _ => attempt,
    };
    let frame_offset = match variant {
        Variant::AnyOffset => state.assembler.offset(),
        _ => offset,
    };
    let last = frame_offset + 1 == ANSWER_TOKENS;
    if state.assembler.accept(attempt, frame_offset, 1, last) == Ok(Verdict::Deliver) {
        state.delivered.push(payload);
        if state.assembler.finished() {
            finish(state);
        }
    }
    let expected: Vec<u64> = (0..state.delivered.len() as u64).collect();
    if state.delivered != expected {
        state.violation = Some("a caller receives the answer to its own request");
    }
}

fn finish(state: &mut State) {
    state.ended = true;
    if state.delivered.len() as u64 != ANSWER_TOKENS {
        state.violation = Some("a caller receives the whole answer");
    }
}

fn run(variant: Variant) -> Outcome {
    explore(
        &initial_state(),
        |state| successors(state, variant),
        |state| state.violation,
    )
}

const fn case(variant: &'static str, expect_violation: bool, run: fn() -> Outcome) -> Case {
    Case {
        model: "answers",
        variant,
        bounds: BOUNDS,
        expect_violation,
        run,
    }
}

/// The cases of this model.
pub const CASES: &[Case] = &[
    case("as built", false, || run(Variant::Correct)),
    case("frames of any attempt", true, || run(Variant::AnyAttempt)),
    case("frames of any offset", true, || run(Variant::AnyOffset)),
    case("orderly close treated as the end", true, || {
        run(Variant::CloseIsEnd)
    }),
];
