//! Health of the store: it counts as lost if it never responded, or not for more than
//! `RENEWAL_INTERVAL` + `LOST_TIMEOUT_MARGIN` (1.9 s).
//!
//! **Inputs**
//! - Times of the responses and failures of this instance's calls to the store; exact.
//! - Age of the view when the store recovers, from [`super::freshness`].
//! - Age of a recovery of the store that a peer observed, as the peer reports it.
//!
//! **Why.** A single lost call is not an outage. A response to one call does not show that a
//! pending watch still works ([`super::freshness`]).
//!
//! **Guards** the promise that grace is given only after an outage.
//!
//! Owns the time of the last response. Relies on [`crate::sync`] to report each response of the store
//! and each failure of a call, and on [`super::grace`] for what follows from a recovery.

use super::StoreError;
use super::grace::RegistrationGrace;
use super::lease::RENEWAL_INTERVAL;
use crate::clock::Instant;
use std::cell::Cell;
use std::time::Duration;

/// Time without a response, in addition to the renewal interval, after which the store
/// counts as lost: one call that used its whole timeout.
const LOST_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);

/// Minimum time between log lines about failed calls: several fail per second in an outage.
const FAILURE_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// The state of the store as one instance observes it.
#[derive(Debug, Default)]
pub struct StoreHealth {
    responded_at: Cell<Option<Instant>>,
    /// Whether a call failed while the store counted as lost, and no call has got a response since.
    in_outage: Cell<bool>,
    /// Whether a call failed since the last response.
    has_failed: Cell<bool>,
    /// When a failed call was last logged.
    failure_logged_at: Cell<Option<Instant>>,
    grace: RegistrationGrace,
}

impl StoreHealth {
    /// Records a response of the store, received when the view was `view_age` old; returns
    /// whether it ended an outage. That may have begun and ended between two calls, of which the first
    /// failed before the store counted as lost.
    pub fn record_response(&self, view_age: Option<Duration>) -> bool {
        let now = Instant::now();
        let was_lost = self.responded_at.get().is_some() && self.is_lost();
        self.responded_at.set(Some(now));
        let has_failed = self.has_failed.replace(false);
        let has_recovered = self.in_outage.replace(false) || (was_lost && has_failed);
        if has_recovered {
            tracing::info!(event = "store_regained");
            self.grace.record_recovery(Some(now), view_age);
        }
        has_recovered
    }

    /// Records that a call failed, and logs it at most once per `FAILURE_LOG_INTERVAL`;
    /// `kind` names the call in the log.
    pub fn record_failure(&self, kind: &str, error: &StoreError) {
        let now = Instant::now();
        self.has_failed.set(true);
        if self.failure_logged_at.get().is_none_or(|logged| now.duration_since(logged) >= FAILURE_LOG_INTERVAL) {
            self.failure_logged_at.set(Some(now));
            tracing::warn!(event = "store_call_failed", kind, %error);
        }
        if self.is_lost() && !self.in_outage.replace(true) {
            let last_answer_ms = self.time_since_response().map(|elapsed| elapsed.as_millis() as u64);
            tracing::warn!(event = "store_lost", %error, last_answer_ms);
        }
    }

    /// Whether the store never responded, or not for more than `RENEWAL_INTERVAL` +
    /// `LOST_TIMEOUT_MARGIN`.
    pub fn is_lost(&self) -> bool {
        self.time_since_response().is_none_or(|elapsed| elapsed > LOST_TIMEOUT_MARGIN + RENEWAL_INTERVAL)
    }

    /// Time since the last response of the store; `None` if there was none.
    fn time_since_response(&self) -> Option<Duration> {
        self.responded_at.get().map(|responded| responded.elapsed())
    }

    /// Records that a peer observed the store recover `age` ago; `view_age` is the age of the
    /// local view. Ignored unless this instance has lost the store itself.
    pub fn record_peer_recovery(&self, age: Duration, view_age: Option<Duration>) {
        if self.in_outage.get() {
            self.grace.record_recovery(Instant::now().checked_sub(age), view_age);
        }
    }

    /// The grace for expired registrations.
    pub fn grace(&self) -> &RegistrationGrace {
        &self.grace
    }
}
