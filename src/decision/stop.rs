//! What a stopping instance takes: requests that arrive in the first half of the time
//! until the process is killed are served, later ones are refused.
//!
//! **Inputs**
//! - Time since the planned stop began; local, no age. `None` while the instance runs.
//! - `bounds.stop_s` of the settings: time from the signal until the kill.
//!
//! **Why.** Callers keep the directory's answer and go on sending for a while; a request
//! that arrives late may not be answered before the process ends.
//!
//! **Guards** the promise that a planned stop cuts off no request. The stop itself is
//! [`crate::instance::stop`].
//!
//! **Test**: `requests_are_taken_in_the_first_half_of_a_stop` in `tests/rules.rs`,
//! `standins/tests/planned_stop.rs`.

use std::time::Duration;

/// Share of `bounds.stop_s` in which requests are still served. One that arrives at half
/// time has half of `stop_s` less 0.15 s; route timeouts must be shorter. Evidence:
/// 1b9d349 (requests lost before, none after); half and double change the worth by 0.001
/// at most on roll-term.
const SERVING_SHARE: f64 = 0.5;

/// Whether a request that arrives now is served rather than refused.
pub fn takes_requests(stopping_for: Option<Duration>, stop: Duration) -> bool {
    stopping_for.is_none_or(|elapsed| elapsed < stop.mul_f64(SERVING_SHARE))
}
