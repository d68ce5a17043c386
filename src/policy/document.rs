//! The document that holds the operators' policies in the store.

use crate::policy::Sources;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// One revision of the operators' policies, as it lies in the store.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct PolicyDocument {
    /// Rises by one with each change.
    pub revision: u64,
    /// Tells the apply that wrote it from any other.
    pub id: String,
    /// Who applied it.
    pub by: String,
    /// The operators' files.
    pub sources: Sources,
}

impl PolicyDocument {
    /// Reads a value of the store.
    ///
    /// # Errors
    /// What is wrong with its form.
    pub fn read(value: &[u8]) -> Result<Self, String> {
        serde_json::from_slice(value).map_err(|error| error.to_string())
    }

    /// The value for the store.
    pub fn value(&self) -> Bytes {
        Bytes::from(serde_json::to_vec(self).expect("a document is plain strings"))
    }
}
