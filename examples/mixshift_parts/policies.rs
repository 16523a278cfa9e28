//! What is compared in one run.

/// How requests are routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Routing {
    /// The real decision.
    Cost,
    /// By cost, blind to what prompts and writers do to each other.
    Plain,
    /// In turn.
    RoundRobin,
    /// To the engine with the fewest requests.
    LeastInFlight,
    /// To the better of two at random.
    TwoChoices,
}

/// How roles change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Roles {
    /// Never.
    Fixed,
    /// The real decision.
    Forecast,
    /// As soon as one phase waits much longer than the other.
    Threshold,
}

/// A way to run the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Its name.
    pub name: &'static str,
    /// Routing.
    pub routing: Routing,
    /// Roles.
    pub roles: Roles,
    /// Engines that read only and that write only, of twelve; the rest do both.
    pub split: (usize, usize),
}

impl Policy {
    /// All that are compared; the first is what the daemon runs.
    pub const ALL: [Self; 8] = [
        policy("wrenramp", Routing::Cost, Roles::Forecast, (0, 0)),
        policy("dedicated", Routing::Cost, Roles::Forecast, (4, 5)),
        policy("round-robin", Routing::RoundRobin, Roles::Fixed, (0, 0)),
        policy(
            "least-in-flight",
            Routing::LeastInFlight,
            Roles::Fixed,
            (0, 0),
        ),
        policy("two-choices", Routing::TwoChoices, Roles::Fixed, (0, 0)),
        policy("fixed-split", Routing::Cost, Roles::Fixed, (6, 6)),
        policy("all-mixed", Routing::Plain, Roles::Fixed, (0, 0)),
        policy("threshold", Routing::Cost, Roles::Threshold, (6, 6)),
    ];

    /// The one with a name.
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|policy| policy.name == name)
    }
}

const fn policy(
    name: &'static str,
    routing: Routing,
    roles: Roles,
    split: (usize, usize),
) -> Policy {
    Policy {
        name,
        routing,
        roles,
        split,
    }
}
