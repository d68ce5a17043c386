//! The process's monotonic clock, as small integers that fit atomics.

use std::sync::OnceLock;
use std::time::{Duration, Instant};

static START: OnceLock<Instant> = OnceLock::new();

/// Time since the process first asked, never zero.
pub fn uptime() -> Duration {
    START.get_or_init(Instant::now).elapsed() + Duration::from_millis(1)
}

/// [`uptime`] in whole milliseconds, at least 1; 0 is free to mean "never".
pub fn now_ms() -> u64 {
    uptime().as_millis() as u64
}

/// [`uptime`] in whole microseconds.
pub fn now_us() -> u64 {
    uptime().as_micros() as u64
}
