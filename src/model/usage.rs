//! Messages between instances about the usage of tenants and the loads of targets, with their wire
//! format.
//!
//! Owns the wire format: [postcard](https://postcard.jamesmunns.com/wire-format), fields in this order.
//! Messages contain no field names, so the `rename` attributes, which keep earlier names of fields, do not
//! affect them.
//! Instances of two versions run side by side during an update. Fields are therefore only added, at
//! the end, and the extended message gets a path of its own.

use crate::model::checked::Ratio;
use bytes::Bytes;
use serde::de::{DeserializeOwned, Error};
use serde::{Deserialize, Deserializer, Serialize};
use std::time::Duration;

/// Requests of a tenant during some period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Admitted requests, minus requests admitted earlier that no target executed; may be negative.
    pub admitted: i32,
    /// Requests that arrived, admitted or not.
    pub offered: u32,
}

impl Usage {
    /// Whether there are no requests to report.
    pub fn is_empty(self) -> bool {
        self == Self::default()
    }

    /// Adds the requests of another period; the counts saturate.
    pub fn add(&mut self, other: Self) {
        self.admitted = self.admitted.saturating_add(other.admitted);
        self.offered = self.offered.saturating_add(other.offered);
    }
}

/// First bytes of a target's key, for messages about many targets. Targets with the same first bytes,
/// one pair in about 4 billion, are not distinguished: the loads of both count for the one that
/// registered later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ShortKey(pub [u8; 4]);

/// Load that a target reported in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// Key of the target.
    pub target: ShortKey,
    /// Requests running or waiting at the target; 255 means 255 or more.
    pub requests: u8,
    /// Time since the response, in units of [`AGE_UNIT`], rounded down; 255 means 255 or more.
    pub age: u8,
}

/// Unit of [`TargetLoad::age`] in messages.
pub const AGE_UNIT: Duration = Duration::from_millis(10);

impl TargetLoad {
    /// Load that a target reported `age` ago.
    pub fn new(target: ShortKey, requests: u32, age: Duration) -> Self {
        let age = age.as_millis() / AGE_UNIT.as_millis();
        Self { target, requests: requests.min(u8::MAX.into()) as u8, age: age.min(u8::MAX.into()) as u8 }
    }

    /// Time since the target reported the load, rounded up.
    pub fn age(&self) -> Duration {
        AGE_UNIT * (u32::from(self.age) + 1)
    }
}

/// Report of an instance to another one. The requests that it counts are reported to no other instance
/// of the receiver's hall.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Name of the instance that sends the report.
    pub from: String,
    /// Name of its hall.
    pub hall: String,
    /// Whether the report includes requests that other instances of its hall reported to it.
    pub is_forwarded: bool,
    /// Length of the period in which these requests arrived, milliseconds.
    #[serde(rename = "over_ms")]
    pub period_ms: u32,
    /// Usage by tenant name.
    pub tenants: Vec<(String, Usage)>,
    /// Loads that targets reported to the sender or, in a report to another hall, to instances of its hall.
    pub loads: Vec<TargetLoad>,
}

/// Answer to a [`UsageReport`]: the admit ratios of tenants near their quotas, and loads of targets.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UsageAnswer {
    /// Share of requests that may be admitted, below 1, by tenant name. All requests of other tenants
    /// may be admitted.
    #[serde(rename = "passes", deserialize_with = "admit_ratios")]
    pub admit_ratios: Vec<(String, f32)>,
    /// Loads that targets reported to other instances.
    pub loads: Vec<TargetLoad>,
}

/// Admit ratios, all of which are numbers from 0 to 1: any other would stay in the sums that they meet.
fn admit_ratios<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<(String, f32)>, D::Error> {
    let ratios = Vec::<(String, f32)>::deserialize(deserializer)?;
    for (_, ratio) in &ratios {
        Ratio::try_from(f64::from(*ratio)).map_err(D::Error::custom)?;
    }
    Ok(ratios)
}

/// Encodes a message in the wire format.
pub fn encode<T: Serialize>(message: &T) -> Bytes {
    postcard::to_stdvec(message).expect("a message is plain data").into()
}

/// Decodes a message from the wire format.
///
/// # Errors
/// [`postcard::Error`] if the bytes are not such a message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, postcard::Error> {
    postcard::from_bytes(bytes)
}
