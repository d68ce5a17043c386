//! Second targets: a key's second target takes a request only while it can be expected to
//! answer within the objective, by how long second targets of the service lately took.
//!
//! **Inputs**
//! - Latency of answers of second targets, a moving average by service, seconds, of this
//!   instance's own requests; no age limit, since a free slot is always used.
//! - Median latency of the service's targets, seconds; 0.5 s old at most.
//! - The route's latency objective, from the configuration in force.
//!
//! **Why.** The second target of a key has often not cached its object, and works some three
//! times as long on it. Where that is so for most, each request that the first has no room
//! for takes the place of three, at a target that is full next; and where targets cache few
//! objects, the second copies drive out the first ones. The service then stays slow after
//! what filled it has gone. Where second targets answer soon, because the objects are cached
//! there too or the work on others is short, they share the load as ever.
//!
//! **Guards** the promise that answers come within their objective where targets can give
//! them; it never allows more than the rank's own limit ([`crate::decision::capacity::admission`]).
//!
//! **Test**: `tests/second_target.rs`.

use std::cell::Cell;
use std::time::Duration;

/// Weight of a new time in the average (no unit): some ten answers dominate.
const WEIGHT: f64 = 0.1;
/// Least limit, requests per slot: a target with a slot to spare takes one request more, so
/// that second targets are measured on and keys find a second target in the end.
const LEAST_LOAD: f64 = 0.8;

/// How long answers of second targets of one service take.
#[derive(Debug, Default)]
pub struct SecondLatency {
    /// Moving average, seconds; `None` before the first answer.
    average: Cell<Option<f64>>,
}

impl SecondLatency {
    /// Notes that a second target took this long, or gave no answer in it.
    pub fn record(&self, took: Duration) {
        let took = took.as_secs_f64();
        let average = self.average.get().unwrap_or(took);
        self.average.set(Some(average + WEIGHT * (took - average)));
    }

    /// The moving average, seconds; `None` before the first answer.
    pub fn average(&self) -> Option<f64> {
        self.average.get()
    }

    /// Limit for a second target, requests per slot, where a first one has `most`: each
    /// request above one a slot waits for about a `median`, seconds, and the time that the
    /// objective leaves bears so many.
    pub fn max_load(&self, most: f64, objective: Duration, median: f64) -> f64 {
        let Some(average) = self.average.get().filter(|_| median.is_finite() && median > 0.0) else { return most };
        let waiting = (objective.as_secs_f64() - average) / median;
        (1.0 + waiting).max(LEAST_LOAD).min(most)
    }
}
