//! A planned stop: callers are sent elsewhere, and what is under way ends.

use crate::instance::state::Entry;
use crate::platform::Platform;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time before the kill at which the process ends in any case.
const BEFORE_KILL: Duration = Duration::from_millis(150);
/// The least time for callers to hear of other entries.
const LEAST: Duration = Duration::from_millis(2_000);
/// Time without a request after which no more is expected.
const QUIET: Duration = Duration::from_millis(1_000);
/// Time between looks.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Part of the time until the kill in which requests are still taken. Whoever
/// comes later may not be answered before the end, and is sent elsewhere.
const TAKING_PART: f64 = 0.5;

/// Whether a request that comes now is to be taken.
pub fn takes_requests<P: Platform>(entry: &Entry<P>) -> bool {
    if entry.ending.get() {
        return false;
    }
    let stop = entry.settings.borrow().stop;
    entry.stopping.get().is_none_or(|asked| asked.elapsed() < stop.mul_f64(TAKING_PART))
}

/// Waits until this entry may end, after it was told to stop.
pub async fn drain<P: Platform>(entry: Rc<Entry<P>>) {
    let asked = Instant::now();
    entry.stopping.set(Some(asked));
    entry.stop_asked.notify_waiters();
    tracing::info!(event = "stopping", active = entry.active.get());
    let last = asked + entry.settings().stop.saturating_sub(BEFORE_KILL);
    while Instant::now() < last {
        sleep(LOOK_EVERY).await;
        let quiet = entry.last_request.get().elapsed() > QUIET;
        if entry.active.get() == 0 && quiet && asked.elapsed() > LEAST {
            break;
        }
    }
    // Whoever comes from now on is turned away, so that the end cuts nobody.
    entry.ending.set(true);
    sleep(LOOK_EVERY).await;
    while entry.active.get() > 0 && Instant::now() < last {
        sleep(LOOK_EVERY).await;
    }
    tracing::info!(event = "stopped", active = entry.active.get(), after_ms = asked.elapsed().as_millis() as u64);
}
