//! Registration grace: a target whose registration expired while the store was unreachable
//! is kept for a short time after the store's return, and is gone only if it has not
//! registered again by then.
//!
//! **Inputs**
//! - The end of the grace, a time, from [`crate::store::grace`], which owns `GRACE` (2.0 s
//!   after the store's return), `DETECTION_WINDOW` (registrations seen to be gone within 1.5 s
//!   of the return) and `MIN_VIEW_AGE` (only where the view was older than 3.0 s when the store
//!   returned, so that registrations can have expired unseen).
//! - The registration's state before it went: one that was draining gets no grace.
//! - A later registration of the same target, which ends the grace.
//!
//! **Why.** While the store is unreachable, targets that are alive cannot renew their
//! leases. When it returns they all seem to be gone, and register again within some two
//! seconds. Without grace the instance would have no target for that time.
//!
//! **Guards** two promises: requests are served on while the store is unreachable, and a target that
//! is really gone gets none once its time for draining is over (2 s after the acknowledgement
//! on the strictest site, which bounds `GRACE` from above).
//!
//! **Test**: `a_target_whose_registration_expired_while_the_store_was_unreachable_is_kept_for_the_grace` and the
//! two tests after it in `tests/choice.rs`.

use crate::clock::Instant;

/// Whether a target is kept although its registration is gone.
#[derive(Debug, Default)]
pub struct Grace {
    until: Option<Instant>,
}

impl Grace {
    /// Begins the grace of a registration that is gone; one that runs already is not
    /// lengthened.
    pub fn begin(&mut self, until: Instant) {
        self.until = self.until.or(Some(until));
    }

    /// Lengthens a grace that runs to `until`, where that is later; begins none.
    pub fn extend(&mut self, until: Instant) {
        self.until = self.until.map(|current| current.max(until));
    }

    /// Ends the grace: the target is registered again.
    pub fn end(&mut self) {
        self.until = None;
    }

    /// Whether the grace is over and the target has not registered again.
    pub fn has_expired(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| until <= now)
    }
}
