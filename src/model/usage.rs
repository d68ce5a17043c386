//! What instances tell each other of the requests of tenants and of the loads of targets: plain data,
//! with its form on the wire.
//!
//! Owns the form: [postcard](https://postcard.jamesmunns.com/wire-format), fields in this order.
//! Instances of two versions run side by side during an update, so that fields are only added, at
//! the end, in a path of their own.

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Requests of a tenant in some time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Those let through, less earlier ones that no target ran.
    pub admitted: i32,
    /// Those that arrived, let through or not.
    pub offered: u32,
}

impl Usage {
    /// Whether there is nothing to tell.
    pub fn is_empty(self) -> bool {
        self == Self::default()
    }

    /// Adds another time's requests.
    pub fn add(&mut self, other: Self) {
        self.admitted = self.admitted.saturating_add(other.admitted);
        self.offered = self.offered.saturating_add(other.offered);
    }
}

/// The first bytes of a target's key, for messages that name many targets. Two targets that share
/// them, one pair in four thousand million, are told each other's loads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ShortKey(pub [u8; 4]);

/// The load of a target, as it told it in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// The target.
    pub target: ShortKey,
    /// Requests running or waiting there.
    pub requests: u8,
    /// Time since the target told it, in units of [`AGE_UNIT`].
    pub age: u8,
}

/// Unit of ages in messages.
pub const AGE_UNIT: Duration = Duration::from_millis(10);

impl TargetLoad {
    /// The load that a target told `age` ago.
    pub fn new(target: ShortKey, requests: u32, age: Duration) -> Self {
        let age = age.as_millis() / AGE_UNIT.as_millis();
        Self { target, requests: requests.min(u8::MAX.into()) as u8, age: age.min(u8::MAX.into()) as u8 }
    }

    /// Time since the target told it, rounded up.
    pub fn age(&self) -> Duration {
        AGE_UNIT * (u32::from(self.age) + 1)
    }
}

/// What an instance tells another one: requests that it told nobody else of the same hall.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Name of the instance that tells it.
    pub from: String,
    /// Its hall.
    pub hall: String,
    /// Whether it tells what it was told by others of its hall, besides its own.
    pub is_forwarded: bool,
    /// Time in which these requests arrived, milliseconds.
    pub over_ms: u32,
    /// Tenants by name.
    pub tenants: Vec<(String, Usage)>,
    /// Loads of targets.
    pub loads: Vec<TargetLoad>,
}

/// The answer: what may pass of the tenants that are near their quotas, and loads of targets.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UsageAnswer {
    /// Tenants by name, each with the share of its requests that may pass, below 1. All others may
    /// pass whole.
    pub passes: Vec<(String, f32)>,
    /// Loads that targets told other instances.
    pub loads: Vec<TargetLoad>,
}

/// The form of a message on the wire.
pub fn encode<T: Serialize>(message: &T) -> Bytes {
    postcard::to_stdvec(message).expect("a message is plain data").into()
}

/// A message read from the wire.
///
/// # Errors
/// [`postcard::Error`] where it is none.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, postcard::Error> {
    postcard::from_bytes(bytes)
}
