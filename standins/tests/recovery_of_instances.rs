//! Instances that are cut off, paused, killed and replaced, together or twice.

mod common;

use common::program;
use standins::scene::{look_route, start_target};
use standins::site::{InstanceProcess, RouteSpec, Site, TestRequest};
use standins::store::Trouble;
use standins::target_server::Registration;
use standins::wait::{wait_for, wait_until};

async fn site() -> Site {
    let site = Site::start(program()).await;
    site.configure(1, &[look_route()], &["shop"]);
    site
}

/// Whether an instance answers 20 objects, each with its own answer.
async fn serves(instance: &InstanceProcess) {
    for object in 0..20 {
        let request = TestRequest::get("/look/a").affinity(object);
        let reply = request.send(instance.callers).await.unwrap();
        assert_eq!(reply.status, 200, "{}", instance.name);
        assert!(reply.body.ends_with(request.id.as_bytes()));
    }
}

/// Waits until the directory of one instance names another, or no longer does.
async fn wait_named(directory: &InstanceProcess, instance: &InstanceProcess, is_named: bool) {
    let address = instance.callers.to_string();
    let what = format!("that {} is named: {is_named}", instance.name);
    wait_for(&what, async || directory.resolve("a").await.contains(&address) == is_named).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn instances_cut_off_from_everything_serve_their_own_callers() {
    let site = site().await;
    let _targets = [start_target(&site, "u-1", "a-1").await, start_target(&site, "u-2", "b-1").await];
    let mut instances = Vec::new();
    for (name, hall) in [("e-1", "a-1"), ("e-2", "b-1")] {
        let endpoint = site.store.endpoint().await.unwrap();
        let mut instance = site.instance_at(name, hall, &endpoint, &[]);
        instance.start();
        instance.wait_ready().await;
        instances.push((instance, endpoint));
    }
    for (instance, _) in &instances {
        wait_until("each other's registration", || instance.events("member").len() >= 2).await;
    }
    // Neither the store nor its frozen peer answers an instance.
    instances.iter().for_each(|(_, endpoint)| endpoint.set(Trouble::Silent));
    for number in 0..2 {
        let (instance, peer) = (&instances[number].0, &instances[1 - number].0);
        peer.signal(libc::SIGSTOP);
        wait_until("the loss of the store", || !instance.events("store_lost").is_empty()).await;
        serves(instance).await;
        assert!(instance.is_ready().await);
        peer.signal(libc::SIGCONT);
    }
    instances.iter().for_each(|(_, endpoint)| endpoint.set(Trouble::None));
    site.configure(2, &[look_route(), RouteSpec::new("/new/", "safe", "shop")], &["shop"]);
    for (instance, _) in &instances {
        instance.wait_status("/new/a", 200).await;
        serves(instance).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_instance_is_not_named_and_acts_on_nothing_that_changed_meanwhile() {
    let site = site().await;
    let (left, stays) = (start_target(&site, "u-1", "a-1").await, start_target(&site, "u-2", "a-1").await);
    let (paused, other) = (site.ready_instance("e-1", "a-1").await, site.ready_instance("e-2", "a-2").await);
    wait_named(&other, &paused, true).await;
    paused.signal(libc::SIGSTOP);
    wait_until("the end of its lease", || site.store.keys("lockloft/").len() == 1).await;
    wait_named(&other, &paused, false).await;
    site.register_as(&left, &Registration::draining("shop", "a-1", 2));
    site.configure(2, &[look_route(), RouteSpec::new("/new/", "safe", "shop")], &["shop"]);
    other.wait_status("/new/a", 200).await;
    paused.signal(libc::SIGCONT);
    // It registers again, and what changed meanwhile is in force soon.
    wait_until("its new key", || site.store.keys("lockloft/").len() == 2).await;
    wait_named(&other, &paused, true).await;
    paused.wait_status("/new/a", 200).await;
    let before = left.runs().len();
    serves(&paused).await;
    assert_eq!(left.runs().len(), before, "a target that is leaving got new work");
    assert!(!stays.runs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_death_in_a_hall_of_three_is_taken_over_too() {
    let site = site().await;
    let _target = start_target(&site, "u-1", "a-1").await;
    let mut instances = Vec::new();
    for name in ["e-1", "e-2", "e-3"] {
        instances.push(site.ready_instance(name, "a-1").await);
    }
    let survivor = instances.pop().unwrap();
    wait_until("the registration of all", || survivor.events("member").len() >= 3).await;
    for (version, instance) in instances.iter_mut().enumerate() {
        instance.kill();
        let route = format!("/new-{version}/");
        site.configure(version as u64 + 2, &[look_route(), RouteSpec::new(&route, "safe", "shop")], &["shop"]);
        survivor.wait_status(&format!("{route}a"), 200).await;
        wait_named(&survivor, instance, false).await;
        serves(&survivor).await;
    }
    assert_eq!(survivor.status().await["members"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replaced_instance_serves_while_the_store_is_down() {
    let site = site().await;
    let _target = start_target(&site, "u-1", "a-1").await;
    let first = site.ready_instance("e-1", "a-1").await;
    let mut replaced = site.instance_at("e-2", "a-1", &site.endpoint, &[first.peers]);
    replaced.start();
    replaced.wait_ready().await;
    site.endpoint.set(Trouble::Silent);
    replaced.kill();
    // Also when no instance has reached the store for a while.
    wait_until("the loss of the store", || !first.events("store_lost").is_empty()).await;
    replaced.start();
    replaced.wait_status("/look/a", 200).await;
    serves(&replaced).await;
    serves(&first).await;
    assert_eq!(replaced.status().await["store_lost"], true);
    site.endpoint.set(Trouble::None);
    wait_until("its key", || site.store.keys("lockloft/").len() == 2).await;
    wait_named(&first, &replaced, true).await;
}
