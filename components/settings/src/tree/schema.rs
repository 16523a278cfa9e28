//! The keys of each kind of node, with type, default and range.
//!
//! `docs/SETTINGS.md` lists the same; a test keeps the two equal.

/// The type of a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Type {
    /// A whole number in a range.
    Number(u64, u64),
    /// `true` or `false`.
    Switch,
    /// A time such as `3s`, at least and at most so many milliseconds.
    Time(u64, u64),
    /// One of the words given.
    Word(&'static [&'static str]),
    /// Any text of at least one character.
    Text,
    /// An IP number and port.
    Address,
    /// SHA-256 digests in hexadecimal, separated by commas.
    Digests,
    /// Names separated by commas.
    Names,
}

/// One key of a kind of node.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// Its name.
    pub name: &'static str,
    /// Its type, with unit and range.
    pub of: Type,
    /// Its default, in the text form; none where the key must be set or may be absent.
    pub default: Option<&'static str>,
    /// Whether the node is refused without it.
    pub required: bool,
    /// What it is for, in one sentence.
    pub about: &'static str,
}

/// A kind of node.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// First part of the path.
    pub name: &'static str,
    /// How many parts may follow it.
    pub depth: (usize, usize),
    /// Its keys, sorted by name.
    pub keys: &'static [Key],
}

const HOUR_MS: u64 = 3_600_000;

const fn optional(name: &'static str, of: Type, about: &'static str) -> Key {
    Key {
        name,
        of,
        default: None,
        required: false,
        about,
    }
}

const fn required(name: &'static str, of: Type, about: &'static str) -> Key {
    Key {
        name,
        of,
        default: None,
        required: true,
        about,
    }
}

const fn defaulted(
    name: &'static str,
    of: Type,
    default: &'static str,
    about: &'static str,
) -> Key {
    Key {
        name,
        of,
        default: Some(default),
        required: false,
        about,
    }
}

/// All kinds of nodes, sorted by name.
pub const KINDS: &[Kind] = &[
    Kind {
        name: "endpoint",
        depth: (2, 2),
        keys: &[
            required("address", Type::Address, "Where the endpoint listens."),
            defaulted(
                "drain",
                Type::Switch,
                "false",
                "Whether the endpoint takes no new work.",
            ),
            defaulted(
                "fences",
                Type::Switch,
                "false",
                "Whether the engine refuses orders with an old fencing number.",
            ),
            required(
                "service",
                Type::Text,
                "The service that the endpoint belongs to.",
            ),
        ],
    },
    Kind {
        name: "fleet",
        depth: (1, 1),
        keys: &[
            defaulted(
                "role_changes_per_hour",
                Type::Number(0, 3600),
                "12",
                "Most role changes an hour in a service and data centre.",
            ),
            defaulted(
                "role_horizon",
                Type::Time(1000, HOUR_MS),
                "120s",
                "How far ahead the gain of a role change is counted.",
            ),
            defaulted(
                "role_reserve",
                Type::Number(0, 1000),
                "1",
                "Engines of each phase that stay whatever the mix.",
            ),
            defaulted(
                "roles",
                Type::Word(&["adaptive", "fixed"]),
                "adaptive",
                "Whether the stewards change roles by themselves.",
            ),
        ],
    },
    Kind {
        name: "group",
        depth: (1, 8),
        keys: &[
            defaulted(
                "deadline",
                Type::Time(10, HOUR_MS),
                "30s",
                "Deadline of a request that names none.",
            ),
            defaulted(
                "deadline_max",
                Type::Time(10, HOUR_MS),
                "10m",
                "Longest deadline a request may name.",
            ),
            defaulted(
                "first_token",
                Type::Time(10, HOUR_MS),
                "1h",
                "Longest wait for a turn; a request that would wait longer is refused at once.",
            ),
            optional(
                "keys",
                Type::Digests,
                "SHA-256 digests of the callers' keys.",
            ),
            optional(
                "models",
                Type::Names,
                "Models the group may use; all when absent.",
            ),
            defaulted(
                "priority",
                Type::Number(0, 9),
                "4",
                "Priority of a request that names none; 9 goes first.",
            ),
            defaulted(
                "priority_max",
                Type::Number(0, 9),
                "7",
                "Highest priority a request may name.",
            ),
            defaulted(
                "share",
                Type::Number(1, 1_000_000),
                "1",
                "Share against the group's siblings.",
            ),
        ],
    },
    Kind {
        name: "model",
        depth: (1, 1),
        keys: &[
            defaulted(
                "adapter",
                Type::Text,
                "none",
                "The adapter that requests get.",
            ),
            required(
                "service",
                Type::Text,
                "The service whose engines run the model.",
            ),
            required("version", Type::Text, "The version that requests get."),
        ],
    },
    Kind {
        name: "service",
        depth: (1, 1),
        keys: &[
            required(
                "kind",
                Type::Word(&["engines", "plain"]),
                "What stands behind the service.",
            ),
            defaulted(
                "repeat",
                Type::Word(&["allowed", "never"]),
                "allowed",
                "Whether a request may run twice.",
            ),
            optional(
                "repeat_never_routes",
                Type::Names,
                "Path prefixes whose requests may not be repeated.",
            ),
            defaulted(
                "retention",
                Type::Time(1000, 720 * HOUR_MS),
                "24h",
                "How long a claim of an idempotency key is kept.",
            ),
        ],
    },
];

/// The kind of the node at a path, when the path is well formed.
#[must_use]
pub fn kind_of(path: &str) -> Option<&'static Kind> {
    let mut parts = path.split('/');
    let name = parts.next()?;
    let at = KINDS.binary_search_by(|kind| kind.name.cmp(name)).ok()?;
    let kind = &KINDS[at];
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

impl Kind {
    /// The key with a name.
    #[must_use]
    pub fn key(&self, name: &str) -> Option<&'static Key> {
        let at = self.keys.binary_search_by(|key| key.name.cmp(name)).ok()?;
        Some(&self.keys[at])
    }
}

impl Type {
    /// Whether a text is a value of this type.
    #[must_use]
    pub fn takes(self, value: &str) -> bool {
        match self {
            Self::Number(least, most) => value
                .parse::<u64>()
                .is_ok_and(|number| (least..=most).contains(&number)),
            Self::Switch => matches!(value, "true" | "false"),
            Self::Time(least, most) => humantime::parse_duration(value).is_ok_and(|time| {
                (u128::from(least)..=u128::from(most)).contains(&time.as_millis())
            }),
            Self::Word(words) => words.contains(&value),
            Self::Text => !value.trim().is_empty(),
            Self::Address => value.parse::<std::net::SocketAddr>().is_ok(),
            Self::Digests => value
                .split(',')
                .all(|digest| digest.len() == 64 && digest.bytes().all(|b| b.is_ascii_hexdigit())),
            Self::Names => value.split(',').all(|name| !name.trim().is_empty()),
        }
    }
}

impl std::fmt::Display for Type {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Number(least, most) => write!(f, "a whole number from {least} to {most}"),
            Self::Switch => write!(f, "true or false"),
            Self::Time(least, most) => {
                let ms = std::time::Duration::from_millis;
                let (least, most) = (ms(*least), ms(*most));
                let (least, most) = (
                    humantime::format_duration(least),
                    humantime::format_duration(most),
                );
                write!(f, "a time from {least} to {most}, such as 3s")
            }
            Self::Word(words) => write!(f, "one of {}", words.join(", ")),
            Self::Text => write!(f, "a text"),
            Self::Address => write!(f, "an IP number and port"),
            Self::Digests => write!(f, "SHA-256 digests in hexadecimal, separated by commas"),
            Self::Names => write!(f, "names separated by commas"),
        }
    }
}
