//! A running cluster: the platform and targets in this process, each daemon
//! as a process of its own.

use crate::http::{self, NoReply, Reply};
use crate::key_value::KeyValue;
use crate::plan::Plan;
use crate::ports::{free_at, spawn};
use crate::target::Target;
use crate::wire::Net;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use lockloft::api::{ApplyRequest, Status};
use lockloft::config::Applied;
use lockloft::declaration::Sources;
use lockloft::key_value::{ListState, Listed};
use std::collections::HashMap;
use std::fs::File;
use std::net::{IpAddr, SocketAddr};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::time::{Duration, Instant};
use thiserror::Error;

/// Longest wait for a cluster to be ready.
const READY: Duration = Duration::from_secs(30);
/// Pause between looks.
pub const LOOK: Duration = Duration::from_millis(50);

static NUMBER: AtomicU32 = AtomicU32::new(0);

/// Why a cluster did not come up, or a step in it failed.
#[derive(Debug, Error)]
pub enum ClusterError {
    /// The system refused.
    #[error("{0}")]
    System(#[from] std::io::Error),
    /// Something did not come about in time.
    #[error("{0} did not come about in time")]
    Late(String),
    /// A daemon did not answer.
    #[error("{name} did not answer: {error:?}")]
    Mute { name: String, error: NoReply },
    /// A daemon refused.
    #[error("{0}")]
    Refused(String),
}

/// One daemon process.
pub struct Daemon {
    /// Instance name.
    pub name: String,
    /// Position of its hall in the plan.
    pub hall: usize,
    /// Its own IP.
    pub ip: IpAddr,
    /// For callers.
    pub caller: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
    peer: SocketAddr,
    relay: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    decisions: PathBuf,
    program: PathBuf,
    child: Option<Child>,
}

impl Daemon {
    /// Starts the process.
    pub fn start(&mut self) -> std::io::Result<()> {
        let append = |path: &Path| File::options().create(true).append(true).open(path);
        let mut command = Command::new(&self.program);
        command.arg("daemon").arg("--settings").arg(&self.settings);
        command.stdin(Stdio::null()).stdout(append(&self.decisions)?).stderr(append(&self.log)?);
        // SAFETY: prctl is async-signal-safe, and nothing else runs between
        // fork and exec. The daemon ends with whoever started it.
        unsafe {
            command.pre_exec(|| {
                libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL);
                Ok(())
            });
        }
        self.child = Some(spawn(&mut command)?);
        Ok(())
    }

    /// Changes its settings file, for its next start.
    pub fn edit_settings(&self, edit: impl Fn(&str) -> String) -> std::io::Result<()> {
        let text = std::fs::read_to_string(&self.settings)?;
        std::fs::write(&self.settings, edit(&text))
    }

    /// Its process id, while it runs.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    fn signal(&self, number: libc::c_int) {
        if let Some(child) = &self.child {
            // SAFETY: the id is that of our own child, not yet waited for.
            unsafe { libc::kill(child.id() as libc::pid_t, number) };
        }
    }

    /// Ends it at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Stops it in its tracks.
    pub fn pause(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Lets it go on.
    pub fn resume(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Begins a planned stop.
    pub fn terminate(&self) {
        self.signal(libc::SIGTERM);
    }

    /// Waits for its end.
    pub async fn ended(&mut self, limit: Duration) -> Option<ExitStatus> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.as_mut()?.try_wait() {
                self.child = None;
                return Some(status);
            }
            tokio::time::sleep(LOOK).await;
        }
        None
    }

    /// What it has logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Where its decision lines are.
    pub fn decisions(&self) -> &Path {
        &self.decisions
    }

    /// Its state.
    pub async fn status(&self) -> Option<Status> {
        let get = http::get(self.operator, "/status");
        let reply = tokio::time::timeout(Duration::from_secs(1), get).await.ok()?.ok()?;
        serde_json::from_slice(&reply.body).ok()
    }

    /// One of its metrics: the sum over all label values that contain `with`.
    pub async fn metric(&self, name: &str, with: &str) -> f64 {
        let Ok(reply) = http::get(self.operator, "/metrics").await else { return 0.0 };
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        let lines = text.lines().filter(|l| l.starts_with(name) && l.contains(with));
        lines.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok()).sum()
    }

    fn listed(&self, hall: &str) -> Listed {
        Listed {
            name: self.name.clone(),
            hall: hall.to_owned(),
            address: self.caller,
            peer: self.peer,
            state: ListState::Live,
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A running cluster.
pub struct Cluster {
    /// What it consists of.
    pub plan: Plan,
    /// The platform.
    pub platform: KeyValue,
    /// All targets.
    pub targets: Vec<Target>,
    /// All daemons, hall by hall.
    pub daemons: Vec<Daemon>,
    /// The wires between them.
    pub net: Arc<Net>,
    /// Number of its network.
    pub number: u8,
    dir: PathBuf,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.daemons.clear();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Cluster {
    /// Starts everything, applies the declaration and waits until all is
    /// ready. `program` is the stand-ins' own, which runs daemons too.
    pub async fn start(plan: Plan, program: &Path) -> Result<Self, ClusterError> {
        let mut cluster = Self::prepare(plan, program).await?;
        for daemon in &mut cluster.daemons {
            daemon.start()?;
        }
        cluster.list_all();
        cluster.wait("a daemon", |c| Box::pin(async move { c.daemons[0].status().await.is_some() })).await?;
        let text = cluster.declaration();
        cluster.apply(&text, None).await?;
        cluster.ready().await?;
        Ok(cluster)
    }

    /// Everything but the daemons' processes.
    pub async fn prepare(plan: Plan, program: &Path) -> Result<Self, ClusterError> {
        let draw = NUMBER.fetch_add(1, Relaxed) + std::process::id();
        let number = (draw % 220) as u8 + 10;
        let dir = std::env::temp_dir().join(format!("lockloft-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        let platform = KeyValue::start((Plan::platform_ip(number), 0).into()).await?;
        let mut cluster =
            Self { plan, platform, targets: Vec::new(), daemons: Vec::new(), net: Net::new(), number, dir };
        cluster.start_targets().await?;
        for hall in 0..cluster.plan.halls.len() {
            for instance in 0..cluster.plan.halls[hall].instances {
                let daemon = cluster.daemon(hall, instance, program).await?;
                cluster.daemons.push(daemon);
            }
        }
        if cluster.plan.seeds {
            cluster.set_seeds()?;
        }
        if cluster.plan.wires {
            cluster.set_delays();
        }
        Ok(cluster)
    }

    async fn start_targets(&mut self) -> Result<(), ClusterError> {
        for (h, hall) in self.plan.halls.iter().enumerate() {
            for service in &self.plan.services {
                for number in 0..service.targets {
                    let name = Plan::target_name(&service.name, &hall.name, number);
                    let address = (Plan::target_ip(self.number, h), 0).into();
                    let target = start_target(&name, address, service.slots, service.time).await?;
                    self.targets.push(target);
                }
            }
        }
        Ok(())
    }

    async fn daemon(&self, hall: usize, instance: usize, program: &Path) -> Result<Daemon, ClusterError> {
        let ip = Plan::instance_ip(self.number, hall, instance);
        let name = format!("{}-{instance}", self.plan.halls[hall].name);
        let [caller, relay, operator, peer] = [free_at(ip)?, free_at(ip)?, free_at(ip)?, free_at(ip)?];
        let (platform, shown_relay, shown_peer) = if self.plan.wires {
            let platform = self.net.wire(Plan::platform_ip(self.number), self.platform.address).await?;
            (platform, self.net.wire(ip, relay).await?, self.net.wire(ip, peer).await?)
        } else {
            (self.platform.address, relay, peer)
        };
        let rate = self.plan.rate.map(|r| format!("rate = {r:?}\n")).unwrap_or_default();
        let decisions = if self.plan.decisions { "stdout" } else { "off" };
        let text = format!(
            "name = \"{name}\"\nhall = \"{}\"\ncluster = \"test\"\nsecret = \"a secret of the stand-ins\"\n\
             [listen]\ncaller = \"{caller}\"\nrelay = \"{relay}\"\noperator = \"{operator}\"\npeer = \"{peer}\"\nsource = \"{ip}\"\n\
             [advertise]\nrelay = \"{shown_relay}\"\npeer = \"{shown_peer}\"\n\
             [platform]\nkind = \"http\"\naddress = \"{platform}\"\n{rate}\
             [log]\nlevel = \"lockloft=debug\"\ndecisions = \"{decisions}\"\n{}",
            self.plan.halls[hall].name, self.plan.settings
        );
        let settings = self.dir.join(format!("{name}.toml"));
        std::fs::write(&settings, text)?;
        Ok(Daemon {
            hall,
            ip,
            caller,
            operator,
            peer: shown_peer,
            relay,
            settings,
            log: self.dir.join(format!("{name}.log")),
            decisions: self.dir.join(format!("{name}.decisions")),
            program: program.to_owned(),
            child: None,
            name,
        })
    }

    /// Names every peer in every settings file.
    fn set_seeds(&self) -> std::io::Result<()> {
        let peers: Vec<String> = self.daemons.iter().map(|d| d.peer.to_string()).collect();
        for daemon in &self.daemons {
            daemon.edit_settings(|text| format!("{text}[peers]\nseeds = {peers:?}\n"))?;
        }
        Ok(())
    }

    fn set_delays(&self) {
        for a in &self.daemons {
            for b in &self.daemons {
                let (x, y) = (&self.plan.halls[a.hall], &self.plan.halls[b.hall]);
                let delay = match (a.hall == b.hall, x.region == y.region) {
                    (true, _) => continue,
                    (false, true) => self.plan.near,
                    (false, false) => self.plan.far,
                };
                self.net.delay(a.ip, b.ip, delay);
            }
        }
    }

    /// Shows all daemons that run on the platform's list.
    pub fn list_all(&self) {
        let running = self.daemons.iter().filter(|d| d.child.is_some());
        self.platform.list(running.map(|d| d.listed(&self.plan.halls[d.hall].name)).collect());
    }

    /// The declaration.
    pub fn declaration(&self) -> String {
        let addresses: HashMap<&str, SocketAddr> = self.targets.iter().map(|t| (t.name.as_str(), t.address)).collect();
        self.plan.declaration(|name| addresses[name])
    }

    /// Applies a declaration through the first daemon that answers.
    pub async fn apply(&self, text: &str, expect: Option<u64>) -> Result<u64, ClusterError> {
        let mut last = ClusterError::Late("an answer to an apply".into());
        for daemon in self.daemons.iter().filter(|d| d.child.is_some()) {
            match self.apply_at(daemon, text, expect).await {
                Err(ClusterError::Mute { name, error }) => last = ClusterError::Mute { name, error },
                result => return result,
            }
        }
        Err(last)
    }

    /// Applies a declaration through one daemon.
    pub async fn apply_at(&self, daemon: &Daemon, text: &str, expect: Option<u64>) -> Result<u64, ClusterError> {
        let request = ApplyRequest {
            id: format!("{:x}", rand::random::<u64>()),
            by: "test".into(),
            expect,
            sources: Sources::single("test.toml", text),
        };
        let body = serde_json::to_vec(&request).expect("plain data");
        let reply = post(daemon, "/apply", body).await?;
        if !reply.status.is_success() {
            return Err(ClusterError::Refused(String::from_utf8_lossy(&reply.body).into_owned()));
        }
        let applied: Applied = serde_json::from_slice(&reply.body).map_err(|e| ClusterError::Refused(e.to_string()))?;
        Ok(applied.revision)
    }

    /// Waits until all running daemons are full members and have heard of all
    /// halls.
    pub async fn ready(&self) -> Result<(), ClusterError> {
        self.wait("readiness of all daemons", move |cluster| {
            Box::pin(async move {
                for daemon in cluster.daemons.iter().filter(|d| d.child.is_some()) {
                    let Some(status) = daemon.status().await else { return false };
                    let full = status.member && status.leased && status.settled == status.epoch;
                    if !full || !cluster.is_known(&status) {
                        return false;
                    }
                }
                true
            })
        })
        .await
    }

    /// Whether a daemon knows every running member of every hall.
    fn is_known(&self, status: &Status) -> bool {
        let members = |name: &str| status.halls.iter().find(|h| h.hall == name).map_or(0, |h| h.members);
        let mut halls = self.plan.halls.iter().enumerate();
        halls.all(|(i, hall)| members(&hall.name) >= self.hall(i).count())
    }

    /// Waits until `test` holds.
    pub async fn wait<'a, F>(&'a self, what: &str, test: F) -> Result<(), ClusterError>
    where
        F: Fn(&'a Cluster) -> std::pin::Pin<Box<dyn Future<Output = bool> + 'a>>,
    {
        let until = Instant::now() + READY;
        while Instant::now() < until {
            if test(self).await {
                return Ok(());
            }
            tokio::time::sleep(LOOK).await;
        }
        Err(ClusterError::Late(what.to_owned()))
    }

    /// The running daemons of a hall.
    pub fn hall(&self, hall: usize) -> impl Iterator<Item = &Daemon> {
        self.daemons.iter().filter(move |d| d.hall == hall && d.child.is_some())
    }

    /// The targets of a hall.
    pub fn targets_of(&self, hall: usize) -> impl Iterator<Item = &Target> {
        let ip = Plan::target_ip(self.number, hall);
        self.targets.iter().filter(move |t| t.address.ip() == ip)
    }

    /// IPs of a hall's instances.
    pub fn ips(&self, hall: usize) -> Vec<IpAddr> {
        self.daemons.iter().filter(|d| d.hall == hall).map(|d| d.ip).collect()
    }

    /// Where a daemon listens for relayed requests.
    pub fn relay(&self, daemon: usize) -> SocketAddr {
        self.daemons[daemon].relay
    }

    /// The folder of its settings and logs.
    pub fn folder(&self) -> &Path {
        &self.dir
    }

    /// The platform's IP, as an end of wires.
    pub fn platform_ip(&self) -> IpAddr {
        Plan::platform_ip(self.number)
    }
}

async fn start_target(name: &str, address: SocketAddr, slots: u32, time: Duration) -> Result<Target, ClusterError> {
    // Its address has to stay the same over restarts, so it is drawn first.
    let address = free_at(address.ip())?;
    Ok(Target::start(name, address, slots, time).await?)
}

/// Posts to a daemon's operator front.
pub async fn post(daemon: &Daemon, path: &str, body: Vec<u8>) -> Result<Reply, ClusterError> {
    let request = Request::post(path).header("host", daemon.operator.to_string()).body(Full::new(Bytes::from(body)));
    let request = request.expect("the path is good");
    let reply = http::once(daemon.operator, request, Duration::from_secs(15)).await;
    reply.map_err(|error| ClusterError::Mute { name: daemon.name.clone(), error })
}
