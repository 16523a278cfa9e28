//! What lives as long as one version of the operators' configuration: routes, services, limits.

pub mod idle;

use std::{cmp::Reverse, sync::Arc, time::Duration};

use derive_more::Display;

/// What may be done with a request beyond its first attempt.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "kebab-case")]
pub enum Kind {
    /// It may run more than once.
    Idempotent,
    /// It may run at most once.
    Once,
    /// A stream of events that may run at most once.
    Stream,
    /// A stream of events that may go on at another endpoint, after the last event delivered.
    ResumableStream,
}

impl Kind {
    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Whether it may run again after an attempt of unknown outcome.
    #[must_use]
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// A service that a route may lead to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Its name.
    pub service: Arc<str>,
    /// Its part of the route's requests, against the other targets' weights.
    pub weight: u64,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// The host that it serves.
    pub host: String,
    /// What the path begins with.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// The longest that a request may take; none if the operators set no bound.
    pub timeout: Option<Duration>,
    /// The time within which an answer is worth most.
    pub objective: Duration,
    /// The longest pause between two events of a stream that still counts as on time.
    pub max_stall: Option<Duration>,
    /// The longest silence that callers of a stream bear, also before its first event: then they leave. None if
    /// they wait until their time is over.
    pub max_silence: Option<Duration>,
    /// Its rank; 0 goes first.
    pub priority: u32,
    /// Endpoints to which one request may be sent.
    pub max_attempts: u32,
    /// The services that it leads to.
    pub targets: Vec<Target>,
}

/// What the operators say of a service's engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engines {
    /// Requests that an engine runs at once.
    pub slots: u64,
    /// Tokens that an engine's memory holds.
    pub kv_capacity_tokens: u64,
    /// Time to move a token's KV cache from one engine to another in the same data centre.
    pub transfer_per_token: Duration,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u64,
    /// How long an engine keeps a handle.
    pub handle_ttl: Duration,
    /// How long an engine is away when its stage changes.
    pub stage_switch: Duration,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: Arc<str>,
    /// Connections that each of its endpoints takes, from all callers together.
    pub max_connections: usize,
    /// What is known of its engines; none for a plain service.
    pub engines: Option<Engines>,
}

/// Bounds towards callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// The longest that a caller may take to send a head.
    pub header_timeout: Duration,
    /// The longest that a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Configuration {
    /// Its number; a higher one is newer.
    pub version: u64,
    /// Its routes, sorted by host and then by prefix, the longest first.
    routes: Vec<Arc<Route>>,
    /// Its services, sorted by name.
    services: Vec<Arc<Service>>,
    /// Bounds towards callers.
    pub limits: Limits,
}

impl Configuration {
    /// Puts a version together.
    #[must_use]
    pub fn new(version: u64, routes: Vec<Route>, services: Vec<Service>, limits: Limits) -> Self {
        let mut routes: Vec<Arc<Route>> = routes.into_iter().map(Arc::new).collect();
        routes.sort_by(|a, b| {
            let key = |route: &Route| Reverse(route.prefix.len());
            (a.host.as_str(), key(a)).cmp(&(b.host.as_str(), key(b)))
        });
        let mut services: Vec<Arc<Service>> = services.into_iter().map(Arc::new).collect();
        services.sort_by(|a, b| a.name.cmp(&b.name));
        Self {
            version,
            routes,
            services,
            limits,
        }
    }

    /// The route of a request: of those with its host, the one with the longest prefix that begins
    /// its path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let from = self
            .routes
            .partition_point(|route| route.host.as_str() < host);
        self.routes[from..]
            .iter()
            .take_while(|route| route.host == host)
            .find(|route| path.starts_with(&route.prefix))
    }

    /// A service by its name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        let at = self
            .services
            .binary_search_by(|service| (*service.name).cmp(name));
        at.ok().map(|at| &self.services[at])
    }

    /// The shortest of the pauses that streams of a service may have; none if no route bounds them.
    #[must_use]
    pub fn tightest_max_stall(&self, service: &str) -> Option<Duration> {
        let serves = |route: &&Arc<Route>| route.targets.iter().any(|t| *t.service == *service);
        let routes = self.routes.iter().filter(serves);
        routes.filter_map(|route| route.max_stall).min()
    }

    /// All services, sorted by name.
    #[must_use]
    pub fn services(&self) -> &[Arc<Service>] {
        &self.services
    }

    /// All routes.
    #[must_use]
    pub fn routes(&self) -> &[Arc<Route>] {
        &self.routes
    }
}

impl Route {
    /// The service that a request goes to, by a number that is evenly spread over requests.
    #[must_use]
    pub fn target(&self, draw: u64) -> Option<&Arc<str>> {
        let total: u64 = self.targets.iter().map(|target| target.weight).sum();
        let mut left = draw.checked_rem(total)?;
        self.targets.iter().find_map(|target| {
            if left < target.weight {
                return Some(&target.service);
            }
            left -= target.weight;
            None
        })
    }
}
