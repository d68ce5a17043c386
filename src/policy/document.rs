//! The document that holds the operators' policies in the store, as JSON.

use super::source::Sources;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// One revision of the operators' policies, as it is stored.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct PolicyDocument {
    /// Rises by one with each change; the first is 1. Not the store's own revision.
    pub revision: u64,
    /// Random id of the apply that wrote it.
    pub id: String,
    /// Who applied it.
    pub by: String,
    /// The operators' files.
    pub sources: Sources,
}

/// A value of the store that is no policy document.
#[derive(Debug, Error)]
#[error(transparent)]
pub struct DocumentError(#[from] serde_json::Error);

impl PolicyDocument {
    /// Reads a value of the store. The policies in it are not checked.
    ///
    /// # Errors
    /// [`DocumentError`] where it has not this form.
    pub fn read(value: &[u8]) -> Result<Self, DocumentError> {
        Ok(serde_json::from_slice(value)?)
    }

    /// The value for the store.
    pub fn to_json(&self) -> Bytes {
        Bytes::from(serde_json::to_vec(self).expect("a document is plain strings"))
    }
}
