//! The data that belongs to one version of the operators' configuration: routes, services and
//! limits.

pub mod idle;
mod workspace;

use std::{cmp::Reverse, sync::Arc, time::Duration};

use derive_more::Display;

pub use workspace::{KeyConflict, KeyDigest, Keyring, Workspace};

/// How a request may be retried, by the kind of its route.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "kebab-case")]
pub enum Kind {
    /// It may run more than once.
    Idempotent,
    /// It may run at most once.
    Once,
    /// A stream of events that may run at most once.
    Stream,
    /// A stream of events that may be resumed on another endpoint, after the last event delivered.
    ResumableStream,
}

impl Kind {
    /// Whether the response is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Whether a request may run again after an attempt whose outcome is unknown.
    #[must_use]
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// A service that a route leads to, with its weight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Arc<str>,
    /// Its share of the route's requests, relative to the weights of the route's other services.
    pub weight: u64,
}

/// A route: which requests it matches, and how they are served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// The host that it serves.
    pub host: String,
    /// The prefix of the paths that it serves.
    pub prefix: String,
    /// How its requests may be retried.
    pub kind: Kind,
    /// The longest time that a request may take; `None` if the operators set no limit.
    pub timeout: Option<Duration>,
    /// The latency objective: within it an answer has its full value.
    pub objective: Duration,
    /// The longest time between two events of a stream that still counts as on time.
    pub max_stall: Option<Duration>,
    /// The longest time without an event after which callers of a stream give up, also before its
    /// first event. `None` if they wait until their deadline.
    pub max_silence: Option<Duration>,
    /// Priority class; 0 is the highest. That of the caller's workspace takes precedence.
    pub priority: u32,
    /// Whether callers need no API key.
    pub anonymous: bool,
    /// How many times one request may be run, the first attempt included.
    pub max_attempts: u32,
    /// The services that it leads to.
    pub targets: Vec<WeightedService>,
}

/// What the operators configure about the engines of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engines {
    /// Requests that an engine runs at the same time.
    pub slots: u64,
    /// Capacity of an engine's KV cache in tokens.
    pub kv_capacity_tokens: u64,
    /// Time to transfer one token's KV cache between two engines in the same data centre.
    pub transfer_per_token: Duration,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u64,
    /// How long an engine holds the KV cache of a handle that nobody fetches.
    pub handle_ttl: Duration,
    /// How long an engine is unavailable while it changes its stage.
    pub stage_switch: Duration,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: Arc<str>,
    /// Connections that each of its endpoints accepts, from all clients together.
    pub max_connections: usize,
    /// The configuration of its engines; `None` for a plain service.
    pub engines: Option<Engines>,
    /// Within which limits the number of its endpoints may be ordered; `None` if it is given.
    pub scaling: Option<Scaling>,
}

/// Limits and prices of the endpoints of a service whose number can be ordered.
#[derive(Clone, Debug, PartialEq)]
pub struct Scaling {
    /// Minimum number of endpoints in each data centre, of both kinds together.
    pub min: u64,
    /// Maximum number of endpoints in each data centre, of both kinds together.
    pub max: u64,
    /// Time from an order until a new endpoint serves.
    pub boot: Duration,
    /// Price of a revocable endpoint as a fraction of the price of another one; `None` if there are
    /// none.
    pub revocable_price: Option<f64>,
    /// Data centres in which endpoints can be ordered, each with its price per endpoint and second;
    /// sorted by name.
    pub prices: Vec<(Arc<str>, f64)>,
}

/// Limits for requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest header section of a request, in bytes.
    pub max_header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// The longest time that a caller may take to send the headers.
    pub header_timeout: Duration,
    /// The longest time that a connection may stay idle, and that the body of a request may take to
    /// arrive after its headers.
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

/// A service with a route whose streams callers may resume.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumableService {
    /// Name of the service.
    pub name: Arc<str>,
    /// The longest time without an event after which callers of such a route give up; `None` if no route sets one.
    pub max_silence: Option<Duration>,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version number; a higher one is newer.
    pub version: u64,
    /// Sorted by host and then by prefix, the longest first.
    routes: Vec<Arc<Route>>,
    /// Sorted by name.
    services: Vec<Arc<Service>>,
    /// Sorted by name.
    resumable_services: Vec<ResumableService>,
    /// Limits for requests and connections of callers.
    pub limits: Limits,
    /// The API keys of the workspaces; `None` if the deployment has no workspaces, and callers need no
    /// keys.
    keyring: Option<Keyring>,
}

impl Configuration {
    /// Creates a configuration from its parts and sorts them for look-up.
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
            resumable_services: resumable_services(&routes),
            routes,
            services,
            limits,
            keyring: None,
        }
    }

    /// Sets the API keys that callers must present.
    #[must_use]
    pub fn with_keyring(self, keyring: Keyring) -> Self {
        Self {
            keyring: Some(keyring),
            ..self
        }
    }

    /// Returns the API keys of the workspaces; `None` if callers need no keys.
    #[must_use]
    pub fn keyring(&self) -> Option<&Keyring> {
        self.keyring.as_ref()
    }

    /// Returns the route of a request: among those with its host, the one with the longest prefix
    /// of its path.
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

    /// Looks a service up by its name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        let index = self
            .services
            .binary_search_by(|service| (*service.name).cmp(name));
        index.ok().map(|index| &self.services[index])
    }

    /// Returns the smallest `max_stall` of all routes that lead to a service; `None` if no route
    /// sets one.
    #[must_use]
    pub fn tightest_max_stall(&self, service: &str) -> Option<Duration> {
        let serves = |route: &&Arc<Route>| route.targets.iter().any(|t| *t.service == *service);
        let routes = self.routes.iter().filter(serves);
        routes.filter_map(|route| route.max_stall).min()
    }

    /// Returns the services whose streams callers may resume, sorted by name.
    #[must_use]
    pub fn resumable_services(&self) -> &[ResumableService] {
        &self.resumable_services
    }

    /// Returns all services, sorted by name.
    #[must_use]
    pub fn services(&self) -> &[Arc<Service>] {
        &self.services
    }

    /// Returns all routes.
    #[must_use]
    pub fn routes(&self) -> &[Arc<Route>] {
        &self.routes
    }
}

fn resumable_services(routes: &[Arc<Route>]) -> Vec<ResumableService> {
    let mut services: Vec<ResumableService> = Vec::new();
    let resumable = routes
        .iter()
        .filter(|route| route.kind == Kind::ResumableStream);
    for route in resumable {
        for target in &route.targets {
            match services.binary_search_by(|service| service.name.cmp(&target.service)) {
                Ok(index) => {
                    let silence = &mut services[index].max_silence;
                    *silence = route.max_silence.max(*silence);
                }
                Err(index) => services.insert(
                    index,
                    ResumableService {
                        name: Arc::clone(&target.service),
                        max_silence: route.max_silence,
                    },
                ),
            }
        }
    }
    services
}

impl Route {
    /// Picks the service for a request according to the weights. `hash` must be evenly distributed
    /// over requests.
    #[must_use]
    pub fn pick_service(&self, hash: u64) -> Option<&Arc<str>> {
        let total: u64 = self.targets.iter().map(|target| target.weight).sum();
        let mut left = hash.checked_rem(total)?;
        self.targets.iter().find_map(|target| {
            if left < target.weight {
                return Some(&target.service);
            }
            left -= target.weight;
            None
        })
    }
}
