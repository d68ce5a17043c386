//! Weight of an instance: how many callers it gets relative to the others of its region.
//!
//! **Load pattern**: callers choose an instance at random, and machines differ: without weights the
//! weakest are full while the strongest are idle.
//!
//! **Inputs**
//! - Processor and link capacity of each instance, from its registration; as old as the view. An instance
//!   that does not state them counts as the weakest of those that do.
//! - Bytes of a request, as this instance observes them ([`super::request_size`]).
//!
//! **Why.** An instance is given callers in proportion to what its machine can serve: the requests per
//! second of its processor or of its link, whichever is lower. Its share is bounded, since it is also the
//! share of callers that is affected when the instance fails.
//!
//! Owns nothing. Relies on no other rule.
//!
//! **Test**: `tests/instance_weight.rs`.

use crate::model::member::Capacity;

/// Processor time of a request, seconds; makes processor and link capacity comparable.
const CPU_SECONDS_PER_REQUEST: f64 = 0.000_5;
/// Maximum share of a region's callers that one instance gets if there are enough others, since
/// this share is affected when the instance fails.
pub const MAX_SHARE: f64 = 0.2;
/// Weights below this count as 1: callers close connections to an instance that an answer no longer
/// names, and a small difference does not justify that.
const MIN_WEIGHT_RATIO: f64 = 1.5;

/// Requests per second that a machine can serve; `None` where neither processor nor link is known.
/// `request_bytes` is the mean size of a request.
pub fn max_request_rate(capacity: Capacity, request_bytes: f64) -> Option<f64> {
    let known = |value: Option<u32>| value.filter(|value| *value > 0).map(f64::from);
    let by_core = known(capacity.core_milli).map(|core| core / 1e3 / CPU_SECONDS_PER_REQUEST);
    let by_link = known(capacity.link_kbit).map(|link| link * 1e3 / 8.0 / request_bytes);
    [by_core, by_link].into_iter().flatten().reduce(f64::min)
}

/// The weights of the instances of a region, in the order given, 1 for the weakest. They are bounded so
/// that none gets more than [`MAX_SHARE`], or an equal share where that is more. All are 1 where no
/// capacity is known. `request_bytes` is the mean size of a request.
pub fn weights(capacities: &[Capacity], request_bytes: f64) -> Vec<f64> {
    let rates: Vec<Option<f64>> =
        capacities.iter().map(|capacity| max_request_rate(*capacity, request_bytes)).collect();
    let Some(weakest) = rates.iter().flatten().copied().reduce(f64::min) else { return vec![1.0; rates.len()] };
    let relative: Vec<f64> = rates.iter().map(|rate| one_if_nearly_equal(rate.unwrap_or(weakest) / weakest)).collect();
    let max_weight = max_weight(&relative);
    relative.into_iter().map(|weight| weight.min(max_weight).max(1.0)).collect()
}

/// The weight, or 1 if it is below [`MIN_WEIGHT_RATIO`].
fn one_if_nearly_equal(weight: f64) -> f64 {
    if weight < MIN_WEIGHT_RATIO { 1.0 } else { weight }
}

/// The largest weight with which the strongest instances get no more than their bounded share.
fn max_weight(weights: &[f64]) -> f64 {
    let share = MAX_SHARE.max(1.0 / weights.len() as f64);
    let mut descending = weights.to_vec();
    descending.sort_unstable_by(|one, other| other.total_cmp(one));
    // The first `clamped` weights are reduced to the bound; `rest` is the sum of the others.
    let mut rest: f64 = descending.iter().sum();
    for (clamped, weight) in descending.iter().enumerate() {
        let clamped_share = share * clamped as f64;
        if *weight <= clamped_share * weight + share * rest {
            let previous = if clamped == 0 { *weight } else { descending[clamped - 1] };
            return if clamped_share < 1.0 { previous.min(share * rest / (1.0 - clamped_share)) } else { previous };
        }
        rest -= weight;
    }
    1.0
}
