//! Shares of a route that is split over several services: by object, so that
//! an object stays with its service, corrected by what was counted.

use crate::hash::unit;
use crate::model::config::{Route, WeightedService};
use std::collections::HashMap;
use std::rc::Rc;

/// Requests over which shares are counted.
const MEMORY: f64 = 150.0;
/// How strongly a counted error is corrected.
const GAIN: f64 = 4.0;

/// Seed of the hash that places an object within a split.
const SPLIT_SEED: u64 = 0x5bd1_e995;

/// Counted shares of all split routes, by route name.
#[derive(Debug, Default)]
pub struct Splits {
    routes: HashMap<Rc<str>, HashMap<Rc<str>, f64>>,
}

impl Splits {
    /// The service for an object, counted at once.
    pub fn pick<'a>(&mut self, route: &'a Route, object: u64) -> &'a WeightedService {
        let weighted = self.peek(route, object);
        if route.services.len() == 1 {
            return weighted;
        }
        let counted = self.routes.entry(route.name.clone()).or_default();
        for count in counted.values_mut() {
            *count *= 1.0 - 1.0 / MEMORY;
        }
        *counted.entry(weighted.service.clone()).or_default() += 1.0;
        weighted
    }

    /// The service that an object would get now.
    pub fn peek<'a>(&self, route: &'a Route, object: u64) -> &'a WeightedService {
        if let [only] = route.services.as_slice() {
            return only;
        }
        let none = HashMap::new();
        let counted = self.routes.get(&route.name).unwrap_or(&none);
        let corrected = corrected_weights(&route.services, counted);
        &route.services[pick_by_weight(&corrected, unit(object, SPLIT_SEED))]
    }

    /// Forgets routes that are no longer there.
    pub fn retain(&mut self, is_there: impl Fn(&str) -> bool) {
        self.routes.retain(|name, _| is_there(name));
    }
}

fn corrected_weights(services: &[WeightedService], counted: &HashMap<Rc<str>, f64>) -> Vec<f64> {
    let total: f64 = services.iter().map(|weighted| weighted.weight).sum();
    let seen: f64 = services.iter().filter_map(|weighted| counted.get(&weighted.service)).sum();
    // Few counts say little: the correction grows with them.
    let trust = (seen / (MEMORY / 4.0)).min(1.0);
    let corrected = |weighted: &WeightedService| {
        let share = weighted.weight / total.max(f64::MIN_POSITIVE);
        let had = counted.get(&weighted.service).copied().unwrap_or(0.0) / seen.max(1.0);
        if share == 0.0 { 0.0 } else { (share + trust * GAIN * (share - had)).max(0.0) }
    };
    services.iter().map(corrected).collect()
}

fn pick_by_weight(weights: &[f64], position: f64) -> usize {
    let total: f64 = weights.iter().sum();
    let mut left = position * total;
    for (index, weight) in weights.iter().enumerate() {
        if left < *weight {
            return index;
        }
        left -= weight;
    }
    weights.iter().rposition(|weight| *weight > 0.0).unwrap_or(0)
}
