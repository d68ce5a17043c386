//! Policies that a restored store lacks are written again by the instances.

mod common;

use common::program;
use lockloft::operator::api::ApplyRequest;
use lockloft::policy::Sources;
use serde_json::Value;
use standins::http;
use standins::scene::look_route;
use standins::site::{InstanceProcess, Site};
use standins::wait::wait_for;

async fn apply(instance: &InstanceProcess, id: &str) -> Value {
    let sources = Sources::single("p.toml", "");
    let request = ApplyRequest { id: id.into(), by: id.into(), expect: None, sources };
    let reply = http::post(instance.peers, "/policies", serde_json::to_vec(&request).unwrap()).await.unwrap();
    serde_json::from_slice(&reply.body).unwrap()
}

async fn wait_policies(instances: &[&InstanceProcess], revision: u64) {
    for instance in instances {
        let what = format!("policies of revision {revision} at {}", instance.name);
        wait_for(&what, async || instance.status().await["policies"] == revision).await;
    }
}

/// Guards against instances that start after the restore with the earlier policies of the snapshot,
/// and against applies through them that reuse a revision.
#[tokio::test(flavor = "multi_thread")]
async fn policies_missing_after_a_restore_are_in_force_at_instances_that_start_later() {
    let site = Site::start(program()).await;
    site.configure(1, &[look_route()], &["shop"]);
    let first = site.ready_instance("e-1", "a-1").await;
    let second = site.ready_instance("e-2", "b-1").await;
    assert_eq!(apply(&first, "mara").await["revision"], 1);
    let snapshot = site.store.snapshot();
    assert_eq!(apply(&first, "nino").await["revision"], 2);
    wait_policies(&[&first, &second], 2).await;
    site.store.restore(snapshot);
    for instance in [&first, &second] {
        wait_for("the view of the restored store", async || instance.status().await["store_era"] == 2).await;
    }
    let third = site.ready_instance("e-3", "a-1").await;
    wait_policies(&[&third], 2).await;
    assert_eq!(apply(&third, "tom").await["revision"], 3);
    wait_policies(&[&first, &second, &third], 3).await;
}
