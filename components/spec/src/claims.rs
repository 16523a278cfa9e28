//! Requests that may not be repeated: one key, two daemons, tries that a caller may repeat at
//! either, a table whose answers are lost or late, crashes.

use protocol::{
    Incarnation,
    claim::{self, Decision, Row, Stage, WriteOutcome},
};

use crate::{
    Case,
    explore::{Outcome, explore},
};

const DAEMONS: usize = 2;
const TRIES: usize = 3;
const BOUNDS: &str = "2 daemons, 3 tries with one key, lost and late table writes, 1 crash";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Right,
    /// The claim is written after the request was sent.
    ClaimAfterDispatch,
    /// An unclear write is taken for written.
    UnclearIsWritten,
    /// A claim whose claimant seems dead is claimed again.
    TakeOver,
    /// A key that can't be read is told as "not run".
    UnreadIsNotRun,
    /// A claim is written without checking that the row is as it was read.
    BlindWrite,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Doing {
    /// The caller has not sent it yet.
    Unsent,
    /// It has arrived.
    Arrived,
    /// The key was looked up: the row's version.
    Claim(u64),
    /// The write is on its way, its answer not come.
    Writing(Row, u64),
    /// The claim stands.
    Claimed(Row),
    /// The request runs or has run; its answer comes or is lost.
    Sent(Row),
    /// The caller was told.
    Told(Word),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Word {
    Answer,
    NotRun,
    Unknown,
    Broken,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Try {
    daemon: usize,
    doing: Doing,
    ran: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    row: Option<Row>,
    version: u64,
    /// Writes that may yet take effect: the version that they check, and the row.
    late: Vec<(u64, Row)>,
    tries: [Try; TRIES],
    alive: [bool; DAEMONS],
    runs: u8,
    broken: Option<&'static str>,
}

#[derive(Debug)]
#[expect(dead_code, reason = "the fields are read by Debug")]
enum Label {
    Arrives { nth: usize, daemon: usize },
    LooksUp { nth: usize },
    TableDoesNotAnswer { nth: usize },
    SendsWrite { nth: usize },
    WriteIsAnswered { nth: usize },
    WriteIsRefused { nth: usize },
    WriteAnswerIsLost { nth: usize },
    LateWriteTakesEffect,
    ReadsBack { nth: usize },
    Runs { nth: usize },
    Answered { nth: usize },
    AnswerIsLost { nth: usize },
    Crashes { daemon: usize },
}

type Steps = Vec<(Label, State)>;

fn start() -> State {
    let unsent = |daemon| Try {
        daemon,
        doing: Doing::Unsent,
        ran: false,
    };
    State {
        row: None,
        version: 0,
        late: Vec::new(),
        // the balancer sends the tries wherever it likes; by symmetry the first goes to the first
        tries: [unsent(0), unsent(1), unsent(0)],
        alive: [true; DAEMONS],
        runs: 0,
        broken: None,
    }
}

fn name(daemon: usize) -> Incarnation {
    Incarnation(daemon as u64 + 1)
}

fn next(state: &State, variant: Variant) -> Steps {
    let mut steps = Vec::new();
    for nth in 0..TRIES {
        if state.alive[state.tries[nth].daemon] {
            step(state, nth, variant, &mut steps);
        }
    }
    for (at, (over, row)) in state.late.iter().enumerate() {
        let mut next = state.clone();
        next.late.remove(at);
        commit(&mut next, *over, row, variant);
        steps.push((Label::LateWriteTakesEffect, next));
    }
    for daemon in 0..DAEMONS {
        if state.alive.iter().all(|alive| *alive) {
            let mut next = state.clone();
            next.alive[daemon] = false;
            for one in next.tries.iter_mut().filter(|one| one.daemon == daemon) {
                if one.doing != Doing::Unsent && !matches!(one.doing, Doing::Told(_)) {
                    one.doing = Doing::Told(Word::Broken);
                }
            }
            steps.push((Label::Crashes { daemon }, next));
        }
    }
    steps
}

fn commit(state: &mut State, over: u64, row: &Row, variant: Variant) -> bool {
    let fits = state.version == over || variant == Variant::BlindWrite;
    if fits {
        state.row = Some(row.clone());
        state.version += 1;
    }
    fits
}

fn answer(state: &mut State, nth: usize, word: Word) {
    state.tries[nth].doing = Doing::Told(word);
    if word == Word::NotRun && (state.tries[nth].ran || state.runs > 0) {
        state.broken = Some("a refusal that says \"not run\" is true");
    }
}

fn run_request(state: &mut State, nth: usize) {
    state.runs += 1;
    state.tries[nth].ran = true;
    let told = state
        .tries
        .iter()
        .any(|one| one.doing == Doing::Told(Word::NotRun) && one.ran);
    state.broken = match () {
        () if state.runs > 1 => Some("a request that may not be repeated runs at most once"),
        () if told => Some("a refusal that says \"not run\" is true"),
        () => None,
    };
}

fn step(state: &State, nth: usize, variant: Variant, steps: &mut Steps) {
    let daemon = state.tries[nth].daemon;
    match &state.tries[nth].doing {
        Doing::Unsent => {
            let mut next = state.clone();
            next.tries[nth].doing = Doing::Arrived;
            steps.push((Label::Arrives { nth, daemon }, next));
        }
        Doing::Arrived => look_up(state, nth, variant, steps),
        Doing::Claim(over) => {
            let row = Row {
                digest: 0,
                claimant: name(daemon),
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
            next.tries[nth].doing = Doing::Writing(row, *over);
            steps.push((label, next));
        }
        Doing::Writing(row, over) => write(state, nth, row, *over, variant, steps),
        Doing::Claimed(row) => {
            let mut next = state.clone();
            if !state.tries[nth].ran {
                run_request(&mut next, nth);
            }
            next.tries[nth].doing = Doing::Sent(row.clone());
            steps.push((Label::Runs { nth }, next));
        }
        Doing::Sent(row) => {
            let mut answered = state.clone();
            let done = Row {
                stage: Stage::Done(None),
                ..row.clone()
            };
            record(&mut answered, done);
            answer(&mut answered, nth, Word::Answer);
            steps.push((Label::Answered { nth }, answered));
            let mut lost = state.clone();
            let unknown = Row {
                stage: Stage::Unknown,
                ..row.clone()
            };
            record(&mut lost, unknown);
            answer(&mut lost, nth, Word::Unknown);
            steps.push((Label::AnswerIsLost { nth }, lost));
        }
        Doing::Told(_) => {}
    }
}

/// The claimant records the end of its own claim.
fn record(state: &mut State, row: Row) {
    if state.row.as_ref().is_some_and(|now| now.token == row.token) {
        state.row = Some(row);
        state.version += 1;
    }
}

fn look_up(state: &State, nth: usize, variant: Variant, steps: &mut Steps) {
    let mut next = state.clone();
    let alive = |other: Incarnation| (0..DAEMONS).any(|d| name(d) == other && state.alive[d]);
    let decision = match (claim::decide(state.row.as_ref(), 0, alive), variant) {
        (Decision::Unknown, Variant::TakeOver) => Decision::Claim,
        (decision, _) => decision,
    };
    match decision {
        Decision::Claim => next.tries[nth].doing = Doing::Claim(state.version),
        Decision::Replay(_) => answer(&mut next, nth, Word::Answer),
        Decision::InProgress | Decision::Unknown => answer(&mut next, nth, Word::Unknown),
        Decision::Mismatch => answer(&mut next, nth, Word::NotRun),
    }
    steps.push((Label::LooksUp { nth }, next));
    let mut unread = state.clone();
    let word = if variant == Variant::UnreadIsNotRun {
        Word::NotRun
    } else {
        Word::Unknown
    };
    answer(&mut unread, nth, word);
    steps.push((Label::TableDoesNotAnswer { nth }, unread));
}

fn write(state: &State, nth: usize, row: &Row, over: u64, variant: Variant, steps: &mut Steps) {
    let mut done = state.clone();
    if commit(&mut done, over, row, variant) {
        after(&mut done, nth, row, WriteOutcome::Written, variant);
        steps.push((Label::WriteIsAnswered { nth }, done.clone()));
        // it took effect, its answer was lost, and a read shows the token
        steps.push((Label::ReadsBack { nth }, done.clone()));
        // it took effect, and neither the answer nor the read came
        let mut lost = state.clone();
        commit(&mut lost, over, row, variant);
        after(&mut lost, nth, row, WriteOutcome::Unclear, variant);
        steps.push((Label::WriteAnswerIsLost { nth }, lost));
    } else {
        after(&mut done, nth, row, WriteOutcome::Taken, variant);
        steps.push((Label::WriteIsRefused { nth }, done));
    }
    // it is late: it takes effect after the daemon has given up, or never
    let mut late = state.clone();
    late.late.push((over, row.clone()));
    after(&mut late, nth, row, WriteOutcome::Unclear, variant);
    steps.push((Label::WriteAnswerIsLost { nth }, late));
}

fn after(state: &mut State, nth: usize, row: &Row, write: WriteOutcome, variant: Variant) {
    let dispatch = claim::may_dispatch(write)
        || (variant == Variant::UnclearIsWritten && write == WriteOutcome::Unclear);
    if dispatch {
        state.tries[nth].doing = Doing::Claimed(row.clone());
        return;
    }
    if write == WriteOutcome::Unclear {
        // it was not sent, and the claimant says so in the table
        let not_run = Row {
            stage: Stage::NotRun,
            ..row.clone()
        };
        record(state, not_run);
    }
    answer(state, nth, Word::Unknown);
}

fn run(variant: Variant) -> Outcome {
    explore(&start(), |state| next(state, variant), |state| state.broken)
}

const fn case(variant: &'static str, wrong: bool, run: fn() -> Outcome) -> Case {
    Case {
        model: "claims",
        variant,
        bounds: BOUNDS,
        wrong,
        run,
    }
}

/// The model's cases.
pub const CASES: &[Case] = &[
    case("as built", false, || run(Variant::Right)),
    case("claim after dispatch", true, || {
        run(Variant::ClaimAfterDispatch)
    }),
    case("unclear write taken for written", true, || {
        run(Variant::UnclearIsWritten)
    }),
    case("dead claimant's claim taken over", true, || {
        run(Variant::TakeOver)
    }),
    case("unread key told as not run", true, || {
        run(Variant::UnreadIsNotRun)
    }),
    case("write without a check", true, || run(Variant::BlindWrite)),
];
