//! An instance's copy of the store: the view, how current it is, and notifications of changes.
//!
//! Owns the view, its freshness, the health of the store and the notifications.
//! [`crate::sync`] updates it; requests, peers and operators read it. Relies on
//! [`crate::store`] for the types.

use crate::clock::Instant;
use crate::store::era::{Era, LatestEra, Position};
use crate::store::freshness::{Freshness, Proof};
use crate::store::health::StoreHealth;
use crate::store::history::History;
use crate::store::view::{StoreView, Update};
use crate::store::{Event, Listing, StoreError};
use std::cell::{Cell, Ref, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// The view of the store and how current it is.
#[derive(Debug, Default)]
pub struct StoreCopy {
    view: RefCell<StoreView>,
    latest_era: Rc<LatestEra>,
    freshness: Freshness,
    health: StoreHealth,
    history: History,
    /// The latest position up to which a peer has said to have the changes.
    peer_position: Cell<Position>,
    /// Number of responses with changes that are being received.
    responses_in_progress: Cell<u32>,
    /// Whether the relay reported that it is receiving a response with changes.
    relay_receiving: Cell<bool>,
    /// Whether the state that depends on the view is being changed; still set after a panic.
    is_applying: Cell<bool>,
    changed: Notify,
    proof_recorded: Notify,
    reachable_again: Notify,
}

impl StoreCopy {
    /// Creates an empty copy, which shares the latest known era with the store's client.
    pub fn new(latest_era: Rc<LatestEra>) -> Self {
        Self { latest_era, ..Self::default() }
    }

    /// The view; not to be held across an await.
    pub fn view(&self) -> Ref<'_, StoreView> {
        self.view.borrow()
    }

    /// The latest era of the store known to this instance.
    pub fn latest_era(&self) -> &LatestEra {
        &self.latest_era
    }

    /// Whether the view is from an earlier era than the latest known one, so that the store has to
    /// be listed again.
    pub fn is_superseded(&self) -> bool {
        self.view().position().era < self.latest_era.get()
    }

    /// Completes once a later era than that of the current view is known.
    pub async fn superseded(&self) {
        let era = self.view().position().era;
        self.latest_era.advanced_past(era).await;
    }

    /// The latest position of the view's era that was seen, here or at a peer.
    pub fn seen(&self) -> Position {
        let (seen, peer) = (self.view().seen(), self.peer_position.get());
        if peer.era == seen.era { seen.max(peer) } else { seen }
    }

    /// Records the position up to which a peer has the changes, if it is of the view's era.
    pub fn record_peer_position(&self, at: Position) {
        let (known, era) = (self.peer_position.get(), self.view().position().era);
        if at.era == era {
            self.peer_position.set(if known.era == era { known.max(at) } else { at });
        }
    }

    /// Compares the store's responses with what was seen of it.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Replaces the view by a list; returns what changed. A list from an earlier era than the latest
    /// known one is ignored.
    pub fn apply_listing(&self, listing: Listing) -> Vec<Event> {
        let update = Update::Listing(listing);
        if self.is_from_earlier_era(&update) {
            return Vec::new();
        }
        let changes = self.view().changes_of(&update);
        self.commit(&update, &changes);
        changes
    }

    /// Whether an update is a list from an earlier era than the latest known one.
    pub fn is_from_earlier_era(&self, update: &Update) -> bool {
        matches!(update, Update::Listing(listing) if listing.at.era < self.latest_era.get())
    }

    /// Includes an update in the view once its changes are applied.
    pub fn commit(&self, update: &Update, changes: &[Event]) {
        self.view.borrow_mut().commit(update, changes);
        if !changes.is_empty() {
            self.changed.notify_waiters();
        }
    }

    /// Records that the state that depends on the view is being changed, or that the change has ended.
    pub fn set_applying(&self, is_applying: bool) {
        self.is_applying.set(is_applying);
    }

    /// Whether a change of the state that depends on the view was begun and has not ended. It never
    /// waits, so that outside of it this means that it panicked.
    pub fn is_interrupted(&self) -> bool {
        self.is_applying.get()
    }

    /// Records any response of the store. It does not prove that the view is current.
    pub fn record_response(&self) {
        let was_lost = self.health.is_lost();
        let has_recovered = self.health.record_response(self.view_age());
        if was_lost || has_recovered {
            // A watch that was pending while the store did not respond may be lost, even if no call
            // failed: this process may have been paused.
            self.reachable_again.notify_waiters();
        }
    }

    /// Records that a call to the store was refused or got no response; `kind` names the call in the
    /// log.
    pub fn record_failure(&self, kind: &str, error: &StoreError) {
        self.health.record_failure(kind, error);
    }

    /// Records a proof that the view was current `age` ago. It is ignored unless the era of the
    /// response is both that of the view and the latest known one, and while the view is not applied.
    pub fn record_proof(&self, proof: Proof, age: Duration, era: Era) {
        if era != self.view().position().era || self.is_superseded() || self.is_interrupted() {
            return;
        }
        self.freshness.record_proof(proof, age);
        self.proof_recorded.notify_waiters();
    }

    /// Records that a peer observed the store recover from an outage `age` ago.
    pub fn record_peer_recovery(&self, age: Duration) {
        self.health.record_peer_recovery(age, self.view_age());
    }

    /// Records that a response with changes is being received, until the guard is dropped.
    pub fn begin_receiving(&self) -> ReceiveGuard<'_> {
        self.responses_in_progress.set(self.responses_in_progress.get() + 1);
        ReceiveGuard { copy: self, started_at: Instant::now() }
    }

    /// Whether this instance itself is receiving a response with changes.
    pub fn is_receiving_directly(&self) -> bool {
        self.responses_in_progress.get() > 0
    }

    /// Records whether the relay of this instance is receiving a response with changes.
    pub fn set_relay_receiving(&self, is_receiving: bool) {
        self.relay_receiving.set(is_receiving);
    }

    /// Whether this instance or its relay is receiving a response with changes.
    pub fn is_receiving(&self) -> bool {
        self.is_receiving_directly() || self.relay_receiving.get()
    }

    /// Time since the view was last proven current; `None` if it never was.
    pub fn view_age(&self) -> Option<Duration> {
        self.freshness.age()
    }

    /// The kind of the latest proof; `None` before the first.
    pub fn view_proof(&self) -> Option<Proof> {
        self.freshness.proof()
    }

    /// Whether the view was proven current less than
    /// [`MAX_VIEW_AGE`](crate::store::freshness::MAX_VIEW_AGE) ago.
    pub fn is_current(&self) -> bool {
        self.freshness.is_current()
    }

    /// Logs if the view has become stale or is current again.
    pub fn log_freshness(&self) {
        self.freshness.log_change(self.view().position());
    }

    /// Whether the store counts as lost, see [`StoreHealth::is_lost`].
    pub fn is_store_lost(&self) -> bool {
        self.health.is_lost()
    }

    /// Time since the store recovered from an outage that may have expired leases; `None` if there
    /// was none.
    pub fn recovery_age(&self) -> Option<Duration> {
        self.health.grace().recovery_age()
    }

    /// Until when targets are kept whose registrations are found missing at `now`; `None` if they are
    /// removed at once.
    pub fn grace_until(&self, now: Instant) -> Option<Instant> {
        self.health.grace().until(now)
    }

    /// Completes once the view has changed.
    pub fn changed(&self) -> Notified<'_> {
        self.changed.notified()
    }

    /// Completes once a further proof that the view is current is recorded.
    pub fn proof_recorded(&self) -> Notified<'_> {
        self.proof_recorded.notified()
    }

    /// Completes once the store is reachable again after it was lost.
    pub fn reachable_again(&self) -> Notified<'_> {
        self.reachable_again.notified()
    }
}

/// Guard that marks a response with changes as being received.
#[derive(Debug)]
pub struct ReceiveGuard<'a> {
    copy: &'a StoreCopy,
    started_at: Instant,
}

impl ReceiveGuard<'_> {
    /// Time since the response began.
    pub fn age(&self) -> Duration {
        self.started_at.elapsed()
    }
}

impl Drop for ReceiveGuard<'_> {
    fn drop(&mut self) {
        self.copy.responses_in_progress.set(self.copy.responses_in_progress.get() - 1);
    }
}
