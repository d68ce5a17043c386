//! Waiting for what has to happen, with one limit for all tests.

use std::time::{Duration, Instant};

/// Longest wait for something that has to happen. Generous, since tests also
/// run beside other load; the longest wait on an idle machine is some 5 s, for
/// a planned stop.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause between looks.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until something holds.
///
/// # Panics
/// With `what` where it does not hold within `WAIT_TIMEOUT`.
pub async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        pause(what, end).await;
    }
}

/// Waits until something holds that has to be asked for.
///
/// # Panics
/// As `wait_until`.
pub async fn wait_for(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !holds().await {
        pause(what, end).await;
    }
}

async fn pause(what: &str, end: Instant) {
    assert!(Instant::now() < end, "{what} did not happen");
    tokio::time::sleep(POLL_INTERVAL).await;
}
