//! A target that starts again under its id, with its counts from the beginning.

mod common;

use common::program;
use standins::scene::{SERVICE, Setup, look_route};
use standins::site::{InstanceProcess, RouteSpec, Site, TestRequest};
use standins::target_server::{Misbehaviour, Registration, TargetServer, TargetState};
use standins::wait::wait_until;
use std::time::{Duration, Instant};

/// Starts of the target, Unix milliseconds.
const FIRST: u64 = 1_700_000_000_000;
const SECOND: u64 = FIRST + 60_000;
/// Time that it works on a request.
const WORK: Duration = Duration::from_millis(2);
/// Time within which every instance uses a target whose entry has arrived.
const IN_USE_WITHIN: Duration = Duration::from_secs(1);

fn written(born: u64, sequence: u64) -> Registration<'static> {
    Registration { born: Some(born), sequence, ..Registration::ready(SERVICE, "a-1") }
}

async fn start(site: &Site, born: u64, sequence: u64) -> TargetServer {
    let target = TargetServer::start("u-0", 8, WORK).await.unwrap();
    site.register_as(&target, &written(born, sequence));
    target
}

/// A site with the first start of a target that has written often, and a hall of three
/// instances, of which two follow the first; each has a connection to it.
async fn scene() -> (Site, TargetServer, Vec<InstanceProcess>) {
    let (site, _) = Setup::targets(0).deploy(program()).await;
    let first = start(&site, FIRST, 40).await;
    let mut instances = Vec::new();
    for name in ["e-1", "e-2", "e-3"] {
        instances.push(site.ready_instance(name, "a-1").await);
    }
    wait_until("a change from the relay", || instances[2].log().contains("\"source\":\"relay\"")).await;
    serve_all(&instances).await;
    (site, first, instances)
}

async fn serve_all(instances: &[InstanceProcess]) {
    for instance in instances {
        assert_eq!(TestRequest::get("/look/a").send(instance.callers).await.unwrap().status, 200, "{}", instance.log());
    }
}

/// Waits until all instances know the start that began at `born`.
async fn known(instances: &[InstanceProcess], born: u64) {
    let knows = |instance: &InstanceProcess| {
        instance.events("target").iter().any(|line| line["started_ms"] == born && line["state"] == "ready")
    };
    wait_until("the start's line", || instances.iter().all(knows)).await;
}

/// Waits until all instances have seen what the store holds now, by a target written last.
async fn all_seen(site: &Site, instances: &[InstanceProcess]) {
    let marker = TargetServer::start("u-marker", 1, WORK).await.unwrap();
    site.register(&marker, "other", "a-1");
    let seen = |instance: &InstanceProcess| instance.events("target").iter().any(|line| line["id"] == "u-marker");
    wait_until("the marker's line", || instances.iter().all(seen)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_starts_again_is_used_at_once_and_gets_no_old_connection() {
    let (site, first, instances) = scene().await;
    let before = first.arrivals();
    let second = start(&site, SECOND, 1).await;
    let written = Instant::now();
    known(&instances, SECOND).await;
    serve_all(&instances).await;
    assert!(written.elapsed() < IN_USE_WITHIN, "{:?}", written.elapsed());
    assert_eq!((first.arrivals(), second.arrivals()), (before, 3));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_starts_again_at_its_address_is_used_over_new_connections() {
    let (site, first, instances) = scene().await;
    let address = first.address;
    first.stop().await;
    let second = TargetServer::start_at(address, "u-0", 8, WORK).await.unwrap();
    site.register_as(&second, &written(SECOND, 1));
    known(&instances, SECOND).await;
    serve_all(&instances).await;
    assert_eq!((second.arrivals(), second.connections()), (3, 3));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_left_and_starts_again_is_used() {
    let (site, first, instances) = scene().await;
    site.store.remove("servers/u-0");
    wait_until("its end", || instances.iter().all(|instance| instance.log().contains("\"gone\""))).await;
    drop(first);
    let _second = start(&site, SECOND, 1).await;
    known(&instances, SECOND).await;
    serve_all(&instances).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_write_of_its_earlier_start_changes_nothing() {
    let (site, first, instances) = scene().await;
    let second = start(&site, SECOND, 1).await;
    known(&instances, SECOND).await;
    let late = Registration { state: TargetState::Draining, ..written(FIRST, 41) };
    site.register_as(&first, &late);
    all_seen(&site, &instances).await;
    serve_all(&instances).await;
    assert_eq!(second.arrivals(), 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_purchase_under_way_as_its_target_starts_again_runs_once() {
    let buy = RouteSpec { timeout_ms: 1_500, ..RouteSpec::new("/buy/", "unsafe", SERVICE) };
    let setup = Setup { routes: vec![look_route(), buy], ..Setup::targets(0) };
    let (site, _) = setup.deploy(program()).await;
    let first = start(&site, FIRST, 40).await;
    let instance = site.ready_instance("e-1", "a-1").await;
    first.set(Misbehaviour::NoAnswer);
    let purchase = TestRequest::post("/buy/x", "one");
    let (id, callers) = (purchase.id.clone(), instance.callers);
    let reply = tokio::spawn(async move { purchase.send(callers).await.unwrap().status });
    wait_until("the purchase at its target", || first.arrivals() == 1).await;
    let runs_of = |target: &TargetServer| target.runs().iter().filter(|run| run.id == id).count();
    let ran_first = runs_of(&first);
    first.stop().await;
    let second = start(&site, SECOND, 1).await;
    known(std::slice::from_ref(&instance), SECOND).await;
    let status = reply.await.unwrap();
    assert!(status == 502 || status == 504, "{status}");
    assert_eq!((ran_first, runs_of(&second)), (1, 0));
}
