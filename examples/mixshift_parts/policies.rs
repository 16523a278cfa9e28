//! What is compared in one run.

/// How requests are routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Routing {
    /// The real decision.
    Cost,
    /// By cost, blind to what prompts and writers do to each other.
    NoInterference,
    /// In turn.
    RoundRobin,
    /// To the engine with the fewest requests.
    LeastInFlight,
    /// To the better of two at random.
    TwoChoices,
}

/// How roles change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoleChanges {
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
    pub role_changes: RoleChanges,
    /// Engines that read only and that write only, of twelve; the rest do both.
    pub dedicated_engines: (usize, usize),
}

impl Policy {
    /// All that are compared; the first is what the daemon runs.
    pub const ALL: [Self; 8] = [
        policy("wrenramp", Routing::Cost, RoleChanges::Forecast, (0, 0)),
        policy("dedicated", Routing::Cost, RoleChanges::Forecast, (4, 5)),
        policy(
            "round-robin",
            Routing::RoundRobin,
            RoleChanges::Fixed,
            (0, 0),
        ),
        policy(
            "least-in-flight",
            Routing::LeastInFlight,
            RoleChanges::Fixed,
            (0, 0),
        ),
        policy(
            "two-choices",
            Routing::TwoChoices,
            RoleChanges::Fixed,
            (0, 0),
        ),
        policy("fixed-split", Routing::Cost, RoleChanges::Fixed, (6, 6)),
        policy(
            "all-mixed",
            Routing::NoInterference,
            RoleChanges::Fixed,
            (0, 0),
        ),
        policy("threshold", Routing::Cost, RoleChanges::Threshold, (6, 6)),
    ];

    /// The one with a name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|policy| policy.name == name)
    }
}

const fn policy(
    name: &'static str,
    routing: Routing,
    role_changes: RoleChanges,
    dedicated_engines: (usize, usize),
) -> Policy {
    Policy {
        name,
        routing,
        role_changes,
        dedicated_engines,
    }
}
