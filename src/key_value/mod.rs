//! The platform's service, behind a small trait: a key-value store with
//! compare-and-swap, leases and watches, and a list of instances.

mod budget;
mod client;
mod embedded;

pub use budget::Budget;
pub use client::HttpKeyValue;
pub use embedded::EmbeddedKeyValue;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// A value with the version that a compare-and-swap names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Version, larger for later writes of the key.
    pub version: u64,
    /// The value.
    pub value: Bytes,
}

/// What a write expects to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// No value yet.
    Absent,
    /// The value of this version.
    Version(u64),
}

/// Whether the platform's list counts an instance in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListState {
    /// Running.
    Live,
    /// About to stop.
    Leaving,
}

/// One line of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Instance name.
    pub name: String,
    /// Its hall.
    pub hall: String,
    /// Where it listens for callers.
    pub address: SocketAddr,
    /// Where it listens for peers.
    pub peer: SocketAddr,
    /// Live or leaving.
    pub state: ListState,
}

/// Why a call gave no answer that can be used.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum KeyValueError {
    /// A compare-and-swap found another version.
    #[error("the platform holds another version; remedy: read it and decide again")]
    Conflict,
    /// No answer in time. A write may have taken effect.
    #[error("the platform did not answer; remedy: check that it runs and can be reached, lockloft retries by itself")]
    Silent,
    /// Over the platform's rate or our own budget. Nothing took effect.
    #[error("over the rate of the platform's service; remedy: come back in {after:?}")]
    Busy {
        /// When to come back.
        after: Duration,
    },
    /// An answer outside the published protocol.
    #[error("the platform answered {0}; remedy: check that [platform] address names the key-value service")]
    Strange(String),
    /// A value above the platform's largest.
    #[error("the value has {0} bytes, the platform takes 1 MB; remedy: split the declaration")]
    TooLarge(usize),
}

/// The largest value the platform holds, in bytes.
pub const MAX_VALUE: usize = 1 << 20;

/// What lockloft asks of the platform.
pub trait KeyValue: Send + Sync + 'static {
    /// Reads a key; `None` where it is absent.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Entry>, KeyValueError>> + Send;
    /// Writes a key if it is as expected; returns the new version.
    fn put(&self, key: &str, value: Bytes, expect: Expect) -> impl Future<Output = Result<u64, KeyValueError>> + Send;
    /// Waits up to `wait` for a version above `after`; `None` where none came.
    fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Entry>, KeyValueError>> + Send;
    /// The names of keys with this prefix.
    fn keys(&self, prefix: &str) -> impl Future<Output = Result<Vec<String>, KeyValueError>> + Send;
    /// The list of instances.
    fn instances(&self) -> impl Future<Output = Result<Vec<Listed>, KeyValueError>> + Send;
}

/// Either platform, chosen by the settings.
pub enum AnyKeyValue {
    /// The real service.
    Http(HttpKeyValue),
    /// A declaration file in this process, for a first try.
    Embedded(EmbeddedKeyValue),
}

macro_rules! either {
    ($self:ident, $p:ident => $call:expr) => {
        match $self {
            AnyKeyValue::Http($p) => $call.await,
            AnyKeyValue::Embedded($p) => $call.await,
        }
    };
}

impl KeyValue for AnyKeyValue {
    async fn get(&self, key: &str) -> Result<Option<Entry>, KeyValueError> {
        either!(self, p => p.get(key))
    }
    async fn put(&self, key: &str, value: Bytes, expect: Expect) -> Result<u64, KeyValueError> {
        either!(self, p => p.put(key, value, expect))
    }
    async fn watch(&self, key: &str, after: u64, wait: Duration) -> Result<Option<Entry>, KeyValueError> {
        either!(self, p => p.watch(key, after, wait))
    }
    async fn keys(&self, prefix: &str) -> Result<Vec<String>, KeyValueError> {
        either!(self, p => p.keys(prefix))
    }
    async fn instances(&self) -> Result<Vec<Listed>, KeyValueError> {
        either!(self, p => p.instances())
    }
}
