//! Services: what callers ask for and how it may be carried.

use crate::label::{LabelKey, LabelSet};
use std::time::Duration;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Running twice does no harm.
    Safe,
    /// Runs at most once.
    Never,
}

/// What a hall is ranked by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Objective {
    /// Expected time to the answer, least first.
    Latency,
    /// Free share of the hall after this request, most first.
    Headroom,
}

/// Whether requests of a `never` service need a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyRule {
    /// Without a key a request is sent at most once and never retried.
    Optional,
    /// Without a key a request is refused.
    Required,
}

/// A request label taken from a header or a query key.
#[derive(Clone, Debug)]
pub struct LabelSource {
    /// The label that is set.
    pub key: LabelKey,
    /// Header name in lower case, or query key.
    pub name: String,
}

/// A declared service.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name, unique among services.
    pub name: String,
    /// Host names it answers to; empty for any.
    pub hosts: Vec<String>,
    /// Path prefixes it answers to; empty for any.
    pub paths: Vec<String>,
    /// Whether a request may run twice.
    pub repeat: Repeat,
    /// What halls are ranked by.
    pub objective: Objective,
    /// Whether a key is required.
    pub key: KeyRule,
    /// Priority in queues; the larger goes first.
    pub priority: u8,
    /// Longest time from the request to the end of its answer.
    pub timeout: Duration,
    /// Retries as a share of requests, 0 to 1.
    pub retry: f64,
    /// Largest request body, in bytes.
    pub body: u64,
    /// Longest queue in one instance, in requests.
    pub queue: usize,
    /// Whether a slow `safe` request may be sent a second time.
    pub hedge: bool,
    /// Labels read from headers.
    pub headers: Vec<LabelSource>,
    /// Labels read from the query.
    pub query: Vec<LabelSource>,
    /// Own labels with the implicit `service`.
    pub labels: LabelSet,
}

impl Service {
    /// Whether host (without port) and path belong to this service.
    pub fn answers(&self, host: &str, path: &str) -> bool {
        let host_fits = self.hosts.is_empty() || self.hosts.iter().any(|h| h.eq_ignore_ascii_case(host));
        let path_fits = self.paths.is_empty() || self.paths.iter().any(|p| path.starts_with(p.as_str()));
        host_fits && path_fits
    }
}
