//! Applies of policies while the store or another operator gets in the way.

mod common;

use common::program;
use lockloft::operator::api::ApplyRequest;
use lockloft::policy::Sources;
use serde_json::Value;
use standins::http::{self, Reply};
use standins::scene::{look_route, start_target};
use standins::site::{InstanceProcess, Site};
use standins::store::{Endpoint, Trouble};
use standins::target_server::TargetServer;
use standins::wait::wait_for;
use std::net::SocketAddr;
use std::time::Duration;

const DRAIN: &str = "[[policy]]\nname = \"leave\"\nplaces = { hall = \"a-1\" }\ndrain = true\n";

/// Two instances, the first with a endpoint of its own to the store.
struct Scene {
    _site: Site,
    _target: TargetServer,
    endpoint: Endpoint,
    first: InstanceProcess,
    second: InstanceProcess,
}

impl Scene {
    async fn start() -> Self {
        let site = Site::start(program()).await;
        let target = start_target(&site, "u-1", "a-1").await;
        site.configure(1, &[look_route()], &["shop"]);
        let endpoint = site.store.endpoint().await.unwrap();
        let mut first = site.instance_at("e-1", "a-1", &endpoint, &[]);
        first.start();
        first.wait_ready().await;
        let second = site.ready_instance("e-2", "a-2").await;
        Self { _site: site, _target: target, endpoint, first, second }
    }

    /// Begins an apply at the first instance.
    fn begin(&self, id: &'static str, expect: Option<u64>) -> tokio::task::JoinHandle<Reply> {
        let peers = self.first.peers;
        tokio::spawn(async move { apply(peers, id, expect, DRAIN).await })
    }

    async fn in_force(&self, revision: u64) {
        for instance in [&self.first, &self.second] {
            let what = format!("revision {revision} in force at {}", instance.name);
            wait_for(&what, async || instance.status().await["policies"] == revision).await;
        }
    }
}

async fn apply(peers: SocketAddr, id: &str, expect: Option<u64>, text: &str) -> Reply {
    let sources = Sources::single("policies.toml", text);
    let request = ApplyRequest { id: id.into(), by: id.into(), expect, sources };
    http::post(peers, "/policies", serde_json::to_vec(&request).unwrap()).await.unwrap()
}

fn read(reply: &Reply) -> Value {
    serde_json::from_slice(&reply.body).unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_apply_that_the_store_did_not_take_is_written_again_and_once() {
    let scene = Scene::start().await;
    for (revision, trouble) in [Trouble::Busy, Trouble::TooMany, Trouble::Reset].into_iter().enumerate() {
        scene.endpoint.set(trouble);
        let begun = scene.begin(["a", "b", "c"][revision], Some(revision as u64));
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert!(!begun.is_finished(), "{trouble:?}: it was answered before the store took it");
        scene.endpoint.set(Trouble::None);
        let reply = begun.await.unwrap();
        assert_eq!(reply.status, 200, "{trouble:?}: {}", read(&reply));
        assert_eq!(read(&reply)["revision"], revision as u64 + 1, "{trouble:?}");
        scene.in_force(revision as u64 + 1).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_apply_that_another_overtook_while_the_store_refused_it_is_a_conflict() {
    let scene = Scene::start().await;
    scene.endpoint.set(Trouble::Busy);
    let begun = scene.begin("late", Some(0));
    assert_eq!(apply(scene.second.peers, "nino", Some(0), DRAIN).await.status, 200);
    scene.endpoint.set(Trouble::None);
    let reply = begun.await.unwrap();
    assert_eq!(reply.status, 409, "{}", read(&reply));
    assert!(read(&reply)["message"].as_str().unwrap().contains("revision 1 by nino"), "{}", read(&reply));
    scene.in_force(1).await;
    assert_eq!(read(&http::get(scene.second.peers, "/policies").await.unwrap())["by"], "nino");
}

#[tokio::test(flavor = "multi_thread")]
async fn policies_that_select_nothing_which_is_there_are_named_and_in_force() {
    let scene = Scene::start().await;
    let text = format!("{DRAIN}[[policy]]\nname = \"nowhere\"\nplaces = {{ hall = \"z-9\" }}\ndeny = true\n");
    let reply = apply(scene.first.peers, "anna", None, &text).await;
    assert_eq!(reply.status, 200, "{}", read(&reply));
    assert_eq!(read(&reply)["idle"], serde_json::json!(["nowhere"]));
    scene.in_force(1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_document_too_large_for_the_store_is_refused_with_its_size_and_a_remedy() {
    let scene = Scene::start().await;
    let label = format!("[[hall]]\nname = \"a-1\"\nlabels = {{ x = \"{}\" }}\n", "y".repeat(520 * 1024));
    let reply = apply(scene.first.peers, "anna", None, &label).await;
    assert_eq!(reply.status, 413);
    let message = read(&reply)["message"].as_str().unwrap().to_owned();
    assert!(message.contains("more than 524288; remedy: "), "{message}");
    assert_eq!(http::get(scene.first.peers, "/policies").await.unwrap().status, 404, "something was written");
}
