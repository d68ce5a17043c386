//! An instance as a process with settings, addresses and a log of its own.

use super::settings::Placement;
use super::{HOST, TestRequest};
use crate::http;
use crate::ports::{free_address, spawn};
use crate::wait::{POLL_INTERVAL, WAIT_TIMEOUT, wait_for, wait_until};
use serde_json::Value;
use std::fs::File;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// An instance as a process of its own; dropped, it is killed.
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
    command: &'static str,
    child: Option<Child>,
}

impl Drop for InstanceProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

impl InstanceProcess {
    /// Writes its settings into `folder`; it is not started yet.
    pub(super) fn new(program: &Path, folder: &Path, placement: &Placement) -> Self {
        let name = placement.name;
        let instance = Self {
            name: name.to_owned(),
            callers: free_address(),
            readiness: free_address(),
            directory: free_address(),
            peers: free_address(),
            settings: folder.join(format!("{name}.toml")),
            log: folder.join(format!("{name}.log")),
            program: program.to_owned(),
            command: "entry",
            child: None,
        };
        std::fs::write(&instance.settings, placement.settings(&instance)).expect("the folder is ours");
        instance
    }

    /// Has it run on the platform whose values can make it panic.
    pub fn run_panicking(&mut self) {
        self.command = "panicking-entry";
    }

    /// Starts the process.
    ///
    /// # Panics
    /// Where it runs already: a second process would find the addresses taken,
    /// and the first one would run on without anybody who could end it.
    pub fn start(&mut self) {
        assert!(self.has_exited(), "{} runs already", self.name);
        let log = File::options().create(true).append(true).open(&self.log).expect("the folder is ours");
        let errors = log.try_clone().expect("a file can be cloned");
        let mut command = Command::new(&self.program);
        command.arg(self.command).arg(&self.settings).stdin(Stdio::null()).stdout(log).stderr(errors);
        end_with_parent(&mut command);
        self.child = Some(spawn(&mut command).expect("the program can be started"));
    }

    /// Kills it.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Both fail only where it has ended by itself.
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

    /// Peak memory of its process, kB; `None` where it does not run.
    pub fn peak_memory(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid()?)).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        line.trim().trim_end_matches(" kB").parse().ok()
    }

    /// Processor time that its process has taken; `None` where it does not run.
    pub fn processor_time(&self) -> Option<Duration> {
        /// Fields before the user time, behind the name in parentheses.
        const FIELDS_BEFORE: usize = 11;
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.pid()?)).ok()?;
        let fields = stat.rsplit_once(')')?.1.split_whitespace();
        let ticks: u64 = fields.skip(FIELDS_BEFORE).take(2).filter_map(|field| field.parse::<u64>().ok()).sum();
        // SAFETY: the call only reads a constant of the system.
        let per_second = unsafe { libc::sysconf(libc::_SC_CLK_TCK) };
        Some(Duration::from_secs_f64(ticks as f64 / per_second as f64))
    }

    /// Whether it was not started or has ended.
    pub fn has_exited(&mut self) -> bool {
        let ended = self.child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))));
        if ended {
            self.child = None;
        }
        ended
    }

    /// Waits for its end.
    pub async fn wait_exit(&mut self) -> ExitStatus {
        let mut child = self.child.take().expect("it was started");
        let mut status = None;
        wait_until(&format!("the end of {}", self.name), || {
            status = child.try_wait().expect("it is our child");
            status.is_some()
        })
        .await;
        status.expect("it was waited for")
    }

    /// Whether it reports that it is ready.
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

    /// Its status, as operators see it.
    ///
    /// # Panics
    /// Where it does not answer with one.
    pub async fn status(&self) -> Value {
        let reply = http::get(self.peers, "/status").await.expect("it serves its status");
        serde_json::from_slice(&reply.body).expect("its status is JSON")
    }

    /// Its requests in flight at the targets, as operators see them.
    ///
    /// # Panics
    /// Where it does not list its targets.
    pub async fn in_flight(&self) -> u64 {
        let reply = http::get(self.peers, "/targets").await.expect("it lists its targets");
        let targets: Vec<Value> = serde_json::from_slice(&reply.body).expect("the list is JSON");
        targets.iter().map(|target| target["in_flight"].as_u64().expect("it is a count")).sum()
    }

    /// Waits until it answers a GET of a path with a status.
    pub async fn wait_status(&self, path: &str, status: u16) {
        wait_for(&format!("{status} for {path} by {}", self.name), async || {
            let reply = TestRequest::get(path).send(self.callers).await;
            reply.is_ok_and(|reply| reply.status == status)
        })
        .await;
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
        let mut found = None;
        wait_until(&format!("the line for {id} in the log of {}", self.name), || {
            found = self.events("request").into_iter().find(|line| line["id"] == id);
            found.is_some()
        })
        .await;
        found.expect("it was waited for")
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

/// Has the system end the process where the one that starts it ends.
fn end_with_parent(command: &mut Command) {
    // SAFETY: prctl is async-signal-safe, and nothing else runs between fork
    // and exec.
    unsafe {
        command.pre_exec(|| {
            libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL);
            Ok(())
        });
    }
}
