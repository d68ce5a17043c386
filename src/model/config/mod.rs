//! The operators' configuration: routes, services, tenants and limits, with look-ups of the routes by
//! host and of the tenants by API key.
//!
//! Immutable: a later version replaces it as a whole.

mod limits;
mod route;
mod service;
mod tenant;
mod urgency;

pub use limits::CallerLimits;
pub use route::{Idempotency, Route, RouteIndex, WeightedService};
pub use service::Service;
pub use tenant::{ApiKey, Quota, Tenant, TenantError, TenantIndex, Tenants};
pub use urgency::Urgency;

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::rc::Rc;

/// One version of the configuration.
#[derive(Debug)]
pub struct Config {
    /// Version number from the operators; higher in each later version.
    pub version: u64,
    /// Services by name.
    pub services: HashMap<Rc<str>, Service>,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
    /// Tenants; if there are none, requests need no API key.
    pub tenants: Tenants,
    routes: Vec<Route>,
    /// Indexes of each host's routes, longest prefix first.
    by_host: HashMap<String, Vec<RouteIndex>>,
    /// Distinct urgencies of the requests to each service, most urgent first.
    urgencies: HashMap<Rc<str>, Vec<Urgency>>,
}

impl Config {
    /// Creates a version without tenants.
    pub fn new(version: u64, routes: Vec<Route>, services: HashMap<Rc<str>, Service>, limits: CallerLimits) -> Self {
        let by_host = routes_by_host(&routes);
        let tenants = Tenants::default();
        let urgencies = urgencies_by_service(&routes, &tenants);
        Self { version, services, limits, tenants, routes, by_host, urgencies }
    }

    /// Returns this version with the given tenants.
    pub fn with_tenants(self, tenants: Tenants) -> Self {
        let urgencies = urgencies_by_service(&self.routes, &tenants);
        Self { tenants, urgencies, ..self }
    }

    /// The route at an index of this configuration.
    ///
    /// # Panics
    /// If there is no route at the index. An index of another configuration may give an unrelated route.
    pub fn route(&self, index: RouteIndex) -> &Route {
        &self.routes[index.0]
    }

    /// Names of the routes that are split between several services.
    pub fn split_routes(&self) -> HashSet<&str> {
        self.routes.iter().filter(|route| route.services.len() > 1).map(|route| &*route.name).collect()
    }

    /// The route of `host` with the longest prefix of `path`. A port in `host` is ignored.
    pub fn find_route(&self, host: &str, path: &str) -> Option<RouteIndex> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let indexes = match self.by_host.get(host) {
            Some(indexes) => indexes,
            None => self.by_host.get(&host.to_ascii_lowercase())?,
        };
        indexes.iter().copied().find(|index| path.starts_with(&self.route(*index).prefix))
    }

    /// Number of distinct urgencies of the service's requests that are more urgent than this one.
    pub fn urgency_rank(&self, service: &str, urgency: Urgency) -> usize {
        self.urgencies.get(service).map_or(0, |all| all.iter().filter(|other| **other < urgency).count())
    }
}

fn routes_by_host(routes: &[Route]) -> HashMap<String, Vec<RouteIndex>> {
    let mut by_host: HashMap<String, Vec<RouteIndex>> = HashMap::new();
    for (index, route) in routes.iter().enumerate() {
        by_host.entry(route.host.clone()).or_default().push(RouteIndex(index));
    }
    for indexes in by_host.values_mut() {
        indexes.sort_by_key(|index| Reverse(routes[index.0].prefix.len()));
    }
    by_host
}

fn urgencies_by_service(routes: &[Route], tenants: &Tenants) -> HashMap<Rc<str>, Vec<Urgency>> {
    let mut urgencies: HashMap<Rc<str>, Vec<Urgency>> = HashMap::new();
    for route in routes {
        let tenant_priorities = tenants.iter().filter(|_| !route.is_public).map(|tenant| tenant.priority);
        let route_urgencies: Vec<Urgency> = priorities_or_zero(tenant_priorities)
            .into_iter()
            .map(|priority| Urgency { tenant: priority, route: route.priority })
            .collect();
        for weighted in &route.services {
            urgencies.entry(weighted.service.clone()).or_default().extend(&route_urgencies);
        }
    }
    for service_urgencies in urgencies.values_mut() {
        service_urgencies.sort_unstable();
        service_urgencies.dedup();
    }
    urgencies
}

/// The distinct priorities, or only 0 if there are none.
fn priorities_or_zero(priorities: impl Iterator<Item = u32>) -> BTreeSet<u32> {
    let mut distinct: BTreeSet<u32> = priorities.collect();
    if distinct.is_empty() {
        distinct.insert(0);
    }
    distinct
}
