//! Requests whose strikes the other instances have to hear of, until the store has them.
//!
//! Owns the queue; what is to be written is worked out by
//! [`crate::decision::failure::quarantine`] when a request is due. Relies on nothing.

use crate::clock::{Instant, timeout_at};
use crate::model::fingerprint::Fingerprint;
use std::cell::RefCell;
use std::collections::HashMap;
use tokio::sync::Notify;

/// Requests that wait at most; further ones are told to no other instance. Those of a loss of
/// 20 targets at once.
const MAX_WAITING: usize = 256;

/// Requests that wait for their report.
#[derive(Debug, Default)]
pub struct StrikeReports {
    due: RefCell<HashMap<Fingerprint, Instant>>,
    added: Notify,
}

impl StrikeReports {
    /// Has a request reported at `due`, or earlier where that was asked for already.
    pub fn add(&self, fingerprint: Fingerprint, due: Instant) {
        let mut waiting = self.due.borrow_mut();
        if waiting.len() >= MAX_WAITING && !waiting.contains_key(&fingerprint) {
            tracing::warn!(event = "strike_unreported", %fingerprint, waiting = MAX_WAITING);
            return;
        }
        let at = waiting.entry(fingerprint).or_insert(due);
        *at = due.min(*at);
        self.added.notify_one();
    }

    /// Waits for the next request that is due, and takes it out.
    pub async fn next(&self) -> Fingerprint {
        loop {
            let first = self.due.borrow().iter().map(|(fingerprint, due)| (*due, *fingerprint)).min();
            let Some((due, fingerprint)) = first else {
                self.added.notified().await;
                continue;
            };
            // An earlier one may be added meanwhile.
            if due > Instant::now() && timeout_at(due, self.added.notified()).await.is_ok() {
                continue;
            }
            if self.due.borrow_mut().remove(&fingerprint).is_some() {
                return fingerprint;
            }
        }
    }
}
