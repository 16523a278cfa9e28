//! Versions of the settings: two daemons accept changes from operators and notify each other.
//! Messages are delayed, lost or duplicated, and responses of the table are lost.

use crate::{
    Case,
    explore::{Outcome, explore},
};

const DAEMONS: usize = 2;
const MAX_CHANGES: u8 = 3;
const BOUNDS: &str =
    "2 daemons, 3 accepted changes, delayed, lost and duplicated messages, lost table responses";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Correct,
    /// A daemon applies the version that it received last, even if it is older.
    LastWins,
    /// A commit doesn't check that the table still has the version that was read.
    UncheckedCommit,
}

/// A settings tree, reduced to a bit set of the accepted changes that it contains.
type Tree = u8;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Version {
    number: u8,
    tree: Tree,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    table: Version,
    daemons: [Version; DAEMONS],
    /// The version that each daemon's commit in preparation is based on.
    preparing: [Option<Version>; DAEMONS],
    /// Versions in transit to a daemon; each may be delivered any number of times.
    network: Vec<(usize, Version)>,
    accepted: Tree,
    changes: u8,
    violation: Option<&'static str>,
}

#[derive(Debug)]
#[expect(dead_code, reason = "the fields are read by Debug")]
enum Label {
    Reads { daemon: usize },
    Commits { daemon: usize },
    CommitAnswerIsLost { daemon: usize },
    CommitRefused { daemon: usize },
    ReceivesUpdate { daemon: usize, version: u8 },
    Polls { daemon: usize },
}

fn initial_state() -> State {
    let empty = Version { number: 0, tree: 0 };
    State {
        table: empty,
        daemons: [empty; DAEMONS],
        preparing: [None; DAEMONS],
        network: Vec::new(),
        accepted: 0,
        changes: 0,
        violation: None,
    }
}

fn apply(state: &mut State, daemon: usize, version: Version, variant: Variant) {
    let current = state.daemons[daemon];
    let newer = version.number > current.number;
    if newer || variant == Variant::LastWins {
        state.daemons[daemon] = version;
        if version.number < current.number {
            state.violation = Some("an accepted configuration never reverts");
        }
    }
}

fn successors(state: &State, variant: Variant) -> Vec<(Label, State)> {
    let mut steps = Vec::new();
    for daemon in 0..DAEMONS {
        let mut polled = state.clone();
        apply(&mut polled, daemon, state.table, variant);
        steps.push((Label::Polls { daemon }, polled));
        match state.preparing[daemon] {
            None if state.changes < MAX_CHANGES => {
                let mut next = state.clone();
                next.preparing[daemon] = Some(state.daemons[daemon]);
                steps.push((Label::Reads { daemon }, next));
            }
            None => {}
            Some(base) => commit(state, daemon, base, variant, &mut steps),
        }
    }
    for (daemon, version) in &state.network {
        let mut next = state.clone();
        apply(&mut next, *daemon, *version, variant);
        steps.push((
            Label::ReceivesUpdate {
                daemon: *daemon,
                version: version.number,
            },
            next,
        ));
    }
    steps
}

fn commit(
    state: &State,
    daemon: usize,
    base: Version,
    variant: Variant,
    steps: &mut Vec<(Label, State)>,
) {
    let mut next = state.clone();
    next.preparing[daemon] = None;
    if state.changes == MAX_CHANGES {
        steps.push((Label::CommitRefused { daemon }, next));
        return;
    }
    if base.number != state.table.number && variant != Variant::UncheckedCommit {
        steps.push((Label::CommitRefused { daemon }, next));
        return;
    }
    let bit = 1 << state.changes;
    let version = Version {
        number: state.table.number + 1,
        tree: base.tree | bit,
    };
    next.table = version;
    next.changes += 1;
    next.accepted |= bit;
    if version.tree != next.accepted {
        next.violation = Some("an accepted configuration is in force and never reverts");
    }
    // the response is lost: the change is accepted, and this daemon learns of it later
    let lost = next.clone();
    apply(&mut next, daemon, version, variant);
    for other in 0..DAEMONS {
        if other != daemon {
            next.network.push((other, version));
        }
    }
    next.network.sort_unstable();
    next.network.dedup();
    steps.push((Label::Commits { daemon }, next));
    steps.push((Label::CommitAnswerIsLost { daemon }, lost));
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
        model: "versions",
        variant,
        bounds: BOUNDS,
        expect_violation,
        run,
    }
}

/// The cases of this model.
pub const CASES: &[Case] = &[
    case("as built", false, || run(Variant::Correct)),
    case("version received last is applied", true, || {
        run(Variant::LastWins)
    }),
    case("commit without comparing versions", true, || {
        run(Variant::UncheckedCommit)
    }),
];
