//! Limits on the size and duration of callers' requests.

use std::time::Duration;

// Defaults until the operators' configuration sets other limits. They protect the instance against misuse.

/// Maximum size of a request head, bytes; the same as for peers.
const DEFAULT_HEAD_BYTES: usize = 16 * 1024;
/// Maximum size of a request body, bytes.
const DEFAULT_BODY_BYTES: u64 = 64 << 20;
/// Maximum time to send a head; the same as for peers.
const DEFAULT_HEAD_TIME: Duration = Duration::from_secs(3);
/// Maximum time for which a connection may be idle; the same as for peers.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(15);

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, bytes.
    pub body_bytes: u64,
    /// Maximum time to send a head.
    pub head_time: Duration,
    /// Maximum time for which a connection may be idle.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: DEFAULT_HEAD_BYTES,
            body_bytes: DEFAULT_BODY_BYTES,
            head_time: DEFAULT_HEAD_TIME,
            idle_time: DEFAULT_IDLE_TIME,
        }
    }
}
