//! Changes that a weak machine's link carries slowly: they arrive in time, and the
//! changes beside them as well.

mod common;

use common::program;
use lockloft::operator::api::ApplyRequest;
use lockloft::policy::Sources;
use rand::Rng;
use rand::distr::Alphanumeric;
use serde_json::json;
use standins::http;
use standins::link::Link;
use standins::ports::own_ip;
use standins::proxy::Proxy;
use standins::scene::{look_route, start_target};
use standins::site::{InstanceProcess, RouteSpec, Site};
use standins::target_server::{Registration, TargetState};
use standins::wait::{wait_for, wait_until};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// What requests leave of a link of 10 Mbit/s, bytes a second.
const FREE_RATE: u32 = 800_000;
/// A way to the store that carries the configuration in some 14 s, bytes a second.
const SLOW_RATE: u32 = 100_000;
/// Routes of a configuration of some 1 MB, which the store's values may have.
const MANY_ROUTES: usize = 4_000;
/// Relays of the hall before the instance: to try them all takes longer than one that
/// failed is left out.
const RELAYS: usize = 8;
/// The operators' shortest bound on a configuration and on a drain.
const BOUND: Duration = Duration::from_secs(2);
/// Their bound where halls have more than three instances.
const BOUND_AT_SIZE: Duration = Duration::from_secs(3);

fn many_routes() -> Vec<RouteSpec> {
    let route = |number: usize| RouteSpec::new(&format!("/route-{number}-{:x}/", number * 7_919), "safe", "shop");
    (0..MANY_ROUTES).map(route).chain([look_route()]).collect()
}

/// Lists instances of the hall `a-1`, whose names come before all others, at these
/// addresses.
fn list_relays(site: &Site, relays: impl Iterator<Item = SocketAddr>) {
    for (number, peer) in relays.enumerate() {
        let member = json!({"callers": "127.0.0.1:1", "peer": peer, "hall": "a-1", "region": "a"});
        site.store.put(&format!("lockloft/entries/a-{number}"), member.to_string());
    }
}

/// An instance whose relays are reached over one link, and a relay that is current.
struct Hall {
    site: Site,
    follower: InstanceProcess,
    _relay: InstanceProcess,
    _proxies: Vec<Proxy>,
}

impl Hall {
    async fn start(rate: u32) -> Self {
        let site = Site::start(program()).await;
        site.configure(1, &[look_route()], &["shop"]);
        let relay = site.ready_instance("b-0", "b-1").await;
        let link = Link::of(rate);
        let mut proxies = Vec::new();
        for _ in 0..RELAYS {
            proxies.push(Proxy::start_over(relay.peers, link.clone()).await.unwrap());
        }
        list_relays(&site, proxies.iter().map(|proxy| proxy.address));
        let follower = site.ready_instance("e-1", "a-1").await;
        wait_for("an answer of the relay", async || relayed(&follower).await > 0.0).await;
        Self { site, follower, _relay: relay, _proxies: proxies }
    }
}

/// A key that instances keep and pass on, and do not use.
const OTHER_KEY: &str = "other/file";
/// Bytes of a value that does not compress: over the link it takes some 2 s.
const OTHER_SIZE: usize = 1_000_000;

fn random_text(size: usize) -> String {
    rand::rng().sample_iter(Alphanumeric).take(size).map(char::from).collect()
}

async fn relayed(instance: &InstanceProcess) -> f64 {
    instance.metric("lockloft_entry_relay_answers_total", "").await
}

async fn wait_config(instance: &InstanceProcess, version: u64) {
    wait_for(&format!("configuration {version}"), async || instance.status().await["config"] == version).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_configuration_arrives_over_a_link_that_requests_share() {
    let hall = Hall::start(FREE_RATE).await;
    hall.site.configure(2, &many_routes(), &["shop"]);
    let written = Instant::now();
    wait_config(&hall.follower, 2).await;
    assert!(written.elapsed() < BOUND, "in force after {:?}", written.elapsed());
    assert!(hall.follower.events("relay_left").is_empty(), "{}", hall.follower.log());
    let from_relay = || hall.follower.events("config_in_force").iter().any(|line| line["source"] == "relay");
    wait_until("its line, with the relay as its source", from_relay).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drain_beside_a_large_configuration_arrives_in_time() {
    let hall = Hall::start(FREE_RATE).await;
    let target = start_target(&hall.site, "u-1", "a-1").await;
    wait_until("the target", || !hall.follower.events("target").is_empty()).await;
    hall.site.configure(2, &many_routes(), &["shop"]);
    let drain = Registration { state: TargetState::Draining, sequence: 2, ..Registration::ready("shop", "a-1") };
    hall.site.register_as(&target, &drain);
    let written = Instant::now();
    let is_drained = || hall.follower.events("target").iter().any(|line| line["state"] == "draining");
    wait_until("the drain", is_drained).await;
    assert!(written.elapsed() < BOUND, "known after {:?}", written.elapsed());
}

/// Listeners that take connections and answer nothing, as frozen machines do.
async fn silent_relays() -> Vec<TcpListener> {
    let mut listeners = Vec::new();
    for _ in 0..RELAYS {
        listeners.push(TcpListener::bind((own_ip(), 0)).await.unwrap());
    }
    listeners
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_whose_relays_are_all_silent_asks_the_store() {
    let site = Site::start(program()).await;
    site.configure(1, &[look_route()], &["shop"]);
    let follower = site.ready_instance("e-1", "a-1").await;
    let silent = silent_relays().await;
    list_relays(&site, silent.iter().map(|listener| listener.local_addr().unwrap()));
    wait_until("the relays", || follower.events("member").len() > RELAYS).await;
    site.configure(2, &[look_route()], &["shop"]);
    let written = Instant::now();
    wait_config(&follower, 2).await;
    assert!(written.elapsed() < BOUND_AT_SIZE, "in force after {:?}", written.elapsed());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_takes_longer_than_any_silence_is_read_to_its_end() {
    let hall = Hall::start(FREE_RATE).await;
    hall.site.store.put(OTHER_KEY, random_text(OTHER_SIZE));
    let at = hall.site.store.put(OTHER_KEY, random_text(OTHER_SIZE));
    let has_arrived = async || hall.follower.status().await["view_revision"].as_u64() >= Some(at);
    wait_for("the value", has_arrived).await;
    assert!(hall.follower.events("relay_left").is_empty(), "{}", hall.follower.log());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_value_written_twice_passes_a_slow_link_once() {
    let hall = Hall::start(FREE_RATE).await;
    // The follower's question is under way with the first value when the others come.
    for _ in 0..6 {
        hall.site.store.put(OTHER_KEY, random_text(OTHER_SIZE));
    }
    hall.site.configure(2, &[look_route()], &["shop"]);
    let written = Instant::now();
    wait_config(&hall.follower, 2).await;
    assert!(written.elapsed() < Duration::from_secs(5), "in force after {:?}", written.elapsed());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_that_the_store_sends_too_slowly_comes_from_a_peer() {
    let site = Site::start(program()).await;
    site.configure(1, &[look_route()], &["shop"]);
    let _peer = site.ready_instance("b-0", "b-1").await;
    let slow = Proxy::start_over(site.endpoint.address, Link::of(SLOW_RATE)).await.unwrap();
    let mut instance = site.instance("e-1", "a-1");
    instance.edit_settings(|text| text.replace(&site.endpoint.address.to_string(), &slow.address.to_string()));
    instance.start();
    instance.wait_ready().await;
    wait_for("both members", async || instance.status().await["members"] == 2).await;
    site.configure(2, &many_routes(), &["shop"]);
    let written = Instant::now();
    wait_config(&instance, 2).await;
    assert!(written.elapsed() < BOUND_AT_SIZE, "in force after {:?}", written.elapsed());
}

/// An apply of a document of some 300 kB.
async fn apply_large(instance: &InstanceProcess, id: &str) -> http::Reply {
    let comment = "# a line of a comment, so that the document is large\n".repeat(6_000);
    let sources = Sources::single("policies.toml", &comment);
    let request = ApplyRequest { id: id.into(), by: id.into(), expect: None, sources };
    http::post(instance.peers, "/policies", serde_json::to_vec(&request).unwrap()).await.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_policy_document_is_applied_over_a_slow_way_to_the_store() {
    let site = Site::start(program()).await;
    site.configure(1, &[look_route()], &["shop"]);
    // The document that is read before the second write takes some 2 s.
    let slow = Proxy::start_over(site.endpoint.address, Link::of(2 * SLOW_RATE)).await.unwrap();
    let mut instance = site.instance("e-1", "a-1");
    instance.edit_settings(|text| text.replace(&site.endpoint.address.to_string(), &slow.address.to_string()));
    instance.start();
    instance.wait_ready().await;
    let reply = apply_large(&instance, "first").await;
    assert_eq!(reply.status, 200, "{}", String::from_utf8_lossy(&reply.body));
    let reply = apply_large(&instance, "second").await;
    assert_eq!(reply.status, 200, "{}", String::from_utf8_lossy(&reply.body));
}

/// Changes of a burst: those of several lost halls of a fleet of a thousand instances. A watch answers
/// with 500 at most.
const BURST: usize = 6_000;

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_behind_a_burst_of_changes_arrives_in_time() {
    let site = Site::start(program()).await;
    site.configure(1, &[look_route()], &["shop"]);
    let instance = site.ready_instance("e-1", "a-1").await;
    let started = Instant::now();
    for number in 0..BURST {
        site.store.put(&format!("{OTHER_KEY}-{number}"), "x");
    }
    site.configure(2, &[look_route()], &["shop"]);
    wait_config(&instance, 2).await;
    let elapsed = started.elapsed();
    assert!(elapsed < BOUND, "{elapsed:?}");
}
