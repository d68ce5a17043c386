//! Policies that a restored store may lack, until [`crate::sync::policies`] checks whether it does.
//!
//! Owns the value. Relies on nothing.

use bytes::Bytes;
use std::cell::RefCell;
use tokio::sync::Notify;

/// The value that the policies' key had before the store was restored.
#[derive(Debug, Default)]
pub struct LostPolicies {
    value: RefCell<Option<Bytes>>,
    added: Notify,
}

impl LostPolicies {
    /// Has a value written again if the store lacks it; replaces a value not yet taken.
    pub fn add(&self, value: Bytes) {
        self.value.replace(Some(value));
        self.added.notify_one();
    }

    /// Waits for a value and takes it.
    pub async fn next(&self) -> Bytes {
        loop {
            if let Some(value) = self.value.take() {
                return value;
            }
            self.added.notified().await;
        }
    }
}
