//! The JSON document that holds the operators' policies in the store.

use super::source::Sources;
use bytes::Bytes;
use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize};
use thiserror::Error;

/// One revision of the operators' policies, as stored.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct PolicyDocument {
    /// Starts at 1 and rises by one with each change. Independent of the store's revision.
    #[serde(deserialize_with = "revision")]
    pub revision: u64,
    /// Random id of the apply that wrote the document.
    pub id: String,
    /// Name of the operator who applied it.
    pub by: String,
    /// The operators' files.
    pub sources: Sources,
}

/// Maximum revision. No number of applies reaches it, and the apply that replaces a document above it has a
/// later revision to use.
const MAX_REVISION: u64 = 1 << 53;

fn revision<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let revision = u64::deserialize(deserializer)?;
    if revision > MAX_REVISION {
        return Err(D::Error::custom(format!("the revision is above {MAX_REVISION}")));
    }
    Ok(revision)
}

/// A stored value that can't be parsed as a policy document.
#[derive(Debug, Error)]
#[error(transparent)]
pub struct DocumentError(#[from] serde_json::Error);

impl PolicyDocument {
    /// Parses the JSON of a stored value. The policies in it are not checked.
    ///
    /// # Errors
    /// [`DocumentError`] if it is not the JSON of a document.
    pub fn from_json(value: &[u8]) -> Result<Self, DocumentError> {
        Ok(serde_json::from_slice(value)?)
    }

    /// The value that is written to the store.
    pub fn to_json(&self) -> Bytes {
        Bytes::from(serde_json::to_vec(self).expect("a document consists of numbers and strings"))
    }
}
