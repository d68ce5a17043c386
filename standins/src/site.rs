//! A site: a store, targets, and instance instances as processes of their own.

use crate::http::{self, Connection, NoReply, Reply};
use crate::ports::{free_address, spawn};
use crate::store::{Door, Store};
use crate::target::TargetServer;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use serde_json::{Value, json};
use std::fs::File;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

/// Host of all routes.
pub const HOST: &str = "shop.example";
/// Longest wait for something that must come about.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause between looks.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

static NUMBER: AtomicU64 = AtomicU64::new(1);

/// A fresh identity for a request.
pub fn fresh_id() -> String {
    format!("request-{}", NUMBER.fetch_add(1, Relaxed))
}

/// Waits until something holds; panics with `what` where it does not come
/// about.
pub async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "{what} did not come about");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// A route for a configuration.
#[derive(Clone, Debug)]
pub struct RouteSpec {
    /// Path prefix, also the name.
    pub prefix: String,
    /// `safe`, `unsafe` or `upload`.
    pub kind: &'static str,
    /// Services with weights.
    pub parts: Vec<(String, f64)>,
    /// Longest time; 0 for none.
    pub timeout_ms: u64,
    /// Most targets for one request.
    pub max_attempts: u32,
    /// Rank.
    pub priority: u32,
    /// Regions; empty for all.
    pub regions: Vec<String>,
}

impl RouteSpec {
    /// A route of `kind` to one service.
    pub fn new(prefix: &str, kind: &'static str, service: &str) -> Self {
        Self {
            prefix: prefix.to_owned(),
            kind,
            parts: vec![(service.to_owned(), 1.0)],
            timeout_ms: 0,
            max_attempts: 2,
            priority: 1,
            regions: Vec::new(),
        }
    }

    fn json(&self) -> Value {
        let mut spec = json!({
            "host": HOST,
            "path_prefix": self.prefix,
            "type": self.kind,
            "target_latency_ms": 300,
            "priority": self.priority,
            "max_attempts": self.max_attempts,
            "session_affinity": true,
            "allowed_regions": self.regions,
        });
        if self.timeout_ms > 0 {
            spec["timeout_ms"] = json!(self.timeout_ms);
        }
        match self.parts.as_slice() {
            [(service, _)] => spec["service"] = json!(service),
            parts => {
                let split = parts.iter().map(|(service, weight)| json!({"service": service, "weight": weight}));
                spec["traffic_split"] = split.collect();
            }
        }
        json!({"resource_type": "routes", "metadata": {"name": self.prefix}, "spec": spec})
    }
}

/// A configuration as the operator writes it.
pub fn config(version: u64, routes: &[RouteSpec], services: &[&str]) -> String {
    let mut resources: Vec<Value> = routes.iter().map(RouteSpec::json).collect();
    for service in services {
        let spec = json!({"health_path": "/health", "max_connections": 300, "protocol": "h1", "tls": false,
            "warmup_s": 1.0, "warmup_per_s": 9.0});
        resources.push(json!({"resource_type": "services", "metadata": {"name": service}, "spec": spec}));
    }
    let limits = json!({"max_header_bytes": 16384, "max_body_bytes": 4_000_000, "header_timeout_ms": 1000,
        "idle_timeout_ms": 5000});
    resources.push(json!({"resource_type": "limits", "metadata": {}, "spec": limits}));
    json!({"version": version, "resources": resources}).to_string()
}

/// A running instance instance.
pub struct InstanceProcess {
    /// Its name.
    pub name: String,
    /// For callers.
    pub callers: SocketAddr,
    /// For the readiness check.
    pub readiness: SocketAddr,
    /// For the directory's questions.
    pub directory: SocketAddr,
    /// For peers and metrics.
    pub peers: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    child: Option<Child>,
}

impl Drop for InstanceProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

impl InstanceProcess {
    /// Starts the process.
    ///
    /// # Panics
    /// Where it runs already: a second process would find the addresses taken,
    /// and the first one would run on without anybody who could end it.
    pub fn start(&mut self) {
        assert!(self.has_exited(), "{} runs already", self.name);
        let log = File::options().create(true).append(true).open(&self.log).expect("the folder is ours");
        let mut command = Command::new(&self.program);
        command.arg("entry").arg(&self.settings);
        command.stdin(Stdio::null()).stderr(log.try_clone().expect("a file can be cloned")).stdout(log);
        // SAFETY: prctl is async-signal-safe, and nothing else runs between
        // fork and exec. The instance ends with whoever started it.
        unsafe {
            command.pre_exec(|| {
                libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL);
                Ok(())
            });
        }
        self.child = Some(spawn(&mut command).expect("the program can be started"));
    }

    /// Ends it at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends it a signal.
    pub fn signal(&self, number: libc::c_int) {
        if let Some(child) = &self.child {
            // SAFETY: the id is that of our own child, not yet waited for.
            unsafe { libc::kill(child.id() as libc::pid_t, number) };
        }
    }

    /// Begins a planned stop.
    pub fn terminate(&self) {
        self.signal(libc::SIGTERM);
    }

    /// Its process id, while it runs.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Whether it runs no more.
    pub fn has_exited(&mut self) -> bool {
        let ended = self.child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))));
        if ended {
            self.child = None;
        }
        ended
    }

    /// Waits for its end.
    pub async fn wait_exit(&mut self) -> ExitStatus {
        let end = Instant::now() + WAIT_TIMEOUT;
        loop {
            let child = self.child.as_mut().expect("it was started");
            if let Some(status) = child.try_wait().expect("it is our child") {
                self.child = None;
                return status;
            }
            assert!(Instant::now() < end, "{} did not end", self.name);
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Whether it says that it is ready.
    pub async fn is_ready(&self) -> bool {
        http::get(self.readiness, "/-/ready").await.is_ok_and(|reply| reply.status == 200)
    }

    /// Waits until it is ready.
    pub async fn wait_ready(&self) {
        let end = Instant::now() + WAIT_TIMEOUT;
        while !self.is_ready().await {
            assert!(Instant::now() < end, "{} is not ready: {}", self.name, self.log());
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Callers' addresses that its directory names for a region.
    pub async fn resolve(&self, region: &str) -> Vec<String> {
        let path = format!("/-/resolve?name={HOST}&region={region}&zone=any");
        let Ok(reply) = http::get(self.directory, &path).await else { return Vec::new() };
        let answer: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
        let addresses = answer["addresses"].as_array().cloned().unwrap_or_default();
        addresses.iter().filter_map(|address| address.as_str().map(str::to_owned)).collect()
    }

    /// What it has logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// The lines of an event in its log.
    pub fn events(&self, event: &str) -> Vec<Value> {
        let lines = self.log();
        let parsed = lines.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        parsed.filter(|line| line["event"] == event).collect()
    }

    /// The line of its log for a request.
    pub async fn request_line(&self, id: &str) -> Value {
        let end = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(line) = self.events("request").into_iter().find(|line| line["id"] == id) {
                return line;
            }
            assert!(Instant::now() < end, "no line for {id} in the log of {}", self.name);
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Changes its settings file.
    pub fn edit_settings(&self, edit: impl Fn(&str) -> String) {
        let text = std::fs::read_to_string(&self.settings).expect("the file is ours");
        std::fs::write(&self.settings, edit(&text)).expect("the file is ours");
    }

    /// A metric, the sum over all its label values that contain `with`.
    pub async fn metric(&self, name: &str, with: &str) -> f64 {
        let reply = http::get(self.peers, "/metrics").await.expect("it serves its metrics");
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        let lines = text.lines().filter(|line| line.starts_with(name) && line.contains(with));
        lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
    }
}

/// A request to be sent.
#[derive(Clone, Debug)]
pub struct TestRequest {
    /// Its identity.
    pub id: String,
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Object.
    pub object: String,
    /// Time the caller gives.
    pub deadline_ms: u64,
    /// Body.
    pub body: Bytes,
}

impl TestRequest {
    /// A GET with a fresh identity.
    pub fn get(path: &str) -> Self {
        Self {
            id: fresh_id(),
            method: Method::GET,
            path: path.to_owned(),
            object: "1".to_owned(),
            deadline_ms: 2_500,
            body: Bytes::new(),
        }
    }

    /// A POST with a fresh identity.
    pub fn post(path: &str, body: impl Into<Bytes>) -> Self {
        Self { method: Method::POST, body: body.into(), ..Self::get(path) }
    }

    /// About another object.
    pub fn affinity(mut self, object: impl ToString) -> Self {
        self.object = object.to_string();
        self
    }

    /// The request on the wire.
    pub fn request(&self) -> Request<Full<Bytes>> {
        Request::builder()
            .method(self.method.clone())
            .uri(&self.path)
            .header("host", HOST)
            .header("lockloft-request-id", &self.id)
            .header("lockloft-affinity-key", &self.object)
            .header("lockloft-deadline-ms", self.deadline_ms)
            .body(Full::new(self.body.clone()))
            .expect("the parts are good")
    }

    /// Sends it to an instance over a connection of its own.
    pub async fn send(&self, instance: SocketAddr) -> Result<Reply, NoReply> {
        Connection::open(instance).await?.send(self.request(), Duration::from_secs(10)).await
    }
}

/// A running site.
pub struct Site {
    /// The store.
    pub store: Store,
    /// The store's address for all but those instances that got their own.
    pub door: Door,
    folder: PathBuf,
    program: PathBuf,
    stop_s: f64,
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Site {
    /// An empty site whose instances are run by `program instance SETTINGS`.
    pub async fn start(program: &Path) -> Self {
        let store = Store::start();
        let door = store.door().await.expect("loopback has free ports");
        let folder = std::env::temp_dir().join(format!("lockloft-site-{}-{}", std::process::id(), fresh_id()));
        std::fs::create_dir_all(&folder).expect("the temporary folder can be written to");
        Self { store, door, folder, program: program.to_owned(), stop_s: 6.0 }
    }

    /// Instances started from now on are killed so long after a signal to stop.
    pub fn stop_after(&mut self, seconds: f64) {
        self.stop_s = seconds;
    }

    /// Writes a configuration as the operator does.
    pub fn configure(&self, version: u64, routes: &[RouteSpec], services: &[&str]) {
        self.store.put("op/config", config(version, routes, services));
    }

    /// Lists a target as ready.
    pub fn list(&self, target: &TargetServer, service: &str, zone: &str) {
        self.list_as(target, service, zone, "ready", 1, 0);
    }

    /// Lists a target in some state.
    pub fn list_as(&self, target: &TargetServer, service: &str, zone: &str, state: &str, sequence: u64, cold_ms: u64) {
        let registration = target.registration(service, zone, state, sequence, cold_ms);
        self.store.put(&format!("servers/{}", target.id), registration);
    }

    /// An instance that is not started yet, in a hall `REGION-...`.
    pub fn instance(&self, name: &str, hall: &str) -> InstanceProcess {
        self.instance_at(name, hall, &self.door, &[])
    }

    /// An instance with its own door to the store, and seeds.
    pub fn instance_at(&self, name: &str, hall: &str, door: &Door, seeds: &[SocketAddr]) -> InstanceProcess {
        let instance = InstanceProcess {
            name: name.to_owned(),
            callers: free_address(),
            readiness: free_address(),
            directory: free_address(),
            peers: free_address(),
            settings: self.folder.join(format!("{name}.toml")),
            log: self.folder.join(format!("{name}.log")),
            program: self.program.clone(),
            child: None,
        };
        let region = hall.split('-').next().unwrap_or(hall);
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let text = format!(
            "seeds = [{}]\n[instance]\nname = \"{name}\"\nhall = \"{hall}\"\nregion = \"{region}\"\n\
             [listen]\ncallers = \"{}\"\nreadiness = \"{}\"\ndirectory = \"{}\"\npeers = \"{}\"\n\
             [store]\naddress = \"{}\"\nshortest_lease_ms = 1000\n\
             [bounds]\nstop_s = {}\ndirectory_ttl_s = 5\nretry_ratio = 0.2\nretry_slack = 64\ncold_overage = 1.5\ncold_slack = 5\n\
             [limits]\nmemory_mb = 260\ndescriptors = 4100\n\
             [halls]\na-1 = \"a\"\na-2 = \"a\"\na-3 = \"a\"\nb-1 = \"b\"\nb-2 = \"b\"\nc-1 = \"c\"\n",
            seeds.join(", "),
            instance.callers,
            instance.readiness,
            instance.directory,
            instance.peers,
            door.address,
            self.stop_s,
        );
        std::fs::write(&instance.settings, text).expect("the folder is ours");
        instance
    }

    /// An instance that is started and ready.
    pub async fn ready_instance(&self, name: &str, hall: &str) -> InstanceProcess {
        let mut instance = self.instance(name, hall);
        instance.start();
        instance.wait_ready().await;
        instance
    }
}
