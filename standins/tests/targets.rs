//! What an instance makes of targets that are slow, silent or cold.

mod common;

use common::program;
use standins::site::{Ask, InstanceProcess, RouteSpec, Site, config};
use standins::upstream::Upstream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// What the stand-ins' configuration and settings say of cold targets.
const COLD_RATE: f64 = 9.0;
const COLD_OVERAGE: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;

/// Callers that go on asking about 60 objects until they are told to stop.
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
        let _ = Ask::get("/look/a").about(number % 60).send(instance).await;
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

async fn scene() -> (Site, InstanceProcess, Vec<Upstream>) {
    let site = Site::start(program()).await;
    let mut upstreams = Vec::new();
    for number in 0..4 {
        let upstream = Upstream::start(&format!("u-{number}"), 6, Duration::from_millis(40)).await.unwrap();
        site.list(&upstream, "shop", "a-1");
        upstreams.push(upstream);
    }
    site.configure(1, &[RouteSpec::new("/look/", "safe", "shop")], &["shop"]);
    let instance = site.ready_instance("e-1", "a-1").await;
    (site, instance, upstreams)
}

/// Runs that began at an upstream after a time.
fn runs_since(upstream: &Upstream, time: Instant) -> usize {
    upstream.runs().iter().filter(|run| run.at > time).count()
}

async fn until_share(upstreams: &[Upstream], what: &str, holds: impl Fn(f64) -> bool) {
    let end = Instant::now() + standins::site::PATIENCE;
    loop {
        let since = Instant::now();
        tokio::time::sleep(Duration::from_secs(1)).await;
        let runs: Vec<usize> = upstreams.iter().map(|upstream| runs_since(upstream, since)).collect();
        let share = runs[0] as f64 / runs.iter().sum::<usize>().max(1) as f64;
        if holds(share) {
            return;
        }
        assert!(Instant::now() < end, "{what}: {runs:?} runs in a second");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_much_slower_than_its_peers_gets_a_try_now_and_then_until_it_recovers() {
    let (_site, instance, upstreams) = scene().await;
    let load = Load::start(&instance);
    until_share(&upstreams, "its share before", |share| share > 0.1).await;
    upstreams[0].work(Duration::from_millis(900));
    until_share(&upstreams, "its share while slow", |share| share < 0.03).await;
    upstreams[0].work(Duration::from_millis(40));
    until_share(&upstreams, "its share after", |share| share > 0.1).await;
    load.end().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cold_target_gets_no_more_than_its_rate_from_all_entries_together() {
    let (site, instance, upstreams) = scene().await;
    let mut instances = vec![instance];
    for name in ["e-2", "e-3"] {
        instances.push(site.ready_instance(name, "a-2").await);
    }
    let cold = Upstream::start("cold", 6, Duration::from_millis(40)).await.unwrap();
    site.list_as(&cold, "shop", "a-1", "ready", 1, 60_000);
    let loads: Vec<Load> = instances.iter().map(Load::start).collect();
    standins::site::until("the cold target got 30 requests", || cold.runs().len() >= 30).await;
    for load in loads {
        load.end().await;
    }
    assert!(upstreams.iter().all(|upstream| !upstream.runs().is_empty()));
    let runs = cold.runs();
    for (number, run) in runs.iter().enumerate() {
        let within = runs[number..].iter().take_while(|later| later.at - run.at < Duration::from_secs(1)).count();
        assert!(within as f64 <= COLD_RATE * COLD_OVERAGE + COLD_SLACK, "{within} in a second");
    }
}

/// Sends this many requests at once; gives the connections that were opened.
async fn burst(instance: &InstanceProcess, upstream: &Upstream, count: usize) -> u64 {
    let before = upstream.connections();
    let address = instance.callers;
    let ask = || tokio::spawn(async move { Ask::get("/look/a").send(address).await });
    let asks: Vec<_> = (0..count).map(|_| ask()).collect();
    for ask in asks {
        assert_eq!(ask.await.unwrap().unwrap().status, 200);
    }
    upstream.connections() - before
}

#[tokio::test(flavor = "multi_thread")]
async fn no_more_connections_are_kept_idle_than_the_target_takes_from_all_instances() {
    let site = Site::start(program()).await;
    let upstream = Upstream::start("u-1", 8, Duration::from_millis(40)).await.unwrap();
    site.list(&upstream, "shop", "a-1");
    let routes = [RouteSpec::new("/look/", "safe", "shop")];
    let config = config(1, &routes, &["shop"]).replace("\"max_connections\":300", "\"max_connections\":4");
    site.store.put("op/config", config);
    let instance = site.ready_instance("e-1", "a-1").await;
    let end = Instant::now() + standins::site::PATIENCE;
    // Two are kept, so that each burst of six opens four, once the bound is known.
    while burst(&instance, &upstream, 6).await != 4 {
        assert!(Instant::now() < end, "idle connections are not bounded");
    }
    assert_eq!(burst(&instance, &upstream, 2).await, 0);
}
