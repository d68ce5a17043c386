//! Services: settings that apply to each of their targets.

use std::time::Duration;

/// A group of targets that can serve the same requests, and the settings that apply to each.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Maximum number of connections that a target accepts, from instances and others together; 0 if
    /// the service sets none.
    pub max_connections: u32,
    /// Duration of a target's slow start.
    pub slow_start: Duration,
    /// Requests per second that a target can serve during slow start.
    pub slow_start_rate: f64,
    /// Path of the targets' health check.
    pub health_path: String,
}
