//! Many instances that start at the same time, as after a loss of power: the first view comes
//! from the seeds, and the store is asked by few.

mod common;

use common::program;
use standins::http;
use standins::scene::{look_route, start_target};
use standins::site::{InstanceProcess, RouteSpec, Site, TestRequest};
use standins::store::Trouble;
use standins::wait::wait_until;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Instances of the fleet.
const FLEET: usize = 16;
/// Seeds among them.
const SEEDS: usize = 2;

/// A fleet of one hall whose first instances are the seeds, not yet started.
fn fleet(site: &Site) -> Vec<InstanceProcess> {
    let mut fleet: Vec<InstanceProcess> =
        (0..SEEDS).map(|number| site.instance(&format!("e-{number:02}"), "a-1")).collect();
    let seeds: Vec<SocketAddr> = fleet.iter().map(|seed| seed.peers).collect();
    let others = (SEEDS..FLEET).map(|number| follower(site, number, &seeds));
    fleet.extend(others);
    fleet
}

/// An instance that is not started yet and knows these seeds.
fn follower(site: &Site, number: usize, seeds: &[SocketAddr]) -> InstanceProcess {
    site.instance_at(&format!("e-{number:02}"), "a-1", &site.endpoint, seeds)
}

async fn start_all(fleet: &mut [InstanceProcess]) {
    fleet.iter_mut().for_each(InstanceProcess::start);
    for instance in fleet {
        instance.wait_ready().await;
    }
}

/// Registers as many other instances as a large fleet has, in another hall.
fn register_others(site: &Site) {
    for number in 0..128 {
        let member = r#"{"callers": "127.0.0.1:9", "peer": "127.0.0.1:9", "hall": "b-1", "region": "b"}"#;
        site.store.put(&format!("lockloft/entries/z-{number}"), member);
    }
}

/// Instances that took their first view from a seed.
fn from_seeds(fleet: &[InstanceProcess]) -> usize {
    fleet.iter().filter(|instance| !instance.events("started_from_seed").is_empty()).count()
}

/// Instances that listed the store.
fn listed(fleet: &[InstanceProcess]) -> usize {
    fleet.iter().filter(|instance| instance.log().contains("\"source\":\"list\"")).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_fleet_that_starts_at_once_has_the_store_listed_by_its_seeds() {
    let site = Site::start(program()).await;
    let _target = start_target(&site, "u-1", "a-1").await;
    site.configure(1, &[look_route()], &["shop"]);
    register_others(&site);
    let mut fleet = fleet(&site);
    start_all(&mut fleet).await;
    wait_until("the lines of all starts", || from_seeds(&fleet) + listed(&fleet) >= FLEET).await;
    assert_eq!((listed(&fleet), from_seeds(&fleet)), (SEEDS, FLEET - SEEDS));
    for instance in &fleet {
        assert_eq!(TestRequest::get("/look/a").send(instance.callers).await.unwrap().status, 200);
    }
}

/// Keys of a large fleet: five pages of a list.
const MANY_KEYS: usize = 2_400;
/// Time of each call of the seeds to the store, with which a list takes longer than seeds are waited for that
/// do not work.
const SLOW_CALL: Duration = Duration::from_millis(250);

#[tokio::test(flavor = "multi_thread")]
async fn a_fleet_whose_registrations_are_gone_waits_for_seeds_that_list_a_large_store() {
    let site = Site::start(program()).await;
    site.configure(1, &[look_route()], &["shop"]);
    for number in 0..MANY_KEYS {
        site.store.put(&format!("other/{number}"), "x");
    }
    let slow = site.store.endpoint().await.unwrap();
    slow.slow(SLOW_CALL);
    let mut fleet: Vec<InstanceProcess> =
        (0..SEEDS).map(|number| site.instance_at(&format!("e-{number:02}"), "a-1", &slow, &[])).collect();
    let seeds: Vec<SocketAddr> = fleet.iter().map(|seed| seed.peers).collect();
    fleet.extend((SEEDS..FLEET).map(|number| follower(&site, number, &seeds)));
    start_all(&mut fleet).await;
    wait_until("the lines of all starts", || from_seeds(&fleet) + listed(&fleet) >= FLEET).await;
    assert_eq!((listed(&fleet), from_seeds(&fleet)), (SEEDS, FLEET - SEEDS));
}

/// Time of each call with which a list takes longer than a view may be old.
const LONG_LIST_CALL: Duration = Duration::from_millis(400);

/// Guards against a list of the store by every starting instance where a seed's list takes so long that its
/// view is stale until the store has confirmed it.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_waits_for_a_seed_whose_view_is_stale_when_it_has_listed_the_store() {
    let site = Site::start(program()).await;
    site.configure(1, &[look_route()], &["shop"]);
    for number in 0..MANY_KEYS {
        site.store.put(&format!("other/{number}"), "x");
    }
    let slow = site.store.endpoint().await.unwrap();
    slow.slow(LONG_LIST_CALL);
    let seed = site.instance_at("e-00", "a-1", &slow, &[]);
    let follower = follower(&site, 1, &[seed.peers]);
    let mut instances = [seed, follower];
    start_all(&mut instances).await;
    wait_until("the lines of both starts", || from_seeds(&instances) + listed(&instances) >= 2).await;
    assert_eq!((listed(&instances), from_seeds(&instances)), (1, 1), "{}", instances[1].log());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_whose_seeds_are_gone_lists_the_store() {
    let site = Site::start(program()).await;
    site.configure(1, &[look_route()], &["shop"]);
    register_others(&site);
    let gone = site.instance("e-00", "a-1").peers;
    let mut instance = follower(&site, 1, &[gone]);
    instance.start();
    instance.wait_ready().await;
    wait_until("its line", || instance.events("started_without_seed").len() == 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_view_of_a_seed_that_is_cut_off_from_the_store_starts_nobody() {
    let site = Site::start(program()).await;
    site.configure(1, &[look_route()], &["shop"]);
    register_others(&site);
    let endpoint = site.store.endpoint().await.unwrap();
    let mut seed = site.instance_at("e-00", "a-1", &endpoint, &[]);
    seed.start();
    seed.wait_ready().await;
    endpoint.set(Trouble::Silent);
    wait_until("a stale view", || !seed.events("view_stale").is_empty()).await;
    site.configure(2, &[look_route()], &["shop"]);
    let mut instance = follower(&site, 1, &[seed.peers]);
    instance.start();
    instance.wait_ready().await;
    assert_eq!(instance.status().await["config"], 2);
    assert_eq!(from_seeds(std::slice::from_ref(&instance)), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_the_store_refuses_goes_on_with_the_seed_it_started_from() {
    let site = Site::start(program()).await;
    let _target = start_target(&site, "u-1", "a-1").await;
    site.configure(1, &[look_route()], &["shop"]);
    let mut seed = site.instance("e-00", "b-1");
    seed.start();
    seed.wait_ready().await;
    let endpoint = site.store.endpoint().await.unwrap();
    endpoint.set(Trouble::Busy);
    let mut instance = site.instance_at("e-01", "a-1", &endpoint, &[seed.peers]);
    instance.start();
    instance.wait_ready().await;
    site.configure(2, &[look_route(), RouteSpec::new("/new/", "safe", "shop")], &["shop"]);
    instance.wait_status("/new/x", 200).await;
    assert!(instance.events("view_stale").is_empty(), "{}", instance.log());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_small_fleet_waits_for_no_seed() {
    let site = Site::start(program()).await;
    site.configure(1, &[look_route()], &["shop"]);
    let gone = site.instance("e-00", "a-1").peers;
    let mut instance = follower(&site, 1, &[gone]);
    instance.start();
    instance.wait_ready().await;
    wait_until("its list", || listed(std::slice::from_ref(&instance)) == 1).await;
    assert!(instance.events("started_without_seed").is_empty(), "it did not wait");
}

/// Bytes of a value, and the capacity of a seed's link that carries its base64 text in 2 s.
const VIEW_SIZE: usize = 150_000;
const LINK_MBPS: &str = "bandwidth_mbps = 0.8";

#[tokio::test(flavor = "multi_thread")]
async fn a_seed_sends_first_views_one_after_the_other() {
    let site = Site::start(program()).await;
    site.configure(1, &[look_route()], &["shop"]);
    site.store.put("other/file", "x".repeat(VIEW_SIZE));
    let mut seed = site.instance("e-00", "a-1");
    seed.edit_settings(|text| text.replace("[limits]", &format!("[limits]\n{LINK_MBPS}")));
    seed.start();
    seed.wait_ready().await;
    let started = Instant::now();
    let view = async |_: usize| {
        let reply = http::get(seed.peers, "/changes?after=0&wait_ms=0").await.expect("a view");
        assert!(reply.body.len() > VIEW_SIZE);
        started.elapsed()
    };
    let (one, other, third) = tokio::join!(view(0), view(1), view(2));
    let mut times = [one, other, third];
    times.sort_unstable();
    assert!(times[0] < Duration::from_secs(1), "{times:?}");
    assert!(times[1] > Duration::from_secs(1) && times[2] > Duration::from_millis(2_500), "{times:?}");
}
