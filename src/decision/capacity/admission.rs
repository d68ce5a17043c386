//! Admission: a request is sent to a target only if the target's load, including this request,
//! stays within a limit per slot. The limit is lower for less urgent requests.
//!
//! **Inputs**
//! - Load of the target, in requests, from [`crate::decision::capacity::load`]: exact for this
//!   instance's requests; for those of other instances up to 1.5 s old and decaying with age.
//! - Whether all instances share loads ([`super::shared_loads`]). Loads known only from this
//!   instance's own traffic are mostly underestimated, the more so the more instances there are.
//! - Slots of the target, the number of requests that it processes concurrently, from its
//!   registration.
//! - Rank of the request's urgency: the number of more urgent levels among the service's requests, 0
//!   for the most urgent. Urgency is the tenant's priority and, where that is equal, the route's. From
//!   the configuration in force.
//!
//! **Why.** Above the limit a request queues at the target and misses its latency objective; if it
//! is refused at once, the caller can still retry in time. The limit is above 1 so that slots stay
//! busy while responses are in transit. The steps between ranks reserve room for urgent requests,
//! which less urgent ones never take.
//!
//! **Guards** the promises that targets are not overloaded and that under overload the less
//! urgent requests are refused first.
//!
//! **Test**: `less_urgent_requests_are_refused_before_more_urgent_ones` and
//! `a_request_goes_to_the_second_target_if_the_first_is_full_and_is_refused_if_both_are` in
//! `tests/choice.rs`; `admission_goes_by_rank_and_slots` in `tests/rules.rs`.

/// Limit for the most urgent requests, requests per slot.
const MAX_LOAD_MOST_URGENT: f64 = 2.0;
/// Limit for a key's first target when the second has no room and loads are shared, requests per
/// slot. Shared loads are accurate, and a slightly longer wait where the object is cached beats a
/// refusal. Loads known only from own traffic are mostly underestimated; the limit above applies
/// to them.
const MAX_QUEUED_LOAD: f64 = 3.0;
/// Amount by which the limit drops with each less urgent rank, requests per slot.
const LOAD_STEP: f64 = 0.35;
/// Lower bound of the limit for any rank, requests per slot.
const MAX_LOAD_LEAST_URGENT: f64 = 1.3;

/// Load limit for requests of a rank, requests per slot; rank 0 is the most urgent.
pub fn max_load(rank: usize) -> f64 {
    limit_for_rank(MAX_LOAD_MOST_URGENT, rank)
}

/// Load limit up to which a request queues at its key's first target when the second has no room
/// and loads are shared, requests per slot; rank 0 is the most urgent.
pub fn max_queued_load(rank: usize) -> f64 {
    limit_for_rank(MAX_QUEUED_LOAD, rank)
}

fn limit_for_rank(rank_zero_limit: f64, rank: usize) -> f64 {
    (rank_zero_limit - LOAD_STEP * rank as f64).max(MAX_LOAD_LEAST_URGENT)
}

/// Whether a target with `load` requests can take one more under `max_load`, requests per slot.
pub fn has_room(load: f64, slots: u32, max_load: f64) -> bool {
    load + 1.0 <= max_load * f64::from(slots)
}
