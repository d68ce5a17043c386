//! What an instance asks of the platform it runs on. The names and
//! formats behind these types are the platform crate's business.

use crate::model::config::Config;
use bytes::Bytes;
use hyper::header::HeaderName;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;

/// Names of the headers by which callers, instances and targets understand one
/// another.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifies one attempt of a caller.
    pub request_id: HeaderName,
    /// Milliseconds that are left.
    pub deadline_ms: HeaderName,
    /// The object that a request is about.
    pub object: HeaderName,
    /// A target's mark on its own answers.
    pub signature: HeaderName,
    /// The one target that may run the request.
    pub expected_target: HeaderName,
    /// A target's running requests, waiting requests and slots.
    pub load: HeaderName,
    /// The target did not run the request.
    pub not_executed: HeaderName,
}

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
    Gone {
        /// The key.
        key: String,
        /// When it went.
        revision: u64,
    },
}

impl Event {
    /// The key that changed.
    pub fn key(&self) -> &str {
        match self {
            Event::Put(item) => &item.key,
            Event::Gone { key, .. } => key,
        }
    }

    /// The revision of the change.
    pub fn revision(&self) -> u64 {
        match self {
            Event::Put(item) => item.revision,
            Event::Gone { revision, .. } => *revision,
        }
    }
}

/// All items under a prefix.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// The items.
    pub items: Vec<Item>,
    /// The revision from which a watch continues.
    pub at: u64,
}

/// The answer to a watch.
#[derive(Clone, Debug)]
pub enum Watched {
    /// Changes up to the revision `at`; none where the wait ran out.
    Events {
        /// The changes, oldest first.
        events: Vec<Event>,
        /// The revision from which the next watch continues.
        at: u64,
    },
    /// The history from the asked revision on is gone; list again.
    HistoryGone,
}

/// A lease on keys of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseId(pub u64);

/// Why a call to the store gave nothing that can be used.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum StoreError {
    /// No answer; a write may have been done, or may still be done.
    #[error("the store did not answer; lockloft tries again by itself")]
    Silent,
    /// The store turned the call away; nothing was done.
    #[error("the store turned the call away with {0}; lockloft tries again by itself")]
    Refused(u16),
    /// Another write came first: the key is not at the expected revision.
    #[error("another write came first; lockloft reads the key again")]
    Conflict,
    /// The lease is over.
    #[error("the lease is over; lockloft takes a new one")]
    LeaseOver,
    /// An answer outside the store's protocol.
    #[error("the store's answer cannot be read ({0}); check that [store] address names the store")]
    Unreadable(String),
}

/// The platform's store.
pub trait Store: 'static {
    /// Lists all keys under `prefix`, as of now.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Listing, StoreError>>;
    /// Waits up to `wait` for changes under `prefix` after a revision.
    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> impl Future<Output = Result<Watched, StoreError>>;
    /// Takes a lease.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId, StoreError>>;
    /// Renews a lease.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>>;
    /// Ends a lease and removes its keys.
    fn end(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>>;
    /// Writes a key that goes with a lease.
    fn put(&self, key: &str, value: Bytes, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>>;
    /// Writes a key that stays, if it is still at the revision `expected`; 0
    /// where it must not be there.
    fn put_if(&self, key: &str, value: Bytes, expected: u64) -> impl Future<Output = Result<(), StoreError>>;
}

/// Whether a target takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// It takes requests.
    Ready,
    /// It finishes what it has.
    Draining,
}

/// What the store says of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRegistration {
    /// Identity of this life of the target.
    pub id: Rc<str>,
    /// Service name.
    pub service: Rc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its hall.
    pub hall: Rc<str>,
    /// Version of its software.
    pub version: Rc<str>,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it takes requests.
    pub state: TargetState,
    /// Count of its own writes; a lower one is older.
    pub sequence: u64,
    /// How much longer it stays cold from the time of the write.
    pub cold: Duration,
}

/// An item of the store, in the product's terms.
#[derive(Debug)]
pub enum Record {
    /// The operators' configuration.
    Config(Config),
    /// A hall whose targets are to get nothing.
    Evacuation(Rc<str>),
    /// A target.
    Target(TargetRegistration),
    /// The operators' policies, in lockloft's own form.
    Policies,
    /// A key that lockloft itself wrote, without its prefix.
    Own(String),
    /// Nothing that lockloft knows.
    Unknown,
}

/// A value that cannot be translated.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{key}: {problem}; the last good value stays in force, correct the value")]
pub struct RecordError {
    /// The key.
    pub key: String,
    /// What is wrong.
    pub problem: String,
}

/// Where a caller that asks the directory is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerPlace {
    /// Region name; empty where unknown.
    pub region: String,
    /// Hall name; empty where unknown.
    pub hall: String,
}

/// A platform: its store, and how it spells what the product means.
pub trait Platform: 'static {
    /// Client of the platform's store.
    type Store: Store;

    /// Header names.
    fn headers() -> HeaderNames;
    /// Path of the readiness check.
    fn ready_path() -> &'static str;
    /// The prefixes of the store that matter, the own one last.
    fn own_prefix() -> &'static str;
    /// The key of the operators' policies.
    fn policies_key() -> &'static str;
    /// Translates an item.
    fn read(item: &Item) -> Result<Record, RecordError>;
    /// What a key stands for when it has gone; the config never goes.
    fn read_gone(key: &str) -> RemovedRecord;
    /// Reads a caller's question to the directory; `None` for any other path.
    fn directory_question(path: &str, query: &str) -> Option<CallerPlace>;
    /// The directory's answer, as JSON.
    fn directory_answer(addresses: &[SocketAddr], ttl: Duration) -> Bytes;
}

/// What went with a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RemovedRecord {
    /// The evacuation of a hall.
    Evacuation(String),
    /// A target.
    Target(String),
    /// A key of lockloft's own, without its prefix.
    Own(String),
    /// Nothing that lockloft knows.
    Unknown,
}
