//! Which requests a stopping instance serves: those that arrive in the first half of the time until
//! the process is killed, and later ones whose deadline or timeout is at least 0.3 s before the kill;
//! others are refused.
//!
//! **Inputs**
//! - Time since the signal that began the planned stop; local, no age. `None` while the instance runs.
//! - `bounds.stop_s` of the settings: time from that signal until the kill.
//! - The time that the request has: until its caller's deadline or its route's timeout.
//!
//! **Why.** Callers cache the directory's answer and keep sending for a while, and while the store is
//! unavailable other instances keep naming this one. A request that might not be answered before the
//! process ends is refused; one that ends in time in any case is served.
//!
//! **Guards** the promise that a planned stop cuts off no request. The stop itself is
//! [`crate::instance::stop`].
//!
//! **Test**: `requests_are_accepted_in_the_first_half_of_a_stop_and_while_they_end_in_time` in
//! `tests/rules.rs`, `standins/tests/planned_stop.rs`.

use std::time::Duration;

/// Part of `bounds.stop_s`, from its start, in which all requests are served (no unit). A request that
/// arrives at the end of that part has half of `stop_s` less 0.15 s; route timeouts must be shorter.
/// Without this rule requests were lost, with it none.
const SERVING_FRACTION: f64 = 0.5;
/// Minimum time between the end of a later request, at its deadline or timeout, and the kill: the
/// process ends 0.15 s before the kill, and checks every 50 ms whether requests are in flight.
const END_MARGIN: Duration = Duration::from_millis(300);

/// Whether a request that arrives now, and has to end within `allowed`, is served rather than refused.
/// `stop` is `bounds.stop_s`; `stopping_for` is the time since the planned stop's signal, `None`
/// while the instance runs.
pub fn accepts_request(stopping_for: Option<Duration>, stop: Duration, allowed: Duration) -> bool {
    let Some(elapsed) = stopping_for else { return true };
    elapsed < stop.mul_f64(SERVING_FRACTION) || elapsed.saturating_add(allowed).saturating_add(END_MARGIN) <= stop
}
