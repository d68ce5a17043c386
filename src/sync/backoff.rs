//! Waits between calls to a store that does not answer: each call has its
//! price, also one that is turned away, and the store is needed by all.

use rand::Rng;
use std::time::Duration;

/// Wait after the first failure.
const FIRST: Duration = Duration::from_millis(250);
/// Longest wait, before chance is added: what the store's return brings is
/// needed soon.
const LONGEST: Duration = Duration::from_millis(700);
/// By how much chance shortens or lengthens a wait.
const SPREAD: std::ops::Range<f64> = 0.7..1.3;

/// Counts failures in a row.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Notes a failure; gives the wait before the next call.
    pub fn wait(&mut self) -> Duration {
        let wait = FIRST.saturating_mul(2u32.saturating_pow(self.failures)).min(LONGEST);
        self.failures = self.failures.saturating_add(1);
        wait.mul_f64(rand::rng().random_range(SPREAD))
    }

    /// Notes a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
