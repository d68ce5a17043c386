//! Weight of an instance: how many callers it gets beside the others of its region.
//!
//! **Load.** Callers choose an instance by chance, and machines differ: the weakest are full while
//! the strongest idle.
//!
//! **Inputs**
//! - Core and link of each instance, from its registration; as old as the view. An instance
//!   that does not name them counts as the weakest that does.
//! - Bytes of a request, as this instance sees them ([`super::request_size`]).
//!
//! **Why.** An instance is given callers by what its machine bears: the requests a second of its core
//! or of its link, whichever are fewer. Its share is bounded, since it is also the share that its
//! loss costs.
//!
//! Owns nothing, relies on nothing.
//!
//! **Test**: `tests/instance_weight.rs`.

use crate::model::member::Capacity;

/// Processor time of a request, seconds: sets the core against the link.
const REQUEST_CPU: f64 = 0.000_5;
/// Largest share of a region's callers that one instance gets where there are enough others: the
/// share that its loss costs.
pub const MAX_SHARE: f64 = 0.2;
/// Weights below this count as 1: callers give up connections to an instance that an answer no longer
/// names, for which a small difference is no reason.
const LEAST_DIFFERENCE: f64 = 1.5;

/// Requests a second that a machine bears; `None` where nothing is known of it.
pub fn bearable(capacity: Capacity, request_bytes: f64) -> Option<f64> {
    let known = |value: Option<u32>| value.filter(|value| *value > 0).map(f64::from);
    let by_core = known(capacity.core_milli).map(|core| core / 1e3 / REQUEST_CPU);
    let by_link = known(capacity.link_kbit).map(|link| link * 1e3 / 8.0 / request_bytes);
    [by_core, by_link].into_iter().flatten().reduce(f64::min)
}

/// Weights of the instances of a region, in their order, 1 for the weakest: bounded so that none
/// gets more than [`MAX_SHARE`], or an equal part where that is more. All 1 where nothing is known.
pub fn weights(capacities: &[Capacity], request_bytes: f64) -> Vec<f64> {
    let borne: Vec<Option<f64>> = capacities.iter().map(|capacity| bearable(*capacity, request_bytes)).collect();
    let Some(weakest) = borne.iter().flatten().copied().reduce(f64::min) else { return vec![1.0; borne.len()] };
    let relative: Vec<f64> = borne.iter().map(|borne| notable(borne.unwrap_or(weakest) / weakest)).collect();
    let bound = bound(&relative);
    relative.into_iter().map(|weight| weight.min(bound).max(1.0)).collect()
}

fn notable(weight: f64) -> f64 {
    if weight < LEAST_DIFFERENCE { 1.0 } else { weight }
}

/// The largest weight with which the strongest gets no more than its share.
fn bound(weights: &[f64]) -> f64 {
    let share = MAX_SHARE.max(1.0 / weights.len() as f64);
    let mut falling = weights.to_vec();
    falling.sort_unstable_by(|one, other| other.total_cmp(one));
    // Those before `cut` are cut to the bound, the rest is below it.
    let mut rest: f64 = falling.iter().sum();
    for (cut, weight) in falling.iter().enumerate() {
        let cut_part = share * cut as f64;
        if *weight <= cut_part * weight + share * rest {
            let before = if cut == 0 { *weight } else { falling[cut - 1] };
            return if cut_part < 1.0 { before.min(share * rest / (1.0 - cut_part)) } else { before };
        }
        rest -= weight;
    }
    1.0
}
