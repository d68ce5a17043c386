//! The labels of targets and requests: those that operators assign, overridden by those
//! that the platform assigns.

use super::attributes::{RequestAttributes, TargetAttributes};
use super::label::{Interner, LabelSet, RawLabels};
use hyper::{HeaderMap, Uri};
use std::collections::HashMap;

/// The labels that operators assign to a service's requests.
#[derive(Debug, Default)]
pub(super) struct RequestLabels {
    /// Labels that are the same for each request.
    pub(super) labels: RawLabels,
    /// Label name to the name of the header that it is read from, in lower case.
    pub(super) headers: RawLabels,
    /// Label name to the query parameter that it is read from.
    pub(super) query: RawLabels,
}

/// The labels that operators assign, by the name of the region, hall, target or service.
#[derive(Debug, Default)]
pub(super) struct Labels {
    pub(super) regions: HashMap<String, RawLabels>,
    pub(super) halls: HashMap<String, RawLabels>,
    pub(super) targets: HashMap<String, RawLabels>,
    pub(super) services: HashMap<String, RequestLabels>,
}

impl Labels {
    /// Labels of the target's region and hall, overridden by its own.
    pub(super) fn for_target(&self, interner: &Interner, target: &TargetAttributes<'_>) -> LabelSet {
        let mut builder = LabelSetBuilder::new(interner);
        let layers = [self.regions.get(target.region), self.halls.get(target.hall), self.targets.get(target.id)];
        for labels in layers.into_iter().flatten() {
            builder.overlay(labels);
        }
        builder.finish(target.labels())
    }

    /// Labels of the request's service, overridden by those read from the request.
    pub(super) fn for_request(&self, interner: &Interner, request: &RequestAttributes<'_>) -> LabelSet {
        let mut builder = LabelSetBuilder::new(interner);
        if let Some(service) = self.services.get(request.service) {
            builder.overlay(&service.labels);
            builder.read_headers(&service.headers, request.headers);
            builder.read_query(&service.query, request.uri);
        }
        builder.finish(request.labels())
    }
}

/// Builds a set of labels in layers; later layers override earlier ones.
struct LabelSetBuilder<'a> {
    interner: &'a Interner,
    set: LabelSet,
}

impl<'a> LabelSetBuilder<'a> {
    fn new(interner: &'a Interner) -> Self {
        Self { interner, set: LabelSet::empty(interner.key_count()) }
    }

    /// Sets a label if a selector contains its name; others affect no result.
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
            // If the value is not visible ASCII, the label is absent.
            if let Some(value) = headers.get(header.as_str()).and_then(|value| value.to_str().ok()) {
                self.set(label, value);
            }
        }
    }

    /// The last value of a repeated parameter is used.
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

    /// Adds the platform's labels, which override all others, and returns the set.
    fn finish<const N: usize>(mut self, platform: [(&str, &str); N]) -> LabelSet {
        platform.iter().for_each(|(name, value)| self.set(name, value));
        self.set
    }
}
