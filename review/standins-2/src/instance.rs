//! An instance as the deploy file runs it: `target/release/lockloft-entry` with a settings file of the form of
//! `platform/settings.toml`.

use standins::http;
use standins::ports::{free_address, spawn};
use std::fs::File;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

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

impl Instance {
    /// Writes its settings; `halls` are all halls with their regions.
    pub fn new(folder: &Path, name: &str, hall: &str, store: SocketAddr, halls: &[(&str, &str)]) -> Self {
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
        let region = halls.iter().find(|(other, _)| *other == hall).expect("the hall is one of them").1;
        let halls: String = halls.iter().map(|(hall, region)| format!("{hall} = \"{region}\"\n")).collect();
        let Self { callers, readiness, directory, peers, .. } = &instance;
        let text = format!(
            "seeds = []\n[instance]\nname = \"{name}\"\nhall = \"{hall}\"\nregion = \"{region}\"\n\
             [listen]\ncallers = \"{callers}\"\nreadiness = \"{readiness}\"\ndirectory = \"{directory}\"\n\
             peers = \"{peers}\"\n[store]\naddress = \"{store}\"\nshortest_lease_ms = 1000\n\
             [bounds]\nstop_s = 6\ndirectory_ttl_s = 5\nretry_ratio = 0.2\nretry_slack = 64\n\
             cold_overage = 1.5\ncold_slack = 5\n[limits]\nmemory_mb = 260\ndescriptors = 4100\n\
             cpu_share = 0.2\ncpu_cores = 1\nbandwidth_mbps = 1000.0\n[halls]\n{halls}"
        );
        std::fs::write(&instance.settings, text).expect("the folder can be written to");
        instance
    }

    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("the folder can be written to");
        let errors = log.try_clone().expect("a file can be cloned");
        let mut command = Command::new("target/release/lockloft-entry");
        command.env_clear().env("LOCKLOFT_CONFIG", &self.settings);
        command.stdin(Stdio::null()).stdout(log).stderr(errors);
        // SAFETY: the closure makes one system call that is async-signal-safe: the instance ends with this process.
        unsafe {
            command.pre_exec(|| {
                libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL);
                Ok(())
            });
        }
        self.child = Some(spawn(&mut command).expect("the program can be started"));
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn signal(&self, number: libc::c_int) {
        if let Some(child) = &self.child {
            // SAFETY: the id is that of our own child, not yet waited for.
            unsafe { libc::kill(child.id() as libc::pid_t, number) };
        }
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    pub fn has_exited(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub async fn is_ready(&self) -> bool {
        http::get(self.readiness, "/-/ready").await.is_ok_and(|reply| reply.status == 200)
    }

    pub async fn wait_ready(&self) -> Result<(), String> {
        let end = Instant::now() + Duration::from_secs(15);
        while !self.is_ready().await {
            if Instant::now() > end {
                return Err(format!("{} is not ready: {}", self.name, self.log()));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}
