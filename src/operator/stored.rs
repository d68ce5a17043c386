//! The policies' key of the store, as an apply reads and writes it: the document, with the
//! revisions that it followed.
//!
//! By these an apply whose answer was lost finds its write also after others have followed
//! it. Owns nothing; the store keeps the value.

use super::api::ApplyRequest;
use crate::platform::Platform;
use crate::policy::PolicyDocument;
use crate::state::Instance;
use crate::store::{Store, StoreError};
use crate::sync::call::document_call;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Largest document, bytes: a value of the store holds 1 MB, and base64 on the way there makes four
/// bytes of three.
pub const MAX_DOCUMENT: usize = 512 * 1024;

/// Who the policies in force are from, in a message, where the store no longer says it.
const UNKNOWN_OPERATOR: &str = "an operator whom the store no longer names";
/// Earlier revisions that a value names: more than operators apply in the 8 s for which an apply
/// looks for its write.
const MAX_EARLIER: usize = 16;

/// A revision that a document followed.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Earlier {
    revision: u64,
    /// Id of the apply that wrote it.
    id: String,
}

/// The value of the key. Who reads the policies alone passes `earlier` over.
#[derive(Debug, Serialize, Deserialize)]
struct Value {
    #[serde(flatten)]
    document: PolicyDocument,
    /// The latest first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    earlier: Vec<Earlier>,
}

/// The policies' key as it was read from the store.
pub struct Stored {
    value: Option<Value>,
    /// Revision of the key in the store, on which the write is conditional; 0 where
    /// it is absent.
    pub at: u64,
    /// Revision of the policies in force at this instance; 0 before the first.
    in_force: u64,
}

impl Stored {
    /// Reads the key from the store.
    ///
    /// # Errors
    /// [`StoreError`] of the call. A value that cannot be read is none: it is there to be
    /// replaced, and `value_refused` named its fault.
    pub async fn read<P: Platform>(instance: &Instance<P>) -> Result<Self, StoreError> {
        let list = instance.store.list(P::policies_key(), || ());
        let listing = document_call(instance, "list", MAX_DOCUMENT, list).await?;
        let in_force = instance.routing.borrow().policies_revision();
        let item = listing.items.into_iter().find(|item| item.key == P::policies_key());
        let value = item.as_ref().and_then(|item| serde_json::from_slice(&item.value).ok());
        Ok(Stored { value, at: item.map_or(0, |item| item.revision), in_force })
    }

    /// Revision of the stored policies; of those in force where none can be read.
    pub fn revision(&self) -> u64 {
        self.value.as_ref().map_or(self.in_force, |value| value.document.revision)
    }

    /// Revision for the next document, later than any that an instance may have in force.
    /// A value that cannot be read hides the revisions before it. Each write of the key
    /// raised them by one and the store's own revision by one or more, so that the
    /// latter is later than all of them.
    pub fn next_revision(&self) -> u64 {
        let hidden = if self.value.is_some() { 0 } else { self.at };
        self.revision().max(self.in_force).max(hidden).saturating_add(1)
    }

    /// Who applied the stored policies, for a message.
    pub fn by(&self) -> &str {
        self.value.as_ref().map_or(UNKNOWN_OPERATOR, |value| &value.document.by)
    }

    /// The revision that an apply wrote, where the key still names it.
    pub fn written_by(&self, id: &str) -> Option<u64> {
        let value = self.value.as_ref()?;
        if value.document.id == id {
            return Some(value.document.revision);
        }
        value.earlier.iter().find(|earlier| earlier.id == id).map(|earlier| earlier.revision)
    }

    /// The value that follows this one.
    pub fn followed_by(&self, request: &ApplyRequest) -> Bytes {
        let document = PolicyDocument {
            revision: self.next_revision(),
            id: request.id.clone(),
            by: request.by.clone(),
            sources: request.sources.clone(),
        };
        let value = Value { document, earlier: self.earlier() };
        Bytes::from(serde_json::to_vec(&value).expect("a document is plain strings"))
    }

    /// The revisions before the next one.
    fn earlier(&self) -> Vec<Earlier> {
        let Some(value) = &self.value else { return Vec::new() };
        let last = Earlier { revision: value.document.revision, id: value.document.id.clone() };
        std::iter::once(last).chain(value.earlier.iter().cloned()).take(MAX_EARLIER).collect()
    }
}
