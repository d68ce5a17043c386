//! The settings file as it is written: the names of its fields, and their defaults.
//!
//! Nothing is checked here beyond the types of the fields; [`super::Settings`] is the
//! checked form. `docs/SETTINGS.md` describes each field.

use super::Listen;
use serde::Deserialize;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Log lines in bytes a second where the file names no rate: some 600 lines.
const DEFAULT_LOG_RATE: u64 = 200_000;

/// The whole file.
#[derive(Debug, Deserialize)]
pub struct RawSettings {
    pub instance: RawInstance,
    pub listen: Listen,
    pub store: RawStore,
    pub bounds: RawBounds,
    pub limits: RawLimits,
    /// Region of each hall.
    #[serde(default)]
    pub halls: HashMap<String, String>,
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    #[serde(default)]
    pub log: RawLog,
}

/// Who this instance is.
#[derive(Debug, Deserialize)]
pub struct RawInstance {
    pub name: String,
    pub hall: String,
    pub region: String,
}

/// Where the store is, and its shortest lease in milliseconds.
#[derive(Debug, Deserialize)]
pub struct RawStore {
    pub address: SocketAddr,
    pub shortest_lease_ms: u64,
}

/// Bounds that the platform sets: times in seconds, the others are ratios and counts.
#[derive(Debug, Deserialize)]
pub struct RawBounds {
    pub stop_s: f64,
    pub directory_ttl_s: f64,
    pub retry_ratio: f64,
    pub retry_slack: f64,
    pub cold_overage: f64,
    pub cold_slack: f64,
    #[serde(default)]
    pub keys_expire_ms: Option<u64>,
    #[serde(default = "quota_window_s")]
    pub quota_window_s: f64,
    #[serde(default)]
    pub quota_slack: f64,
}

/// Where the file names no window, a quota is counted over this time, seconds: it is well above the
/// 0.5 s in which instances hear of each other's requests.
fn quota_window_s() -> f64 {
    5.0
}

/// Limits of the process.
#[derive(Debug, Deserialize)]
pub struct RawLimits {
    pub memory_mb: u64,
    pub descriptors: u32,
    /// Share of each core that the process gets.
    #[serde(default)]
    pub cpu_share: Option<f64>,
    /// Cores, one where it is left out.
    #[serde(default)]
    pub cpu_cores: Option<f64>,
    /// The machine's link in each direction, Mbit/s.
    #[serde(default)]
    pub bandwidth_mbps: Option<f64>,
}

/// The log.
#[derive(Debug, Deserialize)]
#[serde(default)]
pub struct RawLog {
    pub bytes_per_second: u64,
}

impl Default for RawLog {
    fn default() -> Self {
        Self { bytes_per_second: DEFAULT_LOG_RATE }
    }
}
