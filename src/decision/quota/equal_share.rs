//! The equal share of a tenant's quota, for an instance without a current answer from a head: a token
//! bucket with the rate and the burst divided by the number of instances. An instance that has a
//! current answer, but has used up the tenant's allowance ([`super::local_usage`]), also uses the
//! bucket, without the burst.
//!
//! **Inputs**: the quota; the number of instances in the view, whose age is not bounded while the
//! store is unreachable.
//!
//! The bucket starts with one token: requests admitted before the process started are unknown.
//!
//! **Why.** The shares of all instances sum to the quota whichever of them can communicate, so that a
//! hall, a region or a machine that is cut off continues to serve. Where the share of the burst is
//! below one request, the bucket holds one, so that an instance serves a tenant's first request.
//!
//! **Guards** the promise that a tenant's quota holds where instances cannot communicate.
//! **Test**: `tests/quotas.rs`, `tests/quota_replay.rs`.

use crate::clock::Instant;
use crate::model::config::Quota;

/// Minimum number of instances assumed while this one is not among the members: it cannot know then
/// how many other instances are missing from the members too.
const MIN_FLEET_SIZE_IF_NOT_MEMBER: usize = 100;

/// The instances among which a quota is divided.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Instances in the view.
    pub members: usize,
    /// Whether this instance is among them.
    pub is_member: bool,
}

impl FleetSize {
    /// Number of instances by which the quota is divided: that of the members, but at least 1, and at
    /// least `MIN_FLEET_SIZE_IF_NOT_MEMBER` while this one is not among them.
    pub fn instances(self) -> f64 {
        let min_instances = if self.is_member { 1 } else { MIN_FLEET_SIZE_IF_NOT_MEMBER };
        self.members.max(min_instances) as f64
    }
}

/// Token bucket of one tenant at this instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct EqualShare {
    tokens: Option<f64>,
    updated_at: Option<Instant>,
}

impl EqualShare {
    /// Empties the bucket: what it held before may not be used together with an allowance.
    pub fn drain(&mut self, now: Instant) {
        (self.tokens, self.updated_at) = (Some(0.0), Some(now));
    }

    /// Takes a token for a request; false if none is left. `quota` is that of all instances together.
    pub fn try_take(&mut self, quota: Quota, fleet: FleetSize, now: Instant) -> bool {
        let max_tokens = (quota.burst / fleet.instances()).max(1.0);
        let elapsed = self.updated_at.map_or(0.0, |updated_at| now.saturating_duration_since(updated_at).as_secs_f64());
        self.updated_at = Some(now);
        let tokens = (self.tokens.unwrap_or(1.0) + elapsed * quota.rate / fleet.instances()).min(max_tokens);
        let is_taken = tokens >= 1.0;
        self.tokens = Some(if is_taken { tokens - 1.0 } else { tokens });
        is_taken
    }
}
