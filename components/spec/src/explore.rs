//! Breadth-first search for a violated invariant. Yields the shortest counter-example.

use std::{cell::Cell, fmt::Debug, hash::Hash};

use pathfinding::directed::bfs::bfs;

/// The result of a search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Number of states explored.
    pub states: usize,
    /// The violated invariant and the steps to it; none if every state satisfies all invariants.
    pub violation: Option<Violation>,
}

/// A counter-example.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The violated invariant.
    pub invariant: &'static str,
    /// The steps that lead to the violation, in order.
    pub steps: Vec<String>,
}

/// Explores all states reachable from `start`.
///
/// `successors` returns the steps possible in a state, each with the state it leads to. `violation`
/// returns the invariant that a state violates, if any.
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
