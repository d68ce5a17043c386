//! Interface to the platform's key-value store: the calls and their results, the view (the store's
//! items as an instance knows them), and how current the view is.
//!
//! | file | responsibility |
//! |---|---|
//! | `view` | the items and recent changes |
//! | `era` | rejects responses that predate a restore of the store from a snapshot |
//! | `history` | detects a store whose revisions go back within an era |
//! | `freshness` | how old the view is, and what proved it |
//! | `health` | whether the store is reachable |
//! | `grace` | the rule for registrations that expire during an outage |
//! | `lease` | timing of an instance's lease |
//!
//! Owns these types; [`crate::state`] holds an instance's copies of them. `platform/`
//! implements [`Store`]; the tasks that call it are in [`crate::sync`].

pub mod era;
pub mod freshness;
pub mod grace;
pub mod health;
pub mod history;
pub mod lease;
pub mod view;

use bytes::Bytes;
use era::{Era, LatestEra, Position};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;

/// A key of the store with its current value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The full key, with its prefix.
    pub key: String,
    /// The raw value; [`crate::platform::Platform::decode`] decodes it.
    pub value: Bytes,
    /// Revision of the last write to the key, within the era of the store.
    pub revision: u64,
}

/// A change of a key in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A key was written.
    Put(Item),
    /// A key was deleted, its lease expired, or a list does not contain it.
    Delete {
        /// The deleted key.
        key: String,
        /// The revision of the deletion; that of the list if it was found missing there.
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

    /// Size of the value, bytes; 0 for a deletion.
    pub fn value_size(&self) -> usize {
        match self {
            Event::Put(item) => item.value.len(),
            Event::Delete { .. } => 0,
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

/// The response to a list: all items under a prefix.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// The items, from all pages.
    pub items: Vec<Item>,
    /// The position from which a watch continues; in a list of the store, that of the first page.
    pub at: Position,
}

/// The response to a watch.
#[derive(Clone, Debug)]
pub enum WatchResponse {
    /// Changes up to the position `at`; none if the wait timed out.
    Events {
        /// The changes, oldest first.
        events: Vec<Event>,
        /// The position from which the next watch continues.
        at: Position,
    },
    /// The history after the requested revision is compacted; a new list is needed.
    Compacted,
}

/// A lease; keys written under it are deleted when it expires or is revoked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseId {
    /// Number assigned by the store, which may issue it again in a later era.
    pub number: u64,
    /// The era in which it was granted.
    pub era: Era,
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum StoreError {
    /// No response; a write may have been applied, or may still be.
    #[error("the store did not answer; lockloft retries the call")]
    NoResponse,
    /// The store refused the call with this HTTP status and did not execute it.
    #[error("the store refused the call with status {0}; lockloft retries it")]
    Refused(u16),
    /// The key is not at the expected revision, since another write came first.
    #[error("another write to the key came first; lockloft reads it again")]
    Conflict,
    /// The lease has expired.
    #[error("the lease has expired; lockloft requests a new one")]
    LeaseExpired,
    /// The response predates a restore of the store from a snapshot.
    #[error("the response is from an earlier era of the store, before it was restored; lockloft retries")]
    EarlierEra,
    /// The pages of a list are from different eras.
    #[error("the store was restored between two pages of a list; lockloft lists again")]
    MixedEras,
    /// The response does not follow the store's protocol.
    #[error("the store's response is invalid ({0}); check that [store] address names the store")]
    InvalidResponse(String),
}

/// Client of the platform's store.
pub trait Store: 'static {
    /// The latest era reported by a response of the store or of a peer.
    fn latest_era(&self) -> Rc<LatestEra>;
    /// Lists all keys under `prefix` as they are at the time of the call, unlike [`Self::count`]; for
    /// a list with several pages see [`Listing::at`]. Calls `on_response_start` when the headers of
    /// the first page arrive.
    fn list(&self, prefix: &str, on_response_start: impl FnOnce())
    -> impl Future<Output = Result<Listing, StoreError>>;
    /// Waits up to `wait` for changes under `prefix` after a revision of the latest era; calls
    /// `on_response_start` when the headers of the response arrive.
    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
        on_response_start: impl FnOnce(),
    ) -> impl Future<Output = Result<WatchResponse, StoreError>>;
    /// The number of keys under `prefix`, from a cheap read whose result may be seconds old. Keys
    /// beyond the first page of a list are not counted.
    fn count(&self, prefix: &str) -> impl Future<Output = Result<usize, StoreError>>;
    /// The current position of the store, whichever keys have changed.
    fn position(&self) -> impl Future<Output = Result<Position, StoreError>>;
    /// Requests a lease that expires after `ttl` unless it is renewed.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId, StoreError>>;
    /// Renews a lease for its full time to live.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>>;
    /// Revokes a lease, which deletes its keys.
    fn revoke(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>>;
    /// Writes a key that is deleted with its lease.
    fn put(&self, key: &str, value: Bytes, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>>;
    /// Writes a key without a lease if it is still at the revision `expected`; 0 requires that
    /// it does not exist.
    fn put_if(&self, key: &str, value: Bytes, expected: u64) -> impl Future<Output = Result<(), StoreError>>;
    /// Writes a key that is deleted with its lease, under the same condition as [`Self::put_if`].
    fn put_leased_if(
        &self,
        key: &str,
        value: Bytes,
        lease: LeaseId,
        expected: u64,
    ) -> impl Future<Output = Result<(), StoreError>>;
}
