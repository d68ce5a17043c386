//! Instances that lose their links to all targets while these are at work.

mod common;

use common::program;
use standins::partition::{Cut, Partition};
use standins::proxy::Proxy;
use standins::scene::SERVICE;
use standins::site::{InstanceProcess, RouteSpec, Site, TestRequest};
use standins::target_server::{Registration, TargetServer};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Halls of the instances, and of the targets in turn.
const HALLS: [&str; 3] = ["a-1", "a-2", "b-1"];
const TARGETS: usize = 6;
const SLOTS: u32 = 6;
/// Traffic before the cut.
const BEFORE: Duration = Duration::from_secs(4);
/// Time from which callers of the instance that is cut off are served.
const CONTACT: Duration = Duration::from_millis(2_500);
/// Length of the cut.
const CUT: Duration = Duration::from_secs(6);
const TIMEOUT_MS: u64 = 4_000;

/// Three instances and targets behind proxies.
struct Fleet {
    _site: Site,
    instances: Vec<InstanceProcess>,
    _targets: Vec<TargetServer>,
    _proxies: Vec<Proxy>,
    partition: Partition,
}

impl Fleet {
    async fn start(work: Duration) -> Self {
        let (site, partition) = (Site::start(program()).await, Partition::default());
        let (mut targets, mut proxies, mut instances) = (Vec::new(), Vec::new(), Vec::new());
        for number in 0..TARGETS {
            let target = TargetServer::start(&format!("u-{number}"), SLOTS, work).await.unwrap();
            let proxy = Proxy::start_partitioned(target.address, &partition).await.unwrap();
            site.register_at(&target, proxy.address, &Registration::ready(SERVICE, HALLS[number % HALLS.len()]));
            targets.push(target);
            proxies.push(proxy);
        }
        let route = RouteSpec { timeout_ms: TIMEOUT_MS, ..RouteSpec::new("/look/", "safe", SERVICE) };
        site.configure(1, &[route], &[SERVICE]);
        for (number, hall) in HALLS.iter().enumerate() {
            instances.push(site.ready_instance(&format!("e-{number}"), hall).await);
        }
        Self { _site: site, instances, _targets: targets, _proxies: proxies, partition }
    }

    /// Sends requests to the instances in turn for a time, with a pause in between. Those of the first instance, by
    /// when they were sent, with whether they were served.
    async fn send(&self, pause: Duration, time: Duration) -> Vec<(Instant, bool)> {
        let began = Instant::now();
        let mut sent = Vec::new();
        for number in 0.. {
            if began.elapsed() >= time {
                break;
            }
            let callers = self.instances[number % HALLS.len()].callers;
            let request = TestRequest { deadline_ms: TIMEOUT_MS, ..TestRequest::get("/look/a") }.affinity("");
            sent.push(tokio::spawn(async move {
                let at = Instant::now();
                (at, request.send(callers).await.is_ok_and(|reply| reply.status == 200))
            }));
            sleep(pause).await;
        }
        let mut of_first = Vec::new();
        for request in sent.into_iter().step_by(HALLS.len()) {
            of_first.push(request.await.unwrap());
        }
        of_first
    }
}

/// Cuts an instance off while this share of all slots is in use.
async fn assert_served(work: Duration, utilization: f64, how: Cut) {
    let fleet = Fleet::start(work).await;
    let slots = TARGETS as f64 * f64::from(SLOTS);
    let pause = work.div_f64(slots * utilization);
    fleet.send(pause, BEFORE).await;
    fleet.partition.cut(fleet.instances[0].pid().unwrap(), how);
    let cut_at = Instant::now();
    let requests = fleet.send(pause, CUT).await;
    let late: Vec<bool> =
        requests.iter().filter(|(at, _)| *at >= cut_at + CONTACT).map(|(_, served)| *served).collect();
    let served = late.iter().filter(|served| **served).count();
    assert!(late.len() >= 8, "{} requests show nothing", late.len());
    assert!(late.len() - served <= 1 + late.len() / 50, "{served} of {} served, work {work:?}, {how:?}", late.len());
}

/// Guards against lost links that are taken for busy targets, by instances whose requests wait there.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_an_instance_that_loses_its_links_are_served_while_targets_are_at_work() {
    for (work_ms, utilization) in [(50, 0.7), (500, 0.7), (1_300, 0.7)] {
        assert_served(Duration::from_millis(work_ms), utilization, Cut::Silent).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_of_an_instance_whose_links_are_reset_are_served_while_targets_are_at_work() {
    for (work_ms, utilization) in [(50, 0.7), (1_300, 0.7)] {
        assert_served(Duration::from_millis(work_ms), utilization, Cut::Reset).await;
    }
}
