//! Second targets: a key's second target takes a request only while it is expected to respond
//! within the latency objective, judged by the recent latency of the service's second targets.
//!
//! **Inputs**
//! - Latency of second targets, seconds: a moving average per service over this instance's own
//!   requests. It has no age limit, since a free slot is always used and measured.
//! - Median latency of the service's targets, seconds; 0.5 s old at most.
//! - The route's latency objective, from the configuration in force.
//!
//! **Why.** The second target of a key has often not cached the key's object and then works about
//! three times as long on it. If that holds for most keys, each request that overflows from its
//! first target takes the capacity of three requests at the second, which then fills up as well. If
//! targets cache few objects, the second copies also evict the first ones. Either way, the service
//! stays slow after the overload has ended. If second targets respond fast, because they have the objects cached too
//! or uncached work is short, they take overflow up to the ordinary limit.
//!
//! **Guards** the promise that responses arrive within their objective if the targets can achieve it.
//! The limit is never above that of the rank ([`crate::decision::capacity::admission`]).
//!
//! **Test**: `tests/second_target.rs`.

use std::cell::Cell;
use std::time::Duration;

/// Weight of a new latency in the moving average (no unit): about the last ten responses dominate.
const SMOOTHING_FACTOR: f64 = 0.1;
/// Lower bound of the limit, requests per slot. A target with a free slot takes one more request,
/// so that second targets continue to be measured and eventually cache the objects of their keys.
const MIN_LOAD: f64 = 0.8;

/// Latency of the second targets of one service.
#[derive(Debug, Default)]
pub struct SecondTargetLatency {
    /// Moving average, seconds; `None` before the first response.
    average: Cell<Option<f64>>,
}

impl SecondTargetLatency {
    /// Records that a second target responded after `elapsed`, or had not responded by then.
    pub fn record(&self, elapsed: Duration) {
        let latency = elapsed.as_secs_f64();
        let average = self.average.get().unwrap_or(latency);
        self.average.set(Some(average + SMOOTHING_FACTOR * (latency - average)));
    }

    /// Moving average of the latency, seconds; `None` before the first response.
    pub fn average(&self) -> Option<f64> {
        self.average.get()
    }

    /// Load limit for a second target, requests per slot, at most `first_limit`, the limit for a
    /// first target. Each request above one per slot waits for about `median` seconds; the limit
    /// allows as many as fit into the time that the objective leaves.
    pub fn max_load(&self, first_limit: f64, objective: Duration, median: f64) -> f64 {
        let Some(average) = self.average.get().filter(|_| median.is_finite() && median > 0.0) else {
            return first_limit;
        };
        let queued = (objective.as_secs_f64() - average) / median;
        (1.0 + queued).max(MIN_LOAD).min(first_limit)
    }
}
