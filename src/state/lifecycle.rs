//! Lifecycle of an instance: running, stopping, ending.
//!
//! Owns the state; only [`crate::instance::stop`] advances it. Relies on nothing.

use crate::clock::Instant;
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// The state of the process. It only advances: running, stopping, ending.
#[derive(Debug, Default)]
pub struct Lifecycle {
    stopping_since: Cell<Option<Instant>>,
    ending: Cell<bool>,
    stop_requested: Notify,
}

impl Lifecycle {
    /// Begins the planned stop.
    pub fn begin_stop(&self, now: Instant) {
        self.stopping_since.set(Some(now));
        self.stop_requested.notify_waiters();
    }

    /// Enters the last state, in which new requests are refused.
    pub fn begin_ending(&self) {
        self.ending.set(true);
    }

    /// Whether the planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping_since.get().is_some()
    }

    /// Time since the planned stop began; `None` while running.
    pub fn stopping_for(&self) -> Option<Duration> {
        self.stopping_since.get().map(|since| since.elapsed())
    }

    /// Whether the instance has reached the last state, in which new requests are refused.
    pub fn is_ending(&self) -> bool {
        self.ending.get()
    }

    /// Completes once [`Self::begin_stop`] is called.
    pub fn stop_requested(&self) -> Notified<'_> {
        self.stop_requested.notified()
    }
}
