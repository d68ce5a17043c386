//! Times of the lease under which an instance is registered.

use std::time::Duration;

/// Time between renewals of the lease: three fit into [`LEASE`], so that two may fail.
/// An answered renewal also shows that the store answers. Evidence: no run set
/// it.
pub const RENEW_EVERY: Duration = Duration::from_millis(800);
/// Duration of the lease without a renewal, unless the store's shortest lease is longer:
/// well under the 6 s within which a dead instance has to leave the directory. Evidence:
/// no run set it.
pub const LEASE: Duration = Duration::from_millis(2_600);
