//! Targets whose registrations are gone as the store returns: those that expired
//! while it was unreachable are kept for a moment, those that went are not.

mod common;

use common::program;
use standins::scene::{look_route, spread, start_target};
use standins::site::{InstanceProcess, Site};
use standins::store::Trouble;
use standins::target_server::Registration;
use standins::wait::{wait_for, wait_until};

/// Waits until an instance's view was last current so many milliseconds ago.
async fn wait_view_age(instance: &InstanceProcess, min_ms: u64) {
    let is_older = async || instance.status().await["view_age_ms"].as_u64().is_some_and(|age| age > min_ms);
    wait_for("an older view", is_older).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn targets_whose_registrations_expire_while_the_store_is_unreachable_serve_on_until_the_grace_ends() {
    let site = Site::start(program()).await;
    let lives = start_target(&site, "lives", "a-1").await;
    let ends = start_target(&site, "ends", "a-1").await;
    site.configure(1, &[look_route()], &["shop"]);
    let instance = site.ready_instance("e-1", "a-1").await;
    site.endpoint.set(Trouble::Silent);
    wait_until("the loss of the store", || !instance.events("store_lost").is_empty()).await;
    // Instances run out after three heartbeats, not sooner.
    wait_view_age(&instance, 4_000).await;
    site.store.remove_prefix("servers/");
    site.endpoint.set(Trouble::None);
    let state =
        |id: &str, state: &str| instance.events("target").iter().any(|line| line["id"] == id && line["state"] == state);
    wait_until("both are seen to have lapsed", || state("lives", "lapsed") && state("ends", "lapsed")).await;
    assert!(spread(&instance, &[&lives, &ends]).await.values().all(|runs| *runs > 0), "both serve on");
    site.register_as(&lives, &Registration { sequence: 2, ..Registration::ready("shop", "a-1") });
    wait_until("one is gone", || state("ends", "gone")).await;
    let runs = spread(&instance, &[&lives, &ends]).await;
    assert_eq!((runs["lives"], runs["ends"]), (40, 0));
    assert!(!state("lives", "gone"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_goes_as_the_store_answers_an_instance_again_gets_nothing_more() {
    let site = Site::start(program()).await;
    let _stays = start_target(&site, "stays", "a-1").await;
    let _goes = start_target(&site, "goes", "a-1").await;
    site.configure(1, &[look_route()], &["shop"]);
    let others = site.ready_instance("e-1", "a-1").await;
    let endpoint = site.store.endpoint().await.unwrap();
    let mut instance = site.instance_at("e-2", "a-2", &endpoint, &[others.peers]);
    instance.start();
    instance.wait_ready().await;
    // Until then it follows its seed as a relay; from then on a watch of its own waits.
    let is_member = || instance.events("member").iter().any(|line| line["name"] == "e-2");
    wait_until("its own registration", is_member).await;
    endpoint.set(Trouble::Busy);
    // A watch that waits already is answered all the same; the next one is refused.
    site.store.put("op/evacuate/c-1", "{}");
    wait_until("the first evacuation", || !instance.events("evacuation").is_empty()).await;
    wait_until("the loss of the store", || !instance.events("store_lost").is_empty()).await;
    site.store.put("op/evacuate/b-1", "{}");
    wait_until("a change from a peer", || instance.events("evacuation").iter().any(|line| line["source"] == "peer"))
        .await;
    endpoint.set(Trouble::None);
    wait_until("the store answers again", || !instance.events("store_regained").is_empty()).await;
    site.store.remove_prefix("servers/goes");
    let seen =
        |state: &str| instance.events("target").iter().any(|line| line["id"] == "goes" && line["state"] == state);
    wait_until("the target's end is seen", || seen("gone") || seen("lapsed")).await;
    assert!(!seen("lapsed"), "the others kept the instance's knowledge current: nothing can have run out");
}
