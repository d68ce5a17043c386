//! Limits on incoming connections.

use std::time::Duration;

/// Limits on the connections of a listener.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Maximum size of a request head, bytes.
    pub head_bytes: usize,
    /// Maximum time from the first byte of a request head to its end.
    pub head_time: Duration,
    /// Maximum time between two requests.
    pub idle_time: Duration,
    /// Maximum time for which the other side may take no bytes of a response, beyond the deadline of its
    /// request.
    pub stall_time: Duration,
    /// Maximum number of open connections; further ones wait to be accepted.
    pub max_connections: u32,
}

impl ConnectionLimits {
    /// Limits on connections of peers, operators and the platform, which are few and send small heads:
    /// 16 KiB, 3 s, 15 s, 30 s, 256 connections. They protect against misuse; 256 is more than the readiness
    /// checks and the callers of a directory need together. Listeners that serve a whole hall raise it.
    pub const INTERNAL: Self = Self {
        head_bytes: 16 * 1024,
        head_time: Duration::from_secs(3),
        idle_time: Duration::from_secs(15),
        stall_time: Duration::from_secs(30),
        max_connections: 256,
    };
}
