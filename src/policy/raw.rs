//! Policies as written: what serde reads from the operators' TOML.

use super::selector::RawSelector;
use super::unsupported::{RawLimit, RawPace};
use serde::Deserialize;
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
