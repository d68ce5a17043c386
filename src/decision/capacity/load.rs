//! Load of a target: this instance's requests in flight there, plus those of other instances as
//! the target last reported them, weighted down with the age of the report.
//!
//! **Inputs**
//! - In flight: requests that this instance has sent and that have not ended; exact, no age.
//! - Loads that the target reported to other instances, if loads are shared
//!   ([`super::shared_loads`]); 0.1 to 0.5 s old. The latest report counts, whichever instance
//!   received it.
//! - [`LoadReport`]: requests running and waiting, in a header of a response of the target. It counts
//!   in full when it arrives, then linearly less, and not at all from `MAX_REPORT_AGE` (1.5 s) on.
//!
//! **Why.** An instance sees its own requests at once and those of other instances only through the
//! target. The requests in an old report have mostly ended since.
//!
//! **Guards** the promise that full targets get no more requests, whichever instance fills them;
//! the limit itself is in [`crate::decision::capacity::admission`].
//!
//! **Test**: `a_reported_load_counts_until_it_is_too_old` in `tests/choice.rs`;
//! `load_is_the_requests_in_flight_plus_the_report_weighted_down_with_age` in `tests/rules.rs`.

use crate::clock::Instant;
use crate::decision::capacity::load_report::LoadReport;
use std::time::Duration;

/// Age from which a load report no longer counts. Requests take 0.15 s to 1.5 s, so that this is one to
/// ten service times.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);

/// Requests of other instances at a target.
#[derive(Clone, Copy, Debug)]
struct ReportedLoad {
    requests: u32,
    at: Instant,
    /// Whether this instance received it from the target and has not yet sent it to others.
    is_unshared: bool,
}

/// The load of one target, as this instance estimates it.
#[derive(Debug, Default)]
pub struct Load {
    in_flight: u32,
    reported: Option<ReportedLoad>,
}

impl Load {
    /// Adds a request of this instance to those in flight.
    pub fn begin_request(&mut self) {
        self.in_flight += 1;
    }

    /// Removes a request of this instance from those in flight.
    pub fn end_request(&mut self) {
        self.in_flight -= 1;
    }

    /// Number of this instance's requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Records a report of the target that arrived `now`. This instance's own requests in flight
    /// are subtracted, since they are counted exactly.
    pub fn record_report(&mut self, report: LoadReport, now: Instant) {
        let total = report.running.saturating_add(report.waiting);
        let requests = total.saturating_sub(self.in_flight);
        self.reported = Some(ReportedLoad { requests, at: now, is_unshared: true });
    }

    /// Records that the target reported `total` requests to another instance at `at`, unless a
    /// later report is known.
    pub fn record_remote(&mut self, total: u32, at: Instant) {
        if self.reported.is_none_or(|reported| reported.at < at) {
            let requests = total.saturating_sub(self.in_flight);
            self.reported = Some(ReportedLoad { requests, at, is_unshared: false });
        }
    }

    /// Takes the last report that was not yet sent to other instances: the target's requests, and
    /// when the report arrived.
    pub fn take_unshared(&mut self) -> Option<(u32, Instant)> {
        let reported = self.reported.as_mut().filter(|reported| reported.is_unshared)?;
        reported.is_unshared = false;
        Some((reported.requests.saturating_add(self.in_flight), reported.at))
    }

    /// The load for a new record of the same target. The requests in flight under this record count
    /// there as reported ones, since their end is still recorded here.
    pub fn for_successor(&self, now: Instant) -> Self {
        let requests = self.estimate(now).round() as u32;
        Self { in_flight: 0, reported: Some(ReportedLoad { requests, at: now, is_unshared: false }) }
    }

    /// Estimated number of requests running or waiting at the target.
    pub fn estimate(&self, now: Instant) -> f64 {
        f64::from(self.in_flight) + self.of_others(now)
    }

    /// Estimated number of requests of other instances among them.
    pub fn of_others(&self, now: Instant) -> f64 {
        self.reported.map_or(0.0, |reported| {
            let age = now.saturating_duration_since(reported.at).as_secs_f64() / MAX_REPORT_AGE.as_secs_f64();
            f64::from(reported.requests) * (1.0 - age).max(0.0)
        })
    }
}
