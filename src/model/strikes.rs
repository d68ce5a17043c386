//! What instances share of a request that ended targets: its record in the store.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The record of a request. lockloft writes and reads it itself, as JSON with these field
/// names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Strikes {
    /// Targets that ended under it, one after the other.
    pub strikes: u32,
    /// Name of the instance that counted the last one.
    pub by: String,
}

impl Strikes {
    /// The value for the store.
    pub fn to_json(&self) -> Bytes {
        Bytes::from(serde_json::to_vec(self).expect("a record is a number and a plain string"))
    }
}
