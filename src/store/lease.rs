//! Times of the lease under which an instance is registered.

use std::time::Duration;

/// Time between renewals of the lease: three fit into [`LEASE`], so that two may be
/// lost. An answered renewal also shows that the store is reachable.
pub const RENEW_EVERY: Duration = Duration::from_millis(800);
/// How long the lease lasts without a renewal, at least.
pub const LEASE: Duration = Duration::from_millis(2_600);
