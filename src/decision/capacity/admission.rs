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
//! **Evidence.** The range 1.3 to 2.0 comes from trials on scratch copies together with two
//! targets per key and the time to return of a refusal (`proxy/refusal.rs`): value of two days
//! with too much load 0.16 to 0.78 and 0.07 to 0.75. Each constant names its trial at half and
//! double on two such days (0.826 and 0.764 as they are). The services played so far have one or
//! two priorities, so that only 2.0 and 1.65 were in use.
//!
//! **Test**: `less_urgent_requests_are_refused_before_more_urgent_ones` and
//! `a_full_target_gives_way_to_the_object_s_second_and_then_to_a_refusal` in
//! `tests/choice.rs`; `admission_goes_by_rank_and_slots` in `tests/rules.rs`.

/// Limit for the most urgent requests, requests per slot.
///
/// Evidence: trial at half 0.826, 0.752, at double 0.719, 0.697: sensitive, higher limits cost
/// most. At half all ranks are at the floor of 1.3.
const MAX_LOAD_MOST_URGENT: f64 = 2.0;
/// Limit of a key's first target where the second has no room and loads are shared, requests per
/// slot: a load that is seen then is there, and waiting a little longer where the object is cached
/// is better than to be sent away. Where loads are known from own traffic they are mostly higher
/// than they seem, and the limit above holds.
///
/// Evidence: two days with too much load at 75 instances 0.610 and 0.626; with the limit above
/// alone and shared loads 0.563 and 0.598, with 3.0 in its place 0.604 and 0.622, with 4.0 0.581 and
/// 0.608; with loads of own traffic 0.587 and 0.613, with 3.0 0.589 and 0.610.
const LONGEST_LOAD: f64 = 3.0;
/// How much lower the limit of each less urgent rank is, requests per slot.
///
/// Evidence: trial at half 0.811, 0.763, at double 0.824, 0.751: weakly sensitive.
const LOAD_STEP: f64 = 0.35;
/// The lowest limit, however low the rank, requests per slot.
///
/// Evidence: trial at half 0.826, 0.764, at double 0.733, 0.738: sensitive upwards. At
/// double it is the limit of all ranks.
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
