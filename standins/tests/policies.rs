//! The operators' policies at running instances: applied through any of them, in
//! force everywhere, and never going back.

mod common;

use common::program;
use lockloft::operator::api::ApplyRequest;
use lockloft::policy::Sources;
use serde_json::Value;
use standins::http::{self, Reply};
use standins::scene::{look_route, start_target};
use standins::site::{InstanceProcess, Site, TestRequest};
use standins::store::Trouble;
use standins::target_server::TargetServer;
use standins::wait::{wait_for, wait_until};

const DRAIN: &str = "[[policy]]\nname = \"leave\"\nplaces = { hall = \"a-1\" }\ndrain = true\n";
const NOTHING: &str = "";

/// Two halls with a target each, and two instances.
struct Scene {
    site: Site,
    targets: [TargetServer; 2],
    instances: [InstanceProcess; 2],
}

impl Scene {
    async fn start() -> Self {
        let site = Site::start(program()).await;
        let one = start_target(&site, "u-1", "a-1").await;
        let other = start_target(&site, "u-2", "a-2").await;
        site.configure(1, &[look_route()], &["shop"]);
        let instances = [site.ready_instance("e-1", "a-1").await, site.ready_instance("e-2", "a-2").await];
        Self { site, targets: [one, other], instances }
    }

    /// Waits until an instance has a revision of the policies in force.
    async fn in_force(&self, instance: usize, revision: u64) {
        let what = format!("revision {revision} in force at instance {instance}");
        wait_for(&what, async || self.instances[instance].status().await["policies"] == revision).await;
    }

    /// How many of 40 objects the target of the drained hall gets.
    async fn to_drained_hall(&self, instance: usize) -> usize {
        let before = self.targets[0].runs().len();
        for object in 0..40 {
            let reply =
                TestRequest::get("/look/a").affinity(object).send(self.instances[instance].callers).await.unwrap();
            assert_eq!(reply.status, 200);
        }
        self.targets[0].runs().len() - before
    }
}

async fn apply(instance: &InstanceProcess, id: &str, expect: Option<u64>, text: &str) -> Reply {
    let sources = Sources::single("policies.toml", text);
    let request = ApplyRequest { id: id.into(), by: "anna".into(), expect, sources };
    http::post(instance.peers, "/policies", serde_json::to_vec(&request).unwrap()).await.unwrap()
}

fn message(reply: &Reply) -> String {
    let value: Value = serde_json::from_slice(&reply.body).unwrap();
    value["message"].as_str().unwrap_or_default().to_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn policies_applied_at_one_instance_are_in_force_at_all_and_explained() {
    let scene = Scene::start().await;
    assert!(scene.to_drained_hall(1).await > 0);
    let reply = apply(&scene.instances[0], "one", None, DRAIN).await;
    assert_eq!(reply.status, 200, "{}", message(&reply));
    for instance in 0..2 {
        scene.in_force(instance, 1).await;
        assert_eq!(scene.to_drained_hall(instance).await, 0);
    }
    let request = TestRequest::get("/look/a");
    request.send(scene.instances[1].callers).await.unwrap();
    assert_eq!(scene.instances[1].request_line(&request.id).await["policies"], "leave");
    let why = http::get(scene.instances[1].peers, "/why?host=shop.example&path=/look/a&object=3").await.unwrap();
    let why: Value = serde_json::from_slice(&why.body).unwrap();
    assert_eq!(why["chosen"], "u-2", "{why}");
    assert_eq!(why["acted"], serde_json::json!(["leave"]));
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_operators_one_wins_and_bad_policies_change_nothing() {
    let scene = Scene::start().await;
    let (one, other) = tokio::join!(
        apply(&scene.instances[0], "one", Some(0), DRAIN),
        apply(&scene.instances[1], "two", Some(0), NOTHING)
    );
    let mut statuses = [one.status.as_u16(), other.status.as_u16()];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409]);
    let loser = if one.status == 409 { &one } else { &other };
    assert!(message(loser).contains("revision 1 by anna"), "{}", message(loser));
    let bad = apply(&scene.instances[0], "bad", None, "[[policy]]\nname = \"x\"\n").await;
    assert_eq!(bad.status, 400);
    assert!(message(&bad).contains("policies.toml:2") && message(&bad).contains("remedy"), "{}", message(&bad));
    scene.in_force(0, 1).await;
    scene.in_force(1, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_apply_whose_answer_is_lost_is_resolved_by_reading() {
    let mut scene = Scene::start().await;
    let endpoint = scene.site.store.endpoint().await.unwrap();
    let mut instance = scene.site.instance_at("e-3", "a-1", &endpoint, &[]);
    instance.start();
    instance.wait_ready().await;
    endpoint.set(Trouble::AnswersLost);
    let applied = tokio::spawn(async move {
        let reply = apply(&instance, "lost", None, DRAIN).await;
        (instance, reply)
    });
    scene.in_force(1, 1).await;
    endpoint.set(Trouble::None);
    let (instance, reply) = applied.await.unwrap();
    assert_eq!(reply.status, 200, "{}", message(&reply));
    assert_eq!(instance.status().await["store_lost"], false);
    // The write was done once: the next one follows it.
    scene.instances[0] = instance;
    assert_eq!(apply(&scene.instances[0], "next", Some(1), NOTHING).await.status, 200);
    scene.in_force(1, 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn policies_outlast_their_instances_and_the_store_s_outage() {
    let mut scene = Scene::start().await;
    assert_eq!(apply(&scene.instances[0], "one", None, DRAIN).await.status, 200);
    scene.in_force(1, 1).await;
    scene.instances[0].kill();
    scene.instances[0].start();
    scene.instances[0].wait_ready().await;
    scene.in_force(0, 1).await;
    assert_eq!(scene.to_drained_hall(0).await, 0);
    let endpoint = scene.site.store.endpoint().await.unwrap();
    let mut instance = scene.site.instance_at("e-3", "a-1", &endpoint, &[scene.instances[1].peers]);
    endpoint.set(Trouble::Silent);
    instance.start();
    wait_until("the instance knows the policies by a peer", || !instance.events("policies_in_force").is_empty()).await;
    let refused = apply(&instance, "unheard", None, NOTHING).await;
    assert_eq!(refused.status, 503);
    assert!(message(&refused).contains("may still come into force"), "{}", message(&refused));
    assert_eq!(scene.instances[1].status().await["policies"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_command_line_tool_works_with_instances() {
    let scene = Scene::start().await;
    let folder = std::env::temp_dir().join(standins::site::fresh_id());
    std::fs::create_dir(&folder).unwrap();
    let file = folder.join("policies.toml");
    std::fs::write(&file, DRAIN).unwrap();
    let (address, file) = (scene.instances[0].peers.to_string(), file.display().to_string());
    let tool = async |arguments: &[&str]| {
        let mut all = vec!["--entry".to_owned(), address.clone()];
        all.extend(arguments.iter().map(|argument| (*argument).to_owned()));
        let code = tokio::task::spawn_blocking(move || lockloft::command::run(all.into_iter())).await.unwrap();
        format!("{code:?}")
    };
    let success = format!("{:?}", std::process::ExitCode::SUCCESS);
    let commands: [&[&str]; 6] = [
        &["apply", &file, "--wait"],
        &["show"],
        &["status"],
        &["instances"],
        &["targets"],
        &["why", "host=shop.example", "path=/look/a", "object=3"],
    ];
    for command in commands {
        assert_eq!(tool(command).await, success, "{command:?}");
    }
    assert_eq!(scene.instances[1].status().await["policies"], 1, "--wait waited for all instances");
    assert_eq!(tool(&["apply", &file, "--expect", "0"]).await, format!("{:?}", std::process::ExitCode::from(3)));
    assert_eq!(tool(&["history"]).await, format!("{:?}", std::process::ExitCode::from(2)));
    std::fs::remove_dir_all(folder).unwrap();
}
