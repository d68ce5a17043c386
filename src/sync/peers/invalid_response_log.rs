//! Log lines for invalid responses of peers.
//!
//! Owns the rate limit of these lines; [`super::run`] and [`crate::sync::relay`] handle
//! the errors.

use crate::clock::Instant;
use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

/// Minimum time between two lines: a peer of another version would cause one with every response.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Logs invalid responses, at most once per `LOG_INTERVAL`.
#[derive(Debug, Default)]
pub struct InvalidResponseLog {
    logged_at: Option<Instant>,
}

impl InvalidResponseLog {
    /// Logs that the response of `peer` is invalid, unless a line was written within `LOG_INTERVAL`.
    pub fn log(&mut self, peer: SocketAddr, error: &impl Display) {
        let now = Instant::now();
        if self.logged_at.is_some_and(|logged_at| now.duration_since(logged_at) < LOG_INTERVAL) {
            return;
        }
        self.logged_at = Some(now);
        tracing::warn!(event = "peer_answer_unreadable", %peer, %error);
    }
}
