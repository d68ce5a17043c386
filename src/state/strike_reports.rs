//! Requests whose strikes are still to be written to the store for the other instances.
//!
//! Owns the queue; [`crate::decision::failure::quarantine`] computes the record to write when a
//! request is due. Relies on nothing.

use crate::clock::{Instant, timeout_at};
use crate::model::fingerprint::Fingerprint;
use std::cell::RefCell;
use std::collections::HashMap;
use tokio::sync::Notify;

/// Maximum number of pending requests; strikes of further ones are not reported. Enough for the
/// requests of 20 targets that are lost at once.
const MAX_PENDING: usize = 256;

/// Requests with a pending report, by the time at which it is due.
#[derive(Debug, Default)]
pub struct StrikeReports {
    pending: RefCell<HashMap<Fingerprint, Instant>>,
    added: Notify,
}

impl StrikeReports {
    /// Schedules a report at `due`, or earlier if it is already scheduled earlier.
    pub fn add(&self, fingerprint: Fingerprint, due: Instant) {
        let mut pending = self.pending.borrow_mut();
        if pending.len() >= MAX_PENDING && !pending.contains_key(&fingerprint) {
            tracing::warn!(event = "strike_unreported", %fingerprint, waiting = MAX_PENDING);
            return;
        }
        let scheduled = pending.entry(fingerprint).or_insert(due);
        *scheduled = due.min(*scheduled);
        self.added.notify_one();
    }

    /// Waits until the next request is due, and removes it from the queue.
    pub async fn next(&self) -> Fingerprint {
        loop {
            let first = self.pending.borrow().iter().map(|(fingerprint, due)| (*due, *fingerprint)).min();
            let Some((due, fingerprint)) = first else {
                self.added.notified().await;
                continue;
            };
            // A request with an earlier time may be added meanwhile.
            if due > Instant::now() && timeout_at(due, self.added.notified()).await.is_ok() {
                continue;
            }
            if self.pending.borrow_mut().remove(&fingerprint).is_some() {
                return fingerprint;
            }
        }
    }
}
