//! Logs of the daemon, through `tracing`, to standard error.

use crate::settings::{LogFormat, Settings};
use std::sync::OnceLock;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, Registry, fmt, reload};

static FILTER: OnceLock<reload::Handle<EnvFilter, Registry>> = OnceLock::new();

/// Starts logging as the settings say. A second start changes nothing.
pub fn start(settings: &Settings) {
    let filter = EnvFilter::try_new(&settings.level).expect("the settings check has parsed the level");
    let (filter, handle) = reload::Layer::new(filter);
    let registry = tracing_subscriber::registry().with(filter);
    let started = match settings.format {
        LogFormat::Human => registry.with(fmt::layer().with_writer(std::io::stderr)).try_init(),
        LogFormat::Json => registry.with(fmt::layer().json().with_writer(std::io::stderr)).try_init(),
    };
    if started.is_ok() {
        let _ = FILTER.set(handle);
    }
}

/// Changes the level while running.
pub fn set_level(level: &str) {
    let (Some(handle), Ok(filter)) = (FILTER.get(), EnvFilter::try_new(level)) else { return };
    if handle.reload(filter).is_ok() {
        tracing::info!(level, "log level changed");
    }
}
