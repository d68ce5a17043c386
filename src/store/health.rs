//! Health of the store: it is lost while it never answered, or not for 1.5 s, and the view is
//! current while it was proven so less than 1.3 s ago.
//!
//! **Inputs**
//! - Times of the answers and failures of this instance's calls to the store; exact.
//! - Times at which the view was proven current, by the store, or by a relay or peer with the
//!   age of its own view.
//! - Age of a recovery of the store that a peer saw, as the peer gives it.
//!
//! **Why.** One lost call is no outage, and a quiet watch looks like a broken one: answered
//! renewals of the lease tell them apart.
//!
//! **Guards** the promises that a stale view is known as stale, and that grace is given only
//! after an outage.
//!
//! **Evidence**: at each constant.
//!
//! Owns the times of the last answer and of the last proof that the view was current.
//! Relies on the callers of the store to report each answer and failure, and on
//! [`super::grace`] for what follows from a recovery.

use super::StoreError;
use super::grace::RegistrationGrace;
use super::lease::RENEW_EVERY;
use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// Time without an answer, beyond that between two renewals, after which the store
/// counts as lost: one call that used its whole timeout. Evidence: half and double on
/// three days of store outages change the worth by 0.004 at most.
const SILENCE_BEYOND_RENEWAL: Duration = Duration::from_millis(700);

/// Age from which the view is stale: somewhat more than the time between two renewals of
/// a lease, which confirm that a quiet watch is still in place, and less than the shortest
/// bound on lag (2 s). A relay with an older view is not followed, and targets in slow
/// start get nothing. Evidence: 42b0202 measured the relay tree with it; half changes
/// the worth by 0.002 at most, double was not run.
pub const MAX_VIEW_AGE: Duration = Duration::from_millis(1_300);

/// What one instance observed of the store.
#[derive(Debug, Default)]
pub struct StoreHealth {
    answered_at: Cell<Option<Instant>>,
    lost: Cell<bool>,
    current_at: Cell<Option<Instant>>,
    grace: RegistrationGrace,
}

impl StoreHealth {
    /// Records an answer of the store; returns whether the store had been lost.
    pub fn mark_answered(&self) -> bool {
        let now = Instant::now();
        self.answered_at.set(Some(now));
        let has_recovered = self.lost.replace(false);
        if has_recovered {
            tracing::info!(event = "store_regained");
            self.grace.record_recovery(Some(now), self.view_age());
        }
        has_recovered
    }

    /// Records that a call was refused or got no answer.
    pub fn mark_failed(&self, error: &StoreError) {
        if self.is_lost() && !self.lost.replace(true) {
            let last_answer_ms = self.silence().map(|silence| silence.as_millis() as u64);
            tracing::warn!(event = "store_lost", %error, last_answer_ms);
        }
    }

    /// Whether the store never answered, or not for 1.5 s.
    pub fn is_lost(&self) -> bool {
        self.silence().is_none_or(|silence| silence > SILENCE_BEYOND_RENEWAL + RENEW_EVERY)
    }

    /// Time since the store last answered.
    fn silence(&self) -> Option<Duration> {
        self.answered_at.get().map(|answered| answered.elapsed())
    }

    /// Records that a peer saw the store recover `age` ago. It concerns only an instance
    /// that lost the store itself.
    pub fn mark_peer_recovery(&self, age: Duration) {
        if self.lost.get() {
            self.grace.record_recovery(Instant::now().checked_sub(age), self.view_age());
        }
    }

    /// The grace for expired registrations.
    pub fn grace(&self) -> &RegistrationGrace {
        &self.grace
    }

    /// Records that the view was current `age` ago.
    pub fn mark_current(&self, age: Duration) {
        let current = Instant::now().checked_sub(age);
        self.current_at.set(self.current_at.get().max(current));
    }

    /// Time since the view was last proven current, by the store or by a peer; `None`
    /// where it never was.
    pub fn view_age(&self) -> Option<Duration> {
        self.current_at.get().map(|current| current.elapsed())
    }

    /// Whether the view is current: younger than [`MAX_VIEW_AGE`].
    pub fn is_current(&self) -> bool {
        self.view_age().is_some_and(|age| age < MAX_VIEW_AGE)
    }
}
