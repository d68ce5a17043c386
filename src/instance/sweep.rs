//! The sweep: work that is due now and then, whatever requests arrive.
//!
//! Owns its interval. Relies on the routing state for what is due.

use crate::clock::{Instant, sleep};
use crate::platform::Platform;
use crate::state::Instance;
use std::rc::Rc;
use std::time::Duration;

/// Time between sweeps. It delays the removal of expired registrations and the medians
/// that identify slow targets, which are tried once a second. At half and
/// double, what callers get while targets are slow differs by 5 in 1,000 at most.
const SWEEP_EVERY: Duration = Duration::from_millis(500);
/// Sweeps from one set of log lines on rate limits to the next: one a second.
const LIMIT_LOG_SWEEPS: u32 = 2;

/// Lateness of a sweep from which on it is logged: as late as all other tasks, which share its thread, and a
/// considerable part of the bounds on lag (2 s at the shortest).
const MIN_LATENESS: Duration = Duration::from_millis(300);

/// Counts and logs by how much a sweep, and with it every task of this instance, ran late, if it is much: the
/// process was paused or got no processor.
fn record_lateness<P: Platform>(instance: &Instance<P>, lateness: Duration) {
    let late_ms = lateness.as_millis() as u64;
    if lateness >= MIN_LATENESS {
        instance.metrics.late_ms.with_label_values(&["sweep"]).inc_by(late_ms);
        let view_age_ms = instance.store_copy.view_age().map(|age| age.as_millis() as u64);
        tracing::warn!(event = "process_late", late_ms, view_age_ms);
    }
}

/// Logs a view that has turned stale, removes targets whose registrations stayed expired, updates the median latencies of
/// services, closes connections that were idle too long, and logs how rate limits are applied; until the
/// process ends.
pub async fn run<P: Platform>(instance: Rc<Instance<P>>) {
    instance.resume_update();
    for sweep in 1u32.. {
        let due = Instant::now() + SWEEP_EVERY;
        sleep(SWEEP_EVERY).await;
        record_lateness(&instance, due.elapsed());
        if sweep.is_multiple_of(LIMIT_LOG_SWEEPS) {
            instance.log_limits();
        }
        let now = Instant::now();
        instance.log_freshness();
        instance.remove_expired();
        instance.routing.borrow_mut().update_median_latencies();
        instance.forwarding.close_expired(now);
        let routing = instance.routing.borrow();
        routing.limit_idle_connections();
        for target in routing.observed_targets().iter() {
            target.pool.close_expired(now);
        }
    }
}
