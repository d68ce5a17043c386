//! Reload: SIGHUP makes an instance read its settings file again.
//!
//! Settings that cannot be used are logged, and those in force stay. A setting that only a
//! restart changes is logged by name, and stays as it was. Relies on [`Settings`] for the
//! checks and for what a reload takes over.

use crate::platform::Platform;
use crate::settings::{Reload, Settings};
use crate::state::Instance;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::signal::unix::Signal;
use tokio::sync::Mutex;

/// Reads the settings at `path` after each `hang_up`, until the process ends.
pub async fn run<P: Platform>(instance: Rc<Instance<P>>, path: PathBuf, hang_up: Rc<Mutex<Signal>>) {
    let mut hang_up = hang_up.lock().await;
    while hang_up.recv().await.is_some() {
        match Settings::load(&path) {
            Ok(read) => take_over(&instance, read),
            Err(error) => tracing::error!(event = "reload_refused", %error),
        }
    }
}

fn take_over<P: Platform>(instance: &Instance<P>, read: Settings) {
    let Reload { settings, refused } = instance.settings().reload(read);
    instance.reload(settings);
    for setting in refused {
        tracing::warn!(event = "setting_refused", field = setting.field, error = %setting);
    }
    tracing::info!(event = "reloaded");
}
