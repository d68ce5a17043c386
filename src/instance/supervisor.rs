//! Starts tasks again that ended though they should run until the process ends, by the rule of
//! [`crate::decision::failure::task_end`].
//!
//! Owns the delays. A task that is started again begins with what the instance shares, not with what it
//! had itself.

use crate::clock::{Instant, sleep};
use crate::decision::failure::task_end::{Restarts, Surroundings};
use crate::task::{self, TaskEnd};
use std::future::Future;

/// Runs `start` as the task `name` until the process ends, or until it returns while the instance stops;
/// `surroundings` tells that.
pub async fn keep_running<F>(name: &'static str, surroundings: impl Fn() -> Surroundings, start: impl Fn() -> F)
where
    F: Future<Output = ()> + 'static,
{
    let mut restarts = Restarts::default();
    loop {
        let started_at = Instant::now();
        // The panic itself is logged by `task`.
        let end = match task::spawn_lasting(name, start()).await {
            Ok(()) => TaskEnd::Returned,
            Err(_) => TaskEnd::Panicked,
        };
        let Some(delay) = restarts.record_end(end, started_at.elapsed(), surroundings()) else { return };
        sleep(delay).await;
        tracing::warn!(event = "task_restarted", task = name, after_ms = delay.as_millis() as u64);
    }
}
