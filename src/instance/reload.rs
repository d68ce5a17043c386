//! Reload: SIGHUP makes an instance read its settings file again.
//!
//! Settings that cannot be used are logged, and those in force stay. Relies on
//! [`Settings`] for the checks.

use crate::platform::Platform;
use crate::settings::Settings;
use crate::state::Instance;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::signal::unix::Signal;

/// Reads the settings at `path` after each `hang_up`, until the process ends.
pub async fn run<P: Platform>(instance: Rc<Instance<P>>, path: PathBuf, mut hang_up: Signal) {
    while hang_up.recv().await.is_some() {
        match Settings::load(&path) {
            Ok(settings) => {
                instance.settings.replace(Rc::new(settings));
                tracing::info!(event = "reloaded");
            }
            Err(error) => tracing::error!(event = "reload_refused", %error),
        }
    }
}
