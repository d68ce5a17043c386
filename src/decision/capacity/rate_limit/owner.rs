//! The owner of a target's limit: the hall whose head grants requests to the other halls.
//!
//! **Inputs**: the members, as old as the view; which halls are reachable, 0.3 to 1 s old.
//!
//! **Why.** All heads find the same owner without a message. Where some cannot reach it, they go to the next,
//! which grants their part only.
//!
//! **Test**: `tests/allowances.rs`.

use crate::decision::registry::members::Members;
use crate::model::rate_limits::StartKey;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The owner among the halls for which `is_reachable` holds; `None` if there is none.
pub fn owner(members: &Members, target: StartKey, is_reachable: impl Fn(&str) -> bool) -> Option<&str> {
    let seed = u64::from_be_bytes(target.0);
    let reachable = members.head_order().halls().filter(|hall| is_reachable(hall));
    reachable.min_by_key(|hall| xxh3_64_with_seed(hall.as_bytes(), seed))
}
