//! Configurations as the operator writes them into the store.
//!
//! The format is spelled out here and not taken from `platform/`: a fault in
//! one codec must not hide in both.

use super::HOST;
use serde_json::{Value, json};

/// Connections that a target of any service takes from all instances.
const MAX_CONNECTIONS: u32 = 300;
/// Requests a second to a target in its slow start.
const SLOW_START_RATE: f64 = 9.0;

/// A route of a configuration, for the host `HOST`.
#[derive(Clone, Debug)]
pub struct RouteSpec {
    /// Path prefix, also the name.
    pub prefix: String,
    /// `safe`, `unsafe` or `upload`.
    pub kind: &'static str,
    /// Services with their weights.
    pub services: Vec<(String, f64)>,
    /// Longest time for a request, milliseconds; 0 for none.
    pub timeout_ms: u64,
    /// Most targets for one request.
    pub max_attempts: u32,
    /// Rank; a request of a higher one is admitted first.
    pub priority: u32,
    /// Regions whose targets it may use; empty for all.
    pub regions: Vec<String>,
}

impl RouteSpec {
    /// A route of `kind` to one service.
    pub fn new(prefix: &str, kind: &'static str, service: &str) -> Self {
        Self {
            prefix: prefix.to_owned(),
            kind,
            services: vec![(service.to_owned(), 1.0)],
            timeout_ms: 0,
            max_attempts: 2,
            priority: 1,
            regions: Vec::new(),
        }
    }

    fn to_json(&self) -> Value {
        let mut spec = json!({
            "host": HOST,
            "path_prefix": self.prefix,
            "type": self.kind,
            "target_latency_ms": 300,
            "priority": self.priority,
            "max_attempts": self.max_attempts,
            "session_affinity": true,
            "allowed_regions": self.regions,
        });
        if self.timeout_ms > 0 {
            spec["timeout_ms"] = json!(self.timeout_ms);
        }
        match self.services.as_slice() {
            [(service, _)] => spec["service"] = json!(service),
            services => spec["traffic_split"] = services.iter().map(weighted).collect(),
        }
        json!({"resource_type": "routes", "metadata": {"name": self.prefix}, "spec": spec})
    }
}

/// A tenant of a configuration.
#[derive(Clone, Debug)]
pub struct TenantSpec {
    /// Its name.
    pub name: String,
    /// Its keys.
    pub api_keys: Vec<String>,
    /// Requests a second and requests besides; `None` for no quota.
    pub quota: Option<(f64, f64)>,
    /// Rank; comes before that of a route.
    pub priority: u32,
}

impl TenantSpec {
    /// A tenant with these keys and no quota.
    pub fn new(name: &str, keys: &[&str]) -> Self {
        let api_keys = keys.iter().map(|key| (*key).to_owned()).collect();
        Self { name: name.to_owned(), api_keys, quota: None, priority: 0 }
    }

    /// With a quota of so many requests a second and so many besides.
    pub fn quota(mut self, rate: f64, burst: f64) -> Self {
        self.quota = Some((rate, burst));
        self
    }

    fn to_json(&self) -> Value {
        let (rate, burst) = self.quota.unwrap_or_default();
        let spec = json!({
            "api_keys": self.api_keys,
            "priority": self.priority,
            "rate_per_s": rate,
            "burst": burst,
            "allowed_regions": [],
        });
        json!({"resource_type": "tenants", "metadata": {"name": self.name}, "spec": spec})
    }
}

fn weighted((service, weight): &(String, f64)) -> Value {
    json!({"service": service, "weight": weight})
}

fn service(name: &&str) -> Value {
    let spec = json!({
        "health_path": "/health",
        "max_connections": MAX_CONNECTIONS,
        "protocol": "h1",
        "tls": false,
        "warmup_s": 1.0,
        "warmup_per_s": SLOW_START_RATE,
    });
    json!({"resource_type": "services", "metadata": {"name": name}, "spec": spec})
}

fn limits() -> Value {
    let spec = json!({
        "max_header_bytes": 16384,
        "max_body_bytes": 4_000_000,
        "header_timeout_ms": 1000,
        "idle_timeout_ms": 5000,
    });
    json!({"resource_type": "limits", "metadata": {}, "spec": spec})
}

/// A configuration of these routes, services and tenants, as its value in the store.
pub fn config(version: u64, routes: &[RouteSpec], services: &[&str], tenants: &[TenantSpec]) -> String {
    let routes = routes.iter().map(RouteSpec::to_json);
    let others = services.iter().map(service).chain(tenants.iter().map(TenantSpec::to_json));
    let resources: Vec<Value> = routes.chain(others).chain([limits()]).collect();
    json!({"version": version, "resources": resources}).to_string()
}
