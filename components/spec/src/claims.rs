//! Requests that must not be executed twice: one idempotency key, two daemons, attempts that the
//! caller may send to either of them, a table whose responses are lost or delayed, and crashes.

use protocol::{
    Incarnation,
    claim::{self, Decision, Row, Stage, WriteOutcome},
};

use crate::{
    Case,
    explore::{Outcome, explore},
};

const DAEMONS: usize = 2;
const ATTEMPTS: usize = 3;
const BOUNDS: &str = "2 daemons, 3 attempts with one key, lost and delayed table writes, 1 crash";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Correct,
    /// Writes the claim after the request was dispatched.
    ClaimAfterDispatch,
    /// Treats a write of unknown outcome as written.
    UnclearIsWritten,
    /// Claims a key again if its claimant appears to be dead.
    TakeOver,
    /// Replies "not run" if the key can't be read.
    UnreadIsNotRun,
    /// Writes a claim without checking that the row has not changed since it was read.
    UncheckedWrite,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// The caller has not sent the request yet.
    Unsent,
    /// The daemon has received the request.
    Arrived,
    /// The key was looked up and may be claimed; holds the version of the row as read.
    Claim(u64),
    /// The write of the claim is in flight, over the given version of the row.
    Writing(Row, u64),
    /// The claim is written.
    Claimed(Row),
    /// The request was dispatched; its answer arrives or is lost.
    Sent(Row),
    /// The caller has received a reply.
    Replied(Reply),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Reply {
    Answer,
    NotRun,
    Unknown,
    ConnectionLost,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Attempt {
    daemon: usize,
    phase: Phase,
    ran: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    row: Option<Row>,
    version: u64,
    /// Delayed writes that may still take effect: the version that they check, and the row.
    delayed: Vec<(u64, Row)>,
    attempts: [Attempt; ATTEMPTS],
    alive: [bool; DAEMONS],
    runs: u8,
    violation: Option<&'static str>,
}

#[derive(Debug)]
#[expect(dead_code, reason = "the fields are read by Debug")]
enum Label {
    Arrives { nth: usize, daemon: usize },
    LooksUp { nth: usize },
    TableUnavailable { nth: usize },
    SendsWrite { nth: usize },
    WriteIsAnswered { nth: usize },
    WriteIsRefused { nth: usize },
    WriteAnswerIsLost { nth: usize },
    DelayedWriteTakesEffect,
    ReadsBack { nth: usize },
    Runs { nth: usize },
    Answered { nth: usize },
    AnswerIsLost { nth: usize },
    Crashes { daemon: usize },
}

type Steps = Vec<(Label, State)>;

fn initial_state() -> State {
    let unsent = |daemon| Attempt {
        daemon,
        phase: Phase::Unsent,
        ran: false,
    };
    State {
        row: None,
        version: 0,
        delayed: Vec::new(),
        // the load balancer may send an attempt to either daemon; by symmetry the first attempt
        // goes to the first daemon
        attempts: [unsent(0), unsent(1), unsent(0)],
        alive: [true; DAEMONS],
        runs: 0,
        violation: None,
    }
}

fn incarnation(daemon: usize) -> Incarnation {
    Incarnation(daemon as u64 + 1)
}

fn successors(state: &State, variant: Variant) -> Steps {
    let mut steps = Vec::new();
    for nth in 0..ATTEMPTS {
        if state.alive[state.attempts[nth].daemon] {
            advance(state, nth, variant, &mut steps);
        }
    }
    for (at, (expected, row)) in state.delayed.iter().enumerate() {
        let mut next = state.clone();
        next.delayed.remove(at);
        commit(&mut next, *expected, row, variant);
        steps.push((Label::DelayedWriteTakesEffect, next));
    }
    for daemon in 0..DAEMONS {
        if state.alive.iter().all(|alive| *alive) {
            let mut next = state.clone();
            next.alive[daemon] = false;
            for attempt in next
                .attempts
                .iter_mut()
                .filter(|attempt| attempt.daemon == daemon)
            {
                if attempt.phase != Phase::Unsent && !matches!(attempt.phase, Phase::Replied(_)) {
                    attempt.phase = Phase::Replied(Reply::ConnectionLost);
                }
            }
            steps.push((Label::Crashes { daemon }, next));
        }
    }
    steps
}

fn commit(state: &mut State, expected: u64, row: &Row, variant: Variant) -> bool {
    let version_matches = state.version == expected || variant == Variant::UncheckedWrite;
    if version_matches {
        state.row = Some(row.clone());
        state.version += 1;
    }
    version_matches
}

fn send_reply(state: &mut State, nth: usize, reply: Reply) {
    state.attempts[nth].phase = Phase::Replied(reply);
    if reply == Reply::NotRun && (state.attempts[nth].ran || state.runs > 0) {
        state.violation = Some("a refusal that says \"not run\" is true");
    }
}

fn run_request(state: &mut State, nth: usize) {
    state.runs += 1;
    state.attempts[nth].ran = true;
    let told_not_run = state
        .attempts
        .iter()
        .any(|attempt| attempt.phase == Phase::Replied(Reply::NotRun) && attempt.ran);
    state.violation = match () {
        () if state.runs > 1 => Some("a request that must not be retried runs at most once"),
        () if told_not_run => Some("a refusal that says \"not run\" is true"),
        () => None,
    };
}

fn advance(state: &State, nth: usize, variant: Variant, steps: &mut Steps) {
    let daemon = state.attempts[nth].daemon;
    match &state.attempts[nth].phase {
        Phase::Unsent => {
            let mut next = state.clone();
            next.attempts[nth].phase = Phase::Arrived;
            steps.push((Label::Arrives { nth, daemon }, next));
        }
        Phase::Arrived => look_up(state, nth, variant, steps),
        Phase::Claim(expected) => {
            let row = Row {
                digest: 0,
                claimant: incarnation(daemon),
                token: nth as u64,
                at_ms: 0,
                stage: Stage::Claimed,
            };
            let mut next = state.clone();
            let label = if variant == Variant::ClaimAfterDispatch {
                run_request(&mut next, nth);
                Label::Runs { nth }
            } else {
                Label::SendsWrite { nth }
            };
            next.attempts[nth].phase = Phase::Writing(row, *expected);
            steps.push((label, next));
        }
        Phase::Writing(row, expected) => write(state, nth, row, *expected, variant, steps),
        Phase::Claimed(row) => {
            let mut next = state.clone();
            if !state.attempts[nth].ran {
                run_request(&mut next, nth);
            }
            next.attempts[nth].phase = Phase::Sent(row.clone());
            steps.push((Label::Runs { nth }, next));
        }
        Phase::Sent(row) => {
            let mut answered = state.clone();
            let done = Row {
                stage: Stage::Done(None),
                ..row.clone()
            };
            record_outcome(&mut answered, done);
            send_reply(&mut answered, nth, Reply::Answer);
            steps.push((Label::Answered { nth }, answered));
            let mut lost = state.clone();
            let unknown = Row {
                stage: Stage::Unknown,
                ..row.clone()
            };
            record_outcome(&mut lost, unknown);
            send_reply(&mut lost, nth, Reply::Unknown);
            steps.push((Label::AnswerIsLost { nth }, lost));
        }
        Phase::Replied(_) => {}
    }
}

/// The claimant records the outcome of its own claim.
fn record_outcome(state: &mut State, row: Row) {
    if state.row.as_ref().is_some_and(|now| now.token == row.token) {
        state.row = Some(row);
        state.version += 1;
    }
}

fn look_up(state: &State, nth: usize, variant: Variant, steps: &mut Steps) {
    let mut next = state.clone();
    let alive =
        |other: Incarnation| (0..DAEMONS).any(|d| incarnation(d) == other && state.alive[d]);
    let decision = match (claim::decide(state.row.as_ref(), 0, alive), variant) {
        (Decision::Unknown, Variant::TakeOver) => Decision::Claim,
        (decision, _) => decision,
    };
    match decision {
        Decision::Claim => next.attempts[nth].phase = Phase::Claim(state.version),
        Decision::Replay(_) => send_reply(&mut next, nth, Reply::Answer),
        Decision::InProgress | Decision::Unknown => send_reply(&mut next, nth, Reply::Unknown),
        Decision::Mismatch => send_reply(&mut next, nth, Reply::NotRun),
    }
    steps.push((Label::LooksUp { nth }, next));
    let mut unread = state.clone();
    let reply = if variant == Variant::UnreadIsNotRun {
        Reply::NotRun
    } else {
        Reply::Unknown
    };
    send_reply(&mut unread, nth, reply);
    steps.push((Label::TableUnavailable { nth }, unread));
}

fn write(state: &State, nth: usize, row: &Row, expected: u64, variant: Variant, steps: &mut Steps) {
    let mut done = state.clone();
    if commit(&mut done, expected, row, variant) {
        after_write(&mut done, nth, row, WriteOutcome::Written, variant);
        steps.push((Label::WriteIsAnswered { nth }, done.clone()));
        // the write took effect, its response was lost, and a read shows the claimant's token
        steps.push((Label::ReadsBack { nth }, done.clone()));
        // the write took effect, and both its response and the read were lost
        let mut lost = state.clone();
        commit(&mut lost, expected, row, variant);
        after_write(&mut lost, nth, row, WriteOutcome::Unclear, variant);
        steps.push((Label::WriteAnswerIsLost { nth }, lost));
    } else {
        after_write(&mut done, nth, row, WriteOutcome::Taken, variant);
        steps.push((Label::WriteIsRefused { nth }, done));
    }
    // the write is delayed: it takes effect after the daemon has timed out, or never
    let mut delayed = state.clone();
    delayed.delayed.push((expected, row.clone()));
    after_write(&mut delayed, nth, row, WriteOutcome::Unclear, variant);
    steps.push((Label::WriteAnswerIsLost { nth }, delayed));
}

fn after_write(state: &mut State, nth: usize, row: &Row, write: WriteOutcome, variant: Variant) {
    let dispatch = claim::may_dispatch(write)
        || (variant == Variant::UnclearIsWritten && write == WriteOutcome::Unclear);
    if dispatch {
        state.attempts[nth].phase = Phase::Claimed(row.clone());
        return;
    }
    if write == WriteOutcome::Unclear {
        // the request was not dispatched, and the claimant records this in the table
        let not_run = Row {
            stage: Stage::NotRun,
            ..row.clone()
        };
        record_outcome(state, not_run);
    }
    send_reply(state, nth, Reply::Unknown);
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
        model: "claims",
        variant,
        bounds: BOUNDS,
        expect_violation,
        run,
    }
}

/// The cases of this model.
pub const CASES: &[Case] = &[
    case("as built", false, || run(Variant::Correct)),
    case("claim written after dispatch", true, || {
        run(Variant::ClaimAfterDispatch)
    }),
    case("unclear write treated as written", true, || {
        run(Variant::UnclearIsWritten)
    }),
    case("claim of a dead claimant taken over", true, || {
        run(Variant::TakeOver)
    }),
    case("unreadable key reported as not run", true, || {
        run(Variant::UnreadIsNotRun)
    }),
    case("claim written without a version check", true, || {
        run(Variant::UncheckedWrite)
    }),
];
