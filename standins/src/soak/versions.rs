//! Configurations of a soak: written one after the other, and looked for at
//! the instances, which must not show an older one than before.

use super::system::{SERVICE, System};
use crate::site::{RouteSpec, TestRequest};
use std::collections::HashMap;
use std::time::Duration;

/// Longest time for a request, milliseconds.
const ROUTE_TIMEOUT_MS: u64 = 1_500;
/// Longest wait for the answer that shows a version. Short, since faults wait
/// for it.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Versions of the configuration.
pub struct Versions {
    /// The last one written.
    written: u64,
    /// The highest that each instance's process has shown.
    shown: HashMap<usize, u64>,
}

impl Versions {
    /// The first version is written, and nothing shown.
    pub fn first() -> Self {
        Self { written: 1, shown: HashMap::new() }
    }

    /// Forgets what an instance has shown: its process ends.
    pub fn forget(&mut self, instance: usize) {
        self.shown.remove(&instance);
    }
}

/// The routes of a version: those of the load, and one for each version so far.
pub fn routes(version: u64) -> Vec<RouteSpec> {
    let mut routes = vec![RouteSpec::new("/look/", "safe", SERVICE), RouteSpec::new("/buy/", "unsafe", SERVICE)];
    routes.iter_mut().for_each(|route| route.timeout_ms = ROUTE_TIMEOUT_MS);
    routes.extend((1..=version).map(|number| RouteSpec::new(&format!("/since-{number}/"), "safe", SERVICE)));
    routes
}

impl System {
    /// Writes the next version.
    pub(super) fn configure_next(&mut self) {
        self.versions.written += 1;
        let version = self.versions.written;
        self.site.configure(version, &routes(version), &[SERVICE]);
    }

    /// Checks that an instance still has the version that it has shown, or
    /// whether it has the last one.
    pub(super) async fn check_version(&mut self) {
        let number = rand::random_range(0..self.instances.len());
        let instance = &self.instances[number];
        let process = instance.pid();
        let shown = self.versions.shown.get(&number).copied();
        let version = if rand::random() { shown.unwrap_or(1) } else { self.versions.written };
        let request = TestRequest::get(&format!("/since-{version}/x"));
        let sent = tokio::time::timeout(CHECK_TIMEOUT, request.send(instance.callers)).await;
        let Ok(Ok(reply)) = sent else { return };
        if instance.pid() != process {
            return;
        }
        match reply.status.as_u16() {
            404 if shown.is_some_and(|shown| version <= shown) => self.observations.went_back += 1,
            200 => {
                self.versions.shown.insert(number, shown.unwrap_or(1).max(version));
            }
            _ => {}
        }
    }
}
