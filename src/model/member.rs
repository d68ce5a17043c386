//! The registration of an instance: what its record in the store says.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One instance. lockloft writes and reads this record itself, as JSON with these
/// field names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Where callers send their requests.
    pub callers: SocketAddr,
    /// Where other instances and operators ask it.
    pub peer: SocketAddr,
    /// Its hall.
    pub hall: String,
    /// Its region.
    pub region: String,
}

impl Member {
    /// The value for the store.
    pub fn value(&self) -> Bytes {
        Bytes::from(serde_json::to_vec(self).expect("a member is plain strings"))
    }
}
