//! Services: what holds for each of their targets.

use std::time::Duration;

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Most connections a target takes from all callers together.
    pub max_connections: u32,
    /// How long a target's slow start lasts.
    pub slow_start: Duration,
    /// Requests a second that a target bears during slow start.
    pub slow_start_rate: f64,
    /// Path of the health check.
    pub health_path: String,
}
