//! A small deployment on loopback: a store, a configuration, upstreams, and instances of lockloft as separate
//! processes, started with the command of the deploy file and settings as the platform fills them in.

use crate::http::{free_address, get_status};
use crate::store::Store;
use std::fs::{self, File};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// Host of all routes.
pub const HOST: &str = "harbour.example";
/// Zones with their regions.
pub const ZONES: [(&str, &str); 2] = [("batumi-terminal", "batumi"), ("poti-quay", "poti")];
/// Time within which instances have to be ready.
const START_TIME: Duration = Duration::from_secs(10);

/// An instance as a process; dropped, it is killed.
pub struct Instance {
    /// Where clients send requests.
    pub frontend: SocketAddr,
    readiness: SocketAddr,
    child: Child,
}

impl Drop for Instance {
    fn drop(&mut self) {
        // Both fail only where it has ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The deployment.
pub struct System {
    /// The instances, one in each zone.
    pub instances: Vec<Instance>,
    folder: PathBuf,
}

impl Drop for System {
    fn drop(&mut self) {
        self.instances.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// The command of the role in the deploy file: a program and its arguments.
fn command() -> io::Result<Vec<String>> {
    let text = fs::read_to_string("deploy/system.toml")?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = "));
    let line = line.ok_or_else(|| io::Error::other("the deploy file names no command"))?;
    Ok(line.trim_matches('"').split_whitespace().map(str::to_owned).collect())
}

/// The settings of an instance: the template `platform/settings.toml` with the figures of the ferry deployment.
fn settings(
    zone: (&str, &str),
    [callers, readiness, directory, peers]: [SocketAddr; 4],
    seed: SocketAddr,
    store: SocketAddr,
) -> String {
    let halls: Vec<String> = ZONES.iter().map(|(zone, region)| format!("{zone} = \"{region}\"")).collect();
    format!(
        r#"seeds = ["{seed}"]
[instance]
name = "edge-{zone}-1"
hall = "{zone}"
region = "{region}"
[listen]
callers = "{callers}"
readiness = "{readiness}"
directory = "{directory}"
peers = "{peers}"
[store]
address = "{store}"
shortest_lease_ms = 1000
[bounds]
stop_s = 6
directory_ttl_s = 5
retry_ratio = 0.2
retry_slack = 64
cold_overage = 1.5
cold_slack = 5
[limits]
memory_mb = 260
descriptors = 4100
cpu_share = 0.2
cpu_cores = 1
bandwidth_mbps = 1000.0
[halls]
{halls}
"#,
        zone = zone.0,
        region = zone.1,
        halls = halls.join("\n")
    )
}

impl System {
    /// Starts a store with a configuration and one instance in each zone, and waits until they are ready.
    pub fn start(configuration: &str, register: impl FnOnce(&Store)) -> io::Result<Self> {
        let (store, store_address) = Store::start();
        store.put("op/config", configuration);
        register(&store);
        let folder = std::env::temp_dir().join(format!("lockloft-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut system = Self { instances: Vec::new(), folder };
        let command = command()?;
        let addresses: Vec<[SocketAddr; 4]> = ZONES.iter().map(|_| [(); 4].map(|()| free_address())).collect();
        for (zone, listen) in ZONES.into_iter().zip(&addresses) {
            let path = system.folder.join(format!("{}.toml", zone.0));
            fs::write(&path, settings(zone, *listen, addresses[0][3], store_address))?;
            let log = File::create(system.folder.join(format!("{}.log", zone.0)))?;
            let child = Command::new(&command[0])
                .args(&command[1..])
                .env_clear()
                .env("LOCKLOFT_CONFIG", &path)
                .stdin(Stdio::null())
                .stdout(log.try_clone()?)
                .stderr(log)
                .spawn()?;
            system.instances.push(Instance { frontend: listen[0], readiness: listen[1], child });
        }
        let end = Instant::now() + START_TIME;
        let is_ready = |instance: &Instance| get_status(instance.readiness, "/-/ready") == 200;
        while !system.instances.iter().all(is_ready) {
            if Instant::now() > end {
                return Err(io::Error::other("the instances are not ready in time"));
            }
            thread::sleep(Duration::from_millis(100));
        }
        Ok(system)
    }
}

/// A configuration with one service and one route to it.
pub fn configuration(service: &str, route_type: &str) -> String {
    format!(
        r#"{{"version":1,"resources":[
{{"resource_type":"services","metadata":{{"name":"{service}"}},"spec":{{"health_path":"/health","max_connections":390,"warmup_s":5,"warmup_per_s":8}}}},
{{"resource_type":"routes","metadata":{{"name":"{service}"}},"spec":{{"host":"{HOST}","path_prefix":"/{service}/","type":"{route_type}","service":"{service}","timeout_ms":3000,"target_latency_ms":400,"priority":1,"max_attempts":2,"session_affinity":true}}}},
{{"resource_type":"limits","metadata":{{"name":""}},"spec":{{"max_header_bytes":16384,"max_body_bytes":8388608,"header_timeout_ms":3000,"idle_timeout_ms":10000}}}}]}}"#
    )
}

/// The entry by which an upstream keeps itself in the store: key and value.
pub fn registration(id: &str, service: &str, address: SocketAddr, zone: &str) -> (String, String) {
    let value = format!(
        r#"{{"address":"{address}","info":{{"service":"{service}","zone":"{zone}","version":"v1","capacity":6}},"status":{{"state":"ready","sequence":1,"warmup_ms":0}}}}"#
    );
    (format!("servers/{id}"), value)
}
