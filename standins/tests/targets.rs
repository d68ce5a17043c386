//! What an instance makes of targets that are slow, silent or cold.

mod common;

use common::program;
use standins::scene::{Scene, Setup};
use standins::site::{InstanceProcess, RouteSpec, Site, TestRequest, config};
use standins::target_server::{Registration, TargetServer};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// What the stand-ins' configuration and settings say of cold targets.
const COLD_RATE: f64 = 9.0;
const COLD_OVERAGE: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;

/// Callers that send requests about 60 objects until they are stopped.
struct Load {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
}

impl Load {
    fn start(instance: &InstanceProcess) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let callers = (0..6u32).map(|caller| tokio::spawn(ask_on(instance.callers, caller, stop.clone())));
        Self { stop: stop.clone(), callers: callers.collect() }
    }

    async fn end(self) {
        self.stop.store(true, Relaxed);
        for caller in self.callers {
            caller.await.unwrap();
        }
    }
}

async fn ask_on(instance: std::net::SocketAddr, caller: u32, stop: Arc<AtomicBool>) {
    let mut number = caller;
    while !stop.load(Relaxed) {
        number += 7;
        let _ = TestRequest::get("/look/a").affinity(number % 60).send(instance).await;
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

async fn scene() -> Scene {
    Setup { slots: 6, work: Duration::from_millis(40), ..Setup::targets(4) }.start(program()).await
}

/// Runs that began at a target after a time.
fn runs_since(target: &TargetServer, time: Instant) -> usize {
    target.runs().iter().filter(|run| run.at > time).count()
}

async fn until_share(targets: &[TargetServer], what: &str, holds: impl Fn(f64) -> bool) {
    let end = Instant::now() + standins::wait::WAIT_TIMEOUT;
    loop {
        let since = Instant::now();
        tokio::time::sleep(Duration::from_secs(1)).await;
        let runs: Vec<usize> = targets.iter().map(|target| runs_since(target, since)).collect();
        let share = runs[0] as f64 / runs.iter().sum::<usize>().max(1) as f64;
        if holds(share) {
            return;
        }
        assert!(Instant::now() < end, "{what}: {runs:?} runs in a second");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_much_slower_than_its_peers_gets_a_try_now_and_then_until_it_recovers() {
    let Scene { site: _site, instance, targets } = scene().await;
    let load = Load::start(&instance);
    until_share(&targets, "its share before", |share| share > 0.1).await;
    targets[0].set_work(Duration::from_millis(900));
    until_share(&targets, "its share while slow", |share| share < 0.03).await;
    targets[0].set_work(Duration::from_millis(40));
    until_share(&targets, "its share after", |share| share > 0.1).await;
    load.end().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cold_target_gets_no_more_than_its_rate_from_all_entries_together() {
    let Scene { site, instance, targets } = scene().await;
    let mut instances = vec![instance];
    for name in ["e-2", "e-3"] {
        instances.push(site.ready_instance(name, "a-2").await);
    }
    let cold = TargetServer::start("cold", 6, Duration::from_millis(40)).await.unwrap();
    let slow_start = Duration::from_secs(60);
    site.register_as(&cold, &Registration { slow_start, ..Registration::ready("shop", "a-1") });
    let loads: Vec<Load> = instances.iter().map(Load::start).collect();
    standins::wait::wait_until("the cold target got 30 requests", || cold.runs().len() >= 30).await;
    for load in loads {
        load.end().await;
    }
    assert!(targets.iter().all(|target| !target.runs().is_empty()));
    let runs = cold.runs();
    for (number, run) in runs.iter().enumerate() {
        let within = runs[number..].iter().take_while(|later| later.at - run.at < Duration::from_secs(1)).count();
        assert!(within as f64 <= COLD_RATE * COLD_OVERAGE + COLD_SLACK, "{within} in a second");
    }
}

/// Sends this many requests at once; gives the connections that were opened.
async fn burst(instance: &InstanceProcess, target: &TargetServer, count: usize) -> u64 {
    let before = target.connections();
    let address = instance.callers;
    let request = || tokio::spawn(async move { TestRequest::get("/look/a").send(address).await });
    let requests: Vec<_> = (0..count).map(|_| request()).collect();
    for request in requests {
        assert_eq!(request.await.unwrap().unwrap().status, 200);
    }
    target.connections() - before
}

#[tokio::test(flavor = "multi_thread")]
async fn no_more_connections_are_kept_idle_than_the_target_takes_from_all_instances() {
    let site = Site::start(program()).await;
    let target = TargetServer::start("u-1", 8, Duration::from_millis(40)).await.unwrap();
    site.register(&target, "shop", "a-1");
    let routes = [RouteSpec::new("/look/", "safe", "shop")];
    let config = config(1, &routes, &["shop"], &[]).replace("\"max_connections\":300", "\"max_connections\":4");
    site.store.put("op/config", config);
    let instance = site.ready_instance("e-1", "a-1").await;
    let end = Instant::now() + standins::wait::WAIT_TIMEOUT;
    // Two are kept, so that each burst of six opens four, once the bound is known.
    while burst(&instance, &target, 6).await != 4 {
        assert!(Instant::now() < end, "idle connections are not bounded");
    }
    assert_eq!(burst(&instance, &target, 2).await, 0);
}
