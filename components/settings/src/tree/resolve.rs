//! Typed form of one version of the tree, with inheritance and defaults resolved.

use std::{fmt::Write as _, net::SocketAddr, time::Duration};

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use super::{Tree, schema};

/// A group, with inherited values filled in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// Path below `group/`.
    pub name: String,
    /// Index of the parent in [`ResolvedTree::groups`]; `None` for a top-level group.
    pub parent: Option<usize>,
    /// Weight relative to its siblings.
    pub share: u32,
    /// Default priority of requests, and the highest that a request may ask for.
    pub priority: (u8, u8),
    /// Default deadline of requests, and the longest that a request may ask for.
    pub deadline: (Duration, Duration),
    /// Maximum time that a request waits in the queue; one that would wait longer is refused at once.
    pub max_queue_time: Duration,
    /// Names of the models it may use, sorted; empty means all.
    pub models: Vec<String>,
}

/// The type of back end of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceKind {
    /// Language-model engines.
    Engines,
    /// Plain services, to which whole requests are forwarded.
    Plain,
}

/// Whether a failed request may be retried although it may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Any failed attempt may be retried, so that the request may be executed twice.
    Allowed,
    /// At most one execution: only an attempt that certainly was not executed is retried.
    Never,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Path below `service/`.
    pub name: String,
    /// Type of its back end.
    pub kind: ServiceKind,
    /// Whether its requests may be retried.
    pub retry_policy: RetryPolicy,
    /// Path prefixes whose requests may never be retried.
    pub no_retry_prefixes: Vec<String>,
    /// How long claims of idempotency keys are kept.
    pub retention: Duration,
}

impl Service {
    /// Whether a request to a path of this service may be retried.
    #[must_use]
    pub fn retry_policy_for(&self, path: &str) -> RetryPolicy {
        match self.retry_policy {
            RetryPolicy::Allowed
                if !self
                    .no_retry_prefixes
                    .iter()
                    .any(|prefix| path.starts_with(prefix.as_str())) =>
            {
                RetryPolicy::Allowed
            }
            _ => RetryPolicy::Never,
        }
    }
}

/// An endpoint: an engine or an instance of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Endpoint {
    /// Data centre that it is in.
    pub data_centre: String,
    /// Number, unique in its data centre.
    pub number: u32,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Name of its service.
    pub service: String,
    /// Whether operators have drained it.
    pub drain: bool,
    /// Whether it refuses orders with a stale fencing number.
    pub fences: bool,
}

/// A model name that callers may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Model {
    /// Path below `model/`.
    pub name: String,
    /// Name of the service whose engines run it.
    pub service: String,
    /// Adapter that its requests use.
    pub adapter: String,
    /// Version of the model that its requests use.
    pub version: String,
}

/// Settings for the stewards' role changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// Whether stewards change roles automatically.
    pub adaptive: bool,
    /// Maximum number of role changes per hour in a service and data centre.
    pub max_role_changes_per_hour: u32,
    /// Minimum number of engines in each role, whatever the traffic.
    pub min_engines_per_role: u32,
    /// How far into the future the gain of a role change is estimated.
    pub horizon: Duration,
}

/// Typed form of one version of the tree.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResolvedTree {
    /// Version number of the tree.
    pub version: u64,
    /// Groups, sorted by name: parents come before their children.
    pub groups: Vec<Group>,
    /// SHA-256 digests of the callers' keys, each with the index of its group, sorted.
    caller_keys: Vec<([u8; 32], usize)>,
    /// Models, sorted by name.
    pub models: Vec<Model>,
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// Endpoints, sorted by data centre and number.
    pub endpoints: Vec<Endpoint>,
    /// Settings for the stewards' role changes.
    pub fleet: Fleet,
}

impl ResolvedTree {
    /// Resolves a tree that has passed [`check::problems`](super::check::problems).
    ///
    /// A value that does not parse becomes zero, 1 for a share, or the default variant of its type. An
    /// endpoint whose number or address does not parse is left out.
    #[must_use]
    pub fn new(tree: &Tree) -> Self {
        let groups = groups(tree);
        let caller_keys = caller_keys(tree, &groups);
        Self {
            version: tree.version,
            caller_keys,
            groups,
            models: tree
                .nodes_of_kind("model")
                .map(|(name, node)| Model {
                    name: name.to_owned(),
                    service: text_value(tree, &node.path, "service"),
                    adapter: text_value(tree, &node.path, "adapter"),
                    version: text_value(tree, &node.path, "version"),
                })
                .collect(),
            services: tree
                .nodes_of_kind("service")
                .map(|(name, node)| service(tree, name, &node.path))
                .collect(),
            endpoints: endpoints(tree),
            fleet: fleet(tree),
        }
    }

    /// Index of the group that a caller's key belongs to. The digests are compared in constant time.
    #[must_use]
    pub fn group_for_key(&self, key: &str) -> Option<usize> {
        let digest: [u8; 32] = Sha256::digest(key.as_bytes()).into();
        // the timing of the search reveals only how the digest sorts, which a caller cannot control
        let index = self
            .caller_keys
            .partition_point(|(other, _)| *other < digest);
        self.caller_keys
            .get(index)
            .filter(|(other, _)| bool::from(other.ct_eq(&digest)))
            .map(|(_, group)| *group)
    }

    /// The model with a name.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&Model> {
        let index = self.models.binary_search_by(|m| m.name.as_str().cmp(name));
        index.ok().map(|index| &self.models[index])
    }

    /// The service with a name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        let index = self
            .services
            .binary_search_by(|s| s.name.as_str().cmp(name));
        index.ok().map(|index| &self.services[index])
    }

    /// The endpoint with a number in a data centre.
    #[must_use]
    pub fn endpoint(&self, data_centre: &str, number: u32) -> Option<&Endpoint> {
        self.endpoints
            .binary_search_by(|e| (e.data_centre.as_str(), e.number).cmp(&(data_centre, number)))
            .ok()
            .map(|index| &self.endpoints[index])
    }
}

fn text_value(tree: &Tree, path: &str, key: &str) -> String {
    value_or_default(tree, path, key)
        .unwrap_or_default()
        .to_owned()
}

fn value_or_default<'a>(tree: &'a Tree, path: &str, key: &str) -> Option<&'a str> {
    tree.effective_value(path, key)
        .or_else(|| schema::kind_of(path)?.key(key)?.default)
}

fn number_value(tree: &Tree, path: &str, key: &str) -> u32 {
    value_or_default(tree, path, key)
        .and_then(|value| value.parse().ok())
        .unwrap_or_default()
}

fn duration_value(tree: &Tree, path: &str, key: &str) -> Duration {
    value_or_default(tree, path, key)
        .and_then(|value| humantime::parse_duration(value).ok())
        .unwrap_or_default()
}

fn sorted_names(value: Option<&str>) -> Vec<String> {
    let mut names: Vec<String> = value
        .iter()
        .flat_map(|names| names.split(','))
        .map(|name| name.trim().to_owned())
        .collect();
    names.sort();
    names
}

fn groups(tree: &Tree) -> Vec<Group> {
    let paths: Vec<&str> = tree.nodes_of_kind("group").map(|(name, _)| name).collect();
    let priority = |path: &str, key: &str| u8::try_from(number_value(tree, path, key)).unwrap_or(0);
    tree.nodes_of_kind("group")
        .map(|(name, node)| {
            let path = node.path.as_str();
            Group {
                name: name.to_owned(),
                parent: name
                    .rsplit_once('/')
                    .and_then(|(parent, _)| paths.binary_search(&parent).ok()),
                // shares are not inherited: the weight of the parent does not apply among its children
                share: node
                    .value("share")
                    .and_then(|v| v.parse().ok())
                    .unwrap_or(1),
                priority: (priority(path, "priority"), priority(path, "priority_max")),
                deadline: (
                    duration_value(tree, path, "deadline"),
                    duration_value(tree, path, "deadline_max"),
                ),
                max_queue_time: duration_value(tree, path, "first_token"),
                models: sorted_names(value_or_default(tree, path, "models")),
            }
        })
        .collect()
}

fn caller_keys(tree: &Tree, groups: &[Group]) -> Vec<([u8; 32], usize)> {
    let mut keys = Vec::new();
    for (name, node) in tree.nodes_of_kind("group") {
        let index = groups.binary_search_by(|group| group.name.as_str().cmp(name));
        for digest in node.value("keys").iter().flat_map(|keys| keys.split(',')) {
            if let (Some(digest), Ok(index)) = (parse_digest(digest), index) {
                keys.push((digest, index));
            }
        }
    }
    keys.sort_unstable();
    keys
}

/// Parses a SHA-256 digest in hexadecimal.
#[must_use]
pub fn parse_digest(hex: &str) -> Option<[u8; 32]> {
    let mut digest = [0; 32];
    if hex.len() != 64 || !hex.is_ascii() {
        return None;
    }
    for (index, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&hex[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(digest)
}

/// Whether a secret has this SHA-256 digest, compared in constant time.
#[must_use]
pub fn secret_matches(secret: &str, hex: &str) -> bool {
    let digest: [u8; 32] = Sha256::digest(secret.as_bytes()).into();
    parse_digest(hex).is_some_and(|expected| bool::from(expected.ct_eq(&digest)))
}

/// The SHA-256 digest of a secret, in hexadecimal.
#[must_use]
pub fn secret_digest(secret: &str) -> String {
    let digest: [u8; 32] = Sha256::digest(secret.as_bytes()).into();
    digest.iter().fold(String::new(), |mut hex, byte| {
        // writing to a `String` cannot fail
        let _ = write!(hex, "{byte:02x}");
        hex
    })
}

fn service(tree: &Tree, name: &str, path: &str) -> Service {
    Service {
        name: name.to_owned(),
        kind: match value_or_default(tree, path, "kind") {
            Some("engines") => ServiceKind::Engines,
            _ => ServiceKind::Plain,
        },
        // in these two keys "repeat" means a retry
        retry_policy: match value_or_default(tree, path, "repeat") {
            Some("never") => RetryPolicy::Never,
            _ => RetryPolicy::Allowed,
        },
        no_retry_prefixes: sorted_names(value_or_default(tree, path, "repeat_never_routes")),
        retention: duration_value(tree, path, "retention"),
    }
}

fn endpoints(tree: &Tree) -> Vec<Endpoint> {
    let mut endpoints: Vec<Endpoint> = tree
        .nodes_of_kind("endpoint")
        .filter_map(|(name, node)| {
            let (data_centre, number) = name.split_once('/')?;
            let path = node.path.as_str();
            Some(Endpoint {
                data_centre: data_centre.to_owned(),
                number: number.parse().ok()?,
                address: value_or_default(tree, path, "address")?.parse().ok()?,
                service: text_value(tree, path, "service"),
                drain: value_or_default(tree, path, "drain") == Some("true"),
                fences: value_or_default(tree, path, "fences") == Some("true"),
            })
        })
        .collect();
    endpoints.sort();
    endpoints
}

fn fleet(tree: &Tree) -> Fleet {
    let path = "fleet/roles";
    Fleet {
        adaptive: value_or_default(tree, path, "roles") != Some("fixed"),
        max_role_changes_per_hour: number_value(tree, path, "role_changes_per_hour"),
        min_engines_per_role: number_value(tree, path, "role_reserve"),
        horizon: duration_value(tree, path, "role_horizon"),
    }
}
