//! Limits on what callers may send and how long they may take.

use std::time::Duration;

// In force until the operators' configuration gives others: protect the instance against misuse.

/// Largest request head, bytes; the same as for peers.
const HEAD_BYTES: usize = 16 * 1024;
/// Largest request body, bytes.
const BODY_BYTES: u64 = 64 << 20;
/// Longest time to send a head; the same as for peers.
const HEAD_TIME: Duration = Duration::from_secs(3);
/// Longest time a connection may stay idle; the same as for peers.
const IDLE_TIME: Duration = Duration::from_secs(15);

/// Limits on callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head, bytes.
    pub head_bytes: usize,
    /// Largest request body, bytes.
    pub body_bytes: u64,
    /// Longest time to send a head.
    pub head_time: Duration,
    /// Longest time a connection may stay idle.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self { head_bytes: HEAD_BYTES, body_bytes: BODY_BYTES, head_time: HEAD_TIME, idle_time: IDLE_TIME }
    }
}
