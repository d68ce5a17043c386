//! Rate of requests for a target, as an exponential moving average.
//!
//! **Test**: `tests/rate_limits.rs`.

use crate::clock::Instant;
use std::time::Duration;

/// Time constant of an instance's demand: longer than the time between two reports, shorter than the
/// operators' window.
const INSTANCE_TIME_CONSTANT: Duration = Duration::from_millis(500);
/// Time constant of a hall's use: long enough that single requests do not count as a high demand.
const HALL_TIME_CONSTANT: Duration = Duration::from_secs(3);

/// Average requests per second; recent requests weigh more.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    rate: f64,
    at: Option<Instant>,
    time_constant: Duration,
}

impl Default for Demand {
    fn default() -> Self {
        Self { rate: 0.0, at: None, time_constant: INSTANCE_TIME_CONSTANT }
    }
}

impl Demand {
    /// The average of a hall.
    pub fn of_hall() -> Self {
        Self { time_constant: HALL_TIME_CONSTANT, ..Self::default() }
    }

    /// Records requests.
    pub fn record(&mut self, count: u32, now: Instant) {
        self.rate = self.rate(now) + f64::from(count) / self.time_constant.as_secs_f64();
        self.at = Some(now);
    }

    /// Average rate at `now`, requests per second; decays while no request comes.
    pub fn rate(&self, now: Instant) -> f64 {
        let elapsed = self.at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.rate * (-elapsed.as_secs_f64() / self.time_constant.as_secs_f64()).exp()
    }
}
