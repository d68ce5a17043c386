//! Bounds on connections that others open to an instance.

use std::time::Duration;

/// Bounds on a listener's connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Largest request head, bytes.
    pub head_bytes: usize,
    /// Longest time from the first byte of a head to its end.
    pub head_time: Duration,
    /// Longest time between two requests.
    pub idle_time: Duration,
    /// Connections that are open at once; more wait to be accepted.
    pub max_connections: u32,
}

impl ConnectionLimits {
    /// Bounds on connections of peers, operators and the platform, which are few and send small
    /// heads: 16 KiB, 3 s, 15 s, 256. A protection against misuse, above followers and probes
    /// together.
    pub const INTERNAL: Self = Self {
        head_bytes: 16 * 1024,
        head_time: Duration::from_secs(3),
        idle_time: Duration::from_secs(15),
        max_connections: 256,
    };
}
