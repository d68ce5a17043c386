//! What an instance says of itself in the store.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where peers reach it.
    pub peer: SocketAddr,
    /// Its hall.
    pub hall: String,
    /// Its region.
    pub region: String,
}

impl Member {
    /// Reads a value of the store; `None` where it is none of this form.
    pub fn read(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }

    /// The value for the store.
    pub fn value(&self) -> Bytes {
        Bytes::from(serde_json::to_vec(self).expect("a member is plain strings"))
    }
}
