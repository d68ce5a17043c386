//! What the platform's labels of a target and of a request are read from.

use hyper::{HeaderMap, Method, Uri};

/// Labels that the platform assigns; operators may not set them.
pub(super) const PLATFORM_LABELS: [&str; 7] = ["region", "hall", "service", "target", "version", "route", "method"];

/// What a target's labels come from.
#[derive(Clone, Copy, Debug)]
pub struct TargetFacts<'a> {
    /// Its registration's id, label `target`.
    pub id: &'a str,
    /// Its service.
    pub service: &'a str,
    /// Its region.
    pub region: &'a str,
    /// Its hall.
    pub hall: &'a str,
    /// Version of its software.
    pub version: &'a str,
}

impl<'a> TargetFacts<'a> {
    /// The labels that the platform assigns, by name.
    pub(super) fn labels(&self) -> [(&'static str, &'a str); 5] {
        [
            ("region", self.region),
            ("hall", self.hall),
            ("service", self.service),
            ("target", self.id),
            ("version", self.version),
        ]
    }
}

/// What a request's labels come from.
#[derive(Clone, Copy, Debug)]
pub struct RequestFacts<'a> {
    /// The service that it is for.
    pub service: &'a str,
    /// The route that it took.
    pub route: &'a str,
    /// The region of the instance that has it.
    pub region: &'a str,
    /// The hall of the instance that has it.
    pub hall: &'a str,
    /// Its method.
    pub method: &'a Method,
    /// Its path and query.
    pub uri: &'a Uri,
    /// Its headers.
    pub headers: &'a HeaderMap,
}

impl<'a> RequestFacts<'a> {
    /// The labels that the platform assigns, by name.
    pub(super) fn labels(&self) -> [(&'static str, &'a str); 5] {
        [
            ("service", self.service),
            ("route", self.route),
            ("region", self.region),
            ("hall", self.hall),
            ("method", self.method.as_str()),
        ]
    }
}
