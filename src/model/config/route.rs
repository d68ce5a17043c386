//! Routes: which requests they match and how these may be sent.

use super::Tenant;
use std::rc::Rc;
use std::time::Duration;

/// A route's position in its [`Config`](super::Config).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RouteKey(pub(super) usize);

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It is idempotent.
    Idempotent,
    /// It may run once at most.
    NonIdempotent,
}

/// One service of a route and its weight.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Service name.
    pub service: Rc<str>,
    /// Weight, 0 or more, relative to the route's other services.
    pub weight: f64,
}

/// Requests of one host and path prefix, and how they are sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, unique in the config.
    pub name: Rc<str>,
    /// Host, without a port, in lower case.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may be repeated.
    pub idempotency: Idempotency,
    /// Services that take the requests; at least one.
    pub services: Vec<WeightedService>,
    /// Longest time a request is held; `None` for no bound.
    pub timeout: Option<Duration>,
    /// Time within which an answer is worth most; zero where none is given.
    pub latency_objective: Duration,
    /// Rank, 0 the most urgent.
    pub priority: u32,
    /// Most targets one request may be sent to, at least 1.
    pub max_attempts: u32,
    /// Whether requests with the same affinity key prefer the same target.
    pub affinity: bool,
    /// Regions whose targets may be used; empty for all.
    pub allowed_regions: Vec<Rc<str>>,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Whether answers are large: they are streamed, and what is held of them is bounded.
    pub large_answers: bool,
}

impl Route {
    /// Whether targets of `region` may be used.
    pub fn allows(&self, region: &str) -> bool {
        is_allowed(&self.allowed_regions, region)
    }

    /// Whether there may be a region that both this route and the tenant allow.
    pub fn shares_region(&self, tenant: &Tenant) -> bool {
        let (route, tenant) = (&self.allowed_regions, &tenant.allowed_regions);
        route.is_empty() || tenant.is_empty() || route.iter().any(|region| tenant.contains(region))
    }
}

/// Whether a list of regions, all where it is empty, names `region`.
pub(super) fn is_allowed(allowed: &[Rc<str>], region: &str) -> bool {
    allowed.is_empty() || allowed.iter().any(|name| **name == *region)
}
