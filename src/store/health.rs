//! Health of the store: it is lost while it never answered, or not for 1.5 s.
//!
//! **Inputs**
//! - Times of the answers and failures of this instance's calls to the store; exact.
//! - Age of the view when the store recovers, from [`super::freshness`].
//! - Age of a recovery of the store that a peer saw, as the peer gives it.
//!
//! **Why.** One lost call is no outage. That the store answers says nothing of a watch that
//! waits ([`super::freshness`]).
//!
//! **Guards** the promise that grace is given only after an outage.
//!
//! Owns the time of the last answer.
//! Relies on the callers of the store to report each answer and failure, and on
//! [`super::grace`] for what follows from a recovery.

use super::StoreError;
use super::grace::RegistrationGrace;
use super::lease::RENEWAL_INTERVAL;
use crate::clock::Instant;
use std::cell::Cell;
use std::time::Duration;

/// Time without an answer, beyond that between two renewals, after which the store
/// counts as lost: one call that used its whole timeout. Half and double change the
/// value of three days of store outages by 4 in 1,000 at most.
const SILENCE_BEYOND_RENEWAL: Duration = Duration::from_millis(700);

/// Time between lines on failed calls: an outage fails several a second.
const REPORT_EVERY: Duration = Duration::from_secs(5);

/// What one instance observed of the store.
#[derive(Debug, Default)]
pub struct StoreHealth {
    answered_at: Cell<Option<Instant>>,
    lost: Cell<bool>,
    /// When a failed call was last logged.
    reported_at: Cell<Option<Instant>>,
    grace: RegistrationGrace,
}

impl StoreHealth {
    /// Records an answer of the store, with a view of this age; returns whether the store
    /// had been lost.
    pub fn record_response(&self, view_age: Option<Duration>) -> bool {
        let now = Instant::now();
        self.answered_at.set(Some(now));
        let has_recovered = self.lost.replace(false);
        if has_recovered {
            tracing::info!(event = "store_regained");
            self.grace.record_recovery(Some(now), view_age);
        }
        has_recovered
    }

    /// Records that a call of a kind failed, and logs it, at most once each `REPORT_EVERY`.
    pub fn record_failure(&self, kind: &str, error: &StoreError) {
        let now = Instant::now();
        if self.reported_at.get().is_none_or(|reported| now.duration_since(reported) >= REPORT_EVERY) {
            self.reported_at.set(Some(now));
            tracing::warn!(event = "store_call_failed", kind, %error);
        }
        if self.is_lost() && !self.lost.replace(true) {
            let last_answer_ms = self.silence().map(|silence| silence.as_millis() as u64);
            tracing::warn!(event = "store_lost", %error, last_answer_ms);
        }
    }

    /// Whether the store never answered, or not for 1.5 s.
    pub fn is_lost(&self) -> bool {
        self.silence().is_none_or(|silence| silence > SILENCE_BEYOND_RENEWAL + RENEWAL_INTERVAL)
    }

    /// Time since the store last answered.
    fn silence(&self) -> Option<Duration> {
        self.answered_at.get().map(|answered| answered.elapsed())
    }

    /// Records that a peer saw the store recover `age` ago, with a view of the age
    /// `view_age` here. It concerns only an instance that lost the store itself.
    pub fn record_peer_recovery(&self, age: Duration, view_age: Option<Duration>) {
        if self.lost.get() {
            self.grace.record_recovery(Instant::now().checked_sub(age), view_age);
        }
    }

    /// The grace for expired registrations.
    pub fn grace(&self) -> &RegistrationGrace {
        &self.grace
    }
}
