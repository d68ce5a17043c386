//! Split: a route with several weighted services gives each its share of the requests, by
//! affinity key, so that a key stays with its service; shares that were counted too small or
//! too large are corrected.
//!
//! **Inputs**
//! - The services of the route and their weights, from the configuration in force; as old as
//!   the view.
//! - Hash of the affinity key; of the request's id where there is no key.
//! - Requests of each service in this instance, counted at once and decaying: a count falls to
//!   a third after `MEMORY` (150) further requests of the route, whatever time that takes.
//!
//! **Why.** Keys are few and unequal, so that the hash alone misses the shares. Corrected
//! shares move the bounds between services on the scale of the hash, so that only keys near
//! a bound change their service.
//!
//! **Guards** the promise that a split keeps its shares, within 0.1 over calm times of 300
//! requests or more of all instances together.
//!
//! **Test**: `a_split_keeps_its_shares_whatever_objects_come`,
//! `keys_of_a_split_stay_with_their_service_while_its_weight_grows` and
//! `a_part_with_no_weight_gets_nothing` in `tests/logic.rs`.

use crate::hash::unit;
use crate::model::config::{Route, WeightedService};
use std::collections::HashMap;
use std::rc::Rc;

/// Requests over which shares are counted. Shares are judged over 300 requests or more; the
/// count has to settle well within that.
///
/// Half and double change no simulated day; the tests of splits hold it.
const MEMORY: f64 = 150.0;
/// Counted requests from which the correction has its full size; with fewer it is smaller in
/// proportion, since few counts say little. A quarter of `MEMORY`.
const FULL_CORRECTION: f64 = MEMORY / 4.0;
/// Factor with which a counted deviation from the share is corrected (no unit).
///
/// Half and double change no simulated day; the tests of splits hold it.
const GAIN: f64 = 4.0;
/// Seed of the hash that places a key within a split, so that it is independent of other
/// hashes. Any fixed number, the same in all instances; no trial.
const SPLIT_SEED: u64 = 0x5bd1_e995;

/// Counted requests of all split routes, by route name.
#[derive(Debug, Default)]
pub struct Splits {
    routes: HashMap<Rc<str>, HashMap<Rc<str>, f64>>,
}

impl Splits {
    /// The service for a key, counted at once.
    pub fn pick<'a>(&mut self, route: &'a Route, affinity: u64) -> &'a WeightedService {
        let weighted = self.peek(route, affinity);
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

    /// The service that a key would get now; counts nothing.
    pub fn peek<'a>(&self, route: &'a Route, affinity: u64) -> &'a WeightedService {
        if let [only] = route.services.as_slice() {
            return only;
        }
        let none = HashMap::new();
        let counted = self.routes.get(&route.name).unwrap_or(&none);
        let corrected = corrected_weights(&route.services, counted);
        &route.services[pick_by_weight(&corrected, unit(affinity, SPLIT_SEED))]
    }

    /// Forgets routes that are no longer there.
    pub fn retain(&mut self, is_there: impl Fn(&str) -> bool) {
        self.routes.retain(|name, _| is_there(name));
    }
}

/// The shares, each corrected by `GAIN` times what it lacks (less while few requests are
/// counted), never below 0; a share of 0 stays.
fn corrected_weights(services: &[WeightedService], counted: &HashMap<Rc<str>, f64>) -> Vec<f64> {
    let total: f64 = services.iter().map(|weighted| weighted.weight).sum();
    let seen: f64 = services.iter().filter_map(|weighted| counted.get(&weighted.service)).sum();
    let trust = (seen / FULL_CORRECTION).min(1.0);
    let corrected = |weighted: &WeightedService| {
        let share = weighted.weight / total.max(f64::MIN_POSITIVE);
        let had = counted.get(&weighted.service).copied().unwrap_or(0.0) / seen.max(1.0);
        if share == 0.0 { 0.0 } else { (share + trust * GAIN * (share - had)).max(0.0) }
    };
    services.iter().map(corrected).collect()
}

/// The place of the weight that a position, in [0, 1) of their sum, falls in.
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
