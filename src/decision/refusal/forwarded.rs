//! Which forwarded requests an instance takes. **Rule**: as many at a time as a thirty-second of its
//! descriptors, and half of the requests a second that its machine can serve; others are declined unrun.
//!
//! **Inputs**: forwarded requests in flight here, and their rate; exact. Descriptors and capacity of the
//! machine, from the settings.
//!
//! **Why.** Half of all instances may be isolated at once, so that each of the others gets as much again as
//! usual. If that is more than its machine can serve, its own callers come first: those of an isolated
//! instance can go to any other.
//!
//! **Guards** the promise that forwarded requests crowd out neither callers nor the other messages of peers.
//!
//! **Test**: `tests/forward_peers.rs`.

use crate::clock::Instant;
use crate::decision::selection::instance_weight::max_request_rate;
use crate::model::member::Capacity;
use std::time::Duration;

/// The descriptors are divided by this for the requests that are taken at a time: each needs one for the
/// peer and one for the target, and the listener for peers has an eighth of the descriptors.
const DESCRIPTOR_DIVISOR: u32 = 32;
/// Least number of requests that are taken at a time.
const MIN_IN_FLIGHT: u32 = 16;
/// The rate that the machine can serve is divided by this.
const RATE_DIVISOR: f64 = 2.0;
/// Requests that may come at once, as a time at that rate.
const BURST: Duration = Duration::from_millis(250);

/// Bounds on the forwarded requests that an instance takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ForwardedLimits {
    /// Requests at a time.
    pub in_flight: u32,
    /// Requests a second; infinite where the machine is not known.
    pub rate: f64,
}

impl ForwardedLimits {
    /// The bounds of a machine; `request_bytes` is the mean size of a request.
    pub fn new(descriptors: u32, capacity: Capacity, request_bytes: f64) -> Self {
        let rate = max_request_rate(capacity, request_bytes).map_or(f64::INFINITY, |rate| rate / RATE_DIVISOR);
        Self { in_flight: (descriptors / DESCRIPTOR_DIVISOR).max(MIN_IN_FLIGHT), rate }
    }
}

/// The forwarded requests that were taken.
#[derive(Clone, Copy, Debug, Default)]
pub struct ForwardedRate {
    /// When the requests taken so far would have come at the permitted rate; `None` before the first.
    due: Option<Instant>,
}

impl ForwardedRate {
    /// Whether another request is taken while `in_flight` are here; counts it if it is.
    pub fn admit(&mut self, limits: ForwardedLimits, in_flight: u32, now: Instant) -> bool {
        let due = self.due.map_or(now, |due| due.max(now));
        if in_flight >= limits.in_flight || due.saturating_duration_since(now) > BURST {
            return false;
        }
        self.due = Some(due + Duration::from_secs_f64(1.0 / limits.rate));
        true
    }
}
