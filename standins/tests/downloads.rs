//! Requests with large answers are repeated as safe ones are, at another target, within the budget.

mod common;

use common::program;
use standins::scene::{SERVICE, Scene, Setup, look_route};
use standins::site::{RouteSpec, TestRequest};
use standins::target_server::{Misbehaviour, TargetServer};

async fn scene() -> Scene {
    let kinds = [("/pack/", "download"), ("/buy/", "unsafe"), ("/send/", "upload")];
    let routes = kinds.map(|(prefix, kind)| RouteSpec::new(prefix, kind, SERVICE));
    Setup { routes: [vec![look_route()], routes.to_vec()].concat(), ..Setup::targets(2) }.start(program()).await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_answer_was_lost_is_repeated_where_its_type_allows_it() {
    let scene = scene().await;
    for (path, runs) in [("/look/a", 2), ("/pack/a", 2), ("/buy/a", 1), ("/send/a", 1)] {
        scene.earn_retries().await;
        let home = scene.targets.iter().max_by_key(|target| target.runs().len()).unwrap();
        home.set(Misbehaviour::LoseAnswer);
        let request = TestRequest::get(path);
        let reply = request.send(scene.instance.callers).await.unwrap();
        home.set(Misbehaviour::None);
        assert_eq!(reply.status.as_u16(), if runs == 2 { 200 } else { 502 }, "{path}");
        assert_eq!(scene.runs_of(&request.id), runs, "{path}");
        let elsewhere = scene.targets.iter().filter(|target| target.id != home.id).flat_map(TargetServer::runs);
        assert_eq!(elsewhere.filter(|run| run.id == request.id).count(), runs - 1, "{path}");
    }
}
