//! Breadth-first search for a broken invariant, with the shortest counter-example as a time line.

use std::{cell::Cell, fmt::Debug, hash::Hash};

use pathfinding::directed::bfs::bfs;

/// What a search found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// States explored.
    pub states: usize,
    /// The broken invariant and the steps that break it; none when all states hold.
    pub violation: Option<Violation>,
}

/// A counter-example.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The invariant.
    pub invariant: &'static str,
    /// The steps, in order.
    pub steps: Vec<String>,
}

/// Explores all states that can be reached from `start`.
///
/// `successors` gives the steps that can be taken with the states they lead to; `violation` names the
/// invariant that a state breaks.
pub fn explore<S, L>(
    start: &S,
    successors: impl Fn(&S) -> Vec<(L, S)>,
    violation: impl Fn(&S) -> Option<&'static str>,
) -> Outcome
where
    S: Clone + Eq + Hash,
    L: Debug,
{
    let states = Cell::new(0);
    let path = bfs(
        start,
        |state| {
            states.set(states.get() + 1);
            successors(state).into_iter().map(|(_, state)| state)
        },
        |state| violation(state).is_some(),
    );
    let violation = path.and_then(|path| {
        let invariant = violation(path.last()?)?;
        let steps = path
            .windows(2)
            .filter_map(|pair| {
                let mut transitions = successors(&pair[0]).into_iter();
                let (step, _) = transitions.find(|(_, state)| *state == pair[1])?;
                Some(format!("{step:?}"))
            })
            .collect();
        Some(Violation { invariant, steps })
    });
    Outcome {
        states: states.get(),
        violation,
    }
}
