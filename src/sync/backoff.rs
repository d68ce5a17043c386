//! Exponential backoff after failed calls to the store: each call is charged to the operators' costs,
//! also a refused one, and all instances share the store.
//!
//! Owns the number of consecutive failures. Relies on nothing.

use rand::Rng;
use std::time::Duration;

/// Delay after the first failure; doubled with each further one. On a day on which the store refused
/// a third of 74 instances, they made 3,114 calls without doubling and 2,300 with it.
const INITIAL_DELAY: Duration = Duration::from_millis(250);
/// Maximum delay, before jitter: with it and a call's timeout, a recovery of the store is detected
/// within the shortest bound on lag (2 s).
const MAX_DELAY: Duration = Duration::from_millis(700);
/// Maximum delay, before jitter, of calls that the view does not need to stay current. It is longer
/// than [`MAX_DELAY`], so that many instances that the store refuses make few calls. An instance that
/// is refused for longer is missing from the directory for longer, which does not affect callers while
/// there are other instances.
const MAX_LONG_DELAY: Duration = Duration::from_millis(2_400);
/// Random factor of each delay, so that instances which lost the store at the same time do not call
/// it at the same time.
const JITTER: std::ops::Range<f64> = 0.7..1.3;

/// Counts consecutive failures of one kind of call and computes the delay before the next one.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Records a failure; returns the delay before the next call.
    pub fn next_delay(&mut self) -> Duration {
        self.delay_up_to(MAX_DELAY)
    }

    /// Records a failure of a call that the view does not need to stay current; returns the delay before
    /// the next call, which may be longer than that of [`Self::next_delay`].
    pub fn next_long_delay(&mut self) -> Duration {
        self.delay_up_to(MAX_LONG_DELAY)
    }

    fn delay_up_to(&mut self, max_delay: Duration) -> Duration {
        let delay = INITIAL_DELAY.saturating_mul(2u32.saturating_pow(self.failures)).min(max_delay);
        self.failures = self.failures.saturating_add(1);
        delay.mul_f64(rand::rng().random_range(JITTER))
    }

    /// Records a success: the next failure has the initial delay.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
