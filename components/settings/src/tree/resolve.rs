//! One version of the tree in typed form, with what groups inherit worked out.

use std::{fmt::Write as _, net::SocketAddr, time::Duration};

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use super::{Tree, schema};

/// A group with its own and inherited values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// Path below `group/`.
    pub name: String,
    /// Index of the parent among the groups; none at the top.
    pub parent: Option<usize>,
    /// Share against its siblings.
    pub share: u32,
    /// Priority of a request that names none, and the highest it may name.
    pub priority: (u8, u8),
    /// Deadline of a request that names none, and the longest it may name.
    pub deadline: (Duration, Duration),
    /// Longest wait for a turn.
    pub first_token: Duration,
    /// Models it may use; all when empty. Sorted.
    pub models: Vec<String>,
}

/// What stands behind a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Language-model engines.
    Engines,
    /// Plain services, passed through whole.
    Plain,
}

/// Whether a request may run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// A failed try may be followed by another.
    Allowed,
    /// One try, ever.
    Never,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Path below `service/`.
    pub name: String,
    /// What stands behind it.
    pub kind: Kind,
    /// Whether its requests may run twice.
    pub repeat: Repeat,
    /// Path prefixes whose requests may not be repeated.
    pub never: Vec<String>,
    /// How long claims are kept.
    pub retention: Duration,
}

impl Service {
    /// Whether a request to a path of this service may run twice.
    #[must_use]
    pub fn repeat_of(&self, path: &str) -> Repeat {
        match self.repeat {
            Repeat::Allowed
                if !self
                    .never
                    .iter()
                    .any(|prefix| path.starts_with(prefix.as_str())) =>
            {
                Repeat::Allowed
            }
            _ => Repeat::Never,
        }
    }
}

/// An endpoint: an engine or a plain service's instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Endpoint {
    /// Its data centre.
    pub data_centre: String,
    /// Its number, unique in its data centre.
    pub number: u32,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its service.
    pub service: String,
    /// Whether operators have drained it.
    pub drain: bool,
    /// Whether it refuses orders with an old fencing number.
    pub fences: bool,
}

/// A model name that callers may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Model {
    /// Path below `model/`.
    pub name: String,
    /// The service whose engines run it.
    pub service: String,
    /// The adapter.
    pub adapter: String,
    /// The version.
    pub version: String,
}

/// Settings of the stewards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// Whether stewards change roles by themselves.
    pub adaptive: bool,
    /// Most changes an hour.
    pub changes_per_hour: u32,
    /// Engines of each phase that stay.
    pub reserve: u32,
    /// How far ahead the gain of a change is counted.
    pub horizon: Duration,
}

/// One version of the settings, typed. Vectors are sorted by name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version {
    /// The version.
    pub version: u64,
    /// Groups by name, parents before children.
    pub groups: Vec<Group>,
    /// Digests of callers' keys with the index of their group.
    keys: Vec<([u8; 32], usize)>,
    /// Models by name.
    pub models: Vec<Model>,
    /// Services by name.
    pub services: Vec<Service>,
    /// Endpoints by data centre and number.
    pub endpoints: Vec<Endpoint>,
    /// The stewards' settings.
    pub fleet: Fleet,
}

impl Version {
    /// Types a checked tree. A value that does not parse takes its default.
    #[must_use]
    pub fn new(tree: &Tree) -> Self {
        let groups = groups(tree);
        let keys = keys(tree, &groups);
        Self {
            version: tree.version,
            keys,
            groups,
            models: tree
                .kind("model")
                .map(|(name, node)| Model {
                    name: name.to_owned(),
                    service: text(tree, &node.path, "service"),
                    adapter: text(tree, &node.path, "adapter"),
                    version: text(tree, &node.path, "version"),
                })
                .collect(),
            services: tree
                .kind("service")
                .map(|(name, node)| service(tree, name, &node.path))
                .collect(),
            endpoints: endpoints(tree),
            fleet: fleet(tree),
        }
    }

    /// The index of the group whose caller has this key. Each digest is compared in constant time.
    #[must_use]
    pub fn caller(&self, key: &str) -> Option<usize> {
        let digest: [u8; 32] = Sha256::digest(key.as_bytes()).into();
        // the search leaks no more than the digest's order, which the caller can't steer
        let at = self.keys.partition_point(|(other, _)| *other < digest);
        self.keys
            .get(at)
            .filter(|(other, _)| bool::from(other.ct_eq(&digest)))
            .map(|(_, group)| *group)
    }

    /// The model with a name.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&Model> {
        let at = self.models.binary_search_by(|m| m.name.as_str().cmp(name));
        at.ok().map(|at| &self.models[at])
    }

    /// The service with a name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        let at = self
            .services
            .binary_search_by(|s| s.name.as_str().cmp(name));
        at.ok().map(|at| &self.services[at])
    }

    /// The endpoint with a number in a data centre.
    #[must_use]
    pub fn endpoint(&self, data_centre: &str, number: u32) -> Option<&Endpoint> {
        self.endpoints
            .binary_search_by(|e| (e.data_centre.as_str(), e.number).cmp(&(data_centre, number)))
            .ok()
            .map(|at| &self.endpoints[at])
    }
}

fn text(tree: &Tree, path: &str, key: &str) -> String {
    raw(tree, path, key).unwrap_or_default().to_owned()
}

fn raw<'a>(tree: &'a Tree, path: &str, key: &str) -> Option<&'a str> {
    tree.inherited(path, key)
        .or_else(|| schema::kind_of(path)?.key(key)?.default)
}

fn number(tree: &Tree, path: &str, key: &str) -> u32 {
    raw(tree, path, key)
        .and_then(|value| value.parse().ok())
        .unwrap_or_default()
}

fn time(tree: &Tree, path: &str, key: &str) -> Duration {
    raw(tree, path, key)
        .and_then(|value| humantime::parse_duration(value).ok())
        .unwrap_or_default()
}

fn names(value: Option<&str>) -> Vec<String> {
    let mut names: Vec<String> = value
        .iter()
        .flat_map(|names| names.split(','))
        .map(|name| name.trim().to_owned())
        .collect();
    names.sort();
    names
}

fn groups(tree: &Tree) -> Vec<Group> {
    let paths: Vec<&str> = tree.kind("group").map(|(name, _)| name).collect();
    let priority = |path: &str, key: &str| u8::try_from(number(tree, path, key)).unwrap_or(0);
    tree.kind("group")
        .map(|(name, node)| {
            let path = node.path.as_str();
            Group {
                name: name.to_owned(),
                parent: name
                    .rsplit_once('/')
                    .and_then(|(parent, _)| paths.binary_search(&parent).ok()),
                // a share is a group's own: a child does not weigh as its parent does
                share: node
                    .value("share")
                    .and_then(|v| v.parse().ok())
                    .unwrap_or(1),
                priority: (priority(path, "priority"), priority(path, "priority_max")),
                deadline: (
                    time(tree, path, "deadline"),
                    time(tree, path, "deadline_max"),
                ),
                first_token: time(tree, path, "first_token"),
                models: names(raw(tree, path, "models")),
            }
        })
        .collect()
}

fn keys(tree: &Tree, groups: &[Group]) -> Vec<([u8; 32], usize)> {
    let mut keys = Vec::new();
    for (name, node) in tree.kind("group") {
        let at = groups.binary_search_by(|group| group.name.as_str().cmp(name));
        for digest in node.value("keys").iter().flat_map(|keys| keys.split(',')) {
            if let (Some(digest), Ok(at)) = (digest_of(digest), at) {
                keys.push((digest, at));
            }
        }
    }
    keys.sort_unstable();
    keys
}

/// The bytes of a SHA-256 digest in hexadecimal.
#[must_use]
pub fn digest_of(hex: &str) -> Option<[u8; 32]> {
    let mut digest = [0; 32];
    if hex.len() != 64 || !hex.is_ascii() {
        return None;
    }
    for (at, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&hex[2 * at..2 * at + 2], 16).ok()?;
    }
    Some(digest)
}

/// Whether a secret has this SHA-256 digest, compared in constant time.
#[must_use]
pub fn secret_matches(secret: &str, hex: &str) -> bool {
    let digest: [u8; 32] = Sha256::digest(secret.as_bytes()).into();
    digest_of(hex).is_some_and(|wanted| bool::from(wanted.ct_eq(&digest)))
}

/// The SHA-256 digest of a secret, in hexadecimal.
#[must_use]
pub fn secret_digest(secret: &str) -> String {
    let digest: [u8; 32] = Sha256::digest(secret.as_bytes()).into();
    digest.iter().fold(String::new(), |mut hex, byte| {
        // writing into memory does not fail
        let _ = write!(hex, "{byte:02x}");
        hex
    })
}

fn service(tree: &Tree, name: &str, path: &str) -> Service {
    Service {
        name: name.to_owned(),
        kind: match raw(tree, path, "kind") {
            Some("engines") => Kind::Engines,
            _ => Kind::Plain,
        },
        repeat: match raw(tree, path, "repeat") {
            Some("never") => Repeat::Never,
            _ => Repeat::Allowed,
        },
        never: names(raw(tree, path, "repeat_never_routes")),
        retention: time(tree, path, "retention"),
    }
}

fn endpoints(tree: &Tree) -> Vec<Endpoint> {
    let mut endpoints: Vec<Endpoint> = tree
        .kind("endpoint")
        .filter_map(|(name, node)| {
            let (data_centre, number) = name.split_once('/')?;
            let path = node.path.as_str();
            Some(Endpoint {
                data_centre: data_centre.to_owned(),
                number: number.parse().ok()?,
                address: raw(tree, path, "address")?.parse().ok()?,
                service: text(tree, path, "service"),
                drain: raw(tree, path, "drain") == Some("true"),
                fences: raw(tree, path, "fences") == Some("true"),
            })
        })
        .collect();
    endpoints.sort();
    endpoints
}

fn fleet(tree: &Tree) -> Fleet {
    let path = "fleet/roles";
    Fleet {
        adaptive: raw(tree, path, "roles") != Some("fixed"),
        changes_per_hour: number(tree, path, "role_changes_per_hour"),
        reserve: number(tree, path, "role_reserve"),
        horizon: time(tree, path, "role_horizon"),
    }
}
