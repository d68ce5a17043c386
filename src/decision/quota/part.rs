//! The part of a tenant's quota that an instance admits which hears from no head: the rate and the
//! burst, divided by the number of instances.
//!
//! **Inputs**: the quota; the number of instances in the view, which is not bounded in age while
//! the store is unreachable.
//!
//! It begins with one request: what was let through before the process started is not known.
//!
//! **Why.** The parts of all instances sum to the quota whoever hears whom, so that a hall, a region
//! or a machine that is cut off serves on. Where a part of the burst is below one request, one is
//! kept: an instance then serves a tenant's first request.
//!
//! **Guards** the promise that a tenant's quota holds where instances cannot talk.
//! **Test**: `tests/quotas.rs`, `tests/quota_replay.rs`.

use crate::clock::Instant;
use crate::model::config::Quota;

/// Instances that are assumed where this one is in no list of them: it cannot tell then how many
/// others know as little.
const UNKNOWN_FLEET: usize = 100;

/// Who shares a quota.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// Instances in the view.
    pub members: usize,
    /// Whether this one is among them.
    pub is_member: bool,
}

impl Fleet {
    /// Instances that share a quota.
    pub fn size(self) -> f64 {
        let least = if self.is_member { 1 } else { UNKNOWN_FLEET };
        self.members.max(least) as f64
    }
}

/// Requests of a tenant that this instance may let through by itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct Part {
    saved: Option<f64>,
    at: Option<Instant>,
}

impl Part {
    /// Pays for a request; false where the part is used up.
    pub fn take(&mut self, quota: Quota, fleet: Fleet, now: Instant) -> bool {
        let most = (quota.burst / fleet.size()).max(1.0);
        let passed = self.at.map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.at = Some(now);
        let saved = (self.saved.unwrap_or(1.0) + passed * quota.rate / fleet.size()).min(most);
        let is_paid = saved >= 1.0;
        self.saved = Some(if is_paid { saved - 1.0 } else { saved });
        is_paid
    }
}
