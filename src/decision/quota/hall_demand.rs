//! A tenant's demand by hall, and an estimate for halls that have not reported since the own hall's
//! demand grew.
//!
//! **Load pattern**: a tenant multiplies its request rate in all halls at the same moment, while
//! reports of other halls are 0.3 s old, or older where links are saturated.
//!
//! **Rule.** Each other hall is expected to receive the demand that it reported last, times the
//! growth of the own hall's demand since then, as far as that growth exceeds random variation. The
//! less is left of the quota, the smaller the growth that counts. Requests that such a hall is
//! estimated to have admitted since its last report count as used.
//!
//! **Inputs**: requests that arrived, by hall: those of the own hall 0.05 to 0.2 s old, of others 0.1
//! to 0.5 s, up to the age from which a hall counts as unreachable. Callers that move into the own hall
//! look like growth until the hall that they left has reported; an admit ratio is reduced then only where
//! the tenant is near its quota.
//!
//! **Guards** the promise that a step of any size stays within the quota. **Test**:
//! `tests/quota_steps.rs`, `tests/quotas.rs`.

use crate::clock::Instant;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time constant of a hall's average demand: several report intervals.
const AVERAGE_TIME_CONSTANT: Duration = Duration::from_millis(350);
/// Time constant of a hall's recent demand, in which growth shows: two reports of instances that report
/// at the shortest interval.
const RECENT_TIME_CONSTANT: Duration = Duration::from_millis(100);
/// Fraction of the quota in the window that is left, at and above which the growth thresholds apply in
/// full (no unit). Below it they fall in proportion: the less is left, the sooner a step exhausts the
/// quota.
const AMPLE_FREE_FRACTION: f64 = 0.25;
/// Standard deviations by which growth has to exceed random variation while
/// [`AMPLE_FREE_FRACTION`] is left (no unit).
const GROWTH_DEVIATIONS: f64 = 2.5;
/// Growth of the own hall, in excess of 1, from which other halls are expected to grow while
/// [`AMPLE_FREE_FRACTION`] is left (factor): smaller changes come from callers that come and go.
const MIN_EXCESS_GROWTH: f64 = 0.75;
/// Maximum growth expected of other halls (factor): a hall that has just received its first callers
/// shows arbitrarily large growth.
const MAX_GROWTH: f64 = 40.0;
/// Maximum time over which unreported requests of a hall are estimated: after it, the hall counts as
/// unreachable.
const MAX_UNREPORTED_TIME: Duration = Duration::from_secs(1);

/// An exponentially weighted average rate.
#[derive(Clone, Copy, Debug)]
struct DecayingRate {
    per_second: f64,
    time_constant: Duration,
    updated_at: Instant,
}

impl DecayingRate {
    fn new(time_constant: Duration, updated_at: Instant) -> Self {
        Self { per_second: 0.0, time_constant, updated_at }
    }

    /// Fraction of the average that remains after `passed`.
    fn remaining_fraction(&self, passed: Duration) -> f64 {
        (-passed.as_secs_f64() / self.time_constant.as_secs_f64()).exp()
    }

    /// Adds requests that arrived within the last `period`.
    fn add(&mut self, count: f64, period: Duration, now: Instant) {
        let new = count / period.as_secs_f64() * (1.0 - self.remaining_fraction(period));
        self.per_second = self.value_at(now) + new;
        self.updated_at = now;
    }

    fn value_at(&self, now: Instant) -> f64 {
        self.per_second * self.remaining_fraction(now.saturating_duration_since(self.updated_at))
    }
}

/// Demand that a hall reported.
#[derive(Clone, Copy, Debug)]
struct HallDemand {
    average: DecayingRate,
    recent: DecayingRate,
    /// The own hall's average demand when this hall last reported, requests per second.
    own_at_report: f64,
}

/// A tenant's demand by hall.
#[derive(Clone, Debug, Default)]
pub struct HallDemands {
    /// The own hall; `None` where no other hall's demand is estimated.
    own: Option<String>,
    halls: BTreeMap<String, HallDemand>,
}

impl HallDemands {
    /// Demand at the head of the hall `own`, before any report.
    pub fn for_hall(own: &str) -> Self {
        Self { own: Some(own.to_owned()), halls: BTreeMap::new() }
    }

    /// Counts requests that arrived in a hall within the last `period`, admitted or not.
    pub fn record(&mut self, hall: &str, offered: u32, period: Duration, now: Instant) {
        let own_at_report = self.own_average(now);
        if !self.halls.contains_key(hall) {
            let new = HallDemand {
                average: DecayingRate::new(AVERAGE_TIME_CONSTANT, now),
                recent: DecayingRate::new(RECENT_TIME_CONSTANT, now),
                own_at_report,
            };
            self.halls.insert(hall.to_owned(), new);
        }
        let Some(demand) = self.halls.get_mut(hall) else { return };
        demand.average.add(offered.into(), period, now);
        demand.recent.add(offered.into(), period, now);
        demand.own_at_report = own_at_report;
    }

    /// The demand expected of all reachable halls, in requests per second, and the number of requests
    /// estimated to have arrived in the other halls since their last reports. `free` is the fraction
    /// of the quota in the window that is left, 0 to 1.
    pub fn estimate(&self, is_reachable: impl Fn(&str) -> bool, free: f64, now: Instant) -> (f64, f64) {
        let Some(own) = self.own.as_deref() else { return (0.0, 0.0) };
        let headroom = (free / AMPLE_FREE_FRACTION).min(1.0);
        let deviations = GROWTH_DEVIATIONS * headroom;
        let current_demand = self.current_demand(own, deviations, now);
        let (mut expected, mut unreported) = (current_demand, 0.0);
        for (_, demand) in self.halls.iter().filter(|(hall, _)| **hall != *own && is_reachable(hall)) {
            let growth = growth(current_demand, demand.own_at_report, deviations);
            if growth < 1.0 + MIN_EXCESS_GROWTH * headroom {
                expected += demand.average.value_at(now);
                continue;
            }
            let rate = demand.average.per_second * growth;
            let age = now.saturating_duration_since(demand.average.updated_at).min(MAX_UNREPORTED_TIME);
            expected += rate;
            unreported += rate * age.as_secs_f64();
        }
        (expected, unreported)
    }

    fn own_average(&self, now: Instant) -> f64 {
        let own = self.own.as_deref().and_then(|own| self.halls.get(own));
        own.map_or(0.0, |demand| demand.average.value_at(now))
    }

    /// The own hall's demand: the recent one less its random variation, or the average if that is higher.
    fn current_demand(&self, own: &str, deviations: f64, now: Instant) -> f64 {
        let Some(demand) = self.halls.get(own) else { return 0.0 };
        let recent = demand.recent.value_at(now);
        let deviation = (recent / (2.0 * RECENT_TIME_CONSTANT.as_secs_f64())).sqrt();
        (recent - deviations * deviation).max(demand.average.value_at(now))
    }
}

/// Growth of the own hall's demand (factor), relative to the highest value that random variation
/// makes plausible for the previous demand.
fn growth(current_demand: f64, previous: f64, deviations: f64) -> f64 {
    let time_constant = AVERAGE_TIME_CONSTANT.as_secs_f64();
    let deviation = ((previous + 1.0 / time_constant) / (2.0 * time_constant)).sqrt();
    // At a few requests per second, one more request is not growth.
    let one_request = 1.0 / (2.0 * time_constant);
    (current_demand / (previous + one_request + deviations * deviation)).min(MAX_GROWTH)
}
