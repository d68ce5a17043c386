//! Targets that turn requests away beside free slots.

mod common;

use common::program;
use standins::scene::{Scene, Setup};
use standins::site::TestRequest;
use standins::target_server::{Misbehaviour, TargetServer};

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_is_shed_asks_its_target_once_more_and_no_other() {
    let scene: Scene = Setup::all_kinds(4).start(program()).await;
    scene.earn_retries().await;
    let before: Vec<u64> = scene.targets.iter().map(TargetServer::arrivals).collect();
    scene.set_all(Misbehaviour::Shed);
    let request = TestRequest::post("/buy/x", "one").affinity("7");
    let reply = request.send(scene.instance.callers).await.unwrap();
    assert_eq!((reply.status.as_u16(), reply.header("retry-after")), (503, "0"), "nothing is gained by waiting");
    let line = scene.instance.request_line(&request.id).await;
    assert_eq!((line["outcome"].as_str(), line["sends"].as_u64()), (Some("shed"), Some(2)));
    let arrivals = scene.targets.iter().zip(before).map(|(target, before)| target.arrivals() - before);
    let mut arrivals: Vec<u64> = arrivals.collect();
    arrivals.sort_unstable();
    assert_eq!(arrivals, [0, 0, 0, 2]);
    assert_eq!(scene.runs_of(&request.id), 0);
}
