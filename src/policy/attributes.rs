//! The attributes of targets and requests that their labels are read from, and the names of the
//! labels that the platform assigns.

use hyper::{HeaderMap, Method, Uri};

/// Names of the labels that the platform assigns; operators may not set them.
pub(super) const PLATFORM_LABELS: [&str; 7] = ["region", "hall", "service", "target", "version", "route", "method"];

/// The attributes of a target that its labels are read from.
#[derive(Clone, Copy, Debug)]
pub struct TargetAttributes<'a> {
    /// Id of its registration; label `target`.
    pub id: &'a str,
    /// Name of the service that it serves; label `service`.
    pub service: &'a str,
    /// Name of its region; label `region`.
    pub region: &'a str,
    /// Name of its hall; label `hall`.
    pub hall: &'a str,
    /// Version of its software; label `version`.
    pub version: &'a str,
}

impl<'a> TargetAttributes<'a> {
    /// Name and value of each label that the platform assigns.
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

/// The attributes of a request that its labels are read from.
#[derive(Clone, Copy, Debug)]
pub struct RequestAttributes<'a> {
    /// Name of the service chosen for it; label `service`.
    pub service: &'a str,
    /// Name of the route that it matched; label `route`.
    pub route: &'a str,
    /// Region of the instance that handles it; label `region`.
    pub region: &'a str,
    /// Hall of the instance that handles it; label `hall`.
    pub hall: &'a str,
    /// HTTP method; label `method`.
    pub method: &'a Method,
    /// Path and query; operators may read labels from the query.
    pub uri: &'a Uri,
    /// Headers; operators may read labels from them.
    pub headers: &'a HeaderMap,
}

impl<'a> RequestAttributes<'a> {
    /// Name and value of each label that the platform assigns.
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
