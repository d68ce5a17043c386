//! One tenant's requests over all instances in the operators' window, and the ratio at which its
//! requests are admitted.
//!
//! **Inputs**
//! - The tenant's quota, from the configuration in force; as old as the view. In a window it is the
//!   rate times the window, plus the burst.
//! - Requests that arrived at instances and those admitted, by hall, reported 0.2 to 0.5 s later.
//! - The part of the quota that is not left to unreachable instances, 0 to 1, and which halls are
//!   reachable.
//!
//! **Why.** With one ratio all instances refuse alike, wherever callers connect, and no message is
//! needed per request. The window is the operators' own measure: a tenant that is always above its
//! rate is granted the burst in each window, where a token bucket would grant it once. Requests are
//! admitted at the rate at which others leave the window, plus a rate that falls as the window fills,
//! so that reports of the last requests arrive before it is full. The first of these rates is at most
//! the average over the window: a burst that leaves the window is not readmitted all at once, and so
//! does not recur in each window.
//!
//! A step in demand reaches all halls at the same moment, but is reported later by the others than by
//! the own one: until they report, they are expected to have grown as the own hall has
//! ([`super::hall_demand`]).
//!
//! A head that took over within the window does not know the requests admitted before. It assumes that
//! they used up the quota, and that they leave the window at the tenant's rate.
//!
//! **Guards** the promise that a tenant's requests stay within its quota over all instances, and
//! that one below its quota is not refused. **Test**: `tests/quotas.rs`, `tests/quota_replay.rs`.

use crate::clock::Instant;
use crate::decision::quota::hall_demand::HallDemands;
use crate::model::config::Quota;
use crate::model::usage::Usage;
use std::collections::BTreeMap;
use std::time::Duration;

/// Slots of a window. Requests count for up to one slot longer than the window, never shorter.
const SLOTS: usize = 20;
/// Number of the first slot: requests from before it have slots in the window too.
const FIRST_SLOT: u64 = SLOTS as u64;
/// Number of slots, of those that leave the window next, over which the rate of the requests that leave it
/// is averaged: two are about the time until reports arrive.
const EXPIRING_SLOTS: usize = 2;
/// Time constant of the average demand: long compared with the report interval (0.2 s), short compared
/// with a window.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_millis(350);
/// Minimum period that a report is taken to cover: demand computed over less would be random.
const MIN_COVERED_PERIOD: Duration = Duration::from_millis(100);
/// Time in which what is left of the quota in the window is used up: over twice the time from a request to
/// the ratio that takes it into account.
const FILL_TIME: Duration = Duration::from_millis(1200);

/// A tenant's quota as a limit on the requests in a window.
#[derive(Clone, Copy, Debug)]
pub struct WindowLimit {
    /// The tenant's quota.
    pub quota: Quota,
    /// Length of the operators' window.
    pub window: Duration,
    /// Additional requests in a window, for late reports.
    pub slack: f64,
    /// Part of the quota that the head grants, 0 to 1; unreachable instances use the rest.
    pub reachable_fraction: f64,
    /// Requests that halls may have admitted that have reported within the window, but no longer do.
    pub reserved: f64,
}

impl WindowLimit {
    /// Maximum number of requests in a window, including the slack.
    pub fn max_requests(&self) -> f64 {
        self.requests_without_slack() + self.slack * self.reachable_fraction
    }

    /// Maximum number of requests in a window, without the slack.
    fn requests_without_slack(&self) -> f64 {
        (self.quota.rate * self.window.as_secs_f64() + self.quota.burst) * self.reachable_fraction
    }
}

/// Requests that a hall's instances admitted, by slot.
#[derive(Clone, Debug, Default)]
struct HallCounts {
    slots: [i64; SLOTS + 1],
    total: i64,
}

impl HallCounts {
    fn clear(&mut self, slot: usize) {
        self.total -= std::mem::take(&mut self.slots[slot]);
    }

    fn add(&mut self, slot: usize, count: i64) {
        self.slots[slot] += count;
        self.total += count;
    }
}

/// An admit ratio and what it was computed from, besides the requests in the window.
#[derive(Clone, Copy, Debug)]
pub struct AdmitRatio {
    /// Part of the requests to admit, 0 to 1.
    pub ratio: f64,
    /// Maximum number of requests in the window.
    pub max_requests: f64,
    /// Requests assumed to have been admitted before this head took over.
    pub unknown: f64,
    /// Requests estimated to have been admitted, but not reported yet.
    pub unreported: f64,
    /// Requests that arrive or are expected to, per second.
    pub demand: f64,
}

impl Default for AdmitRatio {
    fn default() -> Self {
        Self { ratio: 1.0, max_requests: 0.0, unknown: 0.0, unreported: 0.0, demand: 0.0 }
    }
}

/// A tenant's requests in the window, and its demand.
#[derive(Clone, Debug)]
pub struct TenantWindow {
    counts: BTreeMap<String, HallCounts>,
    /// Number of the current slot; `FIRST_SLOT` at `started_at`.
    slot: u64,
    /// Length of a slot, seconds.
    slot_time: f64,
    started_at: Instant,
    /// Exponentially weighted average of requests that arrive, per second; too low at first.
    demand: f64,
    /// Demand by hall, from which that of halls without a recent report is estimated.
    hall_demands: HallDemands,
    /// The ratio that was computed last, and from what.
    last: AdmitRatio,
    /// Maximum period covered by one report so far, seconds: requests of the first one arrived before
    /// `started_at`.
    max_covered_period: f64,
    updated_at: Instant,
}

/// Weight of the last `seconds` in the average demand, 0 to 1.
fn average_weight(seconds: f64) -> f64 {
    1.0 - (-seconds / DEMAND_TIME_CONSTANT.as_secs_f64()).exp()
}

impl TenantWindow {
    /// An empty window, which estimates no other hall's demand.
    pub fn new(now: Instant) -> Self {
        Self {
            counts: BTreeMap::new(),
            slot: FIRST_SLOT,
            slot_time: 1.0,
            started_at: now,
            demand: 0.0,
            hall_demands: HallDemands::default(),
            last: AdmitRatio::default(),
            max_covered_period: 0.0,
            updated_at: now,
        }
    }

    /// An empty window at the head of `hall`, which expects growth in its own hall to occur in others too.
    pub fn for_hall(hall: &str, now: Instant) -> Self {
        Self { hall_demands: HallDemands::for_hall(hall), ..Self::new(now) }
    }

    /// Counts requests that a hall reported, and which arrived within the last `period`.
    pub fn record(&mut self, hall: &str, usage: Usage, period: Duration, limit: WindowLimit, now: Instant) {
        self.advance(limit, now);
        if usage.offered == 0 && usage.admitted > 0 {
            return self.record_history(hall, usage.admitted.into(), period);
        }
        let slot = self.current_slot();
        self.counts_of(hall).add(slot, usage.admitted.into());
        self.hall_demands.record(hall, usage.offered, period.max(MIN_COVERED_PERIOD), now);
        let period = period.max(MIN_COVERED_PERIOD).as_secs_f64();
        self.max_covered_period = self.max_covered_period.max(period);
        self.demand += f64::from(usage.offered) / period * average_weight(period);
    }

    /// Counts requests that another head has counted before, evenly over the period in which they were
    /// admitted. They say nothing of the present demand.
    fn record_history(&mut self, hall: &str, admitted: i64, period: Duration) {
        let slots = ((period.as_secs_f64() / self.slot_time) as usize).clamp(1, SLOTS);
        let current = self.slot as usize;
        let counts = self.counts_of(hall);
        for back in 0..slots {
            let (from, until) = (admitted * back as i64 / slots as i64, admitted * (back as i64 + 1) / slots as i64);
            counts.add((current - back) % (SLOTS + 1), until - from);
        }
    }

    fn counts_of(&mut self, hall: &str) -> &mut HallCounts {
        if !self.counts.contains_key(hall) {
            self.counts.insert(hall.to_owned(), HallCounts::default());
        }
        self.counts.get_mut(hall).expect("inserted above")
    }

    /// Part of the tenant's requests to admit now, 0 to 1. `is_reachable` states whether a hall is
    /// reachable, `known_for` for how long this head has known all admitted requests.
    pub fn admit_ratio(
        &mut self,
        limit: WindowLimit,
        is_reachable: impl Fn(&str) -> bool,
        known_for: Duration,
        now: Instant,
    ) -> f64 {
        self.advance(limit, now);
        let rate = limit.quota.rate * limit.reachable_fraction;
        let unknown = (limit.requests_without_slack() - rate * known_for.as_secs_f64()).max(0.0);
        // Half of the slack is left for requests admitted before this instance became head.
        let max_requests = if unknown > 0.0 {
            (limit.requests_without_slack() + limit.max_requests()) / 2.0
        } else {
            limit.max_requests()
        };
        let before = self.used_before(&is_reachable, known_for);
        let reported = self.used(&is_reachable) + limit.reserved + (unknown - before).max(0.0);
        let free = if max_requests > 0.0 { (1.0 - reported / max_requests).clamp(0.0, 1.0) } else { 0.0 };
        let (expected, unreported) = self.hall_demands.estimate(&is_reachable, free, now);
        let used = reported + unreported * self.last.ratio;
        let remaining = max_requests - used;
        let unknown_expiring = if unknown > 0.0 { rate } else { 0.0 };
        let expiring = (self.expiring_rate(is_reachable) + unknown_expiring).min(used / limit.window.as_secs_f64());
        let allowed = expiring + remaining / FILL_TIME.as_secs_f64();
        let demand = self.demand().max(expected);
        let ratio = if allowed >= demand { 1.0 } else { (allowed / demand).max(0.0) };
        self.last = AdmitRatio { ratio, max_requests, unknown, unreported: used - reported, demand };
        ratio
    }

    /// Requests admitted in the window, in halls for which `is_reachable` holds.
    pub fn used(&self, is_reachable: impl Fn(&str) -> bool) -> f64 {
        let reachable = self.counts.iter().filter(|(hall, _)| is_reachable(hall));
        reachable.map(|(_, counts)| counts.total).sum::<i64>().max(0) as f64
    }

    /// Requests in the window that were admitted more than `known_for` ago.
    fn used_before(&self, is_reachable: impl Fn(&str) -> bool, known_for: Duration) -> f64 {
        let known_slots = (known_for.as_secs_f64() / self.slot_time).ceil() as usize + 1;
        let reachable = self.counts.iter().filter(|(hall, _)| is_reachable(hall));
        let before = |counts: &HallCounts| -> i64 {
            (known_slots..=SLOTS).map(|back| counts.slots[(self.slot as usize - back) % (SLOTS + 1)]).sum()
        };
        reachable.map(|(_, counts)| before(counts)).sum::<i64>().max(0) as f64
    }

    /// The ratio that was computed last.
    pub fn last_ratio(&self) -> AdmitRatio {
        self.last
    }

    /// Requests admitted in the window, by hall.
    pub fn used_by_hall(&self) -> impl Iterator<Item = (&str, i64)> {
        self.counts.iter().map(|(hall, counts)| (hall.as_str(), counts.total))
    }

    /// Rate at which requests will leave the window next, per second.
    fn expiring_rate(&self, is_reachable: impl Fn(&str) -> bool) -> f64 {
        let next = (1..=EXPIRING_SLOTS).map(|ahead| (self.slot as usize + ahead) % (SLOTS + 1));
        let reachable = self.counts.iter().filter(|(hall, _)| is_reachable(hall));
        let count: i64 = reachable.map(|(_, counts)| next.clone().map(|slot| counts.slots[slot]).sum::<i64>()).sum();
        count.max(0) as f64 / (EXPIRING_SLOTS as f64 * self.slot_time)
    }

    /// Requests that arrive per second, admitted or not; a moving average since the first report.
    pub fn demand(&self) -> f64 {
        let observed =
            self.updated_at.saturating_duration_since(self.started_at).as_secs_f64() + self.max_covered_period;
        if observed > 0.0 { self.demand / average_weight(observed) } else { 0.0 }
    }

    fn current_slot(&self) -> usize {
        self.slot as usize % (SLOTS + 1)
    }

    /// Advances the window to `now`, and drops the requests that have left it.
    fn advance(&mut self, limit: WindowLimit, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        self.demand *= (-elapsed / DEMAND_TIME_CONSTANT.as_secs_f64()).exp();
        self.slot_time = limit.window.as_secs_f64() / SLOTS as f64;
        let slot = (now.saturating_duration_since(self.started_at).as_secs_f64() / self.slot_time) as u64 + FIRST_SLOT;
        let first = self.slot + 1;
        let last = slot.min(self.slot + SLOTS as u64 + 1);
        for cleared in first..=last {
            let index = cleared as usize % (SLOTS + 1);
            self.counts.values_mut().for_each(|counts| counts.clear(index));
        }
        self.slot = slot.max(self.slot);
    }
}
