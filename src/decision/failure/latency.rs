//! Slow targets: a target is slow if its average latency exceeds both three times the median of its
//! service and the route's objective, or if it has not responded for longer than both 4.5 medians and
//! the objective. It gets one request at a time and at most one per second until it is faster.
//!
//! **Inputs**
//! - Latency, seconds: time from sending to the valid response, of this instance's requests. A
//!   request that timed out counts with the time waited; a broken exchange or a server error does
//!   not count. The average has no age limit: a slow target is probed from time to time, which
//!   measures it again.
//! - Time since the last response, seconds: since the last valid response or timeout. If the target was
//!   without requests in flight at some time after it, the time starts when the next one is sent. Counts
//!   only while requests are in flight.
//! - Median of the averages of the service's targets, seconds; computed every 0.5 s by the
//!   instance's periodic tasks. Infinite before the first response, so that no target is slow then.
//! - The route's latency objective, from the configuration in force.
//!
//! **Why.** A target that responds far later than its peers makes every request sent there miss
//! its objective, but fails none of them, so that ejection does not notice it. Below the objective
//! there is no gain in moving requests away from cached objects.
//!
//! **Guards** the promises that responses meet their objective where another target can provide
//! them in time, and that a recovered target is used again.
//!
//! **Test**: `a_slow_target_is_judged_by_median_and_objective`,
//! `the_average_follows_faster_responses_sooner` and `the_median_is_that_of_a_sorted_list` in
//! `tests/rules.rs`.

use crate::clock::Instant;
use std::time::Duration;

/// Weight of a new sample in the moving average (no unit): about five responses dominate it, so
/// that one response about an object that is not cached does not make a target slow.
const SMOOTHING_FACTOR: f64 = 0.2;
/// Weight of a new sample below the average (no unit): a recovered target counts as fast again
/// after about two responses, since it gets only one request a second.
const RECOVERY_SMOOTHING_FACTOR: f64 = 0.5;
/// Average latency above which a target is slow, in medians of its service. Requests about objects
/// that are not cached take up to 3.3 times as long as about cached ones.
const SLOW_FACTOR: f64 = 3.0;
/// Time since the last response above which a target is slow, in medians of its service. Above
/// [`SLOW_FACTOR`], since the target may be working on objects that are not cached.
const NO_RESPONSE_FACTOR: f64 = 4.5;
/// Minimum time between requests to a slow target: bounds the loss to one slow response per second.
const MIN_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum time between requests to a slow target, in average latencies of that target: the slower
/// its responses, the more a probe costs the caller.
const PROBE_INTERVAL_FACTOR: f64 = 6.0;

/// Latency of one target.
#[derive(Clone, Debug, Default)]
pub struct Latency {
    /// Moving average, seconds; `None` before the first response.
    average: Option<f64>,
    /// When the last request that counted ended, or when a request was sent while no other was in
    /// flight, whichever was later.
    no_response_since: Option<Instant>,
    /// When the last request was sent.
    last_sent_at: Option<Instant>,
}

impl Latency {
    /// Records that a request is sent while `in_flight` others are there.
    pub fn record_sent(&mut self, in_flight: u32, now: Instant) {
        if in_flight == 0 {
            self.no_response_since = Some(now);
        }
        self.last_sent_at = Some(now);
    }

    /// Records that a response arrived after `elapsed`, or that none had arrived by then.
    pub fn record(&mut self, elapsed: Duration, now: Instant) {
        let latency = elapsed.as_secs_f64();
        let average = self.average.unwrap_or(latency);
        let weight = if latency < average { RECOVERY_SMOOTHING_FACTOR } else { SMOOTHING_FACTOR };
        self.average = Some(average + weight * (latency - average));
        self.no_response_since = Some(now);
    }

    /// The moving average, seconds; `None` before the first response.
    pub fn average(&self) -> Option<f64> {
        self.average
    }

    /// Whether the target is slow compared with `median`, seconds, and `objective`, given
    /// `in_flight` requests of this instance there.
    pub fn is_slow(&self, median: f64, objective: Duration, in_flight: u32, now: Instant) -> bool {
        let time_since_response = self.time_without_response(in_flight, now).as_secs_f64();
        let average = self.average.unwrap_or(0.0);
        let objective = objective.as_secs_f64();
        (average > SLOW_FACTOR * median && average > objective)
            || (time_since_response > NO_RESPONSE_FACTOR * median && time_since_response > objective)
    }

    /// Time since the last response, as long as there are requests `in_flight`; otherwise zero.
    pub fn time_without_response(&self, in_flight: u32, now: Instant) -> Duration {
        let since = self.no_response_since.filter(|_| in_flight > 0);
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Whether a slow target may be sent a request that measures its latency again.
    pub fn may_probe(&self, in_flight: u32, now: Instant) -> bool {
        in_flight == 0
            && self.last_sent_at.is_none_or(|sent| now.saturating_duration_since(sent) > self.probe_interval())
    }

    /// Minimum time between requests to the target while it is slow.
    fn probe_interval(&self) -> Duration {
        let average = self.average.unwrap_or(0.0);
        MIN_PROBE_INTERVAL.max(Duration::from_secs_f64(PROBE_INTERVAL_FACTOR * average))
    }
}

/// The median of `averages`, seconds, which is the upper of the two middle values for an even
/// count; `None` if there are none. With one or two measured targets it is the highest average, so that
/// until an average changes only a missing response can make one of them slow.
pub fn median(mut averages: Vec<f64>) -> Option<f64> {
    averages.sort_by(f64::total_cmp);
    averages.get(averages.len() / 2).copied()
}
