//! Policies as written: what serde reads from the operators' TOML.

use crate::policy::selector::RawSelector;
use serde::Deserialize;
use std::time::Duration;
use toml::Spanned;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawPolicy {
    pub name: Spanned<String>,
    #[serde(default)]
    pub requests: RawSelector,
    pub places: Option<RawSelector>,
    #[serde(default)]
    pub allow: bool,
    #[serde(default)]
    pub deny: bool,
    #[serde(default)]
    pub drain: bool,
    pub prefer: Option<u16>,
    pub weight: Option<f64>,
    pub limit: Option<RawLimit>,
    pub priority: Option<u8>,
    pub cap: Option<f64>,
    pub pace: Option<RawPace>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawLimit {
    /// Requests in flight.
    pub flight: Option<u32>,
    /// Requests a second.
    pub rate: Option<u32>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawPace {
    /// Share of the selected traffic that each step adds.
    pub share: f64,
    /// Time between steps.
    #[serde(with = "humantime_serde")]
    pub every: Duration,
}
