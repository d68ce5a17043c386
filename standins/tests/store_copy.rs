//! An instance's view, where it comes from, and what happens when the store
//! is unreachable: configuration, drains, evacuations, members.

mod common;

use common::program;
use standins::scene::{look_route, start_target, start_target_of};
use standins::site::{InstanceProcess, RouteSpec, Site, TestRequest};
use standins::store::Trouble;
use standins::target_server::{Registration, TargetServer};
use standins::wait::{wait_for, wait_until};
use std::collections::HashMap;
use std::time::{Duration, Instant};

fn shop() -> Vec<RouteSpec> {
    vec![look_route()]
}

/// Waits until an instance's view was last current so many milliseconds ago.
async fn wait_view_age(instance: &InstanceProcess, min_ms: u64) {
    let is_older = async || instance.status().await["view_age_ms"].as_u64().is_some_and(|age| age > min_ms);
    wait_for("an older view", is_older).await;
}

/// Objects 0 to 39, asked for once each; how many went to which target.
async fn spread(instance: &InstanceProcess, targets: &[&TargetServer]) -> HashMap<String, usize> {
    let before: Vec<usize> = targets.iter().map(|target| target.runs().len()).collect();
    for object in 0..40 {
        assert_eq!(TestRequest::get("/look/a").affinity(object).send(instance.callers).await.unwrap().status, 200);
    }
    let after = targets.iter().zip(before).map(|(target, had)| (target.id.clone(), target.runs().len() - had));
    after.collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_configuration_is_in_force_soon_and_an_older_one_never_again() {
    let site = Site::start(program()).await;
    let _target = start_target(&site, "u-1", "a-1").await;
    site.configure(5, &shop(), &["shop"]);
    let instance = site.ready_instance("e-1", "a-1").await;
    let both = [shop(), vec![RouteSpec::new("/new/", "safe", "shop")]].concat();
    site.configure(9, &both, &["shop"]);
    instance.wait_status("/new/x", 200).await;
    site.configure(7, &shop(), &["shop"]);
    // A later change proves that the older version was seen and left.
    site.store.put("op/evacuate/b-1", "{}");
    wait_until("the evacuation's line", || !instance.events("evacuation").is_empty()).await;
    assert_eq!(TestRequest::get("/new/x").send(instance.callers).await.unwrap().status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_that_cannot_be_read_is_refused_whole_with_one_line() {
    let site = Site::start(program()).await;
    let _target = start_target(&site, "u-1", "a-1").await;
    site.configure(5, &shop(), &["shop"]);
    let instance = site.ready_instance("e-1", "a-1").await;
    site.store.put("op/config", "{\"version\": 6, \"resources\": [{\"resource_type\": \"routes\", \"spec\": {}}]}");
    wait_until("the refusal's line", || instance.events("value_refused").len() == 1).await;
    let line = &instance.events("value_refused")[0];
    assert!(line["error"].as_str().unwrap().contains("op/config"), "{line}");
    assert_eq!(TestRequest::get("/look/x").send(instance.callers).await.unwrap().status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_target_and_one_that_is_gone_get_nothing_more() {
    let site = Site::start(program()).await;
    let (one, two) = (start_target(&site, "u-1", "a-1").await, start_target(&site, "u-2", "a-1").await);
    site.configure(1, &shop(), &["shop"]);
    let instance = site.ready_instance("e-1", "a-1").await;
    let counts = spread(&instance, &[&one, &two]).await;
    assert!(counts["u-1"] > 0 && counts["u-2"] > 0, "{counts:?}");
    site.register_as(&one, &Registration::draining("shop", "a-1", 2));
    wait_until("the draining's line", || instance.log().contains("draining")).await;
    assert_eq!(spread(&instance, &[&one, &two]).await["u-1"], 0);
    // A write that is older by its sequence does not bring it back.
    site.register(&one, "shop", "a-1");
    site.store.put("op/evacuate/c-1", "{}");
    wait_until("the evacuation's line", || !instance.events("evacuation").is_empty()).await;
    assert_eq!(spread(&instance, &[&one, &two]).await["u-1"], 0);
    site.store.remove("servers/u-1");
    wait_until("the line of its end", || instance.log().contains("\"gone\"")).await;
    site.register(&one, "shop", "a-1");
    site.store.remove("op/evacuate/c-1");
    wait_until("the end of the evacuation", || instance.events("evacuation").len() == 2).await;
    assert_eq!(spread(&instance, &[&one, &two]).await["u-1"], 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_evacuated_hall_gets_nothing_until_the_evacuation_ends() {
    let site = Site::start(program()).await;
    let (one, two) = (start_target(&site, "u-1", "a-1").await, start_target(&site, "u-2", "a-2").await);
    site.configure(1, &shop(), &["shop"]);
    let instance = site.ready_instance("e-1", "a-1").await;
    site.store.put("op/evacuate/a-1", "{}");
    wait_until("the evacuation's line", || instance.events("evacuation").len() == 1).await;
    assert_eq!(spread(&instance, &[&one, &two]).await["u-1"], 0);
    site.store.remove("op/evacuate/a-1");
    wait_until("the end of the evacuation", || instance.events("evacuation").len() == 2).await;
    wait_for("a request in the hall", async || spread(&instance, &[&one, &two]).await["u-1"] > 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_of_a_route_with_regions_stay_in_them() {
    let site = Site::start(program()).await;
    let (one, two) = (start_target(&site, "u-1", "a-1").await, start_target(&site, "u-2", "b-1").await);
    let mut route = RouteSpec::new("/look/", "safe", "shop");
    route.regions = vec!["b".to_owned()];
    site.configure(1, &[route.clone()], &["shop"]);
    let instance = site.ready_instance("e-1", "a-1").await;
    assert_eq!(spread(&instance, &[&one, &two]).await["u-1"], 0);
    route.regions = vec!["c".to_owned()];
    site.configure(2, &[route], &["shop"]);
    instance.wait_status("/look/a", 503).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_object_stays_at_its_target_whichever_instance_forwards_it() {
    let site = Site::start(program()).await;
    let targets = [
        start_target(&site, "u-1", "a-1").await,
        start_target(&site, "u-2", "a-1").await,
        start_target(&site, "u-3", "a-2").await,
    ];
    site.configure(1, &shop(), &["shop"]);
    let (first, second) = (site.ready_instance("e-1", "a-1").await, site.ready_instance("e-2", "a-2").await);
    for object in 0..20 {
        for instance in [&first, &second] {
            for _ in 0..2 {
                TestRequest::get("/look/a").affinity(object).send(instance.callers).await.unwrap();
            }
        }
    }
    let runs: usize = targets.iter().map(|target| target.runs().len()).sum();
    assert_eq!(runs, 80);
    let busy = targets.iter().filter(|target| target.runs().len() % 4 == 0).count();
    assert_eq!(busy, 3, "each object's four requests went to one target");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_split_keeps_its_shares() {
    let site = Site::start(program()).await;
    let (one, two) = (start_target(&site, "u-1", "a-1").await, start_target_of(&site, "u-2", "other", "a-1").await);
    let mut route = RouteSpec::new("/look/", "safe", "shop");
    route.services = vec![("shop".to_owned(), 70.0), ("other".to_owned(), 30.0)];
    site.configure(1, &[route], &["shop", "other"]);
    let instance = site.ready_instance("e-1", "a-1").await;
    for number in 0..400 {
        TestRequest::get("/look/a").affinity(number % 10).send(instance.callers).await.unwrap();
    }
    let share = two.runs().len() as f64 / (one.runs().len() + two.runs().len()) as f64;
    assert!((0.2..0.4).contains(&share), "{share}");
}

#[tokio::test(flavor = "multi_thread")]
async fn with_its_history_forgotten_the_store_is_listed_anew() {
    let site = Site::start(program()).await;
    let (one, two) = (start_target(&site, "u-1", "a-1").await, start_target(&site, "u-2", "a-1").await);
    site.configure(1, &shop(), &["shop"]);
    let instance = site.ready_instance("e-1", "a-1").await;
    site.endpoint.set(Trouble::Reset);
    wait_until("the loss of the store", || instance.events("store_lost").len() == 1).await;
    site.store.remove("servers/u-1");
    site.store.compact();
    site.endpoint.set(Trouble::None);
    wait_until("the line of its end", || instance.log().contains("\"gone\"")).await;
    assert_eq!(spread(&instance, &[&one, &two]).await["u-1"], 0);
    assert_eq!(instance.events("store_regained").len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_the_store_refuses_gets_changes_from_its_peers() {
    for trouble in [Trouble::Busy, Trouble::TooMany, Trouble::Reset, Trouble::Silent] {
        let site = Site::start(program()).await;
        let _target = start_target(&site, "u-1", "a-1").await;
        site.configure(1, &shop(), &["shop"]);
        let _other = site.ready_instance("e-1", "a-1").await;
        let endpoint = site.store.endpoint().await.unwrap();
        let mut instance = site.instance_at("e-2", "a-2", &endpoint, &[]);
        instance.start();
        instance.wait_ready().await;
        wait_until("each other's registration", || instance.events("member").len() >= 2).await;
        endpoint.set(trouble);
        let both = [shop(), vec![RouteSpec::new("/new/", "safe", "shop")]].concat();
        site.configure(2, &both, &["shop"]);
        instance.wait_status("/new/x", 200).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_starts_while_the_store_is_unreachable_gets_its_view_from_its_seeds() {
    let site = Site::start(program()).await;
    let _target = start_target(&site, "u-1", "a-1").await;
    site.configure(1, &shop(), &["shop"]);
    let first = site.ready_instance("e-1", "a-1").await;
    site.endpoint.set(Trouble::Silent);
    let mut instance = site.instance_at("e-2", "a-2", &site.endpoint, &[first.peers]);
    instance.start();
    instance.wait_ready().await;
    instance.wait_status("/look/x", 200).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_directory_names_ready_entries_of_the_callers_region() {
    let site = Site::start(program()).await;
    let _target = start_target(&site, "u-1", "a-1").await;
    site.configure(1, &shop(), &["shop"]);
    let one = site.ready_instance("e-1", "a-1").await;
    let mut two = site.ready_instance("e-2", "a-2").await;
    let far = site.ready_instance("e-3", "b-1").await;
    let end = Instant::now() + standins::wait::WAIT_TIMEOUT;
    loop {
        let mut named = one.resolve("a").await;
        named.sort();
        let mut expected = vec![one.callers.to_string(), two.callers.to_string()];
        expected.sort();
        if named == expected && one.resolve("b").await == vec![far.callers.to_string()] {
            break;
        }
        assert!(Instant::now() < end, "the directory names {named:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let killed = Instant::now();
    two.kill();
    while one.resolve("a").await.len() != 1 {
        assert!(killed.elapsed() < Duration::from_secs(6), "a dead instance is named for too long");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // A planned stop leaves the directory at once.
    let far_at = far.callers.to_string();
    far.terminate();
    let asked = Instant::now();
    while one.resolve("b").await.contains(&far_at) {
        assert!(asked.elapsed() < Duration::from_secs(2), "a stopping instance is named for too long");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_whose_key_was_removed_registers_again() {
    let site = Site::start(program()).await;
    site.configure(1, &shop(), &["shop"]);
    let _instance = site.ready_instance("e-1", "a-1").await;
    wait_until("the first key", || site.store.keys("lockloft/").len() == 1).await;
    site.store.remove_prefix("lockloft/");
    wait_until("the second key", || site.store.keys("lockloft/").len() == 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reload_takes_new_settings_and_keeps_the_old_where_they_are_wrong() {
    let site = Site::start(program()).await;
    site.configure(1, &shop(), &["shop"]);
    let instance = site.ready_instance("e-1", "a-1").await;
    instance.edit_settings(|text| text.replace("retry_ratio = 0.2", "retry_ratio = 2"));
    instance.signal(libc::SIGHUP);
    wait_until("the refusal's line", || instance.events("reload_refused").len() == 1).await;
    let error = instance.events("reload_refused")[0]["error"].as_str().unwrap().to_owned();
    assert!(error.contains("bounds.retry_ratio") && error.contains("give a share"), "{error}");
    instance.edit_settings(|text| text.replace("retry_ratio = 2", "retry_ratio = 0.1"));
    instance.signal(libc::SIGHUP);
    wait_until("the reload's line", || instance.events("reloaded").len() == 1).await;
    assert!(instance.is_ready().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_comes_before_the_first_configuration_waits_a_moment_for_it() {
    let site = Site::start(program()).await;
    let _target = start_target(&site, "u-1", "a-1").await;
    site.configure(1, &shop(), &["shop"]);
    site.endpoint.slow(Duration::from_millis(100));
    let mut instance = site.instance("e-1", "a-1");
    instance.start();
    let end = Instant::now() + standins::wait::WAIT_TIMEOUT;
    let reply = loop {
        match TestRequest::get("/look/a").send(instance.callers).await {
            Ok(reply) => break reply,
            Err(_) => assert!(Instant::now() < end, "the instance does not listen"),
        }
    };
    assert_eq!(reply.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn targets_whose_registrations_expire_while_the_store_is_unreachable_serve_on_until_the_grace_ends() {
    let site = Site::start(program()).await;
    let lives = start_target(&site, "lives", "a-1").await;
    let ends = start_target(&site, "ends", "a-1").await;
    site.configure(1, &shop(), &["shop"]);
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
    site.configure(1, &shop(), &["shop"]);
    let others = site.ready_instance("e-1", "a-1").await;
    let endpoint = site.store.endpoint().await.unwrap();
    let mut instance = site.instance_at("e-2", "a-2", &endpoint, &[others.peers]);
    instance.start();
    instance.wait_ready().await;
    endpoint.set(Trouble::Busy);
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
