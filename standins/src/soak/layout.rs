//! What all parts of a soak know of its system: halls, service and times.
//!
//! Owns these constants. Relies on nothing.

use std::time::Duration;

/// The halls, all of one region.
pub const HALLS: [&str; 3] = ["a-1", "a-2", "a-3"];
/// The service of all targets.
pub const SERVICE: &str = "shop";
/// Time that a target works on a request for a warm object.
pub const WORK: Duration = Duration::from_millis(20);
/// Longest time for a request: the timeout of all routes.
pub const ROUTE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time without a fault that affects the instances' view before bounds on what they know
/// hold: some waits of the instances between tries reach 1.8 s.
pub const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Pause between looks for faults that are due.
pub const TICK: Duration = Duration::from_millis(20);
