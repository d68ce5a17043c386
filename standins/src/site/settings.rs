//! The settings file of an instance, spelled out as an operator writes it.

use super::InstanceProcess;
use std::net::SocketAddr;

/// Memory limit of an instance, MB.
pub const MEMORY_MB: u64 = 260;

/// Where an instance stands and what it needs to start.
pub struct Placement<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its hall, `REGION-...`.
    pub hall: &'a str,
    /// The store's address for it.
    pub store: SocketAddr,
    /// Addresses of peers that it asks before it has reached the store.
    pub seeds: &'a [SocketAddr],
    /// Time from a signal to stop until it has to have ended, seconds.
    pub stop_s: f64,
}

impl Placement<'_> {
    /// The text of the settings of an instance with these addresses.
    pub(super) fn settings(&self, instance: &InstanceProcess) -> String {
        let Self { name, hall, store, stop_s, .. } = self;
        let InstanceProcess { callers, readiness, directory, peers, .. } = instance;
        let region = hall.split('-').next().unwrap_or(hall);
        let seeds: Vec<String> = self.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let seeds = seeds.join(", ");
        format!(
            "seeds = [{seeds}]\n[instance]\nname = \"{name}\"\nhall = \"{hall}\"\nregion = \"{region}\"\n\
             [listen]\ncallers = \"{callers}\"\nreadiness = \"{readiness}\"\n\
             directory = \"{directory}\"\npeers = \"{peers}\"\n\
             [store]\naddress = \"{store}\"\nshortest_lease_ms = 1000\n\
             [bounds]\nstop_s = {stop_s}\ndirectory_ttl_s = 5\nretry_ratio = 0.2\nretry_slack = 64\n\
             cold_overage = 1.5\ncold_slack = 5\nquota_slack = 20\n[limits]\nmemory_mb = {MEMORY_MB}\ndescriptors = 4100\n\
             [halls]\na-1 = \"a\"\na-2 = \"a\"\na-3 = \"a\"\nb-1 = \"b\"\nb-2 = \"b\"\nc-1 = \"c\"\n"
        )
    }
}
