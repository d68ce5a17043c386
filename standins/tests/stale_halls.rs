//! A hall whose view turns stale as a whole: few of its instances ask the store themselves.

mod common;

use common::program;
use lockloft::sync::relay_tree::{FOLLOWERS_PER_RELAY, stale_relay_timeout};
use standins::scene::look_route;
use standins::site::{InstanceProcess, RouteSpec, Site};
use standins::store::Trouble;
use standins::wait::wait_until;
use std::time::Duration;

/// Instances of the hall.
const HALL: usize = 14;

/// Instances that watch the store themselves after the first: those that left stale relays.
fn left(hall: &[InstanceProcess]) -> usize {
    let is_stale =
        |instance: &InstanceProcess| instance.events("relay_left").iter().any(|line| line["reason"] == "stale");
    hall.iter().filter(|instance| is_stale(instance)).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_hall_that_the_store_leaves_without_changes_asks_it_by_few() {
    let site = Site::start(program()).await;
    site.configure(1, &[look_route()], &["shop"]);
    let endpoint = site.store.endpoint().await.unwrap();
    let mut hall: Vec<InstanceProcess> = Vec::new();
    for number in 0..HALL {
        let mut instance = site.instance_at(&format!("e-{number:02}"), "a-1", &endpoint, &[]);
        instance.start();
        instance.wait_ready().await;
        hall.push(instance);
    }
    let follows = |instance: &InstanceProcess| instance.log().contains("\"source\":\"relay\"");
    wait_until("a relay for each", || hall[1..].iter().all(follows)).await;
    endpoint.set(Trouble::Silent);
    wait_until("stale views", || hall.iter().all(|instance| !instance.events("view_stale").is_empty())).await;
    endpoint.set(Trouble::None);
    site.configure(2, &[look_route(), RouteSpec::new("/new/", "safe", "shop")], &["shop"]);
    for instance in &hall {
        instance.wait_status("/new/x", 503).await;
    }
    let left = left(&hall);
    assert!(left <= 2 * FOLLOWERS_PER_RELAY, "{left} of {HALL} left their relays");
}

#[test]
fn those_behind_wait_longer() {
    let waits: Vec<Duration> = (0..HALL).map(stale_relay_timeout).collect();
    assert!(waits.is_sorted());
    assert_eq!(waits[1], waits[FOLLOWERS_PER_RELAY]);
    assert!(waits[FOLLOWERS_PER_RELAY] < waits[FOLLOWERS_PER_RELAY + 1]);
}
