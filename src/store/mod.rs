//! The platform's store as lockloft uses it: the calls, what they return, the view that
//! an instance keeps, and how current the view is.
//!
//! | file | its job |
//! |---|---|
//! | `view` | the items and recent changes |
//! | `era` | rejects answers that predate a restore of the store from a snapshot |
//! | `freshness` | how old the view is, and what proved it |
//! | `health` | whether the store is reachable |
//! | `grace` | the rule for registrations that expire during an outage |
//! | `lease` | times of an instance's lease |
//!
//! Owns these types; [`crate::state`] holds an instance's copies of them. `platform/`
//! implements [`Store`]; the tasks that call it are in [`crate::sync`].

pub mod era;
pub mod freshness;
pub mod grace;
pub mod health;
pub mod lease;
pub mod view;

use bytes::Bytes;
use era::{Era, LatestEra, Position};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;

/// A value of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Bytes,
    /// Revision of the last change.
    pub revision: u64,
}

/// A change of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A key was written.
    Put(Item),
    /// A key was removed at a revision.
    Delete {
        /// The key.
        key: String,
        /// The revision of its removal.
        revision: u64,
    },
}

impl Event {
    /// The key that changed.
    pub fn key(&self) -> &str {
        match self {
            Event::Put(item) => &item.key,
            Event::Delete { key, .. } => key,
        }
    }

    /// The revision of the change.
    pub fn revision(&self) -> u64 {
        match self {
            Event::Put(item) => item.revision,
            Event::Delete { revision, .. } => *revision,
        }
    }
}

/// All items under a prefix.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// The items.
    pub items: Vec<Item>,
    /// The position from which a watch continues.
    pub at: Position,
}

/// The answer to a watch.
#[derive(Clone, Debug)]
pub enum WatchResponse {
    /// Changes up to the position `at`; none where the wait timed out.
    Events {
        /// The changes, oldest first.
        events: Vec<Event>,
        /// The position from which the next watch continues.
        at: Position,
    },
    /// The history after the requested revision is compacted; list again.
    Compacted,
}

/// A lease on keys of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseId {
    /// Its number, which the store may issue again in a later era.
    pub number: u64,
    /// The era in which it was granted.
    pub era: Era,
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum StoreError {
    /// No answer; a write may have been done, or may still be done.
    #[error("the store did not answer; lockloft retries the call")]
    NoResponse,
    /// The store refused the call with this status; nothing was done.
    #[error("the store refused the call with status {0}; lockloft retries it")]
    Refused(u16),
    /// Another write came first: the key is not at the expected revision.
    #[error("another write came first; lockloft reads the key again")]
    Conflict,
    /// The lease has expired.
    #[error("the lease is over; lockloft takes a new one")]
    LeaseExpired,
    /// The answer predates a restore of the store from a snapshot.
    #[error("the answer is from an earlier era of the store, before it was restored; lockloft retries")]
    EarlierEra,
    /// The pages of a list are from different eras.
    #[error("the store was restored between two pages of a list; lockloft lists again")]
    MixedEras,
    /// An answer outside the store's protocol.
    #[error("the store's answer cannot be read ({0}); check that [store] address names the store")]
    InvalidResponse(String),
}

/// The platform's store.
pub trait Store: 'static {
    /// The latest era reported by an answer of the store or of a peer.
    fn latest_era(&self) -> Rc<LatestEra>;
    /// Lists all keys under `prefix`, as of now; calls `on_response_start` when the head of
    /// the first page has come.
    fn list(&self, prefix: &str, on_response_start: impl FnOnce())
    -> impl Future<Output = Result<Listing, StoreError>>;
    /// Waits up to `wait` for changes under `prefix` after a revision of the latest era; calls
    /// `on_response_start` when the head of the answer has come.
    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
        on_response_start: impl FnOnce(),
    ) -> impl Future<Output = Result<WatchResponse, StoreError>>;
    /// How many keys there are under `prefix`, by a cheap read that may be seconds old; those of
    /// one page at most.
    fn count(&self, prefix: &str) -> impl Future<Output = Result<usize, StoreError>>;
    /// The current position of the store, whichever keys have changed.
    fn position(&self) -> impl Future<Output = Result<Position, StoreError>>;
    /// Takes a lease.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId, StoreError>>;
    /// Renews a lease.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>>;
    /// Ends a lease and removes its keys.
    fn revoke(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>>;
    /// Writes a key that goes with a lease.
    fn put(&self, key: &str, value: Bytes, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>>;
    /// Writes a key that stays, if it is still at the revision `expected`; 0
    /// where it must not exist.
    fn put_if(&self, key: &str, value: Bytes, expected: u64) -> impl Future<Output = Result<(), StoreError>>;
    /// Writes a key that goes with a lease, under the same condition.
    fn put_leased_if(
        &self,
        key: &str,
        value: Bytes,
        lease: LeaseId,
        expected: u64,
    ) -> impl Future<Output = Result<(), StoreError>>;
}
