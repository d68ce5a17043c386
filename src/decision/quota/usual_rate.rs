//! A tenant's usual request rate at this instance.
//!
//! **Rule.** The average over some seconds, or a higher rate once it has lasted for two periods of
//! `PERIOD` (0.25 s): by then the head has taken it into account.
//!
//! **Inputs**: requests in answered reports; exact.
//!
//! **Why.** The requests that an instance may admit before the head knows of them depend on this rate. In a
//! step it stays that of before; callers who move to this instance are served after half a second.

use crate::clock::Instant;
use std::time::Duration;

/// Maximum time over which requests are averaged: a step shorter than a second hardly shows.
const AVERAGE_TIME: Duration = Duration::from_secs(3);
/// Length of a period of which the rate is taken; two of them are the time in which reports take effect.
const PERIOD: Duration = Duration::from_millis(250);

/// Usual rate of a tenant's requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct UsualRate {
    /// Average, requests per second.
    average: f64,
    /// Time over which the average was observed, seconds.
    observed: f64,
    /// Rates of the last two completed periods, requests per second.
    recent: [f64; 2],
    /// Requests in the current period.
    count: f64,
    period_started: Option<Instant>,
}

impl UsualRate {
    /// The rate of a tenant that has sent no requests for this time.
    pub fn none_for(observed: Duration) -> Self {
        Self { observed: observed.min(AVERAGE_TIME).as_secs_f64(), ..Self::default() }
    }

    /// Records requests that arrived within `period`, at the end of it.
    pub fn record(&mut self, offered: u32, period: Duration, now: Instant) {
        let (offered, seconds) = (f64::from(offered), period.as_secs_f64());
        if seconds <= 0.0 {
            return;
        }
        self.observed = (self.observed + seconds).min(AVERAGE_TIME.as_secs_f64().max(seconds));
        self.average += seconds / self.observed * (offered / seconds - self.average);
        self.count += offered;
        let started = *self.period_started.get_or_insert(now.checked_sub(period).unwrap_or(now));
        let elapsed = now.saturating_duration_since(started);
        if elapsed >= PERIOD {
            self.recent = [self.recent[1], self.count / elapsed.as_secs_f64()];
            (self.count, self.period_started) = (0.0, Some(now));
        }
    }

    /// Requests per second.
    pub fn per_second(&self) -> f64 {
        self.average.max(self.recent[0].min(self.recent[1]))
    }
}
