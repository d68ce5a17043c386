//! Registration grace: a target whose registration expired while the store was unreachable is kept
//! for a short time after the store's return, and is removed only if it has not registered again by
//! then.
//!
//! **Inputs**
//! - The end of the grace, a time, from [`crate::store::grace`], which owns `GRACE` (2.0 s
//!   after the store's return), `DETECTION_WINDOW` (only registrations found missing within 1.5 s
//!   of the return) and `MIN_VIEW_AGE` (only if the view was older than 3.0 s when the store
//!   returned, so that registrations can have expired unseen).
//! - The state in the last registration: a target that was draining gets no grace.
//! - A later registration of the same target, which ends the grace.
//!
//! **Why.** While the store is unreachable, live targets cannot renew their leases. When the store
//! returns, all of them are missing from it, and register again within about two seconds. Without
//! the grace, the instance would have no target during that time.
//!
//! **Guards** the promises that requests are served while the store is unreachable, and that a target
//! that has really stopped receives none once its time for draining is over. At the site where that
//! time is shortest, it ends 2 s after the drain was acknowledged, so `GRACE` must not be longer.
//!
//! **Test**: `a_target_whose_registration_expired_while_the_store_was_unreachable_is_kept_for_the_grace` and the
//! two tests after it in `tests/choice.rs`.

use crate::clock::Instant;

/// The grace of one target: until when it is kept although its registration is missing.
#[derive(Debug, Default)]
pub struct Grace {
    until: Option<Instant>,
}

impl Grace {
    /// Starts the grace of a missing registration; one that is already running is not extended.
    pub fn begin(&mut self, until: Instant) {
        self.until = self.until.or(Some(until));
    }

    /// Extends a running grace to `until` if that is later; does not start one.
    pub fn extend(&mut self, until: Instant) {
        self.until = self.until.map(|current| current.max(until));
    }

    /// Ends the grace, because the target's key was written again.
    pub fn end(&mut self) {
        self.until = None;
    }

    /// Whether a grace was started and not ended; it may be over.
    pub fn is_started(&self) -> bool {
        self.until.is_some()
    }

    /// Whether the grace is over and the target has not registered again.
    pub fn has_expired(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| until <= now)
    }
}
