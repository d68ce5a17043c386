//! Leases after the store is restored from a snapshot and issues their numbers again.

mod common;

use common::program;
use serde_json::{Value, json};
use standins::http;
use standins::scene::look_route;
use standins::site::Site;
use standins::wait::{wait_for, wait_until};

/// Has the store grant a lease to a writer other than the instance; returns its number.
async fn grant_lease(site: &Site) -> u64 {
    let body = json!({"ttl_ms": 60_000}).to_string().into_bytes();
    let reply = http::post(site.endpoint.address, "/-/kv-lease", body).await.unwrap();
    serde_json::from_slice::<Value>(&reply.body).unwrap()["lease"].as_u64().unwrap()
}

async fn put_leased(site: &Site, key: &str, lease: u64) {
    let put = json!([{"key": key, "value": "", "lease": lease}]);
    let body = json!({"expected_revision": [], "put": put, "remove": []}).to_string().into_bytes();
    assert_eq!(http::post(site.endpoint.address, "/-/kv-txn", body).await.unwrap().status, 200);
}

/// Guards against a planned stop that ends a reissued lease and so removes another writer's keys.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_does_not_end_a_reissued_lease() {
    let site = Site::start(program()).await;
    site.configure(1, &[look_route()], &["shop"]);
    let snapshot = site.store.snapshot();
    let mut instance = site.ready_instance("e-1", "a-1").await;
    wait_until("the registration", || !site.store.keys("lockloft/entries/").is_empty()).await;
    site.store.restore(snapshot);
    let lease = grant_lease(&site).await;
    assert_eq!(lease, 1, "the number that the instance's lease had");
    put_leased(&site, "other/job", lease).await;
    wait_until("the registration after the restore", || !site.store.keys("lockloft/entries/").is_empty()).await;
    wait_for("the instance as a member in its own view", async || instance.status().await["members"] == 1).await;
    instance.terminate();
    instance.wait_exit().await;
    assert_eq!(site.store.keys("other/"), ["other/job"]);
    wait_until("the removal of the instance's key", || site.store.keys("lockloft/entries/").is_empty()).await;
}
