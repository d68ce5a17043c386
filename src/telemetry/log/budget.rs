//! How many bytes of log lines may be written: a token bucket.
//!
//! Owns the bytes saved up so far; the caller passes the time. Relies on nothing.

use std::time::Instant;

/// Seconds of the rate that may be saved up. A burst of failures lasts seconds.
const BURST: f64 = 2.0;
/// Share of the savings reserved for lines other than those of answered requests, so that failures
/// are not lost to successes.
const RESERVED_SHARE: f64 = 0.5;

/// Bytes that may still be written, earned over time.
#[derive(Debug)]
pub struct Budget {
    /// Bytes a second.
    rate: f64,
    bytes: f64,
    at: Instant,
}

impl Budget {
    /// A full budget that earns `rate` bytes a second.
    pub fn new(rate: f64, now: Instant) -> Self {
        Self { rate, bytes: rate * BURST, at: now }
    }

    /// Adds what was earned since the last call.
    pub fn earn(&mut self, now: Instant) {
        let earned = now.saturating_duration_since(self.at).as_secs_f64() * self.rate;
        self.bytes = (self.bytes + earned).min(self.rate * BURST);
        self.at = now;
    }

    /// Takes `bytes` where that many are left; returns whether they were.
    pub fn spend(&mut self, bytes: usize) -> bool {
        let suffices = self.bytes >= bytes as f64;
        if suffices {
            self.bytes -= bytes as f64;
        }
        suffices
    }

    /// Whether more than the reserved share is left.
    pub fn exceeds_reserve(&self) -> bool {
        self.bytes > self.rate * BURST * RESERVED_SHARE
    }
}
