//! Schema of the settings tree: the keys of each kind of node, with type, range and default.
//!
//! `docs/SETTINGS.md` lists the same keys; a test compares the two.

/// The type of a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueType {
    /// A whole number between a minimum and a maximum.
    Number(u64, u64),
    /// `true` or `false`.
    Bool,
    /// A duration such as `3s`, between a minimum and a maximum in milliseconds.
    Duration(u64, u64),
    /// One of the listed words.
    OneOf(&'static [&'static str]),
    /// Any text that is not blank.
    Text,
    /// An IP address and port.
    Address,
    /// SHA-256 digests in hexadecimal, separated by commas.
    Digests,
    /// Names separated by commas.
    Names,
}

/// A key of a kind of node.
#[derive(Clone, Copy, Debug)]
pub struct KeySchema {
    /// Its name.
    pub name: &'static str,
    /// Type and range of its value.
    pub value_type: ValueType,
    /// Default value as text; `None` if the key is required, or optional without a default.
    pub default: Option<&'static str>,
    /// Whether every node of the kind must set it.
    pub required: bool,
    /// Description for operators, in one sentence.
    pub description: &'static str,
}

/// A kind of node.
#[derive(Clone, Copy, Debug)]
pub struct NodeKind {
    /// First segment of the path.
    pub name: &'static str,
    /// Minimum and maximum number of path segments after it.
    pub depth: (usize, usize),
    /// Keys of the nodes, sorted by name.
    pub keys: &'static [KeySchema],
}

const HOUR_MS: u64 = 3_600_000;

const fn optional(
    name: &'static str,
    value_type: ValueType,
    description: &'static str,
) -> KeySchema {
    KeySchema {
        name,
        value_type,
        default: None,
        required: false,
        description,
    }
}

const fn required(
    name: &'static str,
    value_type: ValueType,
    description: &'static str,
) -> KeySchema {
    KeySchema {
        name,
        value_type,
        default: None,
        required: true,
        description,
    }
}

const fn with_default(
    name: &'static str,
    value_type: ValueType,
    default: &'static str,
    description: &'static str,
) -> KeySchema {
    KeySchema {
        name,
        value_type,
        default: Some(default),
        required: false,
        description,
    }
}

/// All kinds of nodes, sorted by name.
pub const KINDS: &[NodeKind] = &[
    NodeKind {
        name: "endpoint",
        depth: (2, 2),
        keys: &[
            required("address", ValueType::Address, "Where the endpoint listens."),
            with_default(
                "drain",
                ValueType::Bool,
                "false",
                "Whether the endpoint takes no new work.",
            ),
            with_default(
                "fences",
                ValueType::Bool,
                "false",
                "Whether the engine refuses orders with an old fencing number.",
            ),
            required(
                "service",
                ValueType::Text,
                "The service that the endpoint belongs to.",
            ),
        ],
    },
    NodeKind {
        name: "fleet",
        depth: (1, 1),
        keys: &[
            with_default(
                "role_changes_per_hour",
                ValueType::Number(0, 3600),
                "12",
                "Most role changes an hour in a service and data centre.",
            ),
            with_default(
                "role_horizon",
                ValueType::Duration(1000, HOUR_MS),
                "120s",
                "How far ahead the gain of a role change is counted.",
            ),
            with_default(
                "role_reserve",
                ValueType::Number(0, 1000),
                "1",
                "Engines of each phase that stay whatever the mix.",
            ),
            with_default(
                "roles",
                ValueType::OneOf(&["adaptive", "fixed"]),
                "adaptive",
                "Whether the stewards change roles by themselves.",
            ),
        ],
    },
    NodeKind {
        name: "group",
        depth: (1, 8),
        keys: &[
            with_default(
                "deadline",
                ValueType::Duration(10, HOUR_MS),
                "30s",
                "Deadline of a request that names none.",
            ),
            with_default(
                "deadline_max",
                ValueType::Duration(10, HOUR_MS),
                "10m",
                "Longest deadline a request may name.",
            ),
            with_default(
                "first_token",
                ValueType::Duration(10, HOUR_MS),
                "1h",
                "Longest wait for a turn; a request that would wait longer is refused at once.",
            ),
            optional(
                "keys",
                ValueType::Digests,
                "SHA-256 digests of the callers' keys.",
            ),
            optional(
                "models",
                ValueType::Names,
                "Models the group may use; all when absent.",
            ),
            with_default(
                "priority",
                ValueType::Number(0, 9),
                "4",
                "Priority of a request that names none; 9 goes first.",
            ),
            with_default(
                "priority_max",
                ValueType::Number(0, 9),
                "7",
                "Highest priority a request may name.",
            ),
            with_default(
                "share",
                ValueType::Number(1, 1_000_000),
                "1",
                "Share against the group's siblings.",
            ),
        ],
    },
    NodeKind {
        name: "model",
        depth: (1, 1),
        keys: &[
            with_default(
                "adapter",
                ValueType::Text,
                "none",
                "The adapter that requests get.",
            ),
            required(
                "service",
                ValueType::Text,
                "The service whose engines run the model.",
            ),
            required("version", ValueType::Text, "The version that requests get."),
        ],
    },
    NodeKind {
        name: "service",
        depth: (1, 1),
        keys: &[
            required(
                "kind",
                ValueType::OneOf(&["engines", "plain"]),
                "What stands behind the service.",
            ),
            with_default(
                "repeat",
                ValueType::OneOf(&["allowed", "never"]),
                "allowed",
                "Whether a request may run twice.",
            ),
            optional(
                "repeat_never_routes",
                ValueType::Names,
                "Path prefixes whose requests may not be repeated.",
            ),
            with_default(
                "retention",
                ValueType::Duration(1000, 720 * HOUR_MS),
                "24h",
                "How long a claim of an idempotency key is kept.",
            ),
        ],
    },
];

/// The kind of the node at a path; `None` if the kind is unknown or the path malformed.
#[must_use]
pub fn kind_of(path: &str) -> Option<&'static NodeKind> {
    let mut parts = path.split('/');
    let name = parts.next()?;
    let index = KINDS.binary_search_by(|kind| kind.name.cmp(name)).ok()?;
    let kind = &KINDS[index];
    let mut depth = 0;
    for part in parts {
        if part.is_empty() || part.chars().any(|c| c.is_whitespace() || c.is_control()) {
            return None;
        }
        depth += 1;
    }
    (kind.depth.0..=kind.depth.1)
        .contains(&depth)
        .then_some(kind)
}

impl NodeKind {
    /// The key with a name.
    #[must_use]
    pub fn key(&self, name: &str) -> Option<&'static KeySchema> {
        let index = self.keys.binary_search_by(|key| key.name.cmp(name)).ok()?;
        Some(&self.keys[index])
    }
}

impl ValueType {
    /// Whether a text is a valid value of this type.
    #[must_use]
    pub fn accepts(self, value: &str) -> bool {
        match self {
            Self::Number(min, max) => value
                .parse::<u64>()
                .is_ok_and(|number| (min..=max).contains(&number)),
            Self::Bool => matches!(value, "true" | "false"),
            Self::Duration(min, max) => humantime::parse_duration(value).is_ok_and(|duration| {
                (u128::from(min)..=u128::from(max)).contains(&duration.as_millis())
            }),
            Self::OneOf(choices) => choices.contains(&value),
            Self::Text => !value.trim().is_empty(),
            Self::Address => value.parse::<std::net::SocketAddr>().is_ok(),
            Self::Digests => value
                .split(',')
                .all(|digest| digest.len() == 64 && digest.bytes().all(|b| b.is_ascii_hexdigit())),
            Self::Names => value.split(',').all(|name| !name.trim().is_empty()),
        }
    }
}

impl std::fmt::Display for ValueType {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Number(min, max) => write!(f, "a whole number from {min} to {max}"),
            Self::Bool => write!(f, "true or false"),
            Self::Duration(min, max) => {
                let ms = std::time::Duration::from_millis;
                let (min, max) = (ms(*min), ms(*max));
                let (min, max) = (
                    humantime::format_duration(min),
                    humantime::format_duration(max),
                );
                write!(f, "a time from {min} to {max}, such as 3s")
            }
            Self::OneOf(choices) => write!(f, "one of {}", choices.join(", ")),
            Self::Text => write!(f, "a text"),
            Self::Address => write!(f, "an IP number and port"),
            Self::Digests => write!(f, "SHA-256 digests in hexadecimal, separated by commas"),
            Self::Names => write!(f, "names separated by commas"),
        }
    }
}
