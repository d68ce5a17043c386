//! What a stopping instance takes: requests that arrive in the first half of the time until
//! the process is killed, and later ones whose own time ends before the kill; others are
//! refused.
//!
//! **Inputs**
//! - Time since the planned stop began; local, no age. `None` while the instance runs.
//! - `bounds.stop_s` of the settings: time from the signal until the kill.
//! - The time that the request has: until its caller's deadline or its route's timeout.
//!
//! **Why.** Callers keep the directory's answer and go on sending for a while, and where the
//! store is lost other instances go on naming this one. A request that may not be answered
//! before the process ends is refused; one that ends in time in any case is served.
//!
//! **Guards** the promise that a planned stop cuts off no request. The stop itself is
//! [`crate::instance::stop`].
//!
//! **Test**: `requests_are_taken_in_the_first_half_of_a_stop_and_while_they_end_in_time` in
//! `tests/rules.rs`, `standins/tests/planned_stop.rs`.

use std::time::Duration;

/// Share of `bounds.stop_s` in which all requests are still served. One that arrives at half
/// time has half of `stop_s` less 0.15 s; route timeouts must be shorter. Requests
/// were lost without it and none with it; at half and double, what callers get while
/// all instances restart in turn differs by 1 in 1,000 at most.
const SERVING_SHARE: f64 = 0.5;
/// Time between the end of a late request's own time and the kill: the process ends 0.15 s before
/// that, and looks each 50 ms whether requests are under way.
const END_MARGIN: Duration = Duration::from_millis(300);

/// Whether a request that arrives now, and has `allowed` until its time is over, is served
/// rather than refused.
pub fn takes_requests(stopping_for: Option<Duration>, stop: Duration, allowed: Duration) -> bool {
    let Some(elapsed) = stopping_for else { return true };
    elapsed < stop.mul_f64(SERVING_SHARE) || elapsed + allowed + END_MARGIN <= stop
}
