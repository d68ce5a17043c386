//! What an instance needs from the platform it runs on. The `platform` crate
//! implements it; the platform's own names and formats stay there.

use crate::model::record::{Record, RecordError, RemovedRecord};
use crate::store::{Item, Store};
use bytes::Bytes;
use hyper::header::HeaderName;
use std::net::SocketAddr;
use std::time::Duration;

/// Names of the headers between callers, instances and targets.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifies one attempt of a caller; set by the caller, returned by the target.
    pub request_id: HeaderName,
    /// Milliseconds until the caller, or the instance on its behalf, gives up.
    pub deadline_ms: HeaderName,
    /// Affinity key: the same for all requests about one object; set by the caller.
    pub affinity_key: HeaderName,
    /// Signature of a target on its answer.
    pub signature: HeaderName,
    /// Id of the one target that may run the request; set by the instance.
    pub expected_target: HeaderName,
    /// Id of a target on its answer to a health check.
    pub target_id: HeaderName,
    /// A target's running requests, waiting requests and slots.
    pub load: HeaderName,
    /// Requests a second that a target takes of all instances; in each answer while it holds.
    pub rate_limit: HeaderName,
    /// Set by a target on all its answers once it leaves.
    pub leaving: HeaderName,
    /// Set by a target on an answer to a request that it did not run.
    pub not_executed: HeaderName,
    /// A secret that shows the caller's tenant; set by the caller, never sent on.
    pub api_key: HeaderName,
    /// Name of the caller's tenant; set by the instance.
    pub tenant: HeaderName,
}

/// Where a caller that asks the directory is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerPlace {
    /// Region name; empty where unknown.
    pub region: String,
    /// Hall name; empty where unknown.
    pub hall: String,
}

/// A platform: its store, its names and its formats. A platform holds no state, so
/// that its functions are called by type.
pub trait Platform: 'static {
    /// Client of the platform's store.
    type Store: Store;

    /// Header names.
    fn headers() -> HeaderNames;
    /// Path at which the platform asks whether the instance is ready.
    fn ready_path() -> &'static str;
    /// Prefix of the keys at which instances register; followed by an instance's name.
    fn own_prefix() -> &'static str;
    /// Key of the operators' policies.
    fn policies_key() -> &'static str;
    /// Prefix of the keys at which instances share the targets that ended under a request;
    /// followed by its fingerprint.
    fn strikes_prefix() -> &'static str;
    /// Decodes an item of the store.
    ///
    /// # Errors
    /// [`RecordError`] for a value that does not fit its key; the last good value
    /// then stays in force.
    fn decode(item: &Item) -> Result<Record, RecordError>;
    /// The record that a removed key held; the configuration is never removed.
    fn decode_removal(key: &str) -> RemovedRecord;
    /// Decodes a caller's question to the directory; `None` for any other path.
    fn directory_question(path: &str, query: &str) -> Option<CallerPlace>;
    /// The directory's answer, as JSON: where instances take callers' requests, and
    /// how long the caller may keep the answer.
    fn directory_answer(addresses: &[SocketAddr], ttl: Duration) -> Bytes;
}
