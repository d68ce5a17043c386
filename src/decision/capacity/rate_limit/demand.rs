//! Rate of requests for a target, as an exponential moving average.
//!
//! **Test**: `tests/rate_limits.rs`.

use crate::clock::Instant;
use std::time::Duration;

/// Time constant of the average: longer than the time between two reports, shorter than the
/// operators' window.
const TIME_CONSTANT: Duration = Duration::from_millis(500);

/// Average requests per second; recent requests weigh more.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    rate: f64,
    at: Option<Instant>,
}

impl Demand {
    /// Records a request.
    pub fn record(&mut self, now: Instant) {
        self.rate = self.rate(now) + 1.0 / TIME_CONSTANT.as_secs_f64();
        self.at = Some(now);
    }

    /// Average rate at `now`, requests per second; decays while no request comes.
    pub fn rate(&self, now: Instant) -> f64 {
        let elapsed = self.at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.rate * (-elapsed.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
    }
}
