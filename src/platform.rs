//! What an instance asks of the platform it runs on. The names and
//! formats behind these types are the platform crate's business.

use crate::model::record::{Record, RecordError, RemovedRecord};
use crate::store::{Item, Store};
use bytes::Bytes;
use hyper::header::HeaderName;
use std::net::SocketAddr;
use std::time::Duration;

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
