//! Configurations of a soak: written one after the other, and looked for at
//! the instances, which must not show an older one than before, nor believe that their view is
//! younger than a configuration that they lack.

use super::downloads;
use super::endings;
use super::layout::{ROUTE_TIMEOUT, SERVICE};
use super::resting;
use super::tenants;
use crate::http;
use crate::site::{InstanceProcess, RouteSpec, Site, TestRequest};
use serde_json::Value;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Longest wait for the answer that shows a version. Short, since faults wait
/// for it.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// By how much an age that an instance tells may be below the true one: it is in whole
/// milliseconds, and a write is noted when the store has taken it.
const AGE_TOLERANCE: Duration = Duration::from_millis(20);

/// Versions of the configuration.
pub struct Versions {
    /// Whether they have tenants.
    has_tenants: bool,
    /// The last one written.
    written: u64,
    /// When each one after the first was written.
    written_at: Vec<Instant>,
    /// When each one after the first was written, or written again after a restore that lost it.
    stored_since: Vec<Instant>,
    /// The version of the restored snapshot, until the versions after it are written again.
    restored: Option<u64>,
    /// The highest that each instance's process has shown.
    shown: HashMap<usize, u64>,
}

impl Versions {
    /// The first version is written, and nothing shown.
    pub fn first(has_tenants: bool) -> Self {
        Self {
            has_tenants,
            written: 1,
            written_at: Vec::new(),
            stored_since: Vec::new(),
            restored: None,
            shown: HashMap::new(),
        }
    }

    /// When each version after the first was written.
    pub fn written_at(&self) -> &[Instant] {
        &self.written_at
    }

    /// Forgets what an instance has shown: its process ends.
    pub fn forget(&mut self, instance: usize) {
        self.shown.remove(&instance);
    }

    /// The last version that the store is sure to have.
    pub fn last_stored(&self) -> u64 {
        self.restored.unwrap_or(self.written)
    }

    /// Records that the store was restored to version `restored`; instances that start from now on
    /// cannot read later ones.
    pub fn mark_lost(&mut self, restored: u64) {
        self.restored = Some(restored);
    }

    /// Records that the store has the last version again; the lost ones count as stored from now on.
    pub fn mark_repeated(&mut self) {
        let Some(restored) = self.restored.take() else { return };
        let now = Instant::now();
        self.stored_since.iter_mut().skip(index_after(restored)).for_each(|since| *since = now);
    }

    /// Writes the next version.
    pub fn write_next(&mut self, site: &Site) {
        self.written += 1;
        write(site, self.written, self.has_tenants);
        let now = Instant::now();
        self.written_at.push(now);
        self.stored_since.push(now);
    }

    /// Asks an instance for its version and the age of its view; gives whether it lacks a
    /// version that is older than that.
    pub async fn check_belief(&self, instance: &InstanceProcess) -> bool {
        let asked = Instant::now();
        let got = tokio::time::timeout(CHECK_TIMEOUT, http::get(instance.peers, "/status")).await;
        let Ok(Ok(reply)) = got else { return false };
        let status: Value = serde_json::from_slice(&reply.body).expect("its status is JSON");
        let (Some(version), Some(age)) = (status["config"].as_u64(), status["view_age_ms"].as_u64()) else {
            return false;
        };
        if self.restored.is_some_and(|restored| version >= restored) {
            return false;
        }
        let lacked = self.stored_since.get(index_after(version));
        lacked.is_some_and(|at| *at + Duration::from_millis(age) + AGE_TOLERANCE < asked)
    }

    /// Asks an instance whether it still has the version that it has shown, or whether it
    /// has the last one; gives whether it went back.
    pub async fn check(&mut self, number: usize, instance: &InstanceProcess) -> bool {
        let process = instance.pid();
        let shown = self.shown.get(&number).copied();
        let version = if rand::random() { shown.unwrap_or(1) } else { self.written };
        let request = TestRequest::get(&format!("/since-{version}/x")).key(tenants::FREE_KEY);
        let sent = tokio::time::timeout(CHECK_TIMEOUT, request.send(instance.callers)).await;
        let Ok(Ok(reply)) = sent else { return false };
        if instance.pid() != process {
            return false;
        }
        if reply.status == 200 {
            self.shown.insert(number, shown.unwrap_or(1).max(version));
        }
        reply.status == 404 && shown.is_some_and(|shown| version <= shown)
    }
}

/// Index of the version after this one in `written_at` and `stored_since`.
fn index_after(version: u64) -> usize {
    (version as usize).saturating_sub(1)
}

/// Writes a version.
pub fn write(site: &Site, version: u64, has_tenants: bool) {
    let tenants = if has_tenants { tenants::tenants(version) } else { Vec::new() };
    site.configure_tenants(version, &routes(version), &[SERVICE, endings::SERVICE], &tenants);
}

/// The routes of a version: those of the load, and one for each version so far.
fn routes(version: u64) -> Vec<RouteSpec> {
    let mut routes = vec![RouteSpec::new("/look/", "safe", SERVICE), RouteSpec::new("/buy/", "unsafe", SERVICE)];
    routes.push(endings::route());
    routes.push(downloads::route());
    routes.iter_mut().for_each(|route| route.timeout_ms = ROUTE_TIMEOUT.as_millis() as u64);
    routes.extend(resting::routes());
    routes.extend((1..=version).map(|number| RouteSpec::new(&format!("/since-{number}/"), "safe", SERVICE)));
    routes
}
