//! Log lines for answers of peers that cannot be read.
//!
//! Owns the bound on such lines; the caller decides what follows from the answer.

use crate::clock::Instant;
use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

/// Time between lines: a peer of another version would give one with every answer.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Logs unreadable answers, at most once each `LOG_INTERVAL`.
#[derive(Debug, Default)]
pub struct InvalidResponseLog {
    logged_at: Option<Instant>,
}

impl InvalidResponseLog {
    /// Logs that the answer of `peer` cannot be read, unless a line was written lately.
    pub fn log(&mut self, peer: SocketAddr, error: &impl Display) {
        let now = Instant::now();
        if self.logged_at.is_some_and(|logged_at| now.duration_since(logged_at) < LOG_INTERVAL) {
            return;
        }
        self.logged_at = Some(now);
        tracing::warn!(event = "peer_answer_unreadable", %peer, %error);
    }
}
