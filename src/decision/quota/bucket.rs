//! One tenant's tokens over all instances, and the share of its requests that may pass.
//!
//! **Inputs**
//! - The tenant's quota, from the configuration in force; as old as the view.
//! - Requests that instances let through and that arrived there, told 0.2 to 0.5 s later.
//! - The part of the quota that is not left to instances that are not heard from, 0 to 1.
//!
//! **Why.** A share lets all instances refuse alike, wherever the callers come in, and needs no
//! message for a request. Tokens below 0 are what was let through before word of it came; the share
//! is lower until they are repaid.
//!
//! **Guards** the promise that a tenant's requests stay within its quota over all instances, and
//! that one below its quota is not refused. **Test**: `tests/quotas.rs`, `tests/quota_replay.rs`.

use crate::clock::Instant;
use crate::model::config::Quota;
use crate::model::usage::Usage;
use std::time::Duration;

/// Time over which demand is averaged: long against the time between two reports (0.2 s), short
/// against the second in which a burst is used up.
const DEMAND_TIME: Duration = Duration::from_millis(500);
/// Time in which tokens are used up, or repaid where there are fewer than none: above the time from
/// a request to the share that follows from it (0.5 s), below which the share swings.
const REPAY_TIME: Duration = Duration::from_millis(700);
/// Most that has to be repaid, in seconds of the rate: after a longer excess the tenant is not kept
/// out for what no window of the operators holds any more.
const MAX_DEBT: f64 = 2.0;

/// A tenant's quota, as far as it is shared.
#[derive(Clone, Copy, Debug)]
pub struct SharedQuota {
    /// The tenant's quota.
    pub quota: Quota,
    /// Requests besides, for counts that are late.
    pub slack: f64,
    /// Part of the quota that is shared out here, 0 to 1.
    pub part: f64,
}

impl SharedQuota {
    fn rate(&self) -> f64 {
        self.quota.rate * self.part
    }

    fn capacity(&self) -> f64 {
        (self.quota.burst + self.slack) * self.part
    }
}

/// Tokens and demand of a tenant.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    /// Requests that may be let through at once; below 0 where more were than the quota allows.
    level: f64,
    /// Requests that arrive, a second.
    demand: f64,
    at: Instant,
}

impl Bucket {
    /// A bucket of a tenant of which nothing was told in the last `unseen`. What another head counted
    /// before is not known: it begins with the slack alone, not with a burst.
    pub fn new(shared: SharedQuota, unseen: Duration, now: Instant) -> Self {
        let saved = shared.part * shared.slack + shared.rate() * unseen.as_secs_f64();
        let level = saved.min(shared.capacity());
        Self { level, demand: 0.0, at: now }
    }

    /// Counts requests.
    pub fn record(&mut self, usage: Usage, shared: SharedQuota, now: Instant) {
        self.advance(shared, now);
        let least = -MAX_DEBT * shared.quota.rate - shared.slack;
        self.level = (self.level - f64::from(usage.admitted)).clamp(least, shared.capacity());
        self.demand += f64::from(usage.offered) / DEMAND_TIME.as_secs_f64();
    }

    /// The share of the tenant's requests that may pass now, 0 to 1.
    pub fn pass(&mut self, shared: SharedQuota, now: Instant) -> f64 {
        self.advance(shared, now);
        self.level = self.level.min(shared.capacity());
        let allowed = shared.rate() + self.level / REPAY_TIME.as_secs_f64();
        if allowed >= self.demand { 1.0 } else { (allowed / self.demand).max(0.0) }
    }

    /// Tokens, requests; below 0 where more were let through than the quota allows.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Requests that arrive, a second.
    pub fn demand(&self) -> f64 {
        self.demand
    }

    fn advance(&mut self, shared: SharedQuota, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        self.level = (self.level + shared.rate() * passed).min(shared.capacity());
        self.demand *= (-passed / DEMAND_TIME.as_secs_f64()).exp();
    }
}
