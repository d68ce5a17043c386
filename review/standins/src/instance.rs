//! An instance as a process of its own, started with the command of the deploy file.

use crate::http::Conn;
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant};

const PROGRAM: &str = "target/release/lockloft-entry";
pub const SIGTERM: i32 = 15;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Settings that the platform would fill in, besides names and addresses.
pub struct Bounds {
    pub grace_s: f64,
    pub memory_mb: u64,
    pub retry_slack: u32,
}

pub struct Instance {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub directory: SocketAddr,
    pub peers: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A free address below the ports that the system gives to outgoing connections, and not given before.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = 12_000 + (std::process::id() % 80) as u16 * 200;
    loop {
        let port = first + NEXT.fetch_add(1, Relaxed);
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().expect("it is bound");
        }
    }
}

impl Instance {
    /// Writes the settings of an instance; it is not started yet.
    pub fn new(folder: &Path, name: &str, hall: &str, store: SocketAddr, bounds: &Bounds) -> Self {
        let instance = Self {
            name: name.to_owned(),
            callers: free_address(),
            readiness: free_address(),
            directory: free_address(),
            peers: free_address(),
            settings: folder.join(format!("{name}.toml")),
            log: folder.join(format!("{name}.log")),
            child: None,
        };
        let region = hall.split('-').next().unwrap_or(hall);
        let Self { callers, readiness, directory, peers, .. } = &instance;
        let Bounds { grace_s, memory_mb, retry_slack } = bounds;
        let text = format!(
            "seeds = []\n[instance]\nname = \"{name}\"\nhall = \"{hall}\"\nregion = \"{region}\"\n\
             [listen]\ncallers = \"{callers}\"\nreadiness = \"{readiness}\"\ndirectory = \"{directory}\"\n\
             peers = \"{peers}\"\n[store]\naddress = \"{store}\"\nshortest_lease_ms = 1000\n\
             [bounds]\nstop_s = {grace_s}\ndirectory_ttl_s = 5\nretry_ratio = 0.2\nretry_slack = {retry_slack}\n\
             cold_overage = 1.5\ncold_slack = 5\n[limits]\nmemory_mb = {memory_mb}\ndescriptors = 4100\n\
             cpu_share = 0.2\ncpu_cores = 1\nbandwidth_mbps = 1000.0\n\
             [halls]\na-1 = \"a\"\na-2 = \"a\"\nb-1 = \"b\"\nb-2 = \"b\"\n"
        );
        std::fs::write(&instance.settings, text).expect("the temporary folder can be written to");
        instance
    }

    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(PROGRAM);
        command.env("LOCKLOFT_CONFIG", &self.settings).stdin(Stdio::null());
        command.stdout(log.try_clone()?).stderr(log);
        // SAFETY: prctl is async-signal-safe, and nothing else runs between fork and exec. PR_SET_PDEATHSIG, SIGKILL:
        // the process ends with this one, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(1, 9);
                Ok(())
            });
        }
        self.child = Some(command.spawn()?);
        Ok(())
    }

    pub fn signal(&self, number: i32) {
        if let Some(child) = &self.child {
            // SAFETY: the id is that of our own child, which was not waited for yet.
            unsafe { kill(child.id() as i32, number) };
        }
    }

    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.as_mut().and_then(|child| child.try_wait().ok().flatten())
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        get(self.readiness, "/-/ready").is_some_and(|(status, _)| status == 200)
    }

    /// Whether it is ready within 10 s.
    pub fn wait_ready(&self) -> bool {
        self.wait_ready_for(Duration::from_secs(10))
    }

    pub fn wait_ready_for(&self, time: Duration) -> bool {
        let end = Instant::now() + time;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

/// Status and body of a GET over a connection of its own; `None` without a whole answer within 2 s.
pub fn get(address: SocketAddr, path: &str) -> Option<(u16, Vec<u8>)> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let mut conn = Conn::new(stream);
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    conn.stream.write_all(request.as_bytes()).ok()?;
    let head = conn.head().ok()??;
    let body = conn.body(head.length()).ok()?;
    (body.len() == head.length()).then(|| (head.status(), body))
}
