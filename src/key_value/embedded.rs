//! A platform inside the process: one declaration file and a store in
//! memory, for a first try with a single daemon. It keeps nothing.

use super::{Entry, Expect, KeyValue, KeyValueError, Listed};
use bytes::Bytes;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;
use tokio::sync::Notify;

/// A store that lives and ends with the daemon.
#[derive(Default)]
pub struct EmbeddedKeyValue {
    values: Mutex<BTreeMap<String, Entry>>,
    instances: Vec<Listed>,
    changed: Notify,
}

impl EmbeddedKeyValue {
    /// An empty store whose list shows `instances`.
    pub fn new(instances: Vec<Listed>) -> Self {
        Self { instances, ..Self::default() }
    }
}

impl KeyValue for EmbeddedKeyValue {
    async fn get(&self, key: &str) -> Result<Option<Entry>, KeyValueError> {
        Ok(self.values.lock().expect("no holder panics").get(key).cloned())
    }

    async fn put(&self, key: &str, value: Bytes, expect: Expect) -> Result<u64, KeyValueError> {
        let mut values = self.values.lock().expect("no holder panics");
        let version = values.get(key).map(|e| e.version);
        let met = match expect {
            Expect::Absent => version.is_none(),
            Expect::Version(wanted) => version == Some(wanted),
        };
        if !met {
            return Err(KeyValueError::Conflict);
        }
        let version = version.unwrap_or(0) + 1;
        values.insert(key.to_owned(), Entry { version, value });
        self.changed.notify_waiters();
        Ok(version)
    }

    async fn watch(&self, key: &str, after: u64, wait: Duration) -> Result<Option<Entry>, KeyValueError> {
        let newer = async {
            loop {
                let changed = self.changed.notified();
                if let Some(entry) = self.get(key).await?
                    && entry.version > after
                {
                    return Ok(Some(entry));
                }
                changed.await;
            }
        };
        tokio::time::timeout(wait, newer).await.unwrap_or(Ok(None))
    }

    async fn keys(&self, prefix: &str) -> Result<Vec<String>, KeyValueError> {
        let values = self.values.lock().expect("no holder panics");
        Ok(values.keys().filter(|k| k.starts_with(prefix)).cloned().collect())
    }

    async fn instances(&self) -> Result<Vec<Listed>, KeyValueError> {
        Ok(self.instances.clone())
    }
}
