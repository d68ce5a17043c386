//! The operators' TOML as serde parses it: field names and types are checked, values are not.
//! `docs/POLICIES.md` describes the fields.
//!
//! Messages of serde, which operators see, contain the names of these types: a rename changes them.

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

/// The table of a region, hall or target, with the labels that operators assign to it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawLabelled {
    pub(super) name: Spanned<String>,
    pub(super) labels: RawLabels,
}

/// The table of a service, with the labels that operators assign to its requests.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawService {
    pub(super) name: Spanned<String>,
    #[serde(default)]
    pub(super) labels: RawLabels,
    /// Label name to the name of the header that it is read from.
    #[serde(default)]
    pub(super) headers: RawLabels,
    /// Label name to the query parameter that it is read from.
    #[serde(default)]
    pub(super) query: RawLabels,
}

/// The table of a policy.
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
    /// Rank; a smaller one is preferred.
    pub(super) prefer: Option<u16>,
    /// Share of the matched requests that is sent to `places`, 0 to 1.
    pub(super) weight: Option<f64>,
    /// Maximum share of the matched requests that may be moved, 0 to 1.
    pub(super) cap: Option<f64>,
    pub(super) limit: Option<RawLimit>,
    pub(super) priority: Option<u8>,
    pub(super) pace: Option<RawPace>,
}

/// The table `limit`, which is always rejected: see [`super::unsupported`].
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawLimit {
    /// Maximum number of requests in flight.
    pub(super) flight: Option<u32>,
    /// Maximum rate in requests per second.
    pub(super) rate: Option<u32>,
}

/// The table `pace`: how a weight is raised in steps. Always rejected: see [`super::unsupported`].
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawPace {
    /// Share of the matched requests that each step adds, above 0 and up to 1.
    pub(super) share: f64,
    /// Time between steps.
    #[serde(with = "humantime_serde")]
    pub(super) every: Duration,
}
