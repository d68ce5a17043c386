//! The labels of targets and requests: those that operators assign, overlaid
//! with those that the platform assigns.

use super::facts::{RequestFacts, TargetFacts};
use super::label::{Interner, LabelSet, RawLabels};
use hyper::{HeaderMap, Uri};
use std::collections::HashMap;

/// The labels that operators assign to a service's requests.
#[derive(Debug, Default)]
pub(super) struct RequestLabels {
    /// The same for each request.
    pub(super) labels: RawLabels,
    /// Label name to the header that it is read from, in lower case.
    pub(super) headers: RawLabels,
    /// Label name to the query key that it is read from.
    pub(super) query: RawLabels,
}

/// The labels that operators assign, by the names of what they label.
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
        let mut builder = Builder::new(interner);
        let layers = [self.regions.get(target.region), self.halls.get(target.hall), self.targets.get(target.id)];
        for labels in layers.into_iter().flatten() {
            builder.overlay(labels);
        }
        builder.finish(target.labels())
    }

    /// Labels of the service, overlaid with those read from the request.
    pub(super) fn of_request(&self, interner: &Interner, request: &RequestFacts<'_>) -> LabelSet {
        let mut builder = Builder::new(interner);
        if let Some(service) = self.services.get(request.service) {
            builder.overlay(&service.labels);
            builder.read_headers(&service.headers, request.headers);
            builder.read_query(&service.query, request.uri);
        }
        builder.finish(request.labels())
    }
}

/// A set that is filled layer by layer, later layers over earlier ones.
struct Builder<'a> {
    interner: &'a Interner,
    set: LabelSet,
}

impl<'a> Builder<'a> {
    fn new(interner: &'a Interner) -> Self {
        Self { interner, set: LabelSet::empty(interner.key_count()) }
    }

    /// Sets a label that some selector tests; others can decide nothing.
    fn set(&mut self, name: &str, value: &str) {
        if let Some(key) = self.interner.key(name) {
            self.set.set(key, self.interner.value(value));
        }
    }

    fn overlay(&mut self, labels: &RawLabels) {
        labels.iter().for_each(|(name, value)| self.set(name, value));
    }

    fn read_headers(&mut self, sources: &RawLabels, headers: &HeaderMap) {
        for (label, header) in sources {
            // A value that is no visible ASCII leaves the label absent.
            if let Some(value) = headers.get(header.as_str()).and_then(|value| value.to_str().ok()) {
                self.set(label, value);
            }
        }
    }

    /// Where a key is repeated, its last value counts.
    fn read_query(&mut self, sources: &RawLabels, uri: &Uri) {
        if sources.is_empty() {
            return;
        }
        for (key, value) in url::form_urlencoded::parse(uri.query().unwrap_or("").as_bytes()) {
            for (label, _) in sources.iter().filter(|(_, name)| **name == key) {
                self.set(label, &value);
            }
        }
    }

    /// The set, with the platform's labels over all others.
    fn finish<const N: usize>(mut self, platform: [(&str, &str); N]) -> LabelSet {
        platform.iter().for_each(|(name, value)| self.set(name, value));
        self.set
    }
}
