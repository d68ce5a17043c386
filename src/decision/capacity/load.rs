//! Load of a target: the requests of this instance in flight there, plus those of other
//! instances as the target last reported them, the report fading with its age.
//!
//! **Inputs**
//! - In flight: requests that this instance has sent and not finished; exact, no age.
//! - What the target told other instances, where loads are shared ([`super::shared_loads`]); 0.1 to
//!   0.5 s old. The latest report counts, whoever had it.
//! - [`LoadReport`]: requests running and waiting, in a header of an answer of the target; counts in
//!   full when it arrives, linearly less with its age, and not at all from `REPORT_LIFE` (1.5 s) on.
//!
//! **Why.** An instance sees its own requests at once and those of the others only through
//! the target. An old report says little: the requests in it have been answered since.
//!
//! **Guards** the promise that full targets are not sent more, whoever fills them; the limit
//! itself is in [`crate::decision::capacity::admission`].
//!
//! **Test**: `a_reported_load_counts_and_fades` in `tests/choice.rs`;
//! `load_is_what_is_in_flight_and_the_fading_rest_of_the_report` in `tests/rules.rs`.

use crate::clock::Instant;
use crate::decision::capacity::load_report::LoadReport;
use std::time::Duration;

/// Age from which a target's report of its load no longer counts. From one to ten service
/// times, which are 0.15 s to 1.5 s.
const REPORT_LIFE: Duration = Duration::from_millis(1_500);

/// Requests of other instances at a target.
#[derive(Clone, Copy, Debug)]
struct ReportedLoad {
    requests: u32,
    at: Instant,
    /// Whether the target told this instance, and no other was told of it yet.
    is_untold: bool,
}

/// The load of one target.
#[derive(Debug, Default)]
pub struct Load {
    in_flight: u32,
    reported: Option<ReportedLoad>,
}

impl Load {
    /// Counts in a request of this instance.
    pub fn begin(&mut self) {
        self.in_flight += 1;
    }

    /// Counts out a request of this instance.
    pub fn end(&mut self) {
        self.in_flight -= 1;
    }

    /// Requests of this instance that are in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Takes in a report that arrived now. What this instance has in flight itself is
    /// taken off: it is counted exactly.
    pub fn report(&mut self, report: LoadReport, now: Instant) {
        let all = report.running.saturating_add(report.waiting);
        let requests = all.saturating_sub(self.in_flight);
        self.reported = Some(ReportedLoad { requests, at: now, is_untold: true });
    }

    /// Takes in what the target told another instance at a time; what it told later stays.
    pub fn hear(&mut self, all: u32, at: Instant) {
        if self.reported.is_none_or(|reported| reported.at < at) {
            let requests = all.saturating_sub(self.in_flight);
            self.reported = Some(ReportedLoad { requests, at, is_untold: false });
        }
    }

    /// What the target told and no other instance was told of yet: requests, and when.
    pub fn take_untold(&mut self) -> Option<(u32, Instant)> {
        let reported = self.reported.as_mut().filter(|reported| reported.is_untold)?;
        reported.is_untold = false;
        Some((reported.requests + self.in_flight, reported.at))
    }

    /// The load for a new record of the same target: what is in flight under this one counts
    /// like a report, since its end is counted here.
    pub fn handed_over(&self, now: Instant) -> Self {
        let requests = self.at(now).round() as u32;
        Self { in_flight: 0, reported: Some(ReportedLoad { requests, at: now, is_untold: false }) }
    }

    /// Requests that are probably running or waiting at the target.
    pub fn at(&self, now: Instant) -> f64 {
        let reported = self.reported.map_or(0.0, |reported| {
            let age = now.saturating_duration_since(reported.at).as_secs_f64() / REPORT_LIFE.as_secs_f64();
            f64::from(reported.requests) * (1.0 - age).max(0.0)
        });
        f64::from(self.in_flight) + reported
    }
}
