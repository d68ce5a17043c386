//! Entries that another writer may leave in the store: odd ones of each kind of key, good records with
//! seeded mutations, and a fleet that shows whether later changes are in force beside them.

pub mod fleet;
pub mod fuzz;
pub mod mutation;
pub mod odd;

use bytes::Bytes;

/// An entry of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Bytes,
    /// Whether each instance has to say that it refused the value or used another one in its place.
    pub is_named: bool,
}

/// Longest part of a value that is shown, bytes.
const SHOWN: usize = 400;

impl Entry {
    /// An entry that an instance may use as it is.
    pub fn new(key: impl Into<String>, value: impl Into<Bytes>) -> Self {
        Self { key: key.into(), value: value.into(), is_named: false }
    }

    /// An entry that each instance has to name.
    pub fn named(key: impl Into<String>, value: impl Into<Bytes>) -> Self {
        Self { is_named: true, ..Self::new(key, value) }
    }

    /// Key, length and the first bytes of the value.
    pub fn show(&self) -> String {
        let part = String::from_utf8_lossy(&self.value[..self.value.len().min(SHOWN)]).into_owned();
        format!("{:?} ({} bytes) {part}", self.key, self.value.len())
    }
}
