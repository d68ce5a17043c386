//! An instance's copy of the store: the view, how current it is, and who waits for it.
//!
//! Owns the view, the health of the store, whether a watch is waiting, and the
//! notifications. [`crate::sync`] updates it; requests, peers and operators read it.
//! Relies on [`crate::store`] for the types.

use crate::store::health::StoreHealth;
use crate::store::view::StoreView;
use crate::store::{Event, Listing, StoreError};
use std::cell::{Cell, Ref, RefCell};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;
use tokio::time::Instant;

/// The view of the store and how current it is.
#[derive(Debug, Default)]
pub struct StoreCopy {
    view: RefCell<StoreView>,
    health: StoreHealth,
    /// Whether a watch of the store is waiting for changes.
    watching: Cell<bool>,
    changed: Notify,
    confirmed: Notify,
    reachable_again: Notify,
}

impl StoreCopy {
    /// The view; not to be held across an await.
    pub fn view(&self) -> Ref<'_, StoreView> {
        self.view.borrow()
    }

    /// Replaces the view by a list; returns what changed.
    pub fn take_listing(&self, listing: Listing) -> Vec<Event> {
        let changes = self.view.borrow_mut().replace(listing);
        self.notify_changed(&changes);
        changes
    }

    /// Applies events up to the revision `at`; returns those that changed the view.
    pub fn take_events(&self, events: Vec<Event>, at: u64) -> Vec<Event> {
        let changes = self.view.borrow_mut().apply(events, at);
        self.notify_changed(&changes);
        changes
    }

    fn notify_changed(&self, changes: &[Event]) {
        if !changes.is_empty() {
            self.changed.notify_waiters();
        }
    }

    /// Records an answer of the store, whatever it was.
    pub fn mark_answered(&self) {
        if self.health.mark_answered() {
            // A watch that waited through the outage may have missed changes.
            self.reachable_again.notify_waiters();
        } else if self.watching.get() {
            // The watch would have returned if there were a change.
            self.mark_current(Duration::ZERO);
        }
    }

    /// Records that a call to the store was refused or got no answer.
    pub fn mark_failed(&self, error: &StoreError) {
        self.health.mark_failed(error);
    }

    /// Records that the view was current `age` ago.
    pub fn mark_current(&self, age: Duration) {
        self.health.mark_current(age);
        self.confirmed.notify_waiters();
    }

    /// Records that a peer saw the store recover from an outage `age` ago.
    pub fn mark_peer_recovery(&self, age: Duration) {
        self.health.mark_peer_recovery(age);
    }

    /// Records whether a watch is waiting.
    pub fn set_watching(&self, watching: bool) {
        self.watching.set(watching);
    }

    /// Time since the view was last proven current; `None` where it never was.
    pub fn view_age(&self) -> Option<Duration> {
        self.health.view_age()
    }

    /// Whether the view is current.
    pub fn is_current(&self) -> bool {
        self.health.is_current()
    }

    /// Whether the store has given no answer for some time.
    pub fn is_lost(&self) -> bool {
        self.health.is_lost()
    }

    /// Time since the store recovered from an outage that may have expired leases.
    pub fn recovery_age(&self) -> Option<Duration> {
        self.health.grace().recovery_age()
    }

    /// Until when targets are kept whose registrations are seen to be gone at `now`.
    pub fn grace_until(&self, now: Instant) -> Option<Instant> {
        self.health.grace().until(now)
    }

    /// Completes once the view has changed.
    pub fn changed(&self) -> Notified<'_> {
        self.changed.notified()
    }

    /// Completes once the view was proven current again.
    pub fn confirmed(&self) -> Notified<'_> {
        self.confirmed.notified()
    }

    /// Completes once the store is reachable after it was lost.
    pub fn reachable_again(&self) -> Notified<'_> {
        self.reachable_again.notified()
    }
}
