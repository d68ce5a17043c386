//! Labels of targets and requests: what the platform says of them, and what
//! the operators add.

use crate::policy::label::{Interner, LabelSet, RawLabels};
use hyper::{HeaderMap, Method, Uri};
use std::collections::HashMap;

/// Labels that the platform assigns; operators may not set them.
pub(super) const PLATFORM_LABELS: [&str; 7] = ["region", "hall", "service", "target", "version", "route", "method"];

/// What a target's labels come from.
#[derive(Clone, Copy, Debug)]
pub struct TargetFacts<'a> {
    /// Its registration's identity.
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

/// What operators say of a service's requests.
#[derive(Debug, Default)]
pub(super) struct RequestLabels {
    pub(super) labels: RawLabels,
    /// Label name to the header that it is read from.
    pub(super) headers: RawLabels,
    /// Label name to the query key that it is read from.
    pub(super) query: RawLabels,
}

/// The operators' labels, by the names of what they label.
#[derive(Debug, Default)]
pub(super) struct Labels {
    pub(super) regions: HashMap<String, RawLabels>,
    pub(super) halls: HashMap<String, RawLabels>,
    pub(super) targets: HashMap<String, RawLabels>,
    pub(super) services: HashMap<String, RequestLabels>,
}

impl Labels {
    /// Labels of region and hall, overlaid with the target's own.
    pub(super) fn of_target(&self, interner: &Interner, target: &TargetFacts<'_>) -> LabelSet {
        let mut set = LabelSet::empty(interner.width());
        let layers = [self.regions.get(target.region), self.halls.get(target.hall), self.targets.get(target.id)];
        for labels in layers.into_iter().flatten() {
            overlay(interner, &mut set, labels);
        }
        mark(interner, &mut set, "region", target.region);
        mark(interner, &mut set, "hall", target.hall);
        mark(interner, &mut set, "service", target.service);
        mark(interner, &mut set, "target", target.id);
        mark(interner, &mut set, "version", target.version);
        set
    }

    /// Labels of the service, overlaid with those read from the request.
    pub(super) fn of_request(&self, interner: &Interner, request: &RequestFacts<'_>) -> LabelSet {
        let mut set = LabelSet::empty(interner.width());
        if let Some(service) = self.services.get(request.service) {
            overlay(interner, &mut set, &service.labels);
            read_headers(interner, &mut set, &service.headers, request.headers);
            read_query(interner, &mut set, &service.query, request.uri);
        }
        mark(interner, &mut set, "service", request.service);
        mark(interner, &mut set, "route", request.route);
        mark(interner, &mut set, "region", request.region);
        mark(interner, &mut set, "hall", request.hall);
        mark(interner, &mut set, "method", request.method.as_str());
        set
    }
}

fn overlay(interner: &Interner, set: &mut LabelSet, labels: &RawLabels) {
    for (name, value) in labels {
        mark(interner, set, name, value);
    }
}

/// Sets a label that some selector names; others can decide nothing.
fn mark(interner: &Interner, set: &mut LabelSet, name: &str, value: &str) {
    if let Some(key) = interner.key(name) {
        set.set(key, interner.value(value));
    }
}

fn read_headers(interner: &Interner, set: &mut LabelSet, sources: &RawLabels, headers: &HeaderMap) {
    for (label, header) in sources {
        if let Some(value) = headers.get(header.as_str()).and_then(|value| value.to_str().ok()) {
            mark(interner, set, label, value);
        }
    }
}

fn read_query(interner: &Interner, set: &mut LabelSet, sources: &RawLabels, uri: &Uri) {
    if sources.is_empty() {
        return;
    }
    for (key, value) in url::form_urlencoded::parse(uri.query().unwrap_or("").as_bytes()) {
        for (label, _) in sources.iter().filter(|(_, name)| **name == key) {
            mark(interner, set, label, &value);
        }
    }
}
