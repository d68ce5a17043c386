//! Settings of an instance, read from TOML and checked.
//!
//! | file | its job |
//! |---|---|
//! | `raw` | the file's fields and defaults |
//! | `check` | checks of single values |
//! | `error` | what was wrong, where, and the remedy |
//! | `reload` | which fields a reload takes over, and which only a restart changes |
//!
//! Owns the checked form. Relies on the bounds of slow start in [`crate::decision`].

mod check;
mod error;
mod raw;
mod reload;

pub use error::{SettingsError, ValueError};
pub use reload::{RefusedSetting, Reload};

use crate::decision::capacity::slow_start::SlowStartBounds;
use crate::model::member::Capacity;
use raw::{RawBounds, RawLimits, RawSettings};
use serde::Deserialize;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

/// Smallest rate of log lines, bytes a second: some 30 lines, so that failures are still logged.
const MIN_LOG_RATE: u64 = 10_000;

/// Where an instance listens.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Listen {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// The readiness check.
    pub readiness: SocketAddr,
    /// Callers that ask which instance to use.
    pub directory: SocketAddr,
    /// Peers, operators, and the metrics.
    pub peers: SocketAddr,
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
    /// Time from SIGTERM until the process is killed.
    pub stop: Duration,
    /// Longest time for which callers may keep the directory's answer.
    pub directory_ttl: Duration,
    /// Retries allowed for each request, over all instances.
    pub retry_ratio: f64,
    /// Retries allowed besides in a budget's window, over all instances.
    pub retry_slack: f64,
    /// What a target in slow start may receive, over all instances.
    pub slow_start: SlowStartBounds,
    /// Age of the view from which no key opens anything; `None` where keys hold however old it is.
    pub keys_expire: Option<Duration>,
    /// Window in which a tenant's requests are counted against its quota.
    pub quota_window: Duration,
    /// Requests beyond a tenant's quota that the operators tolerate in a window, over all instances.
    pub quota_slack: f64,
    /// Memory of the process, bytes.
    pub memory: u64,
    /// Descriptors of the process.
    pub descriptors: u32,
    /// What its machine has, as far as the file says.
    pub capacity: Capacity,
    /// Region of each hall.
    pub halls: HashMap<Rc<str>, Rc<str>>,
    /// Peers to ask before any is known from the store; they may be gone.
    pub seeds: Vec<SocketAddr>,
    /// Most bytes of log lines a second.
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
        let raw: RawSettings = toml::from_str(text).map_err(|error| SettingsError::Form {
            path: path.to_owned(),
            problem: error.to_string().replace('\n', " "),
        })?;
        Self::try_from(raw).map_err(|source| SettingsError::Value { path: path.to_owned(), source })
    }
}

impl TryFrom<RawSettings> for Settings {
    type Error = ValueError;

    fn try_from(raw: RawSettings) -> Result<Self, ValueError> {
        let (instance, bounds) = (raw.instance, raw.bounds);
        let name = check::name("instance.name", instance.name)?;
        let hall = check::name("instance.hall", instance.hall)?;
        let region = check::name("instance.region", instance.region)?;
        let log_rate = log_rate(raw.log.bytes_per_second)?;
        let memory = memory_bytes(raw.limits.memory_mb)?;
        Ok(Self {
            name,
            hall: hall.into(),
            region: region.into(),
            listen: raw.listen,
            store: raw.store.address,
            shortest_lease: Duration::from_millis(raw.store.shortest_lease_ms),
            stop: check::seconds("bounds.stop_s", bounds.stop_s)?,
            directory_ttl: check::seconds("bounds.directory_ttl_s", bounds.directory_ttl_s)?,
            retry_ratio: check::share("bounds.retry_ratio", bounds.retry_ratio)?,
            retry_slack: check::at_least_zero("bounds.retry_slack", bounds.retry_slack)?,
            slow_start: slow_start(&bounds)?,
            keys_expire: bounds.keys_expire_ms.map(keys_expire).transpose()?,
            quota_window: check::seconds("bounds.quota_window_s", bounds.quota_window_s)?,
            quota_slack: check::at_least_zero("bounds.quota_slack", bounds.quota_slack)?,
            memory,
            descriptors: raw.limits.descriptors,
            capacity: capacity(&raw.limits)?,
            halls: raw.halls.into_iter().map(|(hall, region)| (hall.into(), region.into())).collect(),
            seeds: raw.seeds,
            log_rate,
        })
    }
}

fn log_rate(value: u64) -> Result<u64, ValueError> {
    let problem = "is too low for failures to be told; give 10,000 or more";
    check::at_least("log.bytes_per_second", value, MIN_LOG_RATE, problem)
}

fn keys_expire(milliseconds: u64) -> Result<Duration, ValueError> {
    let problem = "is 0, with which no key ever opens anything; give milliseconds, or leave it out";
    check::at_least("bounds.keys_expire_ms", milliseconds, 1, problem).map(Duration::from_millis)
}

fn memory_bytes(megabytes: u64) -> Result<u64, ValueError> {
    let problem = "is 0; give the memory of the process in MB";
    Ok(check::at_least("limits.memory_mb", megabytes, 1, problem)? << 20)
}

/// Cores and link in the units of the registration; parts of one are rounded up, so that none says nothing.
fn capacity(limits: &RawLimits) -> Result<Capacity, ValueError> {
    let share = optional("limits.cpu_share", limits.cpu_share)?;
    let cores = optional("limits.cpu_cores", limits.cpu_cores)?.unwrap_or(1.0);
    let link = optional("limits.bandwidth_mbps", limits.bandwidth_mbps)?;
    let in_thousandths = |value: f64| (value * 1e3).ceil() as u32;
    Ok(Capacity { core_milli: share.map(|share| in_thousandths(share * cores)), link_kbit: link.map(in_thousandths) })
}

fn optional(field: &'static str, value: Option<f64>) -> Result<Option<f64>, ValueError> {
    value.map(|value| check::above_zero(field, value)).transpose()
}

fn slow_start(bounds: &RawBounds) -> Result<SlowStartBounds, ValueError> {
    Ok(SlowStartBounds {
        overage: check::at_least_zero("bounds.cold_overage", bounds.cold_overage)?,
        slack: check::at_least_zero("bounds.cold_slack", bounds.cold_slack)?,
    })
}
