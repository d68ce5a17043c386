//! Policies that may be missing from a restored store, until [`crate::sync::policies`] has checked.
//!
//! Owns the value. Relies on nothing.

use bytes::Bytes;
use std::cell::RefCell;
use tokio::sync::Notify;

/// The value that the policies' key had before the store was restored, if it is still to be checked.
#[derive(Debug, Default)]
pub struct LostPolicies {
    value: RefCell<Option<Bytes>>,
    added: Notify,
}

impl LostPolicies {
    /// Schedules a value to be written again if the store lacks it; replaces a pending value.
    pub fn add(&self, value: Bytes) {
        self.value.replace(Some(value));
        self.added.notify_one();
    }

    /// Waits for a pending value and removes it.
    pub async fn next(&self) -> Bytes {
        loop {
            if let Some(value) = self.value.take() {
                return value;
            }
            self.added.notified().await;
        }
    }
}
