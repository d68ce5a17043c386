//! The end of a task ends neither the process nor what the task does for it, and is seen.

mod common;

use common::program;
use serde_json::{Value, json};
use standins::http;
use standins::panicking::{PANIC_ON_DECODE, PANIC_ON_QUESTION, PANIC_ON_REGISTRATION, PANIC_ON_REMOVAL};
use standins::scene::{SERVICE, look_route, start_target_of};
use standins::site::{InstanceProcess, RouteSpec, Site, TestRequest};
use standins::store::{Endpoint, Trouble};
use standins::target_server::{Registration, TargetServer};
use standins::wait::{wait_for, wait_until};
use std::net::SocketAddr;
use std::time::Duration;

/// Bound on the time from the acknowledgement of a change until no request is handled as before it.
const APPLY_BOUND: Duration = Duration::from_millis(2_500);
/// Time within which a stale view has been reported again.
const REPORT_BOUND: Duration = Duration::from_secs(9);
/// Requests sent to an instance on each path.
const REQUESTS: usize = 20;
/// Service that `/look/` moves to.
const NEXT_SERVICE: &str = "desk";
/// Service of `/stay/`, one of whose targets leaves.
const STAYING_SERVICE: &str = "till";
/// The target that leaves.
const LEAVING: &str = "till-leaving";
/// Hall that is evacuated.
const EVACUATED: &str = "b-1";
const SERVICES: [&str; 3] = [SERVICE, NEXT_SERVICE, STAYING_SERVICE];

/// Requests that were handled as before a change.
#[derive(Debug, Default, PartialEq, Eq)]
struct Outdated {
    /// Run by the service that the route has left.
    config: usize,
    /// Run by the target that has said that it leaves.
    drain: usize,
    /// Run by targets of the evacuated hall.
    evacuation: usize,
}

/// A site whose values can make its instances panic.
struct Scene {
    site: Site,
    targets: Vec<TargetServer>,
}

impl Scene {
    async fn start() -> Self {
        let site = Site::start(program()).await;
        let mut targets = Vec::new();
        for hall in ["a-1", EVACUATED] {
            for service in SERVICES {
                targets.push(start_target_of(&site, &format!("{service}-{hall}"), service, hall).await);
            }
        }
        targets.push(start_target_of(&site, LEAVING, STAYING_SERVICE, "a-1").await);
        site.configure(1, &[look_route(), stay_route()], &SERVICES);
        Self { site, targets }
    }

    async fn instance(&self, name: &str, hall: &str) -> InstanceProcess {
        self.instance_at(name, hall, &self.site.endpoint, &[]).await
    }

    async fn instance_at(&self, name: &str, hall: &str, store: &Endpoint, seeds: &[SocketAddr]) -> InstanceProcess {
        let mut instance = self.site.instance_at(name, hall, store, seeds);
        instance.run_panicking();
        instance.start();
        instance.wait_ready().await;
        instance
    }

    /// Writes a value that makes each reader panic.
    fn put_panicking(&self, id: &str) {
        self.site.store.put(&format!("servers/{id}"), panicking_value(PANIC_ON_DECODE));
    }

    /// Has a target say that it leaves, moves a route to the next service, and evacuates a hall.
    fn change(&self) {
        let leaving = self.targets.iter().find(|target| target.id == LEAVING).expect("it was started");
        self.site.register_as(leaving, &Registration::draining(STAYING_SERVICE, "a-1", 2));
        self.site.store.put(&format!("op/evacuate/{EVACUATED}"), "{}");
        self.site.configure(2, &[RouteSpec::new("/look/", "safe", NEXT_SERVICE), stay_route()], &SERVICES);
    }

    /// Requests that the instances had handled as before [`Self::change`], after its bound.
    async fn outdated(&self, instances: &[&InstanceProcess]) -> Outdated {
        tokio::time::sleep(APPLY_BOUND).await;
        self.outdated_now(instances).await
    }

    async fn outdated_now(&self, instances: &[&InstanceProcess]) -> Outdated {
        let [config, drain, evacuation] = self.runs();
        for instance in instances {
            for n in 0..REQUESTS {
                self.ask(instance, "/look/a", n).await;
                self.ask(instance, "/stay/a", n).await;
            }
        }
        let [config_after, drain_after, evacuation_after] = self.runs();
        Outdated {
            config: config_after - config,
            drain: drain_after - drain,
            evacuation: evacuation_after - evacuation,
        }
    }

    async fn ask(&self, instance: &InstanceProcess, path: &str, object: usize) {
        let reply = TestRequest::get(path).affinity(object).send(instance.callers).await;
        assert!(reply.is_ok_and(|reply| reply.status == 200), "{}: {}", instance.name, instance.log());
    }

    fn runs(&self) -> [usize; 3] {
        let count = |is_counted: &dyn Fn(&str) -> bool| {
            let counted = self.targets.iter().filter(|target| is_counted(&target.id));
            counted.map(|target| target.runs().len()).sum()
        };
        [count(&|id| id.starts_with(SERVICE)), count(&|id| id == LEAVING), count(&|id| id.ends_with(EVACUATED))]
    }
}

fn stay_route() -> RouteSpec {
    RouteSpec::new("/stay/", "safe", STAYING_SERVICE)
}

/// A registration of a target at an address where nobody listens, which contains a text.
fn panicking_value(text: &str) -> String {
    json!({
        "address": "127.0.0.1:9",
        "info": {"service": "none", "version": text, "zone": "a-1", "capacity": 6},
        "status": {"state": "ready", "sequence": 1},
    })
    .to_string()
}

fn logs(instances: &[&InstanceProcess]) -> String {
    instances.iter().map(|instance| format!("{}:\n{}", instance.name, instance.log())).collect()
}

/// Lines of ends of a task.
fn ends(instance: &InstanceProcess, task: &str) -> Vec<Value> {
    instance.events("task_ended").into_iter().filter(|line| line["task"] == task).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_value_that_panics_in_a_watch_response_hides_none_of_the_others() {
    let scene = Scene::start().await;
    let instance = scene.instance("e-1", "a-1").await;
    scene.put_panicking("t-bad");
    scene.change();
    scene.put_panicking("t-worse");
    assert_eq!(scene.outdated(&[&instance]).await, Outdated::default(), "{}", instance.log());
    assert!(!ends(&instance, "watch").is_empty(), "no panic was played: {}", instance.log());
}

#[tokio::test(flavor = "multi_thread")]
async fn ten_values_that_panic_at_once_hide_none_of_the_others() {
    let scene = Scene::start().await;
    let instance = scene.instance("e-1", "a-1").await;
    (0..10).for_each(|number| scene.put_panicking(&format!("t-bad-{number}")));
    scene.change();
    assert_eq!(scene.outdated(&[&instance]).await, Outdated::default(), "{}", instance.log());
    assert_eq!(instance.events("value_refused").len(), 10, "{}", instance.log());
    assert_eq!(ends(&instance, "watch").len(), 10, "{}", instance.log());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_value_that_panics_in_the_initial_list_hides_none_of_the_others_and_no_later_change() {
    let scene = Scene::start().await;
    scene.put_panicking("t-bad");
    let instance = scene.instance("e-1", "a-1").await;
    scene.change();
    assert_eq!(scene.outdated(&[&instance]).await, Outdated::default(), "{}", instance.log());
    assert!(!ends(&instance, "watch").is_empty(), "no panic was played: {}", instance.log());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_value_that_panics_in_a_relays_answer_hides_none_of_the_others() {
    let scene = Scene::start().await;
    let first = scene.instance("e-1", "a-1").await;
    let follower = scene.instance("e-2", "a-1").await;
    wait_until("answers of the relay", || follower.log().contains("\"source\":\"relay\"")).await;
    scene.put_panicking("t-bad");
    scene.change();
    let instances = [&first, &follower];
    assert_eq!(scene.outdated(&instances).await, Outdated::default(), "{}", logs(&instances));
    assert!(!ends(&follower, "watch").is_empty(), "no panic was played: {}", follower.log());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_value_that_panics_in_a_peers_answer_hides_none_of_the_others() {
    let scene = Scene::start().await;
    let first = scene.instance("e-1", "a-1").await;
    let endpoint = scene.site.store.endpoint().await.unwrap();
    let cut = scene.instance_at("e-2", "b-2", &endpoint, &[first.peers]).await;
    wait_until("both registrations", || cut.events("member").len() >= 2).await;
    endpoint.set(Trouble::Silent);
    wait_until("a stale view", || !cut.events("view_stale").is_empty()).await;
    scene.put_panicking("t-bad");
    scene.change();
    // The instance follows a peer that follows the store: two bounds in a row.
    tokio::time::sleep(APPLY_BOUND).await;
    assert_eq!(scene.outdated(&[&cut]).await, Outdated::default(), "{}", logs(&[&first, &cut]));
    assert!(!ends(&cut, "peers").is_empty(), "no panic was played: {}", cut.log());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_value_that_panics_in_a_seeds_view_hides_none_of_the_others() {
    let scene = Scene::start().await;
    scene.put_panicking("t-bad");
    let seed = scene.instance("e-1", "a-1").await;
    let instance = scene.instance_at("e-2", "b-2", &scene.site.endpoint, &[seed.peers]).await;
    scene.change();
    let instances = [&seed, &instance];
    assert_eq!(scene.outdated(&instances).await, Outdated::default(), "{}", logs(&instances));
    assert!(!ends(&instance, "watch").is_empty(), "no panic was played: {}", instance.log());
}

#[tokio::test(flavor = "multi_thread")]
async fn the_end_of_an_evacuation_beside_a_value_that_panics_is_in_force() {
    let scene = Scene::start().await;
    scene.site.store.put(&format!("op/evacuate/{EVACUATED}"), "{}");
    let instance = scene.instance("e-1", "a-1").await;
    assert_eq!(scene.outdated_now(&[&instance]).await.evacuation, 0);
    scene.put_panicking("t-bad");
    scene.site.store.remove(&format!("op/evacuate/{EVACUATED}"));
    tokio::time::sleep(APPLY_BOUND).await;
    assert_eq!(instance.status().await["evacuated"], json!([]), "{}", instance.log());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_value_that_panics_is_refused_until_it_is_written_again() {
    let scene = Scene::start().await;
    let instance = scene.instance("e-1", "a-1").await;
    let victim = scene.targets.iter().find(|target| target.id == LEAVING).expect("it was started");
    scene.put_panicking(LEAVING);
    tokio::time::sleep(APPLY_BOUND).await;
    assert_eq!(scene.outdated_now(&[&instance]).await.drain, 0, "{}", instance.log());
    let refused = instance.events("value_refused");
    let line = refused.first().unwrap_or_else(|| panic!("no value was refused: {}", instance.log()));
    assert!(line["error"].as_str().unwrap().starts_with(&format!("servers/{LEAVING}: ")), "{line}");
    assert!(instance.metric("lockloft_entry_values_refused_total", "").await >= 1.0);
    let panics = ends(&instance, "watch").len();
    scene.site.register_as(victim, &Registration { sequence: 9, ..Registration::ready(STAYING_SERVICE, "a-1") });
    tokio::time::sleep(APPLY_BOUND).await;
    assert!(scene.outdated_now(&[&instance]).await.drain > 0, "{}", instance.log());
    assert_eq!(ends(&instance, "watch").len(), panics, "{}", instance.log());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_removal_that_panics_each_time_hides_no_later_change() {
    let scene = Scene::start().await;
    let _target = start_target_of(&scene.site, PANIC_ON_REMOVAL, SERVICES[0], "a-1").await;
    let instance = scene.instance("e-1", "a-1").await;
    scene.site.store.remove(&format!("servers/{PANIC_ON_REMOVAL}"));
    scene.change();
    assert_eq!(scene.outdated(&[&instance]).await, Outdated::default(), "{}", instance.log());
    assert!(!ends(&instance, "watch").is_empty(), "no panic was played: {}", instance.log());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_whose_registration_panics_registers_again() {
    let scene = Scene::start().await;
    let instance = scene.instance("e-1", "a-1").await;
    let key = "lockloft/entries/e-1";
    wait_until("the registration", || !scene.site.store.keys(key).is_empty()).await;
    scene.site.store.put("servers/t-bad", panicking_value(PANIC_ON_REGISTRATION));
    scene.site.store.remove(key);
    wait_until("the panic", || !ends(&instance, "membership").is_empty()).await;
    wait_until("the registration after it", || !scene.site.store.keys(key).is_empty()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_panics_closes_its_connection_and_nothing_else() {
    let scene = Scene::start().await;
    let instance = scene.instance("e-1", "a-1").await;
    let question = format!("/-/resolve?name={PANIC_ON_QUESTION}&region=a&zone=any");
    assert!(http::get(instance.directory, &question).await.is_err(), "it was answered");
    wait_until("the line of its end", || !ends(&instance, "connection").is_empty()).await;
    assert!(instance.is_ready().await);
    wait_for("an answer of the directory", async || !instance.resolve("a").await.is_empty()).await;
    assert_eq!(instance.metric("lockloft_entry_task_ends_total", "task=\"connection\"").await, 1.0);
    assert!(instance.status().await.get("ended_tasks").is_none());
}

#[tokio::test(flavor = "multi_thread")]
async fn the_end_of_a_task_is_told_by_log_metrics_and_status() {
    let scene = Scene::start().await;
    let instance = scene.instance("e-1", "a-1").await;
    scene.put_panicking("t-bad");
    wait_until("the end of the task", || !ends(&instance, "watch").is_empty()).await;
    let line = &ends(&instance, "watch")[0];
    assert_eq!(line["how"], "panicked");
    assert_eq!(line["message"], "the value of servers/t-bad asked for a panic");
    assert!(line["location"].as_str().unwrap().contains("panicking.rs:"), "{line}");
    let panic = &instance.events("panic")[0];
    assert_eq!((&panic["task"], &panic["location"]), (&json!("watch"), &line["location"]));
    let ends = instance.metric("lockloft_entry_task_ends_total", "how=\"panicked\",task=\"watch\"").await;
    assert!(ends >= 1.0, "{ends}");
    assert!(instance.status().await.get("view_age_ms").is_some());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_view_that_stays_stale_is_told_again_and_again() {
    let scene = Scene::start().await;
    let instance = scene.instance("e-1", "a-1").await;
    assert!(instance.status().await.get("stale").is_none());
    scene.site.endpoint.set(Trouble::Silent);
    wait_until("a stale view", || !instance.events("view_stale").is_empty()).await;
    tokio::time::sleep(REPORT_BOUND).await;
    assert_eq!(instance.metric("lockloft_entry_view_stale", "reason=\"store-lost\"").await, 1.0);
    let lines = instance.events("view_still_stale");
    let line = lines.first().unwrap_or_else(|| panic!("it was not reported: {}", instance.log()));
    assert_eq!((&line["config"], &line["reason"]), (&json!(1), &json!("store-lost")), "{line}");
    assert!(line["age_ms"].as_u64().unwrap() > 1_300 && line["revision"].as_u64().is_some(), "{line}");
    assert_eq!(instance.status().await["stale"], "store-lost");
    scene.site.endpoint.set(Trouble::None);
    wait_until("a current view", || !instance.events("view_current").is_empty()).await;
    wait_for("a status without it", async || instance.status().await.get("stale").is_none()).await;
}
