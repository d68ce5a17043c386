//! Retry-After of a refusal for want of room: the time after which there is probably room
//! again, spread so that callers who were refused together do not return together.
//!
//! **Inputs**
//! - Median latency of the service's targets, seconds; 0.5 s old at most. Infinite before the
//!   first answer.
//! - A random number for each refusal.
//!
//! **Why.** A slot is free after a service time; those who were refused meanwhile return as
//! well, so that a caller who comes at once is refused again, and callers who come together
//! fill the targets together. Services differ in how long their work takes.
//!
//! **Guards** the promise that a caller is told when to come back.
//!
//! **Test**: `tests/retry_after.rs`.

use std::time::Duration;

/// Median latencies until there is room (factor).
const ROOM_AFTER: f64 = 3.0;
/// The wait where no latency is known yet.
const USUAL: Duration = Duration::from_millis(400);
/// Shortest and longest wait before it is spread: a round trip between regions and some work, and
/// the time that callers have.
const SHORTEST: Duration = Duration::from_millis(100);
const LONGEST: Duration = Duration::from_secs(2);

/// The wait of a caller whose tenant's quota is used up, before it is spread: a second of the rate.
/// One who returns sooner takes the place of another of the same tenant.
pub const QUOTA_WAIT: Duration = Duration::from_secs(1);

/// The wait of a caller whose request no target takes by what it says itself, before it is spread: a
/// second of the targets' limits.
pub const LIMIT_WAIT: Duration = Duration::from_secs(1);

/// How long to wait until there is room at a service with this median latency, seconds.
pub fn until_room(median: f64) -> Duration {
    let wait = Duration::try_from_secs_f64(ROOM_AFTER * median).unwrap_or(USUAL);
    wait.clamp(SHORTEST, LONGEST)
}

/// Half of a wait to one and a half, by a random number in [0, 1).
pub fn spread(wait: Duration, random: f64) -> Duration {
    wait.mul_f64(0.5 + random)
}
