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
    /// What its machine has; nothing in the records of older instances.
    #[serde(flatten)]
    pub capacity: Capacity,
}

/// What the machine of an instance has, as its settings say. Zero says as little as nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// Thousandths of a core.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub core_milli: Option<u32>,
    /// Its link in each direction, kbit/s.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub link_kbit: Option<u32>,
}

impl Member {
    /// The value for the store.
    pub fn to_json(&self) -> Bytes {
        Bytes::from(serde_json::to_vec(self).expect("a member is plain values"))
    }
}
