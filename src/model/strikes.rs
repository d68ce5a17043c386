//! The record by which instances share, through the store, how many targets crashed under a request.
//! [`crate::decision::failure::quarantine`] defines what counts as a strike.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Strikes against a request. Instances write and read this record as JSON with these field names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Strikes {
    /// Number of targets that crashed under the request, one after the other; 0 once a target has
    /// responded to it.
    pub strikes: u32,
    /// Name of the instance that counted the latest strike.
    pub by: String,
}

impl Strikes {
    /// Encodes the record as JSON for the store.
    pub fn to_json(&self) -> Bytes {
        Bytes::from(serde_json::to_vec(self).expect("a record is a number and a plain string"))
    }
}
