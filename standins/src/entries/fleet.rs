//! A small fleet whose changes are followed round by round: in each one a route moves, a target leaves,
//! one is removed, a hall is evacuated and used again, and an instance joins.

use super::Entry;
use crate::http;
use crate::scene::start_target_of;
use crate::site::{HOST, InstanceProcess, RouteSpec, Site, TestRequest, config};
use crate::store::Endpoint;
use crate::target_server::{Registration, TargetServer};
use crate::wait::wait_for;
use bytes::Bytes;
use serde_json::Value;
use std::path::Path;
use std::time::{Duration, Instant};

/// Bound on the time from the acknowledgement of a change until it is in force: that of the operators'
/// site for configurations and leaving targets.
pub const APPLY_BOUND: Duration = Duration::from_millis(2_500);
/// Bound on the time until a started instance is ready.
const READY_BOUND: Duration = Duration::from_secs(10);
/// Pause between looks.
const PAUSE: Duration = Duration::from_millis(50);
/// Requests to each path and instance in one look.
const REQUESTS: usize = 8;
/// Time for a request whose answer does not matter, milliseconds.
const TRY_MS: u64 = 500;
/// Lines of a panic's backtrace that are searched.
const MAX_FRAMES: usize = 60;
/// Services that `/look/` moves between.
const MOVED: [&str; 2] = ["shop", "desk"];
/// Service of the targets that leave and are removed.
const STAYING: &str = "till";
/// Service of the hall that is evacuated.
const DOCKED: &str = "dock";
/// Hall that is evacuated.
const EVACUATED: &str = "a-2";
/// Service of odd targets, which may fail.
pub const SPARE: &str = "spare";
/// Services of each configuration.
pub const SERVICES: [&str; 5] = [MOVED[0], MOVED[1], STAYING, DOCKED, SPARE];
/// Paths of the requests whose targets are checked.
const PATHS: [&str; 3] = ["/look/a", "/stay/a", "/dock/a"];
/// First version of the configuration.
const FIRST_VERSION: u64 = 1;

/// The fleet.
pub struct Fleet {
    /// The site.
    pub site: Site,
    /// Instances that stay: two in one hall, and one in each of two other regions.
    pub instances: Vec<InstanceProcess>,
    /// The store's address for the last of them.
    pub own_endpoint: Endpoint,
    /// The instance that joined last.
    newcomer: Option<InstanceProcess>,
    targets: Vec<TargetServer>,
    /// Targets that leave, and that are removed, in the next round.
    next: Vec<TargetServer>,
    /// Targets that have left or were removed.
    gone: Vec<TargetServer>,
    version: u64,
    round: usize,
    /// Entries that each instance has to name.
    named: Vec<Entry>,
}

/// What was not as it should be.
pub type Fault = String;

impl Fleet {
    /// Starts all parts without instances, at a first version of the configuration.
    pub async fn deploy(program: &Path, version: u64) -> Self {
        let site = Site::start(program).await;
        let mut targets = Vec::new();
        for hall in ["a-1", "b-1"] {
            for service in [MOVED[0], MOVED[1], STAYING] {
                targets.push(start_target_of(&site, &format!("{service}-{hall}"), service, hall).await);
            }
        }
        for hall in [EVACUATED, "b-1"] {
            targets.push(start_target_of(&site, &format!("{DOCKED}-{hall}"), DOCKED, hall).await);
        }
        let own_endpoint = site.store.endpoint().await.expect("loopback has free ports");
        let mut fleet = Self {
            site,
            instances: Vec::new(),
            own_endpoint,
            newcomer: None,
            targets,
            next: Vec::new(),
            gone: Vec::new(),
            version,
            round: 0,
            named: Vec::new(),
        };
        fleet.prepare_round().await;
        fleet.configure(&[]);
        fleet
    }

    /// Starts the fleet, ready to serve.
    pub async fn start(program: &Path) -> Self {
        Self::start_at(program, FIRST_VERSION).await
    }

    /// As `start`, with a first version of the configuration.
    pub async fn start_at(program: &Path, version: u64) -> Self {
        let mut fleet = Self::deploy(program, version).await;
        fleet.start_instances(&[]).await;
        for instance in &fleet.instances {
            instance.wait_ready().await;
        }
        let count = fleet.instances.len();
        wait_for("directories that name all", async || {
            for instance in &fleet.instances {
                if member_addresses(instance).await.is_ok_and(|found| found.len() < count) {
                    return false;
                }
            }
            true
        })
        .await;
        fleet
    }

    /// Starts the instances that stay.
    pub async fn start_instances(&mut self, seeds: &[std::net::SocketAddr]) {
        for (name, hall) in [("e-1", "a-1"), ("e-2", "a-1"), ("e-3", "b-1"), ("e-4", "c-1")] {
            let endpoint = if name == "e-4" { &self.own_endpoint } else { &self.site.endpoint };
            let mut instance = self.site.instance_at(name, hall, endpoint, seeds);
            instance.start();
            self.instances.push(instance);
        }
    }

    /// Writes entries of another writer, all at once; after configurations the good one of a next
    /// version, without which a starting instance has none.
    pub fn write(&mut self, entries: &[Entry]) {
        let version = self.next_version();
        let good = Entry::new("op/config", self.config_text(version, &[]));
        let last = entries.iter().any(|entry| entry.key == good.key).then_some(&good);
        let entries: Vec<&Entry> = entries.iter().chain(last).collect();
        self.site.store.write_all(entries.iter().map(|entry| (entry.key.clone(), Some(entry.value.clone()))));
        self.named.extend(entries.into_iter().filter(|entry| entry.is_named).cloned());
    }

    /// Removes entries of another writer.
    pub fn remove(&mut self, entries: &[Entry]) {
        for entry in entries {
            self.site.store.remove(&entry.key);
        }
        self.named.clear();
    }

    /// The version that the next configuration has to have.
    pub fn next_version(&mut self) -> u64 {
        self.version += 1;
        self.version
    }

    /// The text of the fleet's configuration, with the texts of other resources beside its own.
    pub fn config_text(&self, version: u64, resources: &[String]) -> String {
        let text = config(version, &self.routes(), &SERVICES, &[]);
        let start = "\"resources\":[";
        text.replacen(
            start,
            &format!("{start}{}", resources.iter().map(|text| format!("{text},")).collect::<String>()),
            1,
        )
    }

    fn routes(&self) -> Vec<RouteSpec> {
        let look = MOVED[self.round % MOVED.len()];
        [("/look/", look), ("/stay/", STAYING), ("/dock/", DOCKED), ("/spare/", SPARE)]
            .map(|(prefix, service)| RouteSpec::new(prefix, "safe", service))
            .to_vec()
    }

    fn configure(&self, resources: &[String]) {
        self.site.store.put("op/config", self.config_text(self.version, resources));
    }

    /// Starts the targets that leave and are removed in the next round.
    async fn prepare_round(&mut self) {
        self.round += 1;
        for (name, hall) in [("leaving", "a-1"), ("removed", "b-1")] {
            let id = format!("{name}-{}", self.round);
            self.next.push(start_target_of(&self.site, &id, STAYING, hall).await);
        }
    }

    /// Starts a target of a service in the hall that is evacuated.
    pub async fn add_target(&mut self, service: &str) {
        let id = format!("of-{service}");
        self.targets.push(start_target_of(&self.site, &id, service, EVACUATED).await);
    }

    /// Starts one more instance that stays.
    pub async fn add_instance(&mut self, mut instance: InstanceProcess) {
        instance.start();
        instance.wait_ready().await;
        self.instances.push(instance);
    }

    /// All running instances.
    pub fn all(&self) -> impl Iterator<Item = &InstanceProcess> {
        self.instances.iter().chain(&self.newcomer)
    }

    /// Changes everything once, and checks that each change is in force in time at each instance.
    ///
    /// # Errors
    /// What was not.
    pub async fn round(&mut self) -> Result<(), Fault> {
        self.round_with(&[]).await
    }

    /// As `round`, with a configuration that has other resources beside its own.
    ///
    /// # Errors
    /// What was not in force.
    pub async fn round_with(&mut self, resources: &[String]) -> Result<(), Fault> {
        self.play_round(resources, &[]).await
    }

    /// As `round`, with entries of another writer before and between the changes, all in one answer of the
    /// store.
    ///
    /// # Errors
    /// What was not in force.
    pub async fn round_among(&mut self, entries: &[Entry]) -> Result<(), Fault> {
        self.play_round(&[], entries).await
    }

    /// The changes of a round: keys with their values, none for one that is removed.
    fn changes(&mut self, resources: &[String]) -> [(String, Option<Bytes>); 4] {
        self.version += 1;
        let [leaving, removed] = [&self.next[0], &self.next[1]];
        let draining = leaving.registration(leaving.address, &Registration::draining(STAYING, "a-1", 2));
        [
            ("op/config".to_owned(), Some(self.config_text(self.version, resources).into())),
            (format!("servers/{}", leaving.id), Some(draining.into())),
            (format!("servers/{}", removed.id), None),
            (format!("op/evacuate/{EVACUATED}"), Some("{}".into())),
        ]
    }

    async fn play_round(&mut self, resources: &[String], beside: &[Entry]) -> Result<(), Fault> {
        self.join().await?;
        let known: Vec<String> = self.next.iter().map(|target| target.id.clone()).collect();
        self.within("the registration of targets", async |fleet| {
            for instance in fleet.all() {
                let ids = target_ids(instance).await?;
                if let Some(id) = known.iter().find(|id| !ids.contains(id)) {
                    return Err(format!("{} does not know {id}", instance.name));
                }
            }
            Ok(())
        })
        .await?;
        let acknowledged = Instant::now();
        let changes = self.changes(resources);
        let size = beside.len().div_ceil(changes.len()).max(1);
        let mut parts = beside.chunks(size);
        let mut writes: Vec<(String, Option<Bytes>)> = Vec::new();
        for change in changes {
            let part = parts.next().unwrap_or_default();
            writes.extend(part.iter().map(|entry| (entry.key.clone(), Some(entry.value.clone()))));
            writes.push(change);
        }
        self.site.store.write_all(writes);
        self.named.extend(beside.iter().filter(|entry| entry.is_named).cloned());
        self.gone.append(&mut self.next);
        loop {
            match self.look().await {
                Ok(()) => break,
                Err(fault) if acknowledged.elapsed() > APPLY_BOUND => return Err(fault),
                Err(_) => tokio::time::sleep(PAUSE).await,
            }
        }
        self.look().await.map_err(|fault| format!("{fault}, after it was in force"))?;
        self.site.store.remove(&format!("op/evacuate/{EVACUATED}"));
        self.prepare_round().await;
        self.within("the end of the evacuation", async |fleet| {
            for instance in fleet.all() {
                if status(instance).await?["evacuated"]
                    .as_array()
                    .is_some_and(|halls| halls.contains(&EVACUATED.into()))
                {
                    return Err(format!("{} still evacuates {EVACUATED}", instance.name));
                }
            }
            Ok(())
        })
        .await?;
        self.within("the lines of refused values", async |fleet| fleet.check_named()).await?;
        self.check_processes().await
    }

    /// Starts an instance in place of the one that joined last, and checks that each other one names it.
    async fn join(&mut self) -> Result<(), Fault> {
        drop(self.newcomer.take());
        let mut newcomer = self.site.instance(&format!("n-{}", self.round), "b-1");
        newcomer.start();
        let started = Instant::now();
        while !newcomer.is_ready().await {
            if started.elapsed() > READY_BOUND {
                return Err(format!(
                    "{} is not ready {READY_BOUND:?} after its start: {}",
                    newcomer.name,
                    tail(&newcomer)
                ));
            }
            tokio::time::sleep(PAUSE).await;
        }
        let key = format!("lockloft/entries/{}", newcomer.name);
        while self.site.store.keys(&key).is_empty() {
            if started.elapsed() > READY_BOUND {
                return Err(format!("{} does not register: {}", newcomer.name, tail(&newcomer)));
            }
            tokio::time::sleep(PAUSE).await;
        }
        let address = newcomer.callers.to_string();
        self.newcomer = Some(newcomer);
        self.within("the new member", async |fleet| {
            for instance in fleet.all() {
                if !member_addresses(instance).await?.contains(&address) {
                    return Err(format!("{} does not know the new member", instance.name));
                }
            }
            Ok(())
        })
        .await
    }

    /// Waits until something holds, for the bound at most.
    async fn within(&self, what: &str, check: impl AsyncFn(&Self) -> Result<(), Fault>) -> Result<(), Fault> {
        let acknowledged = Instant::now();
        loop {
            match check(self).await {
                Ok(()) => return Ok(()),
                Err(fault) if acknowledged.elapsed() > APPLY_BOUND => return Err(format!("{what}: {fault}")),
                Err(_) => tokio::time::sleep(PAUSE).await,
            }
        }
    }

    /// Sends requests to each instance; none may be handled as before the last changes.
    async fn look(&self) -> Result<(), Fault> {
        let before = self.forbidden_runs();
        let mut tasks = tokio::task::JoinSet::new();
        for instance in self.all() {
            let (name, address) = (instance.name.clone(), instance.callers);
            tasks.spawn(async move { (name, ask(address).await) });
        }
        while let Some(joined) = tasks.join_next().await {
            let (name, asked) = joined.expect("no caller panics");
            asked.map_err(|fault| format!("{name}: {fault}"))?;
        }
        let after = self.forbidden_runs();
        match before.iter().zip(&after).find(|(before, after)| before != after) {
            Some(((what, before), (_, after))) => {
                Err(format!("{} of {REQUESTS} requests to each instance reached {what}", after - before))
            }
            None => Ok(()),
        }
    }

    /// Requests that were run by targets that may not get any.
    fn forbidden_runs(&self) -> Vec<(String, usize)> {
        let left = MOVED[(self.round + 1) % MOVED.len()];
        let is_forbidden =
            |target: &&TargetServer| target.id.starts_with(left) || target.id == format!("{DOCKED}-{EVACUATED}");
        let forbidden = self.targets.iter().filter(is_forbidden).chain(&self.gone);
        forbidden.map(|target| (target.id.clone(), target.runs().len())).collect()
    }

    /// Whether each process lives, is ready and has not panicked.
    ///
    /// # Errors
    /// Which has not.
    pub async fn check_processes(&mut self) -> Result<(), Fault> {
        for instance in self.instances.iter_mut().chain(&mut self.newcomer) {
            if instance.has_exited() {
                return Err(format!("{} has ended: {}", instance.name, tail(instance)));
            }
            if !instance.is_ready().await {
                return Err(format!("{} is not ready: {}", instance.name, tail(instance)));
            }
        }
        match self.panic_line() {
            Some(line) => Err(line),
            None => Ok(()),
        }
    }

    /// The first panic that an instance printed.
    pub fn panic_line(&self) -> Option<String> {
        self.all().find_map(|instance| {
            let log = instance.log();
            let at = log.lines().position(|line| line.contains("panicked"))?;
            let is_own = |line: &&str| line.contains(": lockloft::") || line.contains(": platform::");
            let message = log.lines().skip(at).take(2);
            let frames = log.lines().skip(at).take(MAX_FRAMES).filter(is_own).take(2);
            Some(format!("{}: {}", instance.name, message.chain(frames).collect::<Vec<_>>().join(" ")))
        })
    }

    /// Whether each instance has named each value that it has to name.
    fn check_named(&self) -> Result<(), Fault> {
        for instance in self.all() {
            let lines = [instance.events("value_refused"), instance.events("value_substituted")].concat();
            let texts: Vec<String> = lines
                .iter()
                .flat_map(|line| [&line["key"], &line["error"]])
                .filter_map(|field| field.as_str().map(str::to_owned))
                .collect();
            let is_named = |entry: &&Entry| texts.iter().any(|text| is_of(text, &entry.key));
            if let Some(entry) = self.named.iter().find(|entry| !is_named(entry)) {
                return Err(format!("{} does not name {}", instance.name, entry.show()));
            }
        }
        Ok(())
    }

    /// Writes a configuration and waits until each instance has it, or has refused it.
    pub async fn write_config(&mut self, resources: &[String]) {
        let version = self.next_version();
        self.configure(resources);
        let is_in_force = |instance: &InstanceProcess| {
            instance.events("config_in_force").iter().any(|line| line["version"] == version)
        };
        let written = Instant::now();
        while !self.all().all(is_in_force) && written.elapsed() < APPLY_BOUND {
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// The logs of all instances.
    pub fn evidence(&self) -> String {
        self.all().map(|instance| format!("{}:\n{}\n", instance.name, tail(instance))).collect()
    }

    /// Sends a request for each path to each instance, some with a tenant's key, whatever becomes of them.
    pub async fn try_paths(&self, paths: &[(String, String)]) {
        let mut tasks = tokio::task::JoinSet::new();
        for instance in self.all() {
            let address = instance.callers;
            for (path, key) in paths {
                let request = TestRequest { deadline_ms: TRY_MS, ..TestRequest::get(path) }.key(key);
                tasks.spawn(async move { drop(request.send(address).await) });
            }
        }
        while tasks.join_next().await.is_some() {}
    }
}

async fn ask(address: std::net::SocketAddr) -> Result<(), Fault> {
    for path in PATHS {
        for object in 0..REQUESTS {
            match TestRequest::get(path).affinity(object).send(address).await {
                Ok(reply) if reply.status == 200 => {}
                Ok(reply) => {
                    return Err(format!("{} for {path}: {}", reply.status, String::from_utf8_lossy(&reply.body)));
                }
                Err(fault) => return Err(format!("{fault:?} for {path}")),
            }
        }
    }
    Ok(())
}

async fn json(address: std::net::SocketAddr, path: &str) -> Result<Value, Fault> {
    let reply = http::get(address, path).await.map_err(|fault| format!("{fault:?} for {path}"))?;
    serde_json::from_slice(&reply.body).map_err(|error| format!("{path}: {error}"))
}

/// An instance's status.
///
/// # Errors
/// Where it does not answer with one.
pub async fn status(instance: &InstanceProcess) -> Result<Value, Fault> {
    json(instance.peers, "/status").await
}

/// Ids of the targets that an instance lists.
///
/// # Errors
/// Where it does not list them.
pub async fn target_ids(instance: &InstanceProcess) -> Result<Vec<String>, Fault> {
    let targets = json(instance.peers, "/targets").await?;
    let targets = targets.as_array().cloned().unwrap_or_default();
    Ok(targets.iter().filter_map(|target| target["target"].as_str().map(str::to_owned)).collect())
}

/// Callers' addresses of the members that an instance lists.
async fn member_addresses(instance: &InstanceProcess) -> Result<Vec<String>, Fault> {
    let members = json(instance.peers, "/instances").await?;
    let members = members.as_array().cloned().unwrap_or_default();
    Ok(members.iter().filter_map(|member| member["callers"].as_str().map(str::to_owned)).collect())
}

/// Whether a field of a log line names a key: alone, or before what is wrong with its value.
fn is_of(text: &str, key: &str) -> bool {
    text.strip_prefix(key).is_some_and(|rest| rest.is_empty() || rest.starts_with(": "))
}

/// The end of an instance's log.
fn tail(instance: &InstanceProcess) -> String {
    let log = instance.log();
    let lines: Vec<&str> = log.lines().filter(|line| !line.contains("\"event\":\"request\"")).collect();
    let cut = |line: &&str| line.chars().take(300).collect::<String>();
    lines[lines.len().saturating_sub(15)..].iter().map(cut).collect::<Vec<_>>().join("\n")
}

/// The host of all routes, for resources beside the fleet's own.
pub const ROUTE_HOST: &str = HOST;
