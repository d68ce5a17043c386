//! One tenant's requests over all instances in the operators' window, and the share of its requests
//! that may pass.
//!
//! **Inputs**
//! - The tenant's quota, from the configuration in force; as old as the view. In a window it is the
//!   rate times the window, and the burst.
//! - Requests that instances let through and that arrived there, by hall, told 0.2 to 0.5 s later.
//! - The part of the quota that is not left to instances that are not heard from, 0 to 1, and the
//!   halls that are heard from.
//!
//! **Why.** A share lets all instances refuse alike, wherever the callers come in, and needs no
//! message for a request. The window is the operators' own measure: a tenant that is always above
//! its rate is served the burst in each window, where tokens that are saved up serve it once. It
//! fills at a rate that falls with what is left of it, beyond what leaves it, so that word of the last
//! requests comes before it is full. Of more than the average that leaves at one moment only that is
//! let in at once: a burst does not come again with each window.
//!
//! A step comes to all halls at one moment, and word of it from the others later than from the own
//! one: what the own hall's requests have grown by is expected of the others until they tell more
//! ([`super::hall_demand`]).
//!
//! What a head does not know, since it began within the window, counts as used up, and leaves the
//! window at the tenant's rate.
//!
//! **Guards** the promise that a tenant's requests stay within its quota over all instances, and
//! that one below its quota is not refused. **Test**: `tests/quotas.rs`, `tests/quota_replay.rs`.

use crate::clock::Instant;
use crate::decision::quota::hall_demand::HallDemands;
use crate::model::config::Quota;
use crate::model::usage::Usage;
use std::collections::BTreeMap;
use std::time::Duration;

/// Slots of a window. It is counted up to a slot longer, never shorter.
const SLOTS: usize = 20;
/// Slots by which it is known how much leaves the window next: two, about the time until word comes.
const LEAVING_SLOTS: usize = 2;
/// Time over which demand is averaged: long against the time between two reports (0.2 s), short
/// against a window.
const DEMAND_TIME: Duration = Duration::from_millis(350);
/// Shortest time for which a report stands: of one that covers less the demand would be by chance.
const SHORTEST_REPORT: Duration = Duration::from_millis(100);
/// Time in which what is left of a window is used up: over twice the time from a request to the share
/// that follows from it.
const FILL_TIME: Duration = Duration::from_millis(1200);

/// A tenant's quota, as far as it is shared out by a head.
#[derive(Clone, Copy, Debug)]
pub struct SharedQuota {
    /// The tenant's quota.
    pub quota: Quota,
    /// The operators' window.
    pub window: Duration,
    /// Requests besides in a window, for counts that are late.
    pub slack: f64,
    /// Part of the quota that is shared out here, 0 to 1.
    pub part: f64,
}

impl SharedQuota {
    /// Most requests in a window.
    pub fn most(&self) -> f64 {
        self.quota() + self.slack * self.part
    }

    /// The same without the slack.
    fn quota(&self) -> f64 {
        (self.quota.rate * self.window.as_secs_f64() + self.quota.burst) * self.part
    }
}

/// Requests of a hall's callers that were let through, by slot.
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

/// A tenant's requests in the window, and its demand.
#[derive(Clone, Debug)]
pub struct TenantWindow {
    halls: BTreeMap<String, HallCounts>,
    /// Number of the slot now.
    slot: u64,
    /// Length of a slot, seconds.
    slot_time: f64,
    begun: Instant,
    /// Requests that arrive, a second, with less weight the longer ago; too low at first.
    demand: f64,
    /// The same by hall, as far as a hall's growth tells of the others.
    by_hall: HallDemands,
    /// The share that was answered last.
    last_pass: f64,
    /// Longest time before the first report in which told requests had arrived, seconds.
    seen_before: f64,
    at: Instant,
}

/// Weight of the last so many seconds in the average demand.
fn weight_of(seconds: f64) -> f64 {
    1.0 - (-seconds / DEMAND_TIME.as_secs_f64()).exp()
}

impl TenantWindow {
    /// The window of a tenant of which nothing was told yet.
    pub fn new(now: Instant) -> Self {
        Self {
            halls: BTreeMap::new(),
            slot: 0,
            slot_time: 1.0,
            begun: now,
            demand: 0.0,
            by_hall: HallDemands::default(),
            last_pass: 1.0,
            seen_before: 0.0,
            at: now,
        }
    }

    /// The window at the head of a hall, which expects of other halls what it sees in its own.
    pub fn of_hall(hall: &str, now: Instant) -> Self {
        Self { by_hall: HallDemands::of_hall(hall), ..Self::new(now) }
    }

    /// Counts requests that instances of a hall told, which arrived within the last `over`.
    pub fn record(&mut self, hall: &str, usage: Usage, over: Duration, shared: SharedQuota, now: Instant) {
        self.advance(shared, now);
        let slot = self.slot_now();
        if !self.halls.contains_key(hall) {
            self.halls.insert(hall.to_owned(), HallCounts::default());
        }
        if let Some(counts) = self.halls.get_mut(hall) {
            counts.add(slot, usage.admitted.into());
        }
        self.by_hall.record(hall, usage.offered, over.max(SHORTEST_REPORT), now);
        let over = over.max(SHORTEST_REPORT).as_secs_f64();
        self.seen_before = self.seen_before.max(over);
        self.demand += f64::from(usage.offered) / over * weight_of(over);
    }

    /// The share of the tenant's requests that may pass now, 0 to 1. `is_heard` says of a hall
    /// whether it is heard from, `known_for` for how long.
    pub fn pass(
        &mut self,
        shared: SharedQuota,
        is_heard: impl Fn(&str) -> bool,
        known_for: Duration,
        now: Instant,
    ) -> f64 {
        self.advance(shared, now);
        let rate = shared.quota.rate * shared.part;
        let unknown = (shared.quota() - rate * known_for.as_secs_f64()).max(0.0);
        // Half of the slack is left for what was let through before this head began.
        let most = if unknown > 0.0 { (shared.quota() + shared.most()) / 2.0 } else { shared.most() };
        let told = self.used(&is_heard) + unknown;
        let free = if most > 0.0 { (1.0 - told / most).clamp(0.0, 1.0) } else { 0.0 };
        let (expected, untold) = self.by_hall.expected(&is_heard, free, now);
        let used = told + untold * self.last_pass;
        let left = most - used;
        let unknown_leaving = if unknown > 0.0 { rate } else { 0.0 };
        let leaving = (self.leaving(is_heard) + unknown_leaving).min(used / shared.window.as_secs_f64());
        let allowed = leaving + left / FILL_TIME.as_secs_f64();
        let demand = self.demand().max(expected);
        self.last_pass = if allowed >= demand { 1.0 } else { (allowed / demand).max(0.0) };
        self.last_pass
    }

    /// Requests let through in the window, in halls that are heard from.
    pub fn used(&self, is_heard: impl Fn(&str) -> bool) -> f64 {
        let heard = self.halls.iter().filter(|(hall, _)| is_heard(hall));
        heard.map(|(_, counts)| counts.total).sum::<i64>().max(0) as f64
    }

    /// Requests, a second, that will leave the window next.
    fn leaving(&self, is_heard: impl Fn(&str) -> bool) -> f64 {
        let next = (1..=LEAVING_SLOTS).map(|ahead| (self.slot as usize + ahead) % (SLOTS + 1));
        let heard = self.halls.iter().filter(|(hall, _)| is_heard(hall));
        let count: i64 = heard.map(|(_, counts)| next.clone().map(|slot| counts.slots[slot]).sum::<i64>()).sum();
        count.max(0) as f64 / (LEAVING_SLOTS as f64 * self.slot_time)
    }

    /// Requests that arrive, a second, on average since the first were told.
    pub fn demand(&self) -> f64 {
        let seen = self.at.saturating_duration_since(self.begun).as_secs_f64() + self.seen_before;
        if seen > 0.0 { self.demand / weight_of(seen) } else { 0.0 }
    }

    fn slot_now(&self) -> usize {
        self.slot as usize % (SLOTS + 1)
    }

    /// Lets go of what has left the window.
    fn advance(&mut self, shared: SharedQuota, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        self.demand *= (-passed / DEMAND_TIME.as_secs_f64()).exp();
        self.slot_time = shared.window.as_secs_f64() / SLOTS as f64;
        let slot = (now.saturating_duration_since(self.begun).as_secs_f64() / self.slot_time) as u64;
        let first = self.slot + 1;
        let last = slot.min(self.slot + SLOTS as u64 + 1);
        for cleared in first..=last {
            let place = cleared as usize % (SLOTS + 1);
            self.halls.values_mut().for_each(|counts| counts.clear(place));
        }
        self.slot = slot.max(self.slot);
    }
}
