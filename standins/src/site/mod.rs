//! A small deployment on loopback: a store, and instances as processes of
//! their own.
//!
//! Owns the store, its first endpoint, and the folder with the instances' settings
//! and logs; targets and instances belong to whoever starts them.

mod config;
mod process;
mod request;
mod settings;

pub use config::{RouteSpec, TenantSpec, config};
pub use process::InstanceProcess;
pub use request::{TestRequest, fresh_id};
pub use settings::{MEMORY_MB, Placement};

use crate::store::{Endpoint, Store};
use crate::target_server::{Registration, TargetServer};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Host of all routes.
pub const HOST: &str = "shop.example";
/// Time from a signal to stop until an instance has to have ended, seconds.
const STOP_S: f64 = 6.0;

/// A running site. Dropped, its files are removed, unless a test fails or [`Self::keep_files`] was called.
pub struct Site {
    /// The store.
    pub store: Store,
    /// The store's address for all but those instances that got their own.
    pub endpoint: Endpoint,
    folder: PathBuf,
    program: PathBuf,
    stop_s: f64,
    keeps_files: bool,
}

impl Drop for Site {
    fn drop(&mut self) {
        if self.keeps_files || std::thread::panicking() {
            eprintln!("settings and logs are in {}", self.folder.display());
            return;
        }
        // What cannot be removed stays in the folder of temporary files.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Site {
    /// An empty site whose instances are run by `program entry SETTINGS`.
    pub async fn start(program: &Path) -> Self {
        let store = Store::start();
        let endpoint = store.endpoint().await.expect("loopback has free ports");
        let folder = std::env::temp_dir().join(format!("lockloft-site-{}-{}", std::process::id(), fresh_id()));
        std::fs::create_dir_all(&folder).expect("the temporary folder can be written to");
        Self { store, endpoint, folder, program: program.to_owned(), stop_s: STOP_S, keeps_files: false }
    }

    /// Has the settings and logs stay after the end, as evidence of a failure.
    pub fn keep_files(&mut self) {
        self.keeps_files = true;
    }

    /// Folder of the instances' settings and logs.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Instances started from now on are killed so long after a signal to stop.
    pub fn stop_after(&mut self, seconds: f64) {
        self.stop_s = seconds;
    }

    /// Writes a configuration as the operator does.
    pub fn configure(&self, version: u64, routes: &[RouteSpec], services: &[&str]) {
        self.configure_tenants(version, routes, services, &[]);
    }

    /// Writes a configuration with tenants as the operator does.
    pub fn configure_tenants(&self, version: u64, routes: &[RouteSpec], services: &[&str], tenants: &[TenantSpec]) {
        self.store.put("op/config", config(version, routes, services, tenants));
    }

    /// Registers a target as ready and warm.
    pub fn register(&self, target: &TargetServer, service: &str, hall: &str) {
        self.register_as(target, &Registration::ready(service, hall));
    }

    /// Registers a target at its own address.
    pub fn register_as(&self, target: &TargetServer, registration: &Registration) {
        self.register_at(target, target.address, registration);
    }

    /// Registers a target at an address, such as that of a proxy before it.
    pub fn register_at(&self, target: &TargetServer, address: SocketAddr, registration: &Registration) {
        let value = target.registration(address, registration);
        self.store.put(&format!("servers/{}", target.id), value);
    }

    /// An instance that is not started yet, in a hall `REGION-...`.
    pub fn instance(&self, name: &str, hall: &str) -> InstanceProcess {
        self.instance_at(name, hall, &self.endpoint, &[])
    }

    /// An instance with its own endpoint to the store, and seeds.
    pub fn instance_at(&self, name: &str, hall: &str, endpoint: &Endpoint, seeds: &[SocketAddr]) -> InstanceProcess {
        let placement = Placement { name, hall, store: endpoint.address, seeds, stop_s: self.stop_s };
        InstanceProcess::new(&self.program, &self.folder, &placement)
    }

    /// An instance that is started and ready.
    pub async fn ready_instance(&self, name: &str, hall: &str) -> InstanceProcess {
        let mut instance = self.instance(name, hall);
        instance.start();
        instance.wait_ready().await;
        instance
    }
}
