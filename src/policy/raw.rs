//! The operators' TOML as serde reads it, nothing checked but its shape.
//! `docs/POLICIES.md` describes the fields.

use super::label::RawLabels;
use super::selector::RawSelector;
use serde::Deserialize;
use std::time::Duration;
use toml::Spanned;

/// One file of a policy document.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct RawFile {
    pub(super) region: Vec<RawLabelled>,
    pub(super) hall: Vec<RawLabelled>,
    pub(super) target: Vec<RawLabelled>,
    pub(super) service: Vec<RawService>,
    pub(super) policy: Vec<RawPolicy>,
}

/// Labels for a region, hall or target that the platform names.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawLabelled {
    pub(super) name: Spanned<String>,
    pub(super) labels: RawLabels,
}

/// Labels for the requests of a service.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawService {
    pub(super) name: Spanned<String>,
    #[serde(default)]
    pub(super) labels: RawLabels,
    /// Label name to the header that it is read from.
    #[serde(default)]
    pub(super) headers: RawLabels,
    /// Label name to the query key that it is read from.
    #[serde(default)]
    pub(super) query: RawLabels,
}

/// One policy.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawPolicy {
    pub(super) name: Spanned<String>,
    #[serde(default)]
    pub(super) requests: RawSelector,
    pub(super) places: Option<RawSelector>,
    #[serde(default)]
    pub(super) allow: bool,
    #[serde(default)]
    pub(super) deny: bool,
    #[serde(default)]
    pub(super) drain: bool,
    /// Rank, the smaller first.
    pub(super) prefer: Option<u16>,
    /// Share of the selected requests, 0 to 1.
    pub(super) weight: Option<f64>,
    /// Share of the selected requests, 0 to 1.
    pub(super) cap: Option<f64>,
    pub(super) limit: Option<RawLimit>,
    pub(super) priority: Option<u8>,
    pub(super) pace: Option<RawPace>,
}

/// The table `limit`, in requests.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawLimit {
    /// Requests in flight.
    pub(super) flight: Option<u32>,
    /// Requests a second.
    pub(super) rate: Option<u32>,
}

/// The table `pace`.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawPace {
    /// Share of the selected requests that each step adds, 0 to 1.
    pub(super) share: f64,
    /// Time between steps.
    #[serde(with = "humantime_serde")]
    pub(super) every: Duration,
}
