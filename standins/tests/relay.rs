//! How the instances of a hall get the store's changes through a relay.

mod common;

use common::program;
use lockloft::sync::relay_tree::FOLLOWERS_PER_RELAY;
use standins::scene::{look_route, start_target};
use standins::site::{InstanceProcess, RouteSpec, Site};
use standins::store::Trouble;
use standins::target_server::{Registration, TargetState};
use standins::wait::{wait_for, wait_until};
use std::time::{Duration, Instant};

fn shop() -> Vec<RouteSpec> {
    vec![look_route()]
}

/// Instances `e-1` and so on of one hall, all listed, the relay first.
async fn hall(site: &Site, count: usize) -> Vec<InstanceProcess> {
    let mut instances = Vec::new();
    for number in 1..=count {
        instances.push(site.ready_instance(&format!("e-{number}"), "a-1").await);
    }
    let all_named = async || {
        for instance in &instances {
            if instance.resolve("a").await.len() < count {
                return false;
            }
        }
        true
    };
    wait_for("directories that name all", all_named).await;
    instances
}

#[tokio::test(flavor = "multi_thread")]
async fn one_instance_of_a_hall_watches_the_store_for_all() {
    let site = Site::start(program()).await;
    let target = start_target(&site, "u-1", "a-1").await;
    site.configure(1, &shop(), &["shop"]);
    let instances = hall(&site, 4).await;
    wait_until("a change from the relay", || instances[3].log().contains("\"source\":\"relay\"")).await;
    // Whatever watches the others still have in the store end with a change.
    site.store.put("op/evacuate/b-1", "{}");
    wait_until("the evacuation", || instances.iter().all(|instance| instance.events("evacuation").len() == 1)).await;
    let before = site.store.calls("kv-watch");
    for sequence in 2..8 {
        let state = if sequence % 2 == 0 { TargetState::Draining } else { TargetState::Ready };
        site.register_as(&target, &Registration { state, sequence, ..Registration::ready("shop", "a-1") });
        let seen = |instance: &InstanceProcess| instance.events("target").len() as u64 >= sequence;
        wait_until("the change", || instances.iter().all(seen)).await;
    }
    let calls = site.store.calls("kv-watch") - before;
    assert!(calls <= 8, "{calls} watches for 6 changes and 4 instances");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_hall_whose_relay_dies_freezes_or_loses_the_store_gets_changes_in_time() {
    for trouble in ["dies", "freezes", "loses the store"] {
        let site = Site::start(program()).await;
        let _target = start_target(&site, "u-1", "a-1").await;
        site.configure(1, &shop(), &["shop"]);
        let endpoint = site.store.endpoint().await.unwrap();
        let mut relay = site.instance_at("e-0", "a-1", &endpoint, &[]);
        relay.start();
        relay.wait_ready().await;
        let instances = hall(&site, 4).await;
        wait_until("a change from the relay", || instances[3].log().contains("\"source\":\"relay\"")).await;
        match trouble {
            "dies" => relay.kill(),
            "freezes" => relay.signal(libc::SIGSTOP),
            _ => endpoint.set(Trouble::Silent),
        }
        let both = [shop(), vec![RouteSpec::new("/new/", "safe", "shop")]].concat();
        site.configure(2, &both, &["shop"]);
        let changed = Instant::now();
        for instance in &instances {
            instance.wait_status("/new/x", 200).await;
        }
        // The shortest bound on a configuration.
        assert!(changed.elapsed() < Duration::from_secs(2), "{trouble}: {:?}", changed.elapsed());
        relay.signal(libc::SIGCONT);
    }
}

/// Waits until all these instances have received a number of evacuations, begun
/// one after the other; gives the watches that the store saw meanwhile.
async fn watches_for_evacuations(site: &Site, instances: &[InstanceProcess], halls: &[&str]) -> u64 {
    let before = site.store.calls("kv-watch");
    for hall in halls {
        site.store.put(&format!("op/evacuate/{hall}"), "{}");
        let received =
            |instance: &InstanceProcess| instance.events("evacuation").iter().any(|line| line["hall"] == *hall);
        wait_until("the evacuation", || instances.iter().all(received)).await;
    }
    site.store.calls("kv-watch") - before
}

#[tokio::test(flavor = "multi_thread")]
async fn a_hall_that_loses_its_relay_goes_on_with_one_watch() {
    let site = Site::start(program()).await;
    let _target = start_target(&site, "u-1", "a-1").await;
    site.configure(1, &shop(), &["shop"]);
    let mut instances = hall(&site, FOLLOWERS_PER_RELAY + 3).await;
    watches_for_evacuations(&site, &instances, &["b-1"]).await;
    instances.remove(0).kill();
    watches_for_evacuations(&site, &instances, &["b-2"]).await;
    // Within the time for which the dead relay is not followed.
    let watches = watches_for_evacuations(&site, &instances, &["c-1", "c-2", "c-3", "c-4"]).await;
    assert!(watches <= 8, "{watches} watches for 4 changes and {} instances", instances.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn heartbeats_without_a_change_reach_the_leaves_of_the_relay_tree() {
    let site = Site::start(program()).await;
    let _target = start_target(&site, "u-1", "a-1").await;
    site.configure(1, &shop(), &["shop"]);
    let instances = hall(&site, FOLLOWERS_PER_RELAY + 3).await;
    watches_for_evacuations(&site, &instances, &["b-1"]).await;
    let leaf = &instances[FOLLOWERS_PER_RELAY + 2];
    let left = |instance: &InstanceProcess| instance.events("relay_left").len();
    let before: Vec<usize> = instances.iter().map(left).collect();
    let answers = async || leaf.metric("lockloft_entry_relay_answers_total", "").await;
    let answered = answers().await;
    wait_for("six answers of the leaf's relay", async || answers().await >= answered + 6.0).await;
    assert_eq!(instances.iter().map(left).collect::<Vec<_>>(), before, "nobody left its relay");
}
