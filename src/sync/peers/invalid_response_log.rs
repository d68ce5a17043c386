//! Log lines for answers of peers that cannot be read.
//!
//! Owns the bound on such lines; the caller decides what follows from the answer.

use crate::clock::Instant;
use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

/// Time between lines: a peer of another version would give one with every answer.
const REPORT_EVERY: Duration = Duration::from_secs(5);

/// Logs unreadable answers, at most once each `REPORT_EVERY`.
#[derive(Debug, Default)]
pub struct UnreadableLog {
    reported_at: Option<Instant>,
}

impl UnreadableLog {
    /// Logs that the answer of `peer` cannot be read, unless a line was written lately.
    pub fn report(&mut self, peer: SocketAddr, error: &impl Display) {
        let now = Instant::now();
        if self.reported_at.is_some_and(|reported| now.duration_since(reported) < REPORT_EVERY) {
            return;
        }
        self.reported_at = Some(now);
        tracing::warn!(event = "peer_answer_unreadable", %peer, %error);
    }
}
