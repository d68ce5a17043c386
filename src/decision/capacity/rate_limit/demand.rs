//! Requests a second, as a moving average.
//!
//! Owns one number. **Test**: `tests/rate_limits.rs`.

use crate::clock::Instant;
use std::time::Duration;

/// Time over which requests are averaged: above the time between two reports, below the operators'
/// window.
const AVERAGED_OVER: Duration = Duration::from_millis(500);

/// Requests a second on average, recent ones with more weight.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    rate: f64,
    at: Option<Instant>,
}

impl Demand {
    /// Counts a request.
    pub fn add(&mut self, now: Instant) {
        self.rate = self.rate(now) + 1.0 / AVERAGED_OVER.as_secs_f64();
        self.at = Some(now);
    }

    /// Requests a second.
    pub fn rate(&self, now: Instant) -> f64 {
        let passed = self.at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.rate * (-passed.as_secs_f64() / AVERAGED_OVER.as_secs_f64()).exp()
    }
}
