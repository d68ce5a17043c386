//! Routes: which requests they match, and how these are sent.

use super::Tenant;
use std::rc::Rc;
use std::time::Duration;

/// Index of a route in its [`Config`](super::Config).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RouteIndex(pub(super) usize);

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May be executed again.
    Idempotent,
    /// May be executed at most once.
    NonIdempotent,
}

/// Service of a route, with its weight in the traffic split.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Rc<str>,
    /// Weight relative to the route's other services, 0 or more.
    pub weight: f64,
}

/// Requests with one host and path prefix, and how they are sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, unique in the configuration.
    pub name: Rc<str>,
    /// Host in lower case, without a port.
    pub host: String,
    /// Path prefix; starts and ends with a slash.
    pub prefix: String,
    /// Whether requests may be executed more than once.
    pub idempotency: Idempotency,
    /// Services that receive the requests; at least one.
    pub services: Vec<WeightedService>,
    /// Time after its arrival at which a request times out if its caller's deadline is not earlier; `None`
    /// if the route sets none.
    pub timeout: Option<Duration>,
    /// Latency within which a response is most useful; zero if the operators set none.
    pub latency_objective: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Maximum number of targets to which one request may be sent, at least 1.
    pub max_attempts: u32,
    /// Whether requests with the same affinity key prefer the same target.
    pub affinity: bool,
    /// Regions whose targets may be used; empty for all.
    pub allowed_regions: Vec<Rc<str>>,
    /// Whether requests need no API key.
    pub is_public: bool,
    /// Whether responses are large: they are streamed, and the bytes held in memory are bounded.
    pub large_responses: bool,
}

impl Route {
    /// Whether targets of `region` may be used.
    pub fn allows(&self, region: &str) -> bool {
        is_allowed(&self.allowed_regions, region)
    }

    /// Whether this route and the tenant may have an allowed region in common.
    pub fn shares_region(&self, tenant: &Tenant) -> bool {
        let (route, tenant) = (&self.allowed_regions, &tenant.allowed_regions);
        route.is_empty() || tenant.is_empty() || route.iter().any(|region| tenant.contains(region))
    }
}

/// Whether a list of allowed regions includes `region`. An empty list allows all regions.
pub(super) fn is_allowed(allowed: &[Rc<str>], region: &str) -> bool {
    allowed.is_empty() || allowed.iter().any(|name| **name == *region)
}
