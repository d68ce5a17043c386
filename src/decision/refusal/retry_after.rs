//! Retry-After of a refusal for lack of capacity: the time after which capacity is likely to be
//! available, with jitter so that callers refused together do not return together.
//!
//! **Inputs**
//! - Median latency of the service's targets, seconds; 0.5 s old at most. Infinite before the
//!   first response.
//! - A random number for each refusal.
//!
//! **Why.** A slot becomes free after a service time. Callers refused in the meantime return as well,
//! so a caller that returns immediately is refused again, and callers that return together fill the
//! targets together. Service times differ between services.
//!
//! **Guards** the promise that a caller is told when to come back.
//!
//! **Test**: `tests/retry_after.rs`.

use std::time::Duration;

/// Wait, as a multiple of the median latency (factor).
const WAIT_LATENCIES: f64 = 3.0;
/// Wait while no latency is known.
const DEFAULT_WAIT: Duration = Duration::from_millis(400);
/// Minimum wait before jitter: a round trip between regions and some processing time.
const MIN_WAIT: Duration = Duration::from_millis(100);
/// Maximum wait before jitter: callers have no more time than this for a request.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Wait of a caller whose tenant's quota is used up, before jitter: in one second, as many requests become
/// admissible as the quota's rate says. A caller that returns sooner takes the place of another one of the
/// same tenant.
pub const QUOTA_WAIT: Duration = Duration::from_secs(1);

/// Wait of a caller whose request no target accepts because of what the targets themselves announced,
/// before jitter: in one second, the targets accept as many further requests as their rate limits say.
pub const LIMIT_WAIT: Duration = Duration::from_secs(1);

/// Wait until a service with this median latency, in seconds, is likely to have capacity, before jitter.
pub fn base_wait(median_latency: f64) -> Duration {
    let wait = Duration::try_from_secs_f64(WAIT_LATENCIES * median_latency).unwrap_or(DEFAULT_WAIT);
    wait.clamp(MIN_WAIT, MAX_WAIT)
}

/// Applies jitter: 0.5 to 1.5 times `wait`, for `random` in [0, 1).
pub fn with_jitter(wait: Duration, random: f64) -> Duration {
    wait.mul_f64(0.5 + random)
}
