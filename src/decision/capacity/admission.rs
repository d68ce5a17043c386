//! Admission: a request is sent to a target only while the target's load, with this request,
//! does not exceed a limit per slot, which is lower for less urgent requests.
//!
//! **Inputs**
//! - Load of the target, requests, from [`crate::decision::capacity::load`]: own requests exact, those
//!   of other instances up to 1.5 s old and fading.
//! - Whether loads are shared by all instances ([`super::shared_loads`]), or known from own traffic
//!   alone: then most are seen too low, the more so the more instances there are.
//! - Slots of the target, requests that it works on at once, from its registration.
//! - Rank of the request's urgency, which is the tenant's priority and then the route's: how many
//!   more urgent ones the service's requests have, 0 the most urgent; from the configuration in force.
//!
//! **Why.** Above the limit a request waits at the target and misses its objective; refused
//! at once, the caller can still try again in time. The limit is above 1, since slots have to
//! stay busy while answers travel. The steps keep room for urgent requests, so that less
//! urgent ones never take it.
//!
//! **Guards** the promises that targets are not overloaded, and that under overload the less
//! urgent requests are refused first.
//!
//! **Test**: `less_urgent_requests_are_refused_before_more_urgent_ones` and
//! `a_full_target_gives_way_to_the_object_s_second_and_then_to_a_refusal` in
//! `tests/choice.rs`; `admission_goes_by_rank_and_slots` in `tests/rules.rs`.

/// Limit for the most urgent requests, requests per slot.
const MAX_LOAD_MOST_URGENT: f64 = 2.0;
/// Limit of a key's first target where the second has no room and loads are shared, requests per
/// slot: a load that is seen then is there, and waiting a little longer where the object is cached
/// is better than to be sent away. Where loads are known from own traffic they are mostly higher
/// than they seem, and the limit above holds.
const LONGEST_LOAD: f64 = 3.0;
/// How much lower the limit of each less urgent rank is, requests per slot.
const LOAD_STEP: f64 = 0.35;
/// The lowest limit, however low the rank, requests per slot.
const MAX_LOAD_LEAST_URGENT: f64 = 1.3;

/// Limit for requests of a rank, requests per slot; rank 0 is the most urgent.
pub fn max_load(rank: usize) -> f64 {
    limit(MAX_LOAD_MOST_URGENT, rank)
}

/// Limit of a key's first target where the second has no room and loads are shared, requests per
/// slot.
pub fn longest_load(rank: usize) -> f64 {
    limit(LONGEST_LOAD, rank)
}

fn limit(most: f64, rank: usize) -> f64 {
    (most - LOAD_STEP * rank as f64).max(MAX_LOAD_LEAST_URGENT)
}

/// Whether a target with this load, requests, may take one more under a limit, requests per
/// slot.
pub fn has_room(load: f64, slots: u32, max_load: f64) -> bool {
    load + 1.0 <= max_load * f64::from(slots)
}
