//! The policies that the simulation compares.

/// How requests are routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Routing {
    /// By the cost function of the production code.
    Cost,
    /// By cost, without the interference between prefill and decode.
    NoInterference,
    /// To each engine in turn.
    RoundRobin,
    /// To the engine with the fewest requests in flight.
    LeastInFlight,
    /// To the less loaded of two engines drawn at random.
    TwoChoices,
}

/// When engines change their roles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoleChanges {
    /// Never.
    Fixed,
    /// By the demand forecast of the production code.
    Forecast,
    /// As soon as one phase is overloaded and the other is not.
    Threshold,
}

/// A combination of routing and role changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Name on the command line and in the table.
    pub name: &'static str,
    /// How requests are routed.
    pub routing: Routing,
    /// When engines change their roles.
    pub role_changes: RoleChanges,
    /// Numbers of prefill-only and decode-only engines, of twelve; the others are mixed.
    pub dedicated_engines: (usize, usize),
}

impl Policy {
    /// All policies; the first is the one that the daemon runs.
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

    /// Returns the policy with this name.
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
