//! Timing of the lease under which an instance is registered.

use std::time::Duration;

/// Time between renewals of the lease: two fit into [`LEASE_TTL`], so that one may fail, including
/// its timeout and the wait after it. A successful renewal also shows that the store responds. In
/// the operators' costs a renewal counts as a tenth of a call: at 0.8 s, the renewals of 295 instances
/// would count as 37 calls per second; 1.2 s saves a third of them. With 0.8 s, a dead instance would
/// leave the directory no sooner, since the lease would be as long.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_200);
/// Time to live of the lease without renewal, unless the store's shortest lease is longer: well
/// under the 6 s within which a dead instance has to leave the directory.
pub const LEASE_TTL: Duration = Duration::from_millis(2_600);
