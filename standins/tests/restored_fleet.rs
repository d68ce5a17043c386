//! Number of calls that a fleet makes to the store after a restore.

mod common;

use common::program;
use standins::scene::look_route;
use standins::site::{InstanceProcess, Site};
use standins::wait::wait_for;
use std::time::Duration;

/// Halls of the fleet.
const HALLS: [&str; 2] = ["a-1", "b-1"];
/// Instances in each hall.
const INSTANCES_PER_HALL: usize = 8;
/// Wait after all instances have observed the new era, so that later calls are counted as well.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Starts the fleet and waits until each instance knows all members.
async fn start_fleet(site: &Site) -> Vec<InstanceProcess> {
    let mut fleet = Vec::new();
    for (hall, letter) in HALLS.into_iter().zip(["e", "f"]) {
        fleet.extend((0..INSTANCES_PER_HALL).map(|number| site.instance(&format!("{letter}-{number:03}"), hall)));
    }
    fleet.iter_mut().for_each(InstanceProcess::start);
    let members = fleet.len();
    for instance in &fleet {
        instance.wait_ready().await;
        wait_for("all members", async || instance.status().await["members"] == members).await;
    }
    fleet
}

/// Total store calls of a kind by all instances.
async fn calls(fleet: &[InstanceProcess], kind: &str) -> usize {
    let mut calls = 0.0;
    for instance in fleet {
        calls += instance.metric("lockloft_entry_store_calls_total", &format!("kind=\"{kind}\"")).await;
    }
    calls as usize
}

/// Guards against each instance listing the restored store by itself.
#[tokio::test(flavor = "multi_thread")]
async fn a_restore_costs_a_list_for_each_hall_and_a_lease_for_each_instance() {
    let site = Site::start(program()).await;
    site.configure(1, &[look_route()], &["shop"]);
    let fleet = start_fleet(&site).await;
    let snapshot = site.store.snapshot();
    site.configure(2, &[look_route()], &["shop"]);
    for instance in &fleet {
        wait_for("configuration 2", async || instance.status().await["config"] == 2).await;
    }
    let before = [calls(&fleet, "list").await, calls(&fleet, "grant").await, calls(&fleet, "put").await];
    site.store.restore(snapshot);
    for instance in &fleet {
        wait_for("the new era", async || instance.status().await["store_era"] == 2).await;
    }
    tokio::time::sleep(SETTLE_TIME).await;
    let after = [calls(&fleet, "list").await, calls(&fleet, "grant").await, calls(&fleet, "put").await];
    let [lists, grants, puts] = std::array::from_fn(|kind| after[kind] - before[kind]);
    println!("{} instances: {lists} lists, {grants} grants, {puts} puts", fleet.len());
    assert!(lists <= HALLS.len(), "{lists} lists");
    assert_eq!((grants, puts), (fleet.len(), fleet.len()));
    for instance in &fleet {
        assert_eq!(instance.status().await["members"], fleet.len());
    }
}
