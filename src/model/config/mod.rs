//! The operators' configuration in force: routes, services and limits, with an
//! index of the routes by host.
//!
//! Immutable: a later version replaces it whole.

mod limits;
mod route;
mod service;

pub use limits::CallerLimits;
pub use route::{Repeat, Route, RouteKey, WeightedService};
pub use service::Service;

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

/// One version of the configuration.
#[derive(Debug)]
pub struct Config {
    /// Version; later ones are higher.
    pub version: u64,
    /// Services by name.
    pub services: HashMap<Rc<str>, Service>,
    /// Limits on callers.
    pub limits: CallerLimits,
    routes: Vec<Route>,
    /// Routes of each host, the longest prefix first.
    by_host: HashMap<String, Vec<RouteKey>>,
    /// Distinct priorities of each service's routes, the most urgent first.
    priorities: HashMap<Rc<str>, Vec<u32>>,
}

impl Config {
    /// Indexes a version.
    pub fn new(version: u64, routes: Vec<Route>, services: HashMap<Rc<str>, Service>, limits: CallerLimits) -> Self {
        let by_host = index_hosts(&routes);
        let priorities = index_priorities(&routes);
        Self { version, services, limits, routes, by_host, priorities }
    }

    /// The route of a key of this config; panics on a key of a larger one.
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
        keys.iter().copied().find(|key| path.starts_with(&self.route(*key).prefix))
    }

    /// How many distinct priorities of the service's routes are more urgent.
    pub fn rank(&self, service: &str, priority: u32) -> usize {
        self.priorities.get(service).map_or(0, |all| all.iter().filter(|other| **other < priority).count())
    }
}

fn index_hosts(routes: &[Route]) -> HashMap<String, Vec<RouteKey>> {
    let mut by_host: HashMap<String, Vec<RouteKey>> = HashMap::new();
    for (position, route) in routes.iter().enumerate() {
        by_host.entry(route.host.clone()).or_default().push(RouteKey(position));
    }
    for keys in by_host.values_mut() {
        keys.sort_by_key(|key| Reverse(routes[key.0].prefix.len()));
    }
    by_host
}

fn index_priorities(routes: &[Route]) -> HashMap<Rc<str>, Vec<u32>> {
    let mut priorities: HashMap<Rc<str>, Vec<u32>> = HashMap::new();
    for route in routes {
        for weighted in &route.services {
            priorities.entry(weighted.service.clone()).or_default().push(route.priority);
        }
    }
    for of_service in priorities.values_mut() {
        of_service.sort_unstable();
        of_service.dedup();
    }
    priorities
}
