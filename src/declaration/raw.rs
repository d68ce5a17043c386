//! Declarations as written: what serde reads from the operators' TOML.

use crate::label::RawLabels;
use crate::selector::RawSelector;
use ipnet::IpNet;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;
use toml::Spanned;

/// One file of declarations.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawFile {
    pub region: Vec<RawRegion>,
    pub hall: Vec<RawHall>,
    pub link: Vec<RawLink>,
    pub service: Vec<RawService>,
    pub target: Vec<RawTarget>,
    pub caller: Vec<RawCaller>,
    pub policy: Vec<RawPolicy>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawRegion {
    pub name: Spanned<String>,
    #[serde(default)]
    pub labels: RawLabels,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawHall {
    pub name: Spanned<String>,
    pub region: String,
    #[serde(default)]
    pub labels: RawLabels,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawLink {
    pub name: Spanned<String>,
    /// A hall or a region.
    pub from: String,
    /// A hall or a region.
    pub to: String,
    /// One-way delay.
    #[serde(with = "humantime_serde")]
    pub delay: Duration,
    /// Largest rate of request and answer bodies, in bytes a second.
    pub bytes: Option<u64>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawService {
    pub name: Spanned<String>,
    #[serde(default)]
    pub hosts: Vec<String>,
    /// Path prefixes.
    #[serde(default)]
    pub paths: Vec<String>,
    pub repeat: RawRepeat,
    pub objective: RawObjective,
    #[serde(default)]
    pub key: RawKeyRule,
    #[serde(default = "default_priority")]
    pub priority: u8,
    #[serde(with = "humantime_serde")]
    pub timeout: Duration,
    /// Retries as a share of requests.
    #[serde(default = "default_retry")]
    pub retry: f64,
    /// Largest request body, in bytes.
    #[serde(default = "default_body")]
    pub body: u64,
    /// Longest queue of one instance, in requests.
    #[serde(default = "default_queue")]
    pub queue: usize,
    /// Whether hedging is allowed.
    #[serde(default)]
    pub hedge: bool,
    /// Request label name to the header it is read from.
    #[serde(default)]
    pub headers: RawLabels,
    /// Request label name to the query key it is read from.
    #[serde(default)]
    pub query: RawLabels,
    #[serde(default)]
    pub labels: RawLabels,
}

fn default_priority() -> u8 {
    5
}
fn default_retry() -> f64 {
    0.1
}
fn default_body() -> u64 {
    1 << 20
}
fn default_queue() -> usize {
    64
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum RawRepeat {
    Safe,
    Never,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum RawObjective {
    Latency,
    Headroom,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum RawKeyRule {
    #[default]
    Optional,
    Required,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawTarget {
    pub name: Spanned<String>,
    pub service: String,
    pub hall: String,
    pub address: SocketAddr,
    pub slots: u32,
    pub connections: u32,
    #[serde(default = "default_probe")]
    pub probe: String,
    /// How long a fresh target takes to reach full load.
    #[serde(default, with = "humantime_serde")]
    pub warmup: Duration,
    #[serde(default)]
    pub labels: RawLabels,
}

fn default_probe() -> String {
    "/probe".to_owned()
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawCaller {
    pub name: Spanned<String>,
    pub blocks: Vec<IpNet>,
    /// The region whose entry these callers are nearest to.
    pub region: String,
    /// One-way delay to that region's halls.
    #[serde(with = "humantime_serde")]
    pub delay: Duration,
    #[serde(default)]
    pub labels: RawLabels,
}

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
