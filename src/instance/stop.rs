//! A planned stop: callers are sent elsewhere, and what is under way ends.

use crate::platform::Platform;
use crate::state::Instance;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time before the kill at which the process ends in any case.
const BEFORE_KILL: Duration = Duration::from_millis(150);
/// The least time for callers to hear of other instances.
const LEAST: Duration = Duration::from_millis(2_000);
/// Time without a request after which no more is expected.
const QUIET: Duration = Duration::from_millis(1_000);
/// Time between looks.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Part of the time until the kill in which requests are still taken. Whoever
/// comes later may not be answered before the end, and is sent elsewhere.
const TAKING_PART: f64 = 0.5;

/// Whether a request that comes now is to be taken.
pub fn takes_requests<P: Platform>(instance: &Instance<P>) -> bool {
    if instance.ending.get() {
        return false;
    }
    let stop = instance.settings.borrow().stop;
    instance.stopping.get().is_none_or(|asked| asked.elapsed() < stop.mul_f64(TAKING_PART))
}

/// Waits until this instance may end, after it was told to stop.
pub async fn drain<P: Platform>(instance: Rc<Instance<P>>) {
    let asked = Instant::now();
    instance.stopping.set(Some(asked));
    instance.stop_asked.notify_waiters();
    tracing::info!(event = "stopping", active = instance.active.get());
    let last = asked + instance.settings().stop.saturating_sub(BEFORE_KILL);
    while Instant::now() < last {
        sleep(LOOK_EVERY).await;
        let quiet = instance.last_request.get().elapsed() > QUIET;
        if instance.active.get() == 0 && quiet && asked.elapsed() > LEAST {
            break;
        }
    }
    // Whoever comes from now on is turned away, so that the end cuts nobody.
    instance.ending.set(true);
    sleep(LOOK_EVERY).await;
    while instance.active.get() > 0 && Instant::now() < last {
        sleep(LOOK_EVERY).await;
    }
    tracing::info!(event = "stopped", active = instance.active.get(), after_ms = asked.elapsed().as_millis() as u64);
}
