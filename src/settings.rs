//! Settings of an instance, read from TOML and checked.

use crate::decision::slow_start::SlowStartBounds;
use serde::Deserialize;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;

/// The least rate of log lines, bytes a second.
const MIN_LOG_RATE: u64 = 10_000;

/// Why settings cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{path}: {source}; name a readable settings file")]
    Unreadable { path: PathBuf, source: std::io::Error },
    /// The file is not TOML of the right form.
    #[error("{path}: {problem}; correct the field, docs/SETTINGS.md lists all")]
    Form { path: PathBuf, problem: String },
    /// A field's value cannot be used.
    #[error("{path}: {field}: {problem}")]
    Value { path: PathBuf, field: &'static str, problem: String },
}

/// Where an instance listens.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Listen {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// The readiness check.
    pub readiness: SocketAddr,
    /// Callers that ask where to go.
    pub directory: SocketAddr,
    /// Peers, and the metrics.
    pub peers: SocketAddr,
}

#[derive(Debug, Deserialize)]
struct RawInstance {
    name: String,
    hall: String,
    region: String,
}

#[derive(Debug, Deserialize)]
struct RawStore {
    address: SocketAddr,
    shortest_lease_ms: u64,
}

#[derive(Debug, Deserialize)]
struct RawBounds {
    stop_s: f64,
    directory_ttl_s: f64,
    retry_ratio: f64,
    retry_slack: f64,
    cold_overage: f64,
    cold_slack: f64,
}

#[derive(Debug, Deserialize)]
struct RawLimits {
    memory_mb: u64,
    descriptors: u32,
}

#[derive(Debug, Deserialize)]
struct Raw {
    instance: RawInstance,
    listen: Listen,
    store: RawStore,
    bounds: RawBounds,
    limits: RawLimits,
    #[serde(default)]
    halls: HashMap<String, String>,
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    #[serde(default)]
    log: RawLog,
}

#[derive(Debug, Deserialize)]
#[serde(default)]
struct RawLog {
    bytes_per_second: u64,
}

impl Default for RawLog {
    fn default() -> Self {
        Self { bytes_per_second: 200_000 }
    }
}

/// Checked settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This instance's name.
    pub name: String,
    /// Its hall.
    pub hall: Rc<str>,
    /// Its region.
    pub region: Rc<str>,
    /// Where it listens.
    pub listen: Listen,
    /// Where the store is.
    pub store: SocketAddr,
    /// The shortest lease that the store gives.
    pub shortest_lease: Duration,
    /// Time from the signal to stop until the process is killed.
    pub stop: Duration,
    /// Longest time for which callers may keep the directory's answer.
    pub directory_ttl: Duration,
    /// Second tries allowed for each request, over all instances.
    pub retry_ratio: f64,
    /// Second tries allowed besides in a budget's window, over all instances.
    pub retry_slack: f64,
    /// What a cold target may receive, over all instances.
    pub cold: SlowStartBounds,
    /// Memory of the process, bytes.
    pub memory: u64,
    /// Descriptors of the process.
    pub descriptors: u32,
    /// Region of each hall.
    pub halls: HashMap<Rc<str>, Rc<str>>,
    /// Peers to ask before any is known; they may be gone.
    pub seeds: Vec<SocketAddr>,
    /// Bytes of log lines a second, at the most.
    pub log_rate: u64,
}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// [`SettingsError`], naming file, field and remedy.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Unreadable { path: path.to_owned(), source })?;
        Self::parse(path, &text)
    }

    /// Checks the text of a file; `path` is for errors.
    ///
    /// # Errors
    /// [`SettingsError`], naming file, field and remedy.
    pub fn parse(path: &Path, text: &str) -> Result<Self, SettingsError> {
        let raw: Raw = toml::from_str(text).map_err(|error| SettingsError::Form {
            path: path.to_owned(),
            problem: error.to_string().replace('\n', " "),
        })?;
        let check = Check { path };
        check.name("instance.name", &raw.instance.name)?;
        check.name("instance.hall", &raw.instance.hall)?;
        check.name("instance.region", &raw.instance.region)?;
        if raw.log.bytes_per_second < MIN_LOG_RATE {
            return Err(check.error("log.bytes_per_second", "is too low for failures to be told; give 10,000 or more"));
        }
        if raw.limits.memory_mb == 0 {
            return Err(check.error("limits.memory_mb", "is 0; give the memory of the process in MB"));
        }
        Ok(Self {
            name: raw.instance.name,
            hall: raw.instance.hall.into(),
            region: raw.instance.region.into(),
            listen: raw.listen,
            store: raw.store.address,
            shortest_lease: Duration::from_millis(raw.store.shortest_lease_ms),
            stop: check.seconds("bounds.stop_s", raw.bounds.stop_s)?,
            directory_ttl: check.seconds("bounds.directory_ttl_s", raw.bounds.directory_ttl_s)?,
            retry_ratio: check.share("bounds.retry_ratio", raw.bounds.retry_ratio)?,
            retry_slack: check.at_least_zero("bounds.retry_slack", raw.bounds.retry_slack)?,
            cold: SlowStartBounds {
                overage: check.at_least_zero("bounds.cold_overage", raw.bounds.cold_overage)?,
                slack: check.at_least_zero("bounds.cold_slack", raw.bounds.cold_slack)?,
            },
            memory: raw.limits.memory_mb << 20,
            descriptors: raw.limits.descriptors,
            halls: raw.halls.into_iter().map(|(hall, region)| (hall.into(), region.into())).collect(),
            seeds: raw.seeds,
            log_rate: raw.log.bytes_per_second,
        })
    }
}

struct Check<'a> {
    path: &'a Path,
}

impl Check<'_> {
    fn error(&self, field: &'static str, problem: impl Into<String>) -> SettingsError {
        SettingsError::Value { path: self.path.to_owned(), field, problem: problem.into() }
    }

    fn name(&self, field: &'static str, value: &str) -> Result<(), SettingsError> {
        if value.is_empty() || value.contains('/') {
            return Err(self.error(field, "is empty or holds a slash; give a plain name"));
        }
        Ok(())
    }

    fn seconds(&self, field: &'static str, value: f64) -> Result<Duration, SettingsError> {
        match Duration::try_from_secs_f64(value) {
            Ok(duration) if !duration.is_zero() => Ok(duration),
            _ => Err(self.error(field, format!("is {value}; give seconds above 0"))),
        }
    }

    fn share(&self, field: &'static str, value: f64) -> Result<f64, SettingsError> {
        if !(0.0..=1.0).contains(&value) {
            return Err(self.error(field, format!("is {value}; give a share from 0 to 1")));
        }
        Ok(value)
    }

    fn at_least_zero(&self, field: &'static str, value: f64) -> Result<f64, SettingsError> {
        if !value.is_finite() || value < 0.0 {
            return Err(self.error(field, format!("is {value}; give a number of at least 0")));
        }
        Ok(value)
    }
}
