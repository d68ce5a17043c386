//! Which requests a stopping instance serves: those whose deadline or timeout is at least 0.3 s before the process
//! is killed, and of the others those that arrive in the first half of the time until then and are expected to end
//! as early: in twice the usual time of their service. All others are refused.
//!
//! **Inputs**
//! - Time since the signal that began the planned stop; local, no age. `None` while the instance runs.
//! - `bounds.stop_s` of the settings: time from that signal until the kill.
//! - The time that the request has: until its caller's deadline or its route's timeout.
//! - The usual time of the service, the longest where its route has several; 0.5 s old. Nothing is expected of a
//!   service that is not known.
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

/// Part of `bounds.stop_s`, from its start, in which requests are served that might outlast it (no unit). A request
/// that arrives at the end of that part has half of `stop_s` less 0.15 s.
const SERVING_FRACTION: f64 = 0.5;
/// Minimum time between the end of a later request, at its deadline or timeout, and the kill: the
/// process ends 0.15 s before the kill, and checks every 50 ms whether requests are in flight.
const END_MARGIN: Duration = Duration::from_millis(300);

/// A request is expected to end within this multiple of the usual time of its service.
const USUAL_FACTOR: f64 = 2.0;

/// Whether a request that arrives now, and has to end within `allowed`, is served rather than refused.
/// `stop` is `bounds.stop_s`; `stopping_for` is the time since the planned stop's signal, `None`
/// while the instance runs. `usual` is the usual time of its service, seconds; infinite if it is not known.
pub fn accepts_request(stopping_for: Option<Duration>, stop: Duration, allowed: Duration, usual: f64) -> bool {
    let Some(elapsed) = stopping_for else { return true };
    let ends_in_time = |time: Duration| elapsed.saturating_add(time).saturating_add(END_MARGIN) <= stop;
    let expected = Duration::try_from_secs_f64(usual * USUAL_FACTOR).unwrap_or(Duration::ZERO);
    ends_in_time(allowed) || (elapsed < stop.mul_f64(SERVING_FRACTION) && ends_in_time(expected))
}
