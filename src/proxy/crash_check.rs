//! Checks whether a target's process has ended, after a connection to it was lost without a response.
//!
//! **Rule.** The process has ended if its address refuses connections, or if another target answers a
//! health check there. It runs if it answers the health check itself. While connections are accepted and
//! then lost, or no answer comes, the check is repeated after a pause, up to `CHECK_TIMEOUT` (2 s).
//!
//! **Why.** An address that accepts connections does not show that the process runs: a supervisor may
//! hold the listening socket for the next process, or restart it within milliseconds, and a process that
//! is ending may close its connections before it stops listening.
//!
//! Owns no state. Relies on the target's connection pool.

use crate::clock::{Instant, sleep, timeout};
use crate::decision::registry::target::Target;
use crate::net::client::ReceivedBody;
use crate::net::pool::SendError;
use crate::platform::HeaderNames;
use crate::proxy::health_check::health_check;
use hyper::{Response, StatusCode};
use std::time::Duration;

/// Maximum time of a check: a supervisor mostly has the next process running by then.
const CHECK_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause before the check is repeated; doubled each time.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// What a check has shown of the target's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Its address refuses connections.
    Refused,
    /// Another target answers at its address.
    Replaced,
    /// It answers.
    Running,
    /// Nothing in the available time.
    Unknown,
}

impl Verdict {
    /// Whether the process has ended.
    pub fn is_end(self) -> bool {
        matches!(self, Verdict::Refused | Verdict::Replaced)
    }

    /// Name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::Refused => "refused",
            Verdict::Replaced => "replaced",
            Verdict::Running => "running",
            Verdict::Unknown => "unknown",
        }
    }
}

/// Checks whether the target's process has ended.
pub async fn check(target: &Target, names: &HeaderNames, health_path: &str) -> Verdict {
    let end = Instant::now() + CHECK_TIMEOUT;
    let mut pause = FIRST_PAUSE;
    loop {
        let left = end.saturating_duration_since(Instant::now());
        let verdict = timeout(left, check_once(target, names, health_path)).await.unwrap_or(Verdict::Unknown);
        if verdict != Verdict::Unknown || Instant::now() + pause >= end {
            return verdict;
        }
        sleep(pause).await;
        pause *= 2;
    }
}

async fn check_once(target: &Target, names: &HeaderNames, health_path: &str) -> Verdict {
    if target.pool.refuses_connections().await {
        return Verdict::Refused;
    }
    let Ok(request) = health_check(target, names, health_path) else { return Verdict::Unknown };
    let Ok(mut connection) = target.pool.connect().await else { return Verdict::Unknown };
    match connection.send(request).await {
        Ok(response) => judge(target, names, &response),
        Err(SendError::Unsent(_) | SendError::ConnectionLost | SendError::InvalidResponse) => Verdict::Unknown,
    }
}

fn judge(target: &Target, names: &HeaderNames, response: &Response<ReceivedBody>) -> Verdict {
    let id = response.headers().get(&names.target_id);
    match id {
        _ if response.status() == StatusCode::MISDIRECTED_REQUEST => Verdict::Replaced,
        Some(id) if id.as_bytes() == target.id.as_bytes() => Verdict::Running,
        Some(_) => Verdict::Replaced,
        // A target that rejects the check for its load names no id.
        None => Verdict::Running,
    }
}
