//! What instances tell each other of the requests of tenants, of the loads of targets and of what
//! callers ask for: plain data, with its form on the wire.
//!
//! Owns the form: [postcard](https://postcard.jamesmunns.com/wire-format), fields in this order.
//! Instances of two versions run side by side during an update: fields are only added to [`Details`],
//! which end a message, are left out where they are empty, and which older instances do not read.

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
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
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
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
    /// What else is told.
    pub details: Details,
}

/// The answer: what may pass of the tenants that are near their quotas, and loads of targets.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UsageAnswer {
    /// Tenants by name, each with the share of its requests that may pass, below 1. All others may
    /// pass whole.
    pub passes: Vec<(String, f32)>,
    /// Loads that targets told other instances.
    pub loads: Vec<TargetLoad>,
    /// What else is told.
    pub details: Details,
}

/// How long work takes at a target, as it told it in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetSlowdown {
    /// The target.
    pub target: ShortKey,
    /// In hundredths of its usual time.
    pub percent: u16,
    /// Time since the target told it, in units of [`AGE_UNIT`].
    pub age: u8,
}

/// What the callers of a region ask of a service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RegionDemand {
    /// Key of the service's name.
    pub service: ShortKey,
    /// Key of the region's name.
    pub region: ShortKey,
    /// Slots that their requests keep busy.
    pub slots: f32,
}

/// What was added to the messages; empty in those of an older instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Details {
    /// Targets at which work does not take its usual time.
    pub slowdowns: Vec<TargetSlowdown>,
    /// Demand by service and region.
    pub demands: Vec<RegionDemand>,
}

impl Details {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.slowdowns.is_empty() && self.demands.is_empty()
    }
}

/// The form of [`Details`] that are not empty.
type DetailFields = (Vec<TargetSlowdown>, Vec<RegionDemand>);

impl Serialize for Details {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self.is_empty() {
            true => serializer.serialize_unit(),
            false => (&self.slowdowns, &self.demands).serialize(serializer),
        }
    }
}

impl<'de> Deserialize<'de> for Details {
    /// A message that ends before them comes from an older instance or has none: messages are read
    /// whole, so that no other reason is left.
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let (slowdowns, demands) = DetailFields::deserialize(deserializer).unwrap_or_default();
        Ok(Self { slowdowns, demands })
    }
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
