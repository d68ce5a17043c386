//! Slow targets: a target whose answers take three times the median of its service, or that
//! has been silent for 4.5 medians, and longer than the route's objective either way, gets
//! one request at a time and one a second until it is faster.
//!
//! **Inputs**
//! - Time from sending to the sound answer, seconds, of this instance's requests; a request
//!   that got no answer in time counts with the time waited, a broken exchange or a server
//!   error does not count. The average has no age limit: a slow target is tried now and then,
//!   so that it is measured anew.
//! - Silence, seconds: time since the last request ended with a sound answer or none in time,
//!   or since the first now in flight was sent if later. Counts only while requests are in
//!   flight.
//! - Median of the averages of the service's targets, seconds; worked out every 0.5 s by the
//!   instance's housekeeping. Infinite before the first answer, which makes no target slow.
//! - The route's latency objective, from the configuration in force.
//!
//! **Why.** A target that answers far later than its peers costs every request sent there
//! its objective, while it fails none: ejection does not see it. Below the objective there
//! is nothing to gain by moving work away from cached objects.
//!
//! **Guards** the promise that answers come within their objective where another target can
//! give them, and that a recovered target is used again.
//!
//! **Test**: `a_slow_target_is_judged_by_median_and_objective`,
//! `the_average_follows_faster_answers_sooner` and `the_median_is_that_of_a_sorted_list` in
//! `tests/rules.rs`.

use crate::clock::Instant;
use std::time::Duration;

/// Weight of a new time in the moving average (no unit): some five answers dominate it, so
/// that one answer about an object that is not cached does not make a target slow.
const LATENCY_WEIGHT: f64 = 0.2;
/// Weight of a new time that is below the average (no unit): a recovered target is believed
/// after about two answers, since it gets only one request a second.
const RECOVERY_WEIGHT: f64 = 0.5;
/// Average latency of a slow target, in medians of its service. Work on objects that are not
/// cached takes up to 3.3 times as long as on cached ones.
const SLOW_FACTOR: f64 = 3.0;
/// Silence of a slow target, in medians of its service. Above `SLOW_FACTOR`, since silence
/// includes work on objects that are not cached.
const SILENT_FACTOR: f64 = 4.5;
/// Least time between requests to a slow target: bounds the loss to one slow answer a second.
const SLOW_TRY_EVERY: Duration = Duration::from_secs(1);
/// The same in average latencies of the target (factor): the slower its answers, the more a
/// try costs its caller.
const SLOW_TRY_LATENCIES: f64 = 6.0;

/// How long the answers of one target take.
#[derive(Clone, Debug, Default)]
pub struct Latency {
    /// Moving average, seconds; `None` before the first answer.
    average: Option<f64>,
    /// End of the last request that counted, or the sending of the first now in flight if
    /// later.
    silent_since: Option<Instant>,
    /// When the last request was sent.
    tried_at: Option<Instant>,
}

impl Latency {
    /// Notes that a request is sent, with `in_flight` others there.
    pub fn begin(&mut self, in_flight: u32, now: Instant) {
        if in_flight == 0 {
            self.silent_since = Some(now);
        }
        self.tried_at = Some(now);
    }

    /// Notes that an answer took `took`, or that none had come after it.
    pub fn record(&mut self, took: Duration, now: Instant) {
        let took = took.as_secs_f64();
        let average = self.average.unwrap_or(took);
        let weight = if took < average { RECOVERY_WEIGHT } else { LATENCY_WEIGHT };
        self.average = Some(average + weight * (took - average));
        self.silent_since = Some(now);
    }

    /// The moving average, seconds; `None` before the first answer.
    pub fn average(&self) -> Option<f64> {
        self.average
    }

    /// Whether the target is slow against `median`, seconds, and `objective`, with
    /// `in_flight` requests of this instance there.
    pub fn is_slow(&self, median: f64, objective: Duration, in_flight: u32, now: Instant) -> bool {
        let silent_since = self.silent_since.filter(|_| in_flight > 0);
        let silence = silent_since.map_or(0.0, |since| now.saturating_duration_since(since).as_secs_f64());
        let average = self.average.unwrap_or(0.0);
        let objective = objective.as_secs_f64();
        (average > SLOW_FACTOR * median && average > objective)
            || (silence > SILENT_FACTOR * median && silence > objective)
    }

    /// Whether a slow target may be sent a request to see whether it is faster.
    pub fn may_try(&self, in_flight: u32, now: Instant) -> bool {
        in_flight == 0 && self.tried_at.is_none_or(|tried| now.saturating_duration_since(tried) > self.try_every())
    }

    /// Time between requests to the target while it is slow.
    fn try_every(&self) -> Duration {
        let average = self.average.unwrap_or(0.0);
        SLOW_TRY_EVERY.max(Duration::from_secs_f64(SLOW_TRY_LATENCIES * average))
    }
}

/// The median of some averages, seconds, the upper of the two middle ones; `None` of none.
/// With one or two measured targets none is above it, so that, once it is worked out anew, only
/// silence can make one slow.
pub fn median(mut averages: Vec<f64>) -> Option<f64> {
    averages.sort_by(f64::total_cmp);
    averages.get(averages.len() / 2).copied()
}
