//! Grace for expired registrations after an outage of the store.
//!
//! **Rule.** A target whose registration is found missing shortly after an outage is kept until the
//! grace ends, since it may be alive and could not renew its lease.
//!
//! **Inputs**
//! - The time at which the store became reachable again, as this instance or a peer observed it; if
//!   that is `DETECTION_WINDOW` (1.5 s) or longer ago, there is no grace.
//! - The age of the view at that time; unless it is above `MIN_VIEW_AGE` (3 s), the store was
//!   reachable for the targets too, and a missing registration was removed deliberately.
//!
//! **Why.** Leases expire during an outage, and after it the store lists only the registrations
//! renewed since.
//!
//! **Guards** the promises that an outage of the store removes no live target, and that a target
//! removed during it is not used longer than the rule on draining allows.
//!
//! Owns the time of the last recovery. Relies on [`super::health`] to report recoveries
//! after an outage only, and on the routing state to keep the targets.

use crate::clock::Instant;
use std::cell::Cell;
use std::time::Duration;

/// Time from the recovery within which missing registrations may have expired during the
/// outage: the first list after it can be delayed by the pause between watches, a call and
/// the longest backoff.
const DETECTION_WINDOW: Duration = Duration::from_millis(1_500);
/// Time from the recovery at which the grace ends: live targets register again within
/// about two seconds. Even after the longest backoff, it ends before the operators require
/// a removal to be in effect (2 s at the shortest). With 2.2 s, a removed target was used for too
/// long.
const GRACE: Duration = Duration::from_millis(2_000);
/// Age of the view above which leases may have expired during the outage: below three
/// heartbeats of a target. If peers kept the view younger, the store was reachable for the
/// targets too. With twice this value, outages of 5 and 6 s got no grace. Without a minimum, a
/// removed target was used for too long although the view was only 0.4 s old.
const MIN_VIEW_AGE: Duration = Duration::from_millis(3_000);

/// End of the grace for records that a restored store lacks; `observed_at` is when its era was first
/// observed. The grace is as long as after an outage, since writers need as long to write again.
pub fn era_grace_until(observed_at: Instant) -> Instant {
    observed_at + GRACE
}

/// When the store last recovered from an outage that may have expired leases.
#[derive(Debug, Default)]
pub struct RegistrationGrace {
    recovered_at: Cell<Option<Instant>>,
}

impl RegistrationGrace {
    /// Records that the store became reachable at `at`, when the view was `view_age` old.
    pub fn record_recovery(&self, at: Option<Instant>, view_age: Option<Duration>) {
        if view_age.is_some_and(|age| age > MIN_VIEW_AGE) {
            self.recovered_at.set(self.recovered_at.get().max(at));
        }
    }

    /// Time since the last recovery; `None` if there was none.
    pub fn recovery_age(&self) -> Option<Duration> {
        self.recovered_at.get().map(|recovered| recovered.elapsed())
    }

    /// Until when targets are kept whose registrations are found missing at `now`;
    /// `None` if they are removed at once.
    pub fn until(&self, now: Instant) -> Option<Instant> {
        let recovered = self.recovered_at.get()?;
        (now.saturating_duration_since(recovered) < DETECTION_WINDOW).then_some(recovered + GRACE)
    }
}
