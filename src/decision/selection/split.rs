//! Split: a route with several weighted services gives each its share of the requests, by
//! affinity key, so that a key stays with its service; counted deviations from the shares are
//! corrected.
//!
//! **Inputs**
//! - The services of the route and their weights, from the configuration in force; as old as
//!   the view.
//! - Hash of the affinity key, or of the request's id where there is no key.
//! - Requests of each service in this instance, counted immediately and decaying: a count falls to
//!   a third over `DECAY_REQUESTS` (150) further requests of the route, whatever time that takes.
//!
//! **Why.** Keys are few and differ in their number of requests, so the hash alone misses the shares.
//! Corrected shares move the boundaries between services on the scale of the hash, so that only keys
//! near a boundary change their service.
//!
//! **Guards** the promise that a split keeps its shares, within 0.1 over steady periods of 300
//! requests or more of all instances together.
//!
//! **Test**: `a_split_keeps_its_shares_for_any_sequence_of_keys`,
//! `keys_of_a_split_stay_with_their_service_while_its_weight_grows` and
//! `a_service_with_zero_weight_gets_no_requests` in `tests/logic.rs`.

use crate::hash::unit_interval;
use crate::model::config::{Route, WeightedService};
use std::collections::HashMap;
use std::rc::Rc;

/// Number of requests over which counts decay to about a third. Shares are judged over 300 requests or
/// more, and the counts have to settle well within that. The resulting shares are checked by
/// `a_split_keeps_its_shares_for_any_sequence_of_keys` in `tests/logic.rs`.
const DECAY_REQUESTS: f64 = 150.0;
/// Counted requests from which the full correction applies; with fewer it is reduced in proportion,
/// since small counts are unreliable. A quarter of `DECAY_REQUESTS`.
const FULL_CORRECTION_REQUESTS: f64 = DECAY_REQUESTS / 4.0;
/// Factor by which a counted deviation from the share is corrected (no unit).
/// `a_split_keeps_its_shares_for_any_sequence_of_keys` checks the resulting shares.
const CORRECTION_GAIN: f64 = 4.0;
/// Seed of the hash that places a key within a split, so that it is independent of other
/// hashes. Any number will do, but it must be the same in all instances.
const SPLIT_SEED: u64 = 0x5bd1_e995;

/// Request counts of all split routes.
#[derive(Debug, Default)]
pub struct TrafficSplits {
    /// The decaying counts by service, for each route.
    routes: HashMap<Rc<str>, HashMap<Rc<str>, f64>>,
}

impl TrafficSplits {
    /// Chooses the service for a key and counts the request. `affinity` is the hash of the key.
    pub fn pick<'a>(&mut self, route: &'a Route, affinity: u64) -> &'a WeightedService {
        let weighted = self.peek(route, affinity);
        if route.services.len() == 1 {
            return weighted;
        }
        let counts = self.routes.entry(route.name.clone()).or_default();
        for count in counts.values_mut() {
            *count *= 1.0 - 1.0 / DECAY_REQUESTS;
        }
        *counts.entry(weighted.service.clone()).or_default() += 1.0;
        weighted
    }

    /// The service that [`Self::pick`] would choose for a key now; counts nothing.
    pub fn peek<'a>(&self, route: &'a Route, affinity: u64) -> &'a WeightedService {
        if let [only] = route.services.as_slice() {
            return only;
        }
        let none = HashMap::new();
        let counts = self.routes.get(&route.name).unwrap_or(&none);
        let corrected = corrected_weights(&route.services, counts);
        &route.services[pick_by_weight(&corrected, unit_interval(affinity, SPLIT_SEED))]
    }

    /// Drops the counts of routes for which `is_kept` does not hold.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.routes.retain(|name, _| is_kept(name));
    }
}

/// The share of each service, corrected by `CORRECTION_GAIN` times its deficit (less while few requests
/// are counted) and never below 0. A share of 0 stays 0.
fn corrected_weights(services: &[WeightedService], counts: &HashMap<Rc<str>, f64>) -> Vec<f64> {
    let total_weight: f64 = services.iter().map(|weighted| weighted.weight).sum();
    let total_count: f64 = services.iter().filter_map(|weighted| counts.get(&weighted.service)).sum();
    let confidence = (total_count / FULL_CORRECTION_REQUESTS).min(1.0);
    let corrected = |weighted: &WeightedService| {
        let share = weighted.weight / total_weight.max(f64::MIN_POSITIVE);
        let actual_share = counts.get(&weighted.service).copied().unwrap_or(0.0) / total_count.max(1.0);
        if share == 0.0 { 0.0 } else { (share + confidence * CORRECTION_GAIN * (share - actual_share)).max(0.0) }
    };
    services.iter().map(corrected).collect()
}

/// The index of the weight at a position when the weights are laid end to end; `position` is a fraction
/// of their sum, in [0, 1).
fn pick_by_weight(weights: &[f64], position: f64) -> usize {
    let total: f64 = weights.iter().sum();
    let mut remaining = position * total;
    for (index, weight) in weights.iter().enumerate() {
        if remaining < *weight {
            return index;
        }
        remaining -= weight;
    }
    weights.iter().rposition(|weight| *weight > 0.0).unwrap_or(0)
}
