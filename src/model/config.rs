//! The operators' configuration in force: routes, services and limits.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

/// A route's place in its [`Config`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RouteKey(usize);

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Running it again does no harm.
    Safe,
    /// It may run once at most.
    Once,
}

/// One service of a route and its part of the route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Service name.
    pub service: Rc<str>,
    /// Share of the route's requests, relative to the other services.
    pub weight: f64,
}

/// Where requests of one host and path prefix go, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, unique in the config.
    pub name: Rc<str>,
    /// Host, without a port, in lower case.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may be repeated.
    pub repeat: Repeat,
    /// Services that take the requests; at least one.
    pub services: Vec<WeightedService>,
    /// Longest time a request is held; `None` for no bound.
    pub timeout: Option<Duration>,
    /// Time within which an answer is worth most.
    pub objective: Duration,
    /// Rank, 0 the most urgent.
    pub priority: u32,
    /// Most targets one request may be sent to, at least 1.
    pub max_attempts: u32,
    /// Whether requests for the same object belong at the same target.
    pub affinity: bool,
    /// Regions whose targets may be used; empty for all.
    pub allowed_regions: Vec<Rc<str>>,
}

impl Route {
    /// Whether targets of `region` may be used.
    pub fn allows(&self, region: &str) -> bool {
        self.allowed_regions.is_empty() || self.allowed_regions.iter().any(|allowed| **allowed == *region)
    }
}

/// What holds for all targets of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Most connections a target takes from all callers together.
    pub max_connections: u32,
    /// How long a target stays cold after its start.
    pub warmup: Duration,
    /// Requests a second that a cold target bears.
    pub slow_start_rate: f64,
    /// Path of the health check.
    pub health_path: String,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head, bytes.
    pub head_bytes: usize,
    /// Largest request body, bytes.
    pub body_bytes: u64,
    /// Longest time to send a head.
    pub head_time: Duration,
    /// Longest time a connection may rest.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 64 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Debug)]
pub struct Config {
    /// Version; later ones are higher.
    pub version: u64,
    /// Services by name.
    pub services: HashMap<Rc<str>, Service>,
    /// Bounds on callers.
    pub limits: CallerLimits,
    routes: Vec<Route>,
    by_host: HashMap<String, Vec<RouteKey>>,
    urgency: HashMap<Rc<str>, Vec<u32>>,
}

impl Config {
    /// Indexes a version.
    pub fn new(version: u64, routes: Vec<Route>, services: HashMap<Rc<str>, Service>, limits: CallerLimits) -> Self {
        let mut by_host: HashMap<String, Vec<RouteKey>> = HashMap::new();
        let mut urgency: HashMap<Rc<str>, Vec<u32>> = HashMap::new();
        for (position, route) in routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(RouteKey(position));
            for weighted in &route.services {
                urgency.entry(weighted.service.clone()).or_default().push(route.priority);
            }
        }
        for keys in by_host.values_mut() {
            keys.sort_by_key(|key| std::cmp::Reverse(routes[key.0].prefix.len()));
        }
        for priorities in urgency.values_mut() {
            priorities.sort_unstable();
            priorities.dedup();
        }
        Self { version, services, limits, routes, by_host, urgency }
    }

    /// The route of a key of this config.
    pub fn route(&self, key: RouteKey) -> &Route {
        &self.routes[key.0]
    }

    /// Names of the routes that are split over several services.
    pub fn split_routes(&self) -> HashSet<&str> {
        self.routes.iter().filter(|route| route.services.len() > 1).map(|route| &*route.name).collect()
    }

    /// The route of `host` with the longest prefix that begins `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<RouteKey> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let keys = match self.by_host.get(host) {
            Some(keys) => keys,
            None => self.by_host.get(&host.to_ascii_lowercase())?,
        };
        keys.iter().copied().find(|key| path.starts_with(&self.routes[key.0].prefix))
    }

    /// How many more urgent priorities the service's routes have.
    pub fn rank(&self, service: &str, priority: u32) -> usize {
        self.urgency.get(service).map_or(0, |all| all.iter().filter(|other| **other < priority).count())
    }
}
