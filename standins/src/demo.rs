//! The demonstration: a store, targets and instances on loopback; each step is
//! printed with what it led to.

use crate::site::{InstanceProcess, RouteSpec, Site, TestRequest};
use crate::target_server::{Registration, TargetServer};
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Time a target works on a request.
const WORK: Duration = Duration::from_millis(20);
const HALLS: [&str; 4] = ["a-1", "a-2", "b-1", "b-2"];

struct Demo {
    site: Site,
    targets: Vec<TargetServer>,
    instances: Vec<InstanceProcess>,
}

/// Runs the demonstration, whose instances are `program entry SETTINGS`; with
/// `once` it ends by itself.
pub async fn run(program: &Path, once: bool) -> ExitCode {
    println!("Starting a store, 8 targets of one service and 4 instances in 4 halls of 2 regions ...");
    let started = Instant::now();
    let mut demo = Demo::start(program).await;
    println!("All instances are ready after {:.1} s.\n", started.elapsed().as_secs_f64());
    demo.serve().await;
    demo.drain().await;
    demo.evacuate().await;
    demo.change().await;
    demo.lose_an_instance().await;
    if once {
        println!("\nDone.");
        return ExitCode::SUCCESS;
    }
    println!("\nThe system goes on running; end it with Ctrl-C. Callers' addresses:");
    for instance in &demo.instances {
        println!("  {} for callers, {}/metrics   # {}", instance.callers, instance.peers, instance.name);
    }
    std::future::pending().await
}

impl Demo {
    async fn start(program: &Path) -> Self {
        let site = Site::start(program).await;
        let mut targets = Vec::new();
        for number in 0..8 {
            let target = TargetServer::start(&format!("t-{number}"), 6, WORK).await.expect("loopback has free ports");
            site.register(&target, "booking", HALLS[number % 4]);
            targets.push(target);
        }
        site.configure(1, &[RouteSpec::new("/buy/", "unsafe", "booking")], &["booking"]);
        let mut instances = Vec::new();
        for (number, hall) in HALLS.iter().enumerate() {
            instances.push(site.ready_instance(&format!("e-{number}"), hall).await);
        }
        for instance in &instances {
            let end = Instant::now() + crate::wait::WAIT_TIMEOUT;
            while instance.resolve("a").await.len() < 2 && Instant::now() < end {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Self { site, targets, instances }
    }

    /// Sends purchases about 40 objects through all instances; gives how many
    /// were served, and each target's share.
    async fn purchases(&self) -> (usize, Vec<usize>) {
        let before: Vec<usize> = self.targets.iter().map(|target| target.runs().len()).collect();
        let mut served = 0;
        for object in 0..40 {
            let instance = &self.instances[object % self.instances.len()];
            let reply = TestRequest::post("/buy/ticket", "one berth").affinity(object).send(instance.callers).await;
            served += usize::from(reply.is_ok_and(|reply| reply.status == 200));
        }
        let runs = self.targets.iter().zip(before).map(|(target, had)| target.runs().len() - had);
        (served, runs.collect())
    }

    async fn serve(&self) {
        println!("A caller in region a asks the directory: {}.", self.instances[0].resolve("a").await.join(", "));
        let request = TestRequest::post("/buy/ticket", "one berth");
        let reply = request.send(self.instances[0].callers).await.expect("the instance answers");
        println!("Its purchase {}: {}, {}.", request.id, reply.status, String::from_utf8_lossy(&reply.body));
        let line = self.instances[0].request_line(&request.id).await;
        println!("The instance's line for it:\n  {line}");
        let (served, runs) = self.purchases().await;
        println!("40 purchases through all instances: {served} served, by target {runs:?}.\n");
    }

    async fn seen_by_all(&self, event: &str, times: usize) -> Duration {
        let started = Instant::now();
        let all = || self.instances.iter().all(|instance| instance.events(event).len() >= times);
        crate::wait::wait_until(event, all).await;
        started.elapsed()
    }

    async fn drain(&self) {
        let before = self.instances.iter().map(|instance| instance.events("target").len()).max().unwrap_or(0);
        self.site.register_as(&self.targets[0], &Registration::draining("booking", HALLS[0], 2));
        let took = self.seen_by_all("target", before + 1).await;
        let (served, runs) = self.purchases().await;
        println!(
            "t-0 drains; all instances know after {:.1} s: {served} of 40 served, by target {runs:?}.",
            took.as_secs_f64()
        );
    }

    async fn evacuate(&self) {
        self.site.store.put(&format!("op/evacuate/{}", HALLS[3]), "{}");
        let took = self.seen_by_all("evacuation", 1).await;
        let (served, runs) = self.purchases().await;
        println!(
            "b-2 is evacuated, known after {:.1} s: {served} of 40 served, by target {runs:?}.",
            took.as_secs_f64()
        );
    }

    async fn change(&self) {
        let mut route = RouteSpec::new("/buy/", "unsafe", "booking");
        route.regions = vec!["a".to_owned()];
        self.site.configure(2, &[route], &["booking"]);
        let took = self.seen_by_all("config_in_force", 2).await;
        let (served, runs) = self.purchases().await;
        println!(
            "Configuration 2 allows region a only, in force after {:.1} s: {served} of 40 served, by target {runs:?}.",
            took.as_secs_f64()
        );
    }

    async fn lose_an_instance(&mut self) {
        let mut lost = self.instances.remove(1);
        let killed = Instant::now();
        lost.kill();
        while self.instances[0].resolve("a").await.len() > 1 && killed.elapsed() < crate::wait::WAIT_TIMEOUT {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let (served, _) = self.purchases().await;
        println!(
            "{} is killed; the directory drops it after {:.1} s; {served} of 40 served by the others.",
            lost.name,
            killed.elapsed().as_secs_f64()
        );
    }
}
