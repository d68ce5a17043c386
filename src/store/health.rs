//! Whether the store answers, and how old what is known of it is.

use crate::store::StoreError;
use crate::store::lease::RENEW_EVERY;
use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// Time without an answer, beyond that between two renewals, after which the
/// store counts as lost.
const SILENCE: Duration = Duration::from_millis(700);
/// Time from the store's return within which registrations that have gone may be of
/// targets that could not renew them.
const GRACE_WINDOW: Duration = Duration::from_millis(1_500);
/// Time from the store's return within which such registrations are back, or their
/// targets gone. With the longest wait between calls before it, it ends before
/// the operators hold an instance to what it should know.
const GRACE: Duration = Duration::from_millis(2_000);
/// Age of what is known from which registrations may have run out meanwhile. Where
/// peers kept it younger, the store was there for the targets too.
const GRACE_AFTER: Duration = Duration::from_millis(3_000);

/// Age from which the view is stale: somewhat more than the time between two
/// renewals of a lease, which prove that a quiet watch still stands. A relay whose
/// view is older is not followed, and targets in slow start get nothing.
pub const MAX_VIEW_AGE: Duration = Duration::from_millis(1_300);

/// What one instance has seen of the store.
#[derive(Debug, Default)]
pub struct StoreHealth {
    heard_at: Cell<Option<Instant>>,
    lost: Cell<bool>,
    /// When it last came back after it was away from all.
    returned_at: Cell<Option<Instant>>,
    current_at: Cell<Option<Instant>>,
}

impl StoreHealth {
    /// Notes an answer of the store; gives whether it had been lost.
    pub fn heard(&self) -> bool {
        let now = Instant::now();
        self.heard_at.set(Some(now));
        let has_returned = self.lost.replace(false);
        if has_returned {
            log_store_regained();
            self.note_return(Some(now));
        }
        has_returned
    }

    /// Notes that the store turned a call away or kept silent.
    pub fn missed(&self, error: &StoreError) {
        if self.is_lost() && !self.lost.replace(true) {
            log_store_lost(error, self.silence());
        }
    }

    /// Whether the store has given no answer for some time.
    pub fn is_lost(&self) -> bool {
        self.silence().is_none_or(|silence| silence > SILENCE + RENEW_EVERY)
    }

    /// Time since the store last answered.
    fn silence(&self) -> Option<Duration> {
        self.heard_at.get().map(|heard| heard.elapsed())
    }

    /// Notes that the store came back `age` ago, as a peer has seen it. It says
    /// nothing to an instance that did not miss the store itself.
    pub fn heard_return(&self, age: Duration) {
        if self.lost.get() {
            self.note_return(Instant::now().checked_sub(age));
        }
    }

    /// Notes that the store was away from all whom this instance hears, and when
    /// it came back.
    fn note_return(&self, at: Option<Instant>) {
        if self.knowledge_age().is_some_and(|age| age > GRACE_AFTER) {
            self.returned_at.set(self.returned_at.get().max(at));
        }
    }

    /// Time since the store came back after it was away.
    pub fn return_age(&self) -> Option<Duration> {
        self.returned_at.get().map(|returned| returned.elapsed())
    }

    /// Until when targets are kept whose registrations are now seen to have gone;
    /// `None` where they went while the store was there.
    pub fn grace_until(&self, now: Instant) -> Option<Instant> {
        let returned = self.returned_at.get()?;
        (now.saturating_duration_since(returned) < GRACE_WINDOW).then_some(returned + GRACE)
    }

    /// Notes that what is known was current `age` ago.
    pub fn knew(&self, age: Duration) {
        let current = Instant::now().checked_sub(age);
        self.current_at.set(self.current_at.get().max(current));
    }

    /// Time since what is known was surely current: since the store itself or
    /// a relay said so.
    pub fn knowledge_age(&self) -> Option<Duration> {
        self.current_at.get().map(|current| current.elapsed())
    }

    /// Whether what is known was surely current a moment ago.
    pub fn is_current(&self) -> bool {
        self.knowledge_age().is_some_and(|age| age < MAX_VIEW_AGE)
    }
}

fn log_store_lost(error: &StoreError, age: Option<Duration>) {
    tracing::warn!(event = "store_lost", %error, last_answer_ms = age.map(|age| age.as_millis() as u64));
}

fn log_store_regained() {
    tracing::info!(event = "store_regained");
}
